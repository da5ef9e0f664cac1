//! Engines and calls shared by several tests.
#![allow(dead_code, missing_docs)]

pub(crate) mod deployment;

use std::rc::Rc;
use std::time::Duration;

use serving::engine::Record;
use serving::parts::Part;
use serving::place::{Demand, Generation};
use serving::route::Model;
use serving::{EngineId, Fleet, ServiceName, Stage, State, Zone};

pub(crate) const MODEL: Model = Model {
    kv_capacity_tokens: 400_000,
    kv_bytes_per_token: 35_000,
    link_mbps: 300_000.0,
    handle_ttl: Duration::from_secs(5),
    backups: true,
};

pub(crate) fn service() -> ServiceName {
    Rc::from("pool")
}

pub(crate) fn zone() -> Zone {
    Rc::from("miraflores")
}

pub(crate) fn record(id: &str, stage: Option<Stage>) -> Record {
    Record {
        id: Rc::from(id),
        name: Rc::from(id),
        started_ms: None,
        service: service(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone(),
        slots: 64,
        state: State::Ready,
        stage,
        weights: Some(1),
        software: Some(Rc::from("v1")),
        reclaimable: false,
        notice: None,
    }
}

pub(crate) fn fleet(engines: &[(&str, Stage)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (id, stage) in engines {
        fleet.put(record(id, Some(*stage)));
    }
    fleet
}

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn id(id: &str) -> EngineId {
    Rc::from(id)
}

/// The largest number of these sorted times within one window.
pub(crate) fn max_within_window(at: &[Duration], window: Duration) -> usize {
    let windows = at.iter().enumerate().map(|(first, from)| {
        let within = at[first..].iter().take_while(|at| **at < *from + window);
        within.count()
    });
    windows.max().unwrap_or(0)
}

/// A prompt, from ids and token counts.
pub(crate) fn prompt(parts: &[(u32, u32)]) -> Vec<Part> {
    let parts = parts.iter();
    parts.map(|&(id, tokens)| Part { id, tokens }).collect()
}

pub(crate) fn generation<'a>(prompt: &'a [Part]) -> Generation<'a> {
    Generation {
        model: &MODEL,
        prompt,
        tokens: prompt.iter().map(|part| part.tokens).sum(),
    }
}

/// A call of rank 1 with a latency target of 600 ms and four seconds left.
pub(crate) fn demand<'a>(
    service: &'a ServiceName,
    zone: &'a Zone,
    generation: Option<Generation<'a>>,
) -> Demand<'a> {
    Demand {
        service,
        generation,
        connections: 360,
        priority: 1,
        latency_target: ms(600),
        zone,
        may_split: true,
        send_time: Duration::ZERO,
        excluded: &[],
        connected: &[],
        time_left: ms(4_000),
        isolated: false,
        reserved: None,
        software: None,
        organisation: None,
    }
}
