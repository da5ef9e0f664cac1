//! Prints the encoded size of each record and frame for the counts in docs/CAPACITY.md, from which
//! its bytes per peer, upstream, owner and key are derived: `cargo run -p wire --example sizes`.

use wire::Message;
use wire::gateway;
use wire::peer::{self, frame};
use wire::record::{self, record::Body};

/// An instance id of the length that operators use (`entry-north-012`).
const INSTANCE: &str = "entry-north-012";
/// An upstream id of the length that operators use.
const UPSTREAM: &str = "engine-north-0123";
/// An owner's name of typical length.
const OWNER: &str = "organisation-0123";
/// A scope's name of typical length.
const SCOPE: &str = "llm-pool";
/// A log offset after some months of operation; smaller offsets have a shorter encoding.
const OFFSET: u64 = 1_000_000;
/// Typical size of a catalogue entry as JSON.
const ENTRY_JSON_BYTES: usize = 420;

fn author() -> record::Author {
    record::Author {
        instance: INSTANCE.into(),
        incarnation: 1_796_000_000_000,
    }
}

fn record_size(body: Body) -> usize {
    let record = record::Record {
        nonce: vec![7; 16],
        rules: 1,
        author: Some(author()),
        body: Some(body),
    };
    record.encoded_len()
}

fn frame_size(body: frame::Body) -> usize {
    let frame = peer::Frame {
        from: Some(author()),
        sequence: OFFSET,
        body: Some(body),
    };
    frame.encoded_len()
}

fn edit(changes: usize) -> Body {
    let change = record::Change {
        kind: "entry".into(),
        name: OWNER.into(),
        json: "x".repeat(ENTRY_JSON_BYTES),
    };
    Body::Edit(record::Edit {
        base_revision: OFFSET,
        operator: "operator".into(),
        note: String::new(),
        changes: vec![change; changes],
    })
}

fn snapshot(entities: usize) -> Body {
    let entity = record::Entity {
        kind: "entry".into(),
        name: OWNER.into(),
        json: "x".repeat(ENTRY_JSON_BYTES),
        revision: OFFSET,
        operator: "operator".into(),
        rules: 1,
    };
    Body::Snapshot(record::Snapshot {
        upto: OFFSET,
        rules: 1,
        revision: OFFSET,
        entities: vec![entity; entities],
        scopes: Vec::new(),
        orders: Vec::new(),
        digest: vec![7; 32],
        settled: Vec::new(),
        horizon: 0,
    })
}

fn key_claims(keys: usize) -> Body {
    let claim = record::KeyClaim {
        key: vec![7; 16],
        request: "0123456789abcdef0123456789abcdef".into(),
        fingerprint: vec![7; 16],
    };
    Body::KeyClaims(record::KeyClaims {
        claims: vec![claim; keys],
    })
}

fn key_outcomes(keys: usize) -> Body {
    let outcome = record::KeyOutcome {
        key: vec![7; 16],
        claim: OFFSET,
        end: record::KeyEnd::Answered as i32,
    };
    Body::KeyOutcomes(record::KeyOutcomes {
        outcomes: vec![outcome; keys],
    })
}

fn intent() -> Body {
    Body::Intent(record::Intent {
        scope: SCOPE.into(),
        fence: OFFSET,
        upstream: UPSTREAM.into(),
        order: Some(record::Order {
            kind: Some(record::order::Kind::SetRole(record::SetRole {
                role: record::Role::Decode as i32,
            })),
        }),
        previous: 900_000,
    })
}

fn outcome() -> Body {
    Body::Outcome(record::Outcome {
        scope: SCOPE.into(),
        fence: OFFSET,
        order: 1_000_100,
        verdict: record::Verdict::Done as i32,
        detail: String::new(),
    })
}

fn heartbeat() -> frame::Body {
    frame::Body::Heartbeat(peer::Heartbeat {
        folded: OFFSET,
        revision: OFFSET,
        data_centre: "north-1".into(),
        rules: 1,
        ..Default::default()
    })
}

