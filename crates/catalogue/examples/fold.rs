//! Measures the time and memory of folding the catalogue, for `docs/CAPACITY.md`:
//! `cargo run --release -p catalogue --example fold [OWNERS] [ENTRIES] [EDITS]`.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::{Applied, Rules, State, Verdict, digest, seal};
use wire::Message;
use wire::record::record::Body;
use wire::record::{Change, Edit, Record};

const MODELS: u64 = 22;
const POOLS: u64 = 21;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1).map(|word| word.parse::<u64>());
    let owners = arguments.next().transpose()?.unwrap_or(960);
    let entries = arguments.next().transpose()?.unwrap_or(2_000);
    let edits = arguments.next().transpose()?.unwrap_or(10_000);

    let before = resident_kib()?;
    let mut state = State::default();
    let filled = fill(&mut state, owners, entries)?;
    println!("filled {} entities in {filled:?}", state.view().len());
    println!("resident after filling: +{} KiB", resident_kib()? - before);

    let records: Vec<Record> = (0..edits)
        .map(|number| update(number, entries, &state))
        .collect();
    let bytes: usize = records.iter().map(Message::encoded_len).sum();
    let start = Instant::now();
    let mut accepted = 0_u64;
    for (offset, record) in (state.folded() + 1..).zip(&records) {
        if matches!(
            state.apply(offset, record),
            Applied::Edit(Verdict::Accepted { .. })
        ) {
            accepted += 1;
        }
    }
    report("fold", start.elapsed(), edits);
    println!(
        "accepted {accepted} of {edits}, {} bytes a record",
        bytes as u64 / edits
    );

    let start = Instant::now();
    let copy = state.clone();
    println!("clone of the state: {:?}", start.elapsed());
    drop(copy);
    measure_snapshot(&state)?;
    measure_lookups(&state, owners);
    Ok(())
}

fn fill(state: &mut State, owners: u64, entries: u64) -> Result<Duration, Box<dyn Error>> {
    let mut changes: Vec<Change> = Vec::new();
    for number in 0..POOLS {
        changes.push(change(
            "pool",
            format!("engines-{number}"),
            r#"{"kind": "engine"}"#.to_owned(),
        ));
    }
    for number in 0..MODELS {
        let pool = number % POOLS;
        let json = format!(r#"{{"versions": ["1"], "pools": ["engines-{pool}"]}}"#);
        changes.push(change("model", format!("model-{number}"), json));
    }
    for number in 0..owners {
        changes.push(owner(number));
    }
    for number in 0..entries {
        changes.push(entry(number, number % owners, 20));
    }
    let start = Instant::now();
    for (offset, change) in (1..).zip(changes) {
        let record = edit(offset - 1, vec![change]);
        match state.apply(offset, &record) {
            Applied::Edit(Verdict::Accepted { .. }) => {}
            other => return Err(format!("refused while filling: {other:?}").into()),
        }
    }
    Ok(start.elapsed())
}

fn owner(number: u64) -> Change {
    let hex: String = digest(&format!("key-{number}"))
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let json = format!(
        r#"{{"keys": ["{hex}"], "limits": {{"requests_per_second": 30, "concurrent": 200}}}}"#
    );
    change("owner", format!("organisation-{number}"), json)
}

fn entry(number: u64, owner: u64, deadline: u64) -> Change {
    let (model, pool) = (number % MODELS, (number % MODELS) % POOLS);
    let json = format!(
        r#"{{"owner": "organisation-{owner}", "class": "interactive", "pool": "engines-{pool}",
        "model": "model-{model}", "version": "1", "limits": {{"concurrent": 100}},
        "contract": {{"objective": 0.95, "first_token": "480ms", "between_tokens": "52ms",
        "deadline": "{deadline}s"}}, "repeatable": true, "max_body": 1048576}}"#
    );
    change("entry", format!("entry-{number}"), json)
}

fn update(number: u64, entries: u64, state: &State) -> Record {
    let target = number * 7 % entries;
    let owner = target % state.view().names(catalogue::Kind::Owner).count() as u64;
    // Each base revision is newer than every earlier update of the same entry.
    let base = state.folded() + number;
    edit(base, vec![entry(target, owner, 21 + number % 9)])
}

fn change(kind: &str, name: String, json: String) -> Change {
    Change {
        kind: kind.to_owned(),
        name,
        json,
    }
}

fn edit(base: u64, changes: Vec<Change>) -> Record {
    Record {
        body: Some(Body::Edit(Edit {
            base_revision: base,
            operator: "operator".to_owned(),
            note: "measurement".to_owned(),
            changes,
        })),
        ..Record::default()
    }
}

fn measure_snapshot(state: &State) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut snapshot = state.snapshot().ok_or("frozen")?;
    seal(&mut snapshot);
    println!(
        "snapshot of {} bytes in {:?}",
        snapshot.encoded_len(),
        start.elapsed()
    );
    let start = Instant::now();
    let restored = State::restore(Arc::new(Rules::default()), &snapshot)?;
    println!("restored in {:?}", start.elapsed());
    if restored.view() == state.view() {
        Ok(())
    } else {
        Err("the restored state differs".into())
    }
}

fn measure_lookups(state: &State, owners: u64) {
    const LOOKUPS: u64 = 100_000;
    let keys: Vec<String> = (0..owners).map(|number| format!("key-{number}")).collect();
    let start = Instant::now();
    let mut found = 0_u64;
    for number in 0..LOOKUPS {
        let key = &keys[(number % owners) as usize];
        let owner = state.view().owner_of_key(key);
        let entry = owner.and_then(|owner| state.view().entry_for_model(&owner.name, "model-0"));
        found += u64::from(entry.is_some());
    }
    report("key and model looked up", start.elapsed(), LOOKUPS);
    println!("found {found}");
}

fn report(what: &str, elapsed: Duration, count: u64) {
    let each = elapsed.as_nanos() as f64 / count as f64 / 1_000.0;
    println!("{what}: {count} in {elapsed:?}, {each:.2} us each");
}

/// Resident memory of the process in KiB.
fn resident_kib() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .ok_or("no VmRSS")?;
    let words = line.split_whitespace().nth(1).ok_or("no figure")?;
    Ok(words.parse()?)
}
