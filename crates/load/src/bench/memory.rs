//! Resident memory of an entry, idle and with many open streams.

use std::fmt;
use std::time::Duration;

use actix_rt::time::sleep;
use awc::Client;
use error_stack::Report;
use serde::Serialize;

use super::latency::unique_source;
use super::route::{CallResult, Route};
use crate::args::Bench;
use crate::error::Error;
use crate::process::Process;

/// Delay between opening two streams. Thousands of simultaneous connections overflow the backlog of
/// the engine's stand-in, and connecting times out.
const STREAM_INTERVAL: Duration = Duration::from_millis(2);

/// Time for the last streams to open.
const OPEN_WAIT: Duration = Duration::from_secs(5);

/// Resident memory in bytes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Memory {
    /// Before the first call of the bench.
    pub idle: u64,
    /// After the other parts of the bench, without open calls.
    pub after_load: u64,
    /// With open streams.
    pub open: u64,
    /// Streams requested.
    pub streams: usize,
    /// Streams that had already ended when the memory was read.
    pub ended: usize,
    /// How the first of these ended.
    pub first_end: Option<String>,
}

/// Opens streams, reads the memory and closes the streams.
pub(super) async fn measure(
    client: &Client,
    process: Process,
    idle: u64,
    options: &Bench,
) -> Result<Memory, Report<Error>> {
    let after_load = process.resident_bytes()?;
    let route = Route::stream(options, options.open_tokens);
    let mut streams = Vec::with_capacity(options.open_streams);
    for number in 0..options.open_streams {
        let (route, client) = (route.clone(), client.clone());
        streams.push(actix_rt::spawn(async move {
            let mut source = unique_source(&route, &number.to_string());
            route.call(&client, &mut source).await
        }));
        sleep(STREAM_INTERVAL).await;
    }
    sleep(OPEN_WAIT).await;
    let open = process.resident_bytes()?;
    let asked = streams.len();
    let mut ended = Vec::new();
    for stream in streams {
        if stream.is_finished() {
            ended.extend(stream.await);
        } else {
            stream.abort();
        }
    }
    Ok(Memory {
        idle,
        after_load,
        open,
        streams: asked,
        ended: ended.len(),
        first_end: ended.first().map(CallResult::failure),
    })
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mebibytes = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        write!(
            f,
            "resident: idle {:.1} MiB, after load {:.1} MiB, with {} streams open {:.1} MiB \
             ({} had ended, the first as {})",
            mebibytes(self.idle),
            mebibytes(self.after_load),
            self.streams - self.ended,
            mebibytes(self.open),
            self.ended,
            self.first_end.as_deref().unwrap_or("none"),
        )
    }
}
