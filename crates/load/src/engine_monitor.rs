//! Samples the engines during a run: how often their roles change, and how evenly open requests are
//! distributed over them.

use std::collections::BTreeMap;
use std::time::Duration;

use awc::Client;
use serde::{Deserialize, Serialize};

/// Time between samples. A role change takes an engine out of service for longer, even with scaled
/// time, so none is missed.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// An engine that does not answer in time is left out of a sample.
const STATE_TIMEOUT: Duration = Duration::from_millis(100);

/// The part of an engine's state that is sampled.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct State {
    /// Its role.
    pub role: String,
    /// Requests open on it.
    pub open: u64,
}

/// Statistics of the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineStats {
    /// Role changes of all engines.
    pub role_changes: u64,
    /// Number of samples.
    pub looks: u64,
    /// Mean number of open requests on an engine.
    pub mean_open: f64,
    /// Standard deviation of the open requests over the engines, averaged over the samples.
    pub spread_open: f64,
}

/// Collects samples.
#[derive(Clone, Debug, Default)]
pub struct EngineMonitor {
    roles: BTreeMap<usize, String>,
    stats: EngineStats,
}

impl EngineMonitor {
    /// Records one sample: the states of the engines that answered, by index.
    pub fn record_sample(&mut self, states: &[(usize, State)]) {
        for (engine, state) in states {
            let before = self.roles.insert(*engine, state.role.clone());
            let changed = before.is_some_and(|role| role != state.role);
            self.stats.role_changes += u64::from(changed);
        }
        if states.is_empty() {
            return;
        }
        let count = states.len() as f64;
        let open = || states.iter().map(|(_, state)| state.open as f64);
        let mean = open().sum::<f64>() / count;
        let variance = open().map(|open| (open - mean).powi(2)).sum::<f64>() / count;
        self.stats.looks += 1;
        let weight = 1.0 / self.stats.looks as f64;
        self.stats.mean_open += (mean - self.stats.mean_open) * weight;
        self.stats.spread_open += (variance.sqrt() - self.stats.spread_open) * weight;
    }

    /// Statistics of the samples so far.
    pub fn stats(&self) -> EngineStats {
        self.stats
    }
}

/// Takes one sample: the states of the engines that answer, by index.
pub async fn sample_engines(client: &Client, engines: &[String]) -> Vec<(usize, State)> {
    let mut states = Vec::with_capacity(engines.len());
    for (number, engine) in engines.iter().enumerate() {
        if let Some(state) = read_state(client, engine).await {
            states.push((number, state));
        }
    }
    states
}

async fn read_state(client: &Client, engine: &str) -> Option<State> {
    let url = format!("{}/engine/state", engine.trim_end_matches('/'));
    let mut answer = client.get(url).timeout(STATE_TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}
