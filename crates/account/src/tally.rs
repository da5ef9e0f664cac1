//! Counts of calls, by route and by second.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::call::{Call, End};
use crate::line::Line;

/// Calls by how they ended.
pub type Ends = BTreeMap<End, u32>;

/// How far forecasts of one kind of step were off, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Steps.
    pub count: u32,
    /// Sum of what was expected.
    pub expected: f64,
    /// Sum of what they took.
    pub took: f64,
    /// Sum of the differences, whichever is larger.
    pub off: f64,
}

/// An account.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// By route.
    pub routes: BTreeMap<String, Ends>,
    /// By second after the first line.
    pub seconds: BTreeMap<u64, Ends>,
    /// Of prompts read for another engine.
    pub reads: Forecast,
    /// Of engines that generate, up to their first event.
    pub begins: Forecast,
    /// Lines that the logs say were dropped.
    pub dropped: u64,
}

impl Account {
    /// Makes an account of logs.
    pub fn new<'a>(logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut account = Self::default();
        let mut calls: HashMap<&str, Call> = HashMap::new();
        for text in logs.into_iter().flat_map(str::lines) {
            let Some(line) = Line::read(text) else {
                account.dropped += dropped(text);
                continue;
            };
            if line.says == "log lines were dropped" {
                account.dropped += dropped(text);
            }
            if let Some(id) = line.field("id") {
                calls.entry(id).or_default().add(&line);
            }
        }
        account.count(calls.values());
        account
    }

    fn count<'a>(&mut self, calls: impl Iterator<Item = &'a Call> + Clone) {
        let first = calls.clone().filter_map(|call| call.at).min();
        let first = first.unwrap_or(Duration::ZERO);
        for call in calls {
            let end = call.end();
            let route = call
                .route
                .clone()
                .unwrap_or_else(|| "(no route)".to_owned());
            *self
                .routes
                .entry(route)
                .or_default()
                .entry(end)
                .or_default() += 1;
            let second = call.at.map_or(0, |at| (at - first).as_secs());
            *self
                .seconds
                .entry(second)
                .or_default()
                .entry(end)
                .or_default() += 1;
            for step in &call.steps {
                let forecast = if step.reads {
                    &mut self.reads
                } else {
                    &mut self.begins
                };
                forecast.count += 1;
                forecast.expected += step.expected;
                forecast.took += step.took;
                forecast.off += (step.expected - step.took).abs();
            }
        }
    }
}

fn dropped(text: &str) -> u64 {
    let (_, count) = text.rsplit_once("count=").unwrap_or_default();
    if text.contains("log lines were dropped") {
        count.trim().parse().unwrap_or_default()
    } else {
        0
    }
}
