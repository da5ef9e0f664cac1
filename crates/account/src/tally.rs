//! Counts of calls, by route and by second.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};
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
    /// By instance.
    pub instances: BTreeMap<String, Ends>,
    /// By second of the day.
    pub seconds: BTreeMap<u64, Ends>,
    /// Of prompts read for another engine.
    pub reads: Forecast,
    /// Of engines that generate, up to their first event.
    pub begins: Forecast,
    /// Lines that the logs say were dropped.
    pub dropped: u64,
}

/// Time after a call's first line from which no other is waited for. Callers wait for some seconds; without this, calls whose instance ended
/// would stay in memory to the end of a log of all instances.
const OVER: Duration = Duration::from_secs(120);
/// Lines between two looks for such calls.
const LOOK: usize = 100_000;

/// What is kept while a log is read: calls that have not ended, and what is known of instances.
#[derive(Debug, Default)]
struct Reading {
    calls: HashMap<String, Call>,
    links: HashMap<String, String>,
    /// In a log of one instance its first line names it.
    own: Option<String>,
}

impl Account {
    /// Makes an account of logs.
    ///
    /// # Errors
    ///
    /// If one cannot be read.
    pub fn new<R: BufRead>(logs: impl IntoIterator<Item = R>) -> io::Result<Self> {
        let mut account = Self::default();
        for log in logs {
            account.add(log)?;
        }
        Ok(account)
    }

    /// Takes a log in, of one instance or of several, line by line.
    ///
    /// The logs of hundreds of instances are larger than the memory of whoever reads them; what is kept of one are its calls
    /// that have not ended.
    ///
    /// # Errors
    ///
    /// If it cannot be read.
    pub fn add(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut reading = Reading::default();
        let mut bytes = Vec::new();
        let mut lines = 0;
        while log.read_until(b'\n', &mut bytes)? > 0 {
            // An instance that is killed may leave half a character.
            let text = String::from_utf8_lossy(&bytes);
            let at = self.line(&mut reading, text.trim_end());
            lines += 1;
            if let Some(at) = at.filter(|_| lines % LOOK == 0) {
                self.count_old(&mut reading, at);
            }
            bytes.clear();
        }
        for call in std::mem::take(&mut reading.calls).into_values() {
            self.count(&call, &reading.links);
        }
        Ok(())
    }

    /// Takes a line in. Gives when it was written.
    fn line(&mut self, reading: &mut Reading, text: &str) -> Option<Duration> {
        let Some(line) = Line::read(text) else {
            self.dropped += dropped(text);
            return None;
        };
        if line.says == "log lines were dropped" {
            self.dropped += dropped(text);
        }
        if let Some(own) = line.field("instance") {
            reading.own = Some(own.to_owned());
        }
        let writer = line.writer.or(reading.own.as_deref());
        if let Some(link) = line.field("link_mbps") {
            let writer = writer.unwrap_or_default().to_owned();
            reading.links.insert(writer, link.to_owned());
        }
        let id = line.field("id").filter(|_| is_call(&line));
        let Some(id) = id.filter(|id| ends(&line) || is_known(reading, id, &line)) else {
            return Some(line.at);
        };
        let call = reading.calls.entry(id.to_owned()).or_default();
        call.add(&line);
        if call.instance.is_none() {
            call.instance = writer.map(str::to_owned);
        }
        if call.has_ended()
            && let Some(call) = reading.calls.remove(id)
        {
            self.count(&call, &reading.links);
        }
        Some(line.at)
    }

    fn count_old(&mut self, reading: &mut Reading, now: Duration) {
        let is_old = |call: &Call| call.at.is_some_and(|at| now.saturating_sub(at) > OVER);
        let old = reading.calls.extract_if(|_, call| is_old(call));
        let old: Vec<(String, Call)> = old.collect();
        for (_, call) in old {
            self.count(&call, &reading.links);
        }
    }

    fn count(&mut self, call: &Call, links: &HashMap<String, String>) {
        let end = call.end();
        let route = call
            .route
            .clone()
            .unwrap_or_else(|| "(no route)".to_owned());
        note(&mut self.routes, route, end);
        let instance = call.instance.as_deref().unwrap_or("(no instance)");
        note(&mut self.instances, instance.to_owned(), end);
        let place = instance.trim_end_matches(|c: char| c.is_ascii_digit());
        let place = place.trim_end_matches('-').to_owned();
        note(&mut self.places, place, end);
        let link = links.get(instance).map_or("(no rate)", String::as_str);
        note(&mut self.links, link.to_owned(), end);
        let second = call.at.map_or(0, |at| at.as_secs());
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

    /// Calls by second after the first one.
    pub fn by_second(&self) -> impl Iterator<Item = (u64, &Ends)> {
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        self.seconds
            .iter()
            .map(move |(second, ends)| (second - first, ends))
    }

    /// The tenth of the instances, one at least, whose calls were on time least often, the worst first.
    pub fn slowest(&self) -> Vec<(&str, &Ends)> {
        let share = |ends: &Ends| {
            let on_time = ends.get(&End::OnTime).copied().unwrap_or_default();
            f64::from(on_time) / f64::from(ends.values().sum::<u32>().max(1))
        };
        let instances = self.instances.iter();
        let mut instances: Vec<(&str, &Ends)> = instances
            .map(|(name, ends)| (name.as_str(), ends))
            .collect();
        instances.sort_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)));
        instances.truncate(self.instances.len().div_ceil(10));
        instances
    }
}

/// Whether a line tells of a call that is under way. What is written of one that has ended, like the end of its engine, begins none.
fn is_known(reading: &Reading, id: &str, line: &Line) -> bool {
    reading.calls.contains_key(id) || matches!(line.says, "sent" | "engine began")
}

/// Whether a line tells the end of a call.
fn ends(line: &Line) -> bool {
    let mut call = Call::default();
    call.add(line);
    call.has_ended()
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
