//! Measures the fold: time per record, and the sizes of the state and of its part of a snapshot at
//! the target size. Run with `cargo run --release -p authority --example fold`; results are in
//! `docs/design/authority.md`.

use authority::author::Author;
use authority::order::{Model, Order, Role, Verdict};
use authority::state::State;
use authority::{Offset, OrderId};
use std::time::Instant;
use wire::Message;
use wire::record::{self, Record, record::Body};

const RECORDS: u64 = 10_000;
const SCOPES: u64 = 42;
const ENGINES: u64 = 1_400;
const COPIES: u64 = 50;
const ROUNDS: u32 = 20;

fn main() {
    time("renewals", &renewals());
    time("intents and outcomes", &orders(18, RECORDS / 2));
    time("the same at 1,400 engines", &orders(ENGINES, RECORDS / 2));
    memory();
}

fn author() -> Author {
    Author {
        instance: "entry-miraflores-1".to_owned(),
        incarnation: 1_764_000_000_000,
    }
}

fn record(body: Body) -> Record {
    Record {
        nonce: vec![7; 16],
        rules: 1,
        author: Some((&author()).into()),
        body: Some(body),
    }
}

fn scope(number: u64) -> String {
    format!("llm-pool-{}", number % SCOPES)
}

fn claims() -> Vec<Record> {
    let claims = (0..SCOPES).map(|number| {
        record(Body::ScopeClaim(record::ScopeClaim {
            scope: scope(number),
            replaces: 0,
            seen: 0,
        }))
    });
    claims.collect()
}

fn renewals() -> Vec<Record> {
    let mut log = claims();
    log.extend((0..RECORDS).map(|number| {
        record(Body::Renewal(record::Renewal {
            scope: scope(number),
            fence: number % SCOPES + 1,
        }))
    }));
    log
}

/// Valid pairs of intent and outcome, for the engines in turn.
fn orders(engines: u64, pairs: u64) -> Vec<Record> {
    let mut log = claims();
    let mut newest: Vec<OrderId> = vec![0; usize::try_from(engines).unwrap_or(0)];
    for number in 0..pairs {
        let engine = number % engines;
        let fence = engine % SCOPES + 1;
        let order = log.len() as Offset + 1;
        let index = usize::try_from(engine).ok();
        let Some(newest) = index.and_then(|index| newest.get_mut(index)) else {
            continue;
        };
        log.push(record(Body::Intent(record::Intent {
            scope: scope(engine),
            fence,
            upstream: format!("engine-callao-{engine}"),
            order: Some((&action(number / engines)).into()),
            previous: *newest,
        })));
        log.push(record(Body::Outcome(record::Outcome {
            scope: scope(engine),
            fence,
            order,
            verdict: Verdict::Done.to_wire(),
            detail: "read back".to_owned(),
        })));
        *newest = order;
    }
    log
}

fn action(round: u64) -> Order {
    match round % 2 {
        0 => Order::SetRole(Role::Decode),
        _ => Order::LoadModel(Model {
            model: "verdict-70b".to_owned(),
            adapter: "lima".to_owned(),
            version: "2026-11".to_owned(),
        }),
    }
}

fn fold(log: &[Record]) -> State {
    let mut state = State::new();
    for (record, offset) in log.iter().zip(1..) {
        state.apply(offset, record);
    }
    state
}

fn time(name: &str, log: &[Record]) {
    let bytes: Vec<Vec<u8>> = log.iter().map(Record::encode_to_vec).collect();
    let mean = bytes.iter().map(Vec::len).sum::<usize>() / bytes.len();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(fold(log));
    }
    let folded = start.elapsed() / ROUNDS;
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let read = bytes.iter().map(|bytes| Record::decode(&bytes[..]));
        let read: Vec<Record> = read.filter_map(Result::ok).collect();
        std::hint::black_box(fold(&read));
    }
    let decoded = start.elapsed() / ROUNDS;
    println!(
        "{name}: {} records of {mean} bytes, folded in {folded:?}, decoded and folded in {decoded:?}",
        log.len()
    );
}

fn memory() {
    let log = orders(ENGINES, 2 * ENGINES);
    let before = resident();
    let states: Vec<State> = (0..COPIES).map(|_| fold(&log)).collect();
    let each = (resident() - before) / COPIES;
    let mut snapshot = record::Snapshot::default();
    states[0].fill_snapshot(&mut snapshot);
    println!(
        "state of {ENGINES} engines with a role and a model each and {SCOPES} scopes: {} KB; \
         in a snapshot {} KB",
        each / 1024,
        snapshot.encoded_len() / 1024
    );
}

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}
