//! Counts of calls by outcome, per route, instance, data centre, link rate and second.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};
use std::time::Duration;

use crate::call::{Call, Outcome};
use crate::line::Line;

/// Number of calls of each outcome.
pub type OutcomeCounts = BTreeMap<Outcome, u32>;

/// Totals of the forecasts for one kind of step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastTotals {
    /// Number of steps.
    pub count: u32,
    /// Sum of the forecast times.
    pub expected_ms: f64,
    /// Sum of the actual times.
    pub actual_ms: f64,
    /// Sum of the absolute differences.
    pub error_ms: f64,
}

/// Summary of one or several logs.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Calls by route.
    pub routes: BTreeMap<String, OutcomeCounts>,
    /// Calls by data centre of the instance, which is its name without the number at the end.
    pub data_centres: BTreeMap<String, OutcomeCounts>,
    /// Calls by rate of the instance's link, which identifies its kind of machine.
    pub links: BTreeMap<String, OutcomeCounts>,
    /// Calls by instance.
    pub instances: BTreeMap<String, OutcomeCounts>,
    /// Calls by second of the day.
    pub seconds: BTreeMap<u64, OutcomeCounts>,
    /// Forecasts of prefill for another engine.
    pub prefill: ForecastTotals,
    /// Forecasts of the time to the first event from a decode engine.
    pub first_events: ForecastTotals,
    /// Lines that the logs report as dropped.
    pub dropped_lines: u64,
}

/// Time after a call's first line when it is counted without an end. Callers wait for some seconds;
/// without this, calls whose instance exited would stay in memory to the end of a log of all
/// instances.
const CALL_EXPIRY: Duration = Duration::from_secs(120);
/// Number of lines between two checks for expired calls.
const EXPIRY_CHECK_LINES: usize = 100_000;

/// State while a log is read.
#[derive(Debug, Default)]
struct LogState {
    open_calls: HashMap<String, Call>,
    links: HashMap<String, String>,
    /// The instance of a log of one instance, which its first line names.
    log_instance: Option<String>,
}

impl Account {
    /// Summarises logs.
    ///
    /// # Errors
    ///
    /// If a log cannot be read.
    pub fn new<R: BufRead>(logs: impl IntoIterator<Item = R>) -> io::Result<Self> {
        let mut account = Self::default();
        for log in logs {
            account.add_log(log)?;
        }
        Ok(account)
    }

    /// Adds a log of one or several instances.
    ///
    /// The logs of hundreds of instances may exceed memory, so a log is read line by line and only
    /// its calls that have not ended are kept.
    ///
    /// # Errors
    ///
    /// If the log cannot be read.
    pub fn add_log(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut state = LogState::default();
        let mut bytes = Vec::new();
        let mut lines = 0;
        while log.read_until(b'\n', &mut bytes)? > 0 {
            // A killed instance may leave an incomplete UTF-8 sequence.
            let text = String::from_utf8_lossy(&bytes);
            let at = self.add_line(&mut state, text.trim_end());
            lines += 1;
            if let Some(at) = at.filter(|_| lines % EXPIRY_CHECK_LINES == 0) {
                self.count_expired(&mut state, at);
            }
            bytes.clear();
        }
        for call in std::mem::take(&mut state.open_calls).into_values() {
            self.count_call(&call, &state.links);
        }
        Ok(())
    }

    /// Adds a line and returns its time.
    fn add_line(&mut self, state: &mut LogState, text: &str) -> Option<Duration> {
        let Some(line) = Line::parse(text) else {
            self.dropped_lines += dropped_count(text);
            return None;
        };
        if line.message == "log lines were dropped" {
            self.dropped_lines += dropped_count(text);
        }
        if let Some(instance) = line.field("instance") {
            state.log_instance = Some(instance.to_owned());
        }
        let writer = line.writer.or(state.log_instance.as_deref());
        if let Some(link) = line.field("link_mbps") {
            let writer = writer.unwrap_or_default().to_owned();
            state.links.insert(writer, link.to_owned());
        }
        let id = line.field("id").filter(|_| concerns_call(&line));
        let Some(id) = id.filter(|id| ends_call(&line) || belongs_to_open_call(state, id, &line))
        else {
            return Some(line.logged_at);
        };
        let call = state.open_calls.entry(id.to_owned()).or_default();
        call.add_line(&line);
        if call.instance.is_none() {
            call.instance = writer.map(str::to_owned);
        }
        if call.has_ended()
            && let Some(call) = state.open_calls.remove(id)
        {
            self.count_call(&call, &state.links);
        }
        Some(line.logged_at)
    }

