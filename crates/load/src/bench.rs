//! Benchmarks of an entry: added latency compared with direct calls to the stand-in, requests and
//! relayed tokens per second of CPU time, and memory.

mod latency;
mod memory;
mod route;
mod saturation;

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use serde::Serialize;

use crate::args::{Bench, BenchPart};
use crate::command::{FAULT, to_json, write};
use crate::error::Error;
use crate::process::Process;
use crate::worker;

pub use latency::Latency;
pub use memory::Memory;
pub use route::{Route, RoutePair};
pub use saturation::Saturation;

/// All figures of a bench.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Figures {
    /// Added latency by kind of call and rate.
    pub latency: Vec<Latency>,
    /// Whole requests at saturation.
    pub whole: Option<Saturation>,
    /// Relayed tokens at saturation.
    pub streamed: Option<Saturation>,
    /// Resident memory.
    pub memory: Option<Memory>,
}

/// Runs the bench and prints its figures.
///
/// # Errors
/// The process cannot be read or a file cannot be written.
pub fn run(options: &Bench) -> Result<ExitCode, Report<Error>> {
    let figures = actix_rt::System::new().block_on(measure(options))?;
    if let Some(path) = &options.json {
        write(path, &to_json(&figures)?)?;
    }
    println!("{figures}");
    let failed = figures.failed();
    if failed > 0 {
        eprintln!("{failed} calls were not served; the figures do not count them");
        return Ok(ExitCode::from(FAULT));
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(options: &Bench) -> Result<Figures, Report<Error>> {
    let client = worker::client();
    let process = options.pid.map(|pid| Process { pid });
    // Read before the first call, while the process is still idle.
    let idle = process
        .map(|process| process.resident_bytes())
        .transpose()?;
    let wanted = |part| options.parts.contains(&part);
    let mut figures = Figures::default();
    if wanted(BenchPart::Latency) {
        for pair in RoutePair::all(options) {
            for rate in &options.rates {
                let latency = latency::measure(&client, &pair, *rate, options.samples).await;
                figures.latency.push(latency);
            }
        }
    }
    if let (Some(process), true) = (process, wanted(BenchPart::Saturation)) {
        let length = Duration::from_secs(options.seconds);
        let (at_once, streams) = (options.connections, options.streams);
        let plain = Route::plain(&options.entry, &options.plain_path, &options.plain_key);
        let stream = Route::stream(options, options.relay_tokens);
        figures.whole = Some(saturation::measure(process, &plain, at_once, length)?);
        figures.streamed = Some(saturation::measure(process, &stream, streams, length)?);
    }
    if let (Some(process), Some(idle), true) = (process, idle, wanted(BenchPart::Memory)) {
        figures.memory = Some(memory::measure(&client, process, idle, options).await?);
    }
    Ok(figures)
}

impl Figures {
    fn failed(&self) -> u64 {
        let latency: u64 = self.latency.iter().map(|latency| latency.failed).sum();
        let saturation = self.whole.iter().chain(&self.streamed);
        latency + saturation.map(|saturation| saturation.failed).sum::<u64>()
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", Latency::TABLE_HEADER)?;
        for latency in &self.latency {
            writeln!(f, "{latency}")?;
        }
        if let Some(whole) = &self.whole {
            writeln!(f, "whole requests at saturation: {whole}")?;
        }
        if let Some(streamed) = &self.streamed {
            writeln!(f, "streams at saturation: {streamed}")?;
        }
        if let Some(memory) = &self.memory {
            writeln!(f, "{memory}")?;
        }
        Ok(())
    }
}
