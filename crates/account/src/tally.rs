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
    /// By data centre of the instance: its name without the number at its end.
    pub places: BTreeMap<String, Ends>,
    /// By rate of the instance's link, which tells its kind of machine.
    pub links: BTreeMap<String, Ends>,
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
        let mut links: HashMap<&str, &str> = HashMap::new();
        for log in logs {
            // In a log of one instance its first line names it.
            let mut own = None;
            for text in log.lines() {
                let Some(line) = Line::read(text) else {
                    account.dropped += dropped(text);
                    continue;
                };
                if line.says == "log lines were dropped" {
                    account.dropped += dropped(text);
                }
                own = line.field("instance").or(own);
                let writer = line.writer.or(own);
                if let Some(link) = line.field("link_mbps") {
                    links.insert(writer.unwrap_or_default(), link);
                }
                if let Some(id) = line.field("id").filter(|_| is_call(&line)) {
                    let call = calls.entry(id).or_default();
                    call.add(&line);
                    call.instance = writer.map(str::to_owned);
                }
            }
        }
        account.count(calls.values(), &links);
        account
    }

    fn count<'a>(
        &mut self,
        calls: impl Iterator<Item = &'a Call> + Clone,
        links: &HashMap<&str, &str>,
    ) {
        let first = calls.clone().filter_map(|call| call.at).min();
        let first = first.unwrap_or(Duration::ZERO);
        for call in calls {
            let end = call.end();
            let route = call
                .route
                .clone()
                .unwrap_or_else(|| "(no route)".to_owned());
            note(&mut self.routes, route, end);
            let instance = call.instance.as_deref().unwrap_or("(no instance)");
            let place = instance.trim_end_matches(|c: char| c.is_ascii_digit());
            let place = place.trim_end_matches('-').to_owned();
            note(&mut self.places, place, end);
            let link = links.get(instance).copied().unwrap_or("(no rate)");
            note(&mut self.links, link.to_owned(), end);
            let second = call.at.map_or(0, |at| (at - first).as_secs());
            note(&mut self.seconds, second, end);
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

/// Whether a line is of a call: what no route matches is none.
fn is_call(line: &Line) -> bool {
    line.says != "answered at once" || line.field("status") == Some("503")
}

fn note<K: Ord>(ends: &mut BTreeMap<K, Ends>, key: K, end: End) {
    *ends.entry(key).or_default().entry(end).or_default() += 1;
}

fn dropped(text: &str) -> u64 {
    let (_, count) = text.rsplit_once("count=").unwrap_or_default();
    if text.contains("log lines were dropped") {
        count.trim().parse().unwrap_or_default()
    } else {
        0
    }
}
