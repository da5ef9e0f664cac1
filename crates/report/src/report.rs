//! Burn rates, alarms and the remaining error budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counters::{Counters, Tiers};
use crate::{Counts, Entry, Epoch, Objective, html, text};

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// Period that the error budget covers, in seconds.
const BUDGET_PERIOD: u64 = 30 * 24 * HOUR;

/// Alarm threshold of the fast pair: 2 % of a 30-day budget within an hour.
const FAST_THRESHOLD: f64 = 14.4;
/// Alarm threshold of the slow pair: 5 % of a 30-day budget within six hours.
const SLOW_THRESHOLD: f64 = 6.0;

/// Upper bound of the fast threshold as a share of the highest possible burn rate. With an
/// objective of 0.9 the burn rate can't exceed 10, so a threshold of 14.4 would never alarm.
const MAX_SHARE_OF_HIGHEST_BURN: f64 = 0.75;

/// Bad outcomes in the long window below which no pair alarms: on an idle entry, one failure among
/// two requests is a burn rate of hundreds but needs no action.
const MIN_BAD_OUTCOMES: u64 = 5;

/// How fast a pair of windows reacts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Speed {
    /// Five minutes and one hour: an operator has to act now.
    Fast,
    /// Thirty minutes and six hours: an operator has to act today.
    Slow,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Rate at which the budget is consumed; 1 exhausts it exactly within the period.
    pub burn: f64,
    /// Outcomes within the window.
    pub counts: Counts,
}

/// Two windows that must both exceed the threshold to alarm: the long one shows that the burn is
/// significant, the short one that it continues.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Pair {
    /// Which of the two pairs.
    pub speed: Speed,
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// Burn rate that both windows have to reach for an alarm.
    pub threshold: f64,
    /// Whether the pair alarms.
    pub alarm: bool,
}

/// One point of the plot.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Point {
    /// Start of the ten-minute bucket.
    pub start: Epoch,
    /// Burn rate within the bucket.
    pub burn: f64,
}

/// Burn of one catalogue entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Line {
    /// Name of the catalogue entry.
    pub entry: Entry,
    /// Target share of good outcomes.
    pub objective: f64,
    /// Outcomes over the budget period, as far as running processes have counted them.
    pub counts: Counts,
    /// Remaining share of the budget, from 1 for all of it; negative if overspent.
    pub left: f64,
    /// The fast and the slow pair.
    pub pairs: Vec<Pair>,
    /// Burn rates of the last six hours, one per ten-minute bucket.
    pub points: Vec<Point>,
}

/// Burn of all catalogue entries, ordered by number of alarms, then by remaining budget.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Time of the report.
    pub at: Epoch,
    /// Number of processes whose counters are included.
    pub sources: usize,
    /// Processes that did not answer, so that their counters are not included.
    pub missing: Vec<String>,
    /// One line per catalogue entry.
    pub lines: Vec<Line>,
}

impl Report {
    /// Computes the report on all entries with an objective from merged counters.
    pub fn new(now: Epoch, counters: &Counters, objectives: &BTreeMap<Entry, Objective>) -> Self {
        let mut lines: Vec<Line> = objectives
            .iter()
            .map(|(entry, objective)| line(now, entry, *objective, counters.get(entry)))
            .collect();
        lines.sort_by(|a, b| {
            let by_alarms = b.alarms().cmp(&a.alarms());
            by_alarms.then(a.left.total_cmp(&b.left))
        });
        Self {
            at: now,
            sources: 1,
            missing: Vec::new(),
            lines,
        }
    }

    /// Renders the report as a table for a terminal.
    pub fn text(&self) -> String {
        text::render(self)
    }

    /// Renders the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the report can't be serialized, which its types rule out.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Renders the report as a self-contained HTML page.
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
    let counts = sum(BUDGET_PERIOD);
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
        alarm: burning && long.counts.bad() >= MIN_BAD_OUTCOMES,
    }
}

fn threshold(speed: Speed, objective: Objective) -> f64 {
    let fast = FAST_THRESHOLD.min(MAX_SHARE_OF_HIGHEST_BURN / objective.budget());
    match speed {
        Speed::Fast => fast,
        Speed::Slow => fast * SLOW_THRESHOLD / FAST_THRESHOLD,
    }
}

fn burn(counts: &Counts, objective: Objective) -> f64 {
    match counts.total() {
        0 => 0.0,
        total => counts.bad() as f64 / total as f64 / objective.budget(),
    }
}

/// Points of the last six hours. The current bucket is left out unless it is the only one: while it
/// has few outcomes, a single failure would show as a peak.
fn points(now: Epoch, tiers: &Tiers, objective: Objective) -> Vec<Point> {
    let width = u64::from(tiers.ten_minutes().tier().width);
    let mut buckets: Vec<(Epoch, Counts)> = tiers
        .ten_minutes()
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
