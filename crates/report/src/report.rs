//! Burn rates, their alarms and the budget left.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counters::{Counters, Tiers};
use crate::{Counts, Entry, Epoch, Objective, html, text};

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// Time over which the budget is counted.
const PERIOD: u64 = 30 * 24 * HOUR;

/// Burn rate of the fast pair: 2 % of a 30-day budget within an hour.
const FAST: f64 = 14.4;
/// Burn rate of the slow pair: 5 % of a 30-day budget within six hours.
const SLOW: f64 = 6.0;

/// Largest part of the possible burn rate at which the fast pair alarms. An objective of 0.9
/// can't burn faster than 10, so that 14.4 would never alarm however bad it gets.
const REACHABLE: f64 = 0.75;

/// Bad outcomes in the long window below which no pair alarms: one failure at night among two
/// requests is a burn rate of hundreds, and no news.
const LEAST_BAD: u64 = 5;

/// How fast a pair of windows reacts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Speed {
    /// Five minutes and an hour: someone has to act now.
    Fast,
    /// Thirty minutes and six hours: someone has to act today.
    Slow,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Speed at which the budget is used; 1 uses it up exactly within the period.
    pub burn: f64,
    /// What was counted.
    pub counts: Counts,
}

/// Two windows that alarm together: the long one shows that it matters, the short one that it
/// still goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Pair {
    /// Which pair.
    pub speed: Speed,
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// Burn rate from which both alarm.
    pub threshold: f64,
    /// Whether the pair alarms.
    pub alarm: bool,
}

/// One point of the plot.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Point {
    /// Start of ten minutes.
    pub start: Epoch,
    /// Burn rate over them.
    pub burn: f64,
}

/// One catalogue entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Line {
    /// Name of the catalogue entry.
    pub entry: Entry,
    /// Share that should be good.
    pub objective: f64,
    /// Counts over the period, as far as processes that run have them.
    pub counts: Counts,
    /// Part of the budget that is left, 1 being all; negative if it is overspent.
    pub left: f64,
    /// Fast and slow pair.
    pub pairs: Vec<Pair>,
    /// Burn rate over the last six hours.
    pub points: Vec<Point>,
}

/// Burn of all catalogue entries, alarms first, then by the budget left.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// When it was made.
    pub at: Epoch,
    /// Number of processes whose counters are in it.
    pub sources: usize,
    /// Processes that did not answer: what they counted is missing.
    pub missing: Vec<String>,
    /// One line a catalogue entry.
    pub lines: Vec<Line>,
}

impl Report {
    /// Reports on all entries with an objective from merged counters.
    pub fn new(now: Epoch, counters: &Counters, objectives: &BTreeMap<Entry, Objective>) -> Self {
        let mut lines: Vec<Line> = objectives
            .iter()
            .map(|(entry, objective)| line(now, entry, *objective, counters.get(entry)))
            .collect();
        lines.sort_by(|a, b| {
            let alarmed = b.alarms().cmp(&a.alarms());
            alarmed.then(a.left.total_cmp(&b.left))
        });
        Self {
            at: now,
            sources: 1,
            missing: Vec::new(),
            lines,
        }
    }

    /// As a table for a terminal.
    pub fn text(&self) -> String {
        text::render(self)
    }

    /// As JSON, for programs.
    ///
    /// # Errors
    ///
    /// Only if a figure is not a number that JSON knows, which no line holds.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// As one HTML page that needs nothing else.
    pub fn html(&self) -> String {
        html::render(self)
    }
}

impl Line {
    /// Number of pairs that alarm.
    pub fn alarms(&self) -> usize {
        self.pairs.iter().filter(|pair| pair.alarm).count()
    }
}

fn line(now: Epoch, entry: &str, objective: Objective, tiers: Option<&Tiers>) -> Line {
    let sum = |seconds| tiers.map_or_else(Counts::default, |tiers| tiers.sum(now, seconds));
    let window = |seconds| {
        let counts = sum(seconds);
        Window {
            seconds,
            burn: burn(&counts, objective),
            counts,
        }
    };
    let counts = sum(PERIOD);
    Line {
        entry: entry.to_owned(),
        objective: objective.share(),
        counts,
        left: 1.0 - burn(&counts, objective),
        pairs: vec![
            pair(Speed::Fast, window(5 * MINUTE), window(HOUR), objective),
            pair(
                Speed::Slow,
                window(30 * MINUTE),
                window(6 * HOUR),
                objective,
            ),
        ],
        points: tiers.map_or_else(Vec::new, |tiers| points(now, tiers, objective)),
    }
}

fn pair(speed: Speed, short: Window, long: Window, objective: Objective) -> Pair {
    let threshold = threshold(speed, objective);
    let burning = short.burn >= threshold && long.burn >= threshold;
    Pair {
        speed,
        short,
        long,
        threshold,
        alarm: burning && long.counts.bad() >= LEAST_BAD,
    }
}

fn threshold(speed: Speed, objective: Objective) -> f64 {
    let fast = FAST.min(REACHABLE / objective.budget());
    match speed {
        Speed::Fast => fast,
        Speed::Slow => fast * SLOW / FAST,
    }
}

fn burn(counts: &Counts, objective: Objective) -> f64 {
    match counts.total() {
        0 => 0.0,
        total => counts.bad() as f64 / total as f64 / objective.budget(),
    }
}

/// The bucket that is not full yet would show as a peak after a single failure, so it is left out
/// unless there is no other.
fn points(now: Epoch, tiers: &Tiers, objective: Objective) -> Vec<Point> {
    let width = u64::from(tiers.slow().tier().width);
    let mut buckets: Vec<(Epoch, Counts)> = tiers
        .slow()
        .buckets()
        .filter(|(start, _)| *start + 6 * HOUR > now && *start <= now)
        .collect();
    let unfinished = buckets.last().is_some_and(|(start, _)| start + width > now);
    if unfinished && buckets.len() > 1 {
        buckets.pop();
    }
    let point = |(start, counts): (Epoch, Counts)| Point {
        start,
        burn: burn(&counts, objective),
    };
    buckets.into_iter().map(point).collect()
}