    fn count_expired(&mut self, state: &mut LogState, now: Duration) {
        let is_expired = |call: &Call| {
            call.first_logged_at
                .is_some_and(|at| now.saturating_sub(at) > CALL_EXPIRY)
        };
        let expired = state.open_calls.extract_if(|_, call| is_expired(call));
        let expired: Vec<(String, Call)> = expired.collect();
        for (_, call) in expired {
            self.count_call(&call, &state.links);
        }
    }

    fn count_call(&mut self, call: &Call, links: &HashMap<String, String>) {
        let outcome = call.outcome();
        let route = call
            .route
            .clone()
            .unwrap_or_else(|| "(no route)".to_owned());
        increment(&mut self.routes, route, outcome);
        let instance = call.instance.as_deref().unwrap_or("(no instance)");
        increment(&mut self.instances, instance.to_owned(), outcome);
        let data_centre = instance.trim_end_matches(|c: char| c.is_ascii_digit());
        let data_centre = data_centre.trim_end_matches('-').to_owned();
        increment(&mut self.data_centres, data_centre, outcome);
        let link = links.get(instance).map_or("(no rate)", String::as_str);
        increment(&mut self.links, link.to_owned(), outcome);
        let second = call.first_logged_at.map_or(0, |at| at.as_secs());
        increment(&mut self.seconds, second, outcome);
        for step in &call.steps {
            let forecast = if step.is_prefill {
                &mut self.prefill
            } else {
                &mut self.first_events
            };
            forecast.count += 1;
            forecast.expected_ms += step.expected_ms;
            forecast.actual_ms += step.actual_ms;
            forecast.error_ms += (step.expected_ms - step.actual_ms).abs();
        }
    }

    /// Calls by second, counted from the first second with a call.
    pub fn by_second(&self) -> impl Iterator<Item = (u64, &OutcomeCounts)> {
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        self.seconds
            .iter()
            .map(move |(second, counts)| (second - first, counts))
    }

    /// The tenth of the instances, at least one, with the smallest share of calls on time, worst
    /// first.
    pub fn slowest(&self) -> Vec<(&str, &OutcomeCounts)> {
        let share = |counts: &OutcomeCounts| {
            let on_time = counts.get(&Outcome::OnTime).copied().unwrap_or_default();
            f64::from(on_time) / f64::from(counts.values().sum::<u32>().max(1))
        };
        let instances = self.instances.iter();
        let mut instances: Vec<(&str, &OutcomeCounts)> = instances
            .map(|(name, counts)| (name.as_str(), counts))
            .collect();
        instances.sort_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)));
        instances.truncate(self.instances.len().div_ceil(10));
        instances
    }
}

/// Whether a line belongs to a call that has not ended. Lines that follow the end of a call, such
/// as the one for the end of its engine, must not open it again.
fn belongs_to_open_call(state: &LogState, id: &str, line: &Line) -> bool {
    state.open_calls.contains_key(id) || matches!(line.message, "sent" | "engine began")
}

/// Whether a line ends a call.
fn ends_call(line: &Line) -> bool {
    let mut call = Call::default();
    call.add_line(line);
    call.has_ended()
}

/// Whether a line concerns a call; a request that matches no route does not count as one.
fn concerns_call(line: &Line) -> bool {
    line.message != "answered at once" || line.field("status") == Some("503")
}

fn increment<K: Ord>(counts: &mut BTreeMap<K, OutcomeCounts>, key: K, outcome: Outcome) {
    *counts.entry(key).or_default().entry(outcome).or_default() += 1;
}

fn dropped_count(text: &str) -> u64 {
    let (_, count) = text.rsplit_once("count=").unwrap_or_default();
    if text.contains("log lines were dropped") {
        count.trim().parse().unwrap_or_default()
    } else {
        0
    }
}
