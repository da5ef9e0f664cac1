//! Added latency: direct calls to the stand-in alternate with calls through the entry, at the same
//! rate in one run, so that noise of the machine affects both alike.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep_until;
use awc::Client;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::route::{CallResult, Route, RoutePair};
use crate::request::RequestSource;
use crate::summary::Quantiles;
use crate::tally::TimeHistogram;
use crate::verdict::AttemptEnd;

/// Uncounted calls on each route, to establish connections.
const WARM_UP_CALLS: u32 = 10;

/// Limit for the time that one rate is measured.
const MAX_DURATION: Duration = Duration::from_secs(30);

/// Added latency of one kind of call at one rate.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Latency {
    /// Kind of call.
    pub kind: &'static str,
    /// Calls a second on each route.
    pub rate: f64,
    /// Time to the whole answer, direct.
    pub direct: Quantiles,
    /// Time to the whole answer, through the entry.
    pub entry: Quantiles,
    /// Time to the first token, direct.
    pub direct_first: Quantiles,
    /// Time to the first token, through the entry.
    pub entry_first: Quantiles,
    /// Calls without a complete answer.
    pub failed: u64,
    /// Failure of the first of these.
    pub failure: Option<String>,
}

#[derive(Debug, Default)]
struct Timing {
    whole: TimeHistogram,
    first: TimeHistogram,
}

/// Measures both routes at a rate, with up to this many samples each.
pub(super) async fn measure(client: &Client, pair: &RoutePair, rate: f64, samples: u32) -> Latency {
    let timings = Rc::new(RefCell::new([Timing::default(), Timing::default()]));
    let failures = Rc::new(RefCell::new(Vec::new()));
    let mut sources = [
        unique_source(&pair.direct, "d"),
        unique_source(&pair.entry, "e"),
    ];
    let routes = [&pair.direct, &pair.entry];
    for _ in 0..WARM_UP_CALLS {
        for (route, source) in routes.iter().zip(&mut sources) {
            route.call(client, source).await;
        }
    }
    let count = 2 * samples
        .min((rate * MAX_DURATION.as_secs_f64()) as u32)
        .max(1);
    let mut random = StdRng::seed_from_u64(u64::from(samples));
    let mut due = Instant::now();
    let mut calls = Vec::new();
    for number in 0..count {
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / (2.0 * rate));
        sleep_until(due.into()).await;
        let index = (number % 2) as usize;
        let route = routes[index].clone();
        let client = client.clone();
        let (timings, failures) = (Rc::clone(&timings), Rc::clone(&failures));
        calls.push(actix_rt::spawn(async move {
            let mut source = unique_source(&route, &format!("{number}"));
            let call = route.call(&client, &mut source).await;
            if call.end == AttemptEnd::Whole {
                timings.borrow_mut()[index].record(&call);
            } else {
                failures.borrow_mut().push(call.failure());
            }
        }));
    }
    for call in calls {
        call.await.ok();
    }
    let [direct, entry] = timings.take();
    let failures = failures.take();
    Latency {
        kind: pair.name,
        rate,
        direct: Quantiles::from(&direct.whole),
        entry: Quantiles::from(&entry.whole),
        direct_first: Quantiles::from(&direct.first),
        entry_first: Quantiles::from(&entry.first),
        failed: failures.len() as u64,
        failure: failures.into_iter().next(),
    }
}

/// Creates a source of requests with ids that are unique over all runs.
pub(super) fn unique_source<'a>(route: &'a Route, label: &str) -> RequestSource<'a> {
    let unique = uuid::Uuid::new_v4().simple().to_string();
    RequestSource::new(&route.class, 0, format!("{}-{label}", &unique[..8]), 0)
}

impl Timing {
    fn record(&mut self, call: &CallResult) {
        self.whole.record(call.whole);
        if let Some(first) = call.first_token {
            self.first.record(first);
        }
    }
}

impl Latency {
    /// Header of the table in which each latency is a row.
    pub const TABLE_HEADER: &str = "kind       part  rate/s  samples  direct p50/p99 ms   entry p50/p99 ms  \
                            added p50/p99 ms  ratio p50/p99  failed";

    fn row(
        &self,
        f: &mut fmt::Formatter<'_>,
        part: &str,
        direct: &Quantiles,
        entry: &Quantiles,
    ) -> fmt::Result {
        write!(
            f,
            "{:<10} {part:<5} {:>6} {:>8} {:>9.3}/{:>8.3} {:>9.3}/{:>8.3} {:>8.3}/{:>7.3} \
             {:>7.2}/{:<6.2} {:>7}",
            self.kind,
            self.rate,
            entry.count,
            direct.p50_ms,
            direct.p99_ms,
            entry.p50_ms,
            entry.p99_ms,
            entry.p50_ms - direct.p50_ms,
            entry.p99_ms - direct.p99_ms,
            entry.p50_ms / direct.p50_ms,
            entry.p99_ms / direct.p99_ms,
            self.failed,
        )
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "whole", &self.direct, &self.entry)?;
        if self.entry_first.count > 0 {
            writeln!(f)?;
            self.row(f, "first", &self.direct_first, &self.entry_first)?;
        }
        if let Some(failure) = &self.failure {
            write!(f, "\n{} failed, the first as {failure}", self.failed)?;
        }
        Ok(())
    }
}
