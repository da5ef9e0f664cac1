//! The fold over gaps and snapshots.

use platform::{Chunk, LogEntry};
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Author, Change, Edit, Record, RulesRaise, ScopeClaim, Snapshot};

use super::Ledger;
use crate::Offset;

fn record(body: Body) -> Record {
    Record {
        nonce: vec![7; 16],
        rules: 1,
        author: Some(Author {
            instance: "entry-0".to_owned(),
            incarnation: 1,
        }),
        body: Some(body),
    }
}

/// An edit that drains an upstream, based on the revision before.
fn edit(base_revision: Offset, upstream: &str) -> Record {
    record(Body::Edit(Edit {
        base_revision,
        operator: "ana".to_owned(),
        note: String::new(),
        changes: vec![Change {
            kind: "drain".to_owned(),
            name: upstream.to_owned(),
            json: r#"{"reason":"trial"}"#.to_owned(),
        }],
    }))
}

fn claim() -> Record {
    record(Body::ScopeClaim(ScopeClaim {
        scope: "llm".to_owned(),
        replaces: 0,
        seen: 0,
    }))
}

/// Reads `records` from the offset `from` on, of a log that retains `first` and later ones.
fn read(ledger: &mut Ledger, first: Offset, from: Offset, records: &[Record]) {
    let entries = (from..).zip(records).map(|(offset, record)| LogEntry {
        offset,
        data: record.encode_to_vec().into(),
    });
    let records: Vec<LogEntry> = entries.collect();
    let next = from + records.len() as Offset;
    ledger.push(Chunk {
        first,
        next,
        records,
    });
    while ledger.step().is_some() {}
}

/// A log of three records, and what a process that read them all writes as a snapshot.
fn log() -> (Vec<Record>, Ledger, Snapshot) {
    let records = vec![edit(0, "e-1"), claim(), edit(1, "e-2")];
    let mut ledger = Ledger::default();
    read(&mut ledger, 1, 1, &records);
    let snapshot = ledger.snapshot().expect("all is folded");
    (records, ledger, snapshot)
}

fn snapshot_record(snapshot: &Snapshot) -> Record {
    record(Body::Snapshot(snapshot.clone()))
}

// Symptom: an entry that starts late serves a catalogue that never was.
// Sequence: the log no longer has its first records.
// Cause: a fold that begins in the middle.
#[test]
fn nothing_is_folded_behind_a_gap() {
    let mut ledger = Ledger::default();
    read(&mut ledger, 4, 4, &[edit(0, "e-3")]);
    assert!(ledger.has_gap() && !ledger.is_whole());
    assert_eq!(ledger.folded(), 0);
    assert_eq!(ledger.catalogue().revision(), 0);
}

#[test]
fn a_snapshot_covers_the_gap() {
    let (_, mut early, snapshot) = log();
    let later = [edit(3, "e-3"), snapshot_record(&snapshot), edit(4, "e-4")];
    read(&mut early, 1, 4, &later);
    let mut late = Ledger::default();
    read(&mut late, 4, 4, &later);
    assert!(late.is_whole());
    assert_eq!(late.snapshot(), early.snapshot());
    assert_eq!(
        late.authority().current_claim("llm").map(|held| held.fence),
        Some(2)
    );
}

// Symptom: two entries with one revision and two catalogues.
// Sequence: a snapshot that was written early is met late, and records between are gone.
// Cause: a snapshot that is taken although it leaves a gap.
#[test]
fn a_snapshot_that_leaves_a_gap_is_not_taken() {
    let (_, _, snapshot) = log();
    let mut late = Ledger::default();
    read(
        &mut late,
        5,
        5,
        &[snapshot_record(&snapshot), edit(3, "e-4")],
    );
    assert!(late.has_gap());
    assert_eq!(late.folded(), 0);
}

// Symptom: the catalogue of an entry goes back to an older revision.
// Sequence: an entry falls behind retention, or asks a peer that is behind.
// Cause: a restart from whatever snapshot there is.
#[test]
fn the_state_never_goes_back() {
    let (records, _, older) = log();
    let mut ledger = Ledger::default();
    read(&mut ledger, 1, 1, &records);
    read(&mut ledger, 1, 4, &[edit(3, "e-3")]);
    ledger.offer(Box::new(older.clone()));
    assert!(ledger.step().is_none());
    // After a long pause the log begins at 9, with a snapshot that is older than the own state.
    ledger.forget(9, 10);
    read(&mut ledger, 9, 9, &[snapshot_record(&older)]);
    assert_eq!(ledger.catalogue().revision(), 4);
    assert!(ledger.has_gap(), "what came between is missing");
}

// Symptom: two processes hold one scope as an entry with old software sees it.
// Sequence: the rules are raised beyond its software, a scope changes hands, and a peer offers a
// state from before.
// Cause: the stop of the catalogue taken for the end of what was folded.
#[test]
fn authority_does_not_go_back_where_the_catalogue_is_frozen() {
    let (records, _, older) = log();
    let mut ledger = Ledger::default();
    let raise = record(Body::RulesRaise(RulesRaise { rules: 99 }));
    read(&mut ledger, 1, 1, &[records[0].clone(), raise, claim()]);
    assert!(ledger.catalogue().frozen().is_some());
    ledger.offer(Box::new(older));
    assert!(ledger.step().is_none());
    assert_eq!(
        ledger
            .authority()
            .current_claim("llm")
            .map(|held| held.fence),
        Some(3)
    );
}

#[test]
fn an_entry_that_fell_behind_goes_on_from_a_newer_snapshot() {
    let (records, _, _) = log();
    let mut ledger = Ledger::default();
    read(&mut ledger, 1, 1, &records[..1]);
    let (_, mut other, _) = log();
    read(&mut other, 1, 4, &[edit(3, "e-3")]);
    let newer = other.snapshot().expect("all is folded");
    ledger.forget(5, 6);
    read(&mut ledger, 5, 5, &[snapshot_record(&newer)]);
    assert!(ledger.is_whole());
    assert_eq!(ledger.catalogue().revision(), 4);
}

#[test]
fn a_damaged_snapshot_is_not_taken() {
    let (_, _, mut snapshot) = log();
    snapshot.revision += 1;
    let mut late = Ledger::default();
    read(&mut late, 4, 4, &[snapshot_record(&snapshot)]);
    assert_eq!(late.folded(), 0);
}

#[test]
fn snapshots_of_others_are_compared() {
    let (_, mut ledger, snapshot) = log();
    read(&mut ledger, 1, 4, &[snapshot_record(&snapshot)]);
    assert_eq!(
        (ledger.compared().same, ledger.compared().different),
        (1, 0)
    );
    let mut wrong = ledger.snapshot().expect("all is folded");
    wrong.scopes.clear();
    catalogue::seal(&mut wrong);
    read(&mut ledger, 1, 5, &[snapshot_record(&wrong)]);
    assert_eq!(
        (ledger.compared().same, ledger.compared().different),
        (1, 1)
    );
}
