//! Helpers that build lists, frames and times.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::time::Duration;

use fleet::list::{Instance, Kind, Listing, Mark, View};
use wire::peer::{Confirm, Echo, Frame, Heartbeat, frame::Body};
use wire::record::Author;

pub fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn instance(id: &str, kind: Kind, mark: Mark) -> Instance {
    Instance {
        id: id.to_owned(),
        kind,
        pool: match kind {
            Kind::Entry => String::new(),
            _ => "pool".to_owned(),
        },
        data_centre: "callao".to_owned(),
        address: format!("{id}:9000"),
        mark,
    }
}

pub fn listing(version: u64, kind: Kind, ids: &[&str]) -> Listing {
    let line = |id: &&str| instance(id, kind, Mark::Live);
    Listing {
        version,
        instances: ids.iter().map(line).collect(),
    }
}

pub fn view(kind: Kind, ids: &[&str]) -> View {
    let mut view = View::default();
    view.read(s(0), listing(1, kind, ids));
    view
}

pub fn frame(id: &str, incarnation: u64, sequence: u64, body: Body) -> Frame {
    Frame {
        from: Some(Author {
            instance: id.to_owned(),
            incarnation,
        }),
        sequence,
        body: Some(body),
    }
}

pub fn heartbeat(id: &str, incarnation: u64, sequence: u64) -> Frame {
    let heartbeat = Heartbeat {
        sent_ms: sequence,
        ..Heartbeat::default()
    };
    frame(id, incarnation, sequence, Body::Heartbeat(heartbeat))
}

/// A heartbeat that echoes the one sent at `sent` by this process, whose incarnation is `of`.
pub fn echo(id: &str, sequence: u64, of: u64, sent: Duration) -> Frame {
    let heartbeat = Heartbeat {
        sent_ms: sequence,
        echo: Some(Echo {
            incarnation: of,
            sent_ms: u64::try_from(sent.as_millis()).unwrap_or(u64::MAX),
        }),
        ..Heartbeat::default()
    };
    frame(id, 1, sequence, Body::Heartbeat(heartbeat))
}

pub fn confirm(id: &str, incarnation: u64, sequence: u64, order: u64, open: u32) -> Frame {
    let confirm = Confirm {
        order,
        upstream: "engine-1".to_owned(),
        open,
    };
    frame(id, incarnation, sequence, Body::Confirm(confirm))
}
