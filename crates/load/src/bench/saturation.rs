//! Throughput of one entry at saturation, per second of its CPU time.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::Report;
use serde::Serialize;

use super::latency::unique_source;
use super::route::Route;
use crate::error::Error;
use crate::process::Process;
use crate::verdict::AttemptEnd;
use crate::worker;

/// Calling threads, enough that the load generator does not saturate first.
const THREADS: usize = 4;

/// Figures at saturation.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Saturation {
    /// Concurrent calls.
    pub at_once: usize,
    /// Calls a second.
    pub requests_per_s: f64,
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Cores used by the entry.
    pub cores: f64,
    /// Calls per second of the entry's CPU time.
    pub requests_per_core: f64,
    /// Tokens per second of the entry's CPU time.
    pub tokens_per_core: f64,
    /// Calls without a complete answer.
    pub failed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    served: u64,
    tokens: u64,
    failed: u64,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.tokens += other.tokens;
        self.failed += other.failed;
    }
}

/// Keeps this many calls running for this long.
pub(super) fn measure(
    process: Process,
    route: &Route,
    at_once: usize,
    length: Duration,
) -> Result<Saturation, Report<Error>> {
    let begun = Instant::now();
    let cpu_before = process.cpu_time()?;
    let ends = begun + length;
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let route = route.clone();
            let share = at_once.div_ceil(THREADS);
            thread::spawn(move || actix_rt::System::new().block_on(call_until(route, share, ends)))
        })
        .collect();
    let mut sum = Count::default();
    for thread in threads {
        sum.add(thread.join().map_err(|_| Report::new(Error::Worker))?);
    }
    let seconds = begun.elapsed().as_secs_f64();
    let cpu = (process.cpu_time()? - cpu_before).as_secs_f64();
    Ok(Saturation {
        at_once,
        requests_per_s: sum.served as f64 / seconds,
        tokens_per_s: sum.tokens as f64 / seconds,
        cores: cpu / seconds,
        requests_per_core: sum.served as f64 / cpu,
        tokens_per_core: sum.tokens as f64 / cpu,
        failed: sum.failed,
    })
}

async fn call_until(route: Route, at_once: usize, ends: Instant) -> Count {
    let client = worker::client();
    let sum = Rc::new(RefCell::new(Count::default()));
    let calls: Vec<_> = (0..at_once)
        .map(|number| {
            let (route, client, sum) = (route.clone(), client.clone(), Rc::clone(&sum));
            actix_rt::spawn(async move {
                let mut source = unique_source(&route, &number.to_string());
                while Instant::now() < ends {
                    let call = route.call(&client, &mut source).await;
                    let served = u64::from(call.end == AttemptEnd::Whole);
                    sum.borrow_mut().add(Count {
                        served,
                        tokens: call.tokens,
                        failed: 1 - served,
                    });
                }
            })
        })
        .collect();
    for call in calls {
        call.await.ok();
    }
    sum.take()
}

impl fmt::Display for Saturation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at once, {:.0} requests/s, {:.0} tokens/s, entry busy on {:.2} cores, \
             {:.0} requests and {:.0} tokens a core-second, failed {}",
            self.at_once,
            self.requests_per_s,
            self.tokens_per_s,
            self.cores,
            self.requests_per_core,
            self.tokens_per_core,
            self.failed
        )
    }
}