fn load(upstreams: usize) -> frame::Body {
    let outstanding = peer::Outstanding {
        upstream: UPSTREAM.into(),
        requests: 20,
        prefill_tokens: 20_000,
        decode_tokens: 5_000,
    };
    frame::Body::Load(peer::Load {
        outstanding: vec![outstanding; upstreams],
    })
}

fn shares(owners: usize) -> frame::Body {
    let demand = peer::Demand {
        owner: OWNER.into(),
        requests: 1.5,
        tokens: 1500.0,
        open: 3,
    };
    frame::Body::Shares(peer::Shares {
        demand: vec![demand; owners],
        pools: Vec::new(),
    })
}

fn confirm() -> frame::Body {
    frame::Body::Confirm(peer::Confirm {
        order: OFFSET,
        upstream: UPSTREAM.into(),
        open: 3,
    })
}

fn burn(buckets: usize) -> frame::Body {
    let bucket = peer::Bucket {
        entry: OWNER.into(),
        start: 1_796_000_000,
        good: 10_000,
        bad: 10,
        refused: 5,
        late: 5,
        ..Default::default()
    };
    frame::Body::Burn(peer::Burn {
        buckets: vec![bucket; buckets],
    })
}

/// What gateways tell each other of streams that may be resumed.
fn print_streams() {
    let stream = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for count in [1, 10] {
        let copy = gateway::Frame {
            incarnation: stream(1),
            begun: vec![gateway::StreamBatch {
                service: SCOPE.into(),
                software: "v1.2.3".into(),
                streams: (1..=count).map(stream).collect(),
                lifetimes_ms: (1..=count).map(|_| 13_000).collect(),
            }],
            ..Default::default()
        };
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        print("gateway stream copy", count, copy.encoded_len());
    }
    let received = gateway::Frame {
        incarnation: stream(1),
        begun_received: true,
        ..Default::default()
    };
    print("gateway copy received", 1, received.encoded_len());
    let note = gateway::Frame {
        incarnation: stream(1),
        origins: vec![gateway::StreamOrigin {
            stream: stream(2),
            software: "v1.2.3".into(),
            lifetime_ms: 13_000,
        }],
        ..Default::default()
    };
    print("gateway stream note", 1, note.encoded_len());
    let versions = gateway::ServiceVersions {
        service: SCOPE.into(),
        versions: vec!["v1.2.3".into(), "v1.2.4".into()],
        changed_unix_ms: 1_796_000_000_000,
        era: 1,
    };
    print("record of versions", 1, versions.encoded_len());
}

fn main() {
    let renewal = Body::Renewal(record::Renewal {
        scope: SCOPE.into(),
        fence: OFFSET,
    });
    println!("kind                    count   bytes");
    print("record renewal", 1, record_size(renewal));
    print("record intent", 1, record_size(intent()));
    print("record outcome", 1, record_size(outcome()));
    for count in [1, 10, 100] {
        print("record edit", count, record_size(edit(count)));
        print("record key claims", count, record_size(key_claims(count)));
        print(
            "record key outcomes",
            count,
            record_size(key_outcomes(count)),
        );
    }
    for count in [100, 1_000, 3_000] {
        print("record snapshot", count, record_size(snapshot(count)));
    }
    print("frame heartbeat", 1, frame_size(heartbeat()));
    print("frame confirm", 1, frame_size(confirm()));
    for count in [1, 18, 67] {
        print("frame load", count, frame_size(load(count)));
    }
    for count in [1, 10, 100] {
        print("frame shares", count, frame_size(shares(count)));
        print("frame burn", count, frame_size(burn(count)));
    }
    print_streams();
}

fn print(kind: &str, count: usize, bytes: usize) {
    println!("{kind:<22} {count:>6} {bytes:>7}");
}
