//! Folding with gaps and snapshots.

use platform::{Chunk, LogEntry};
use wire::Message as _;
use wire::record::record::Body;
use wire::record::{Author, Change, Edit, Record, RulesRaise, ScopeClaim, Snapshot};

use super::Replica;
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

/// An edit that drains an upstream.
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

/// Reads `records`, the first at offset `from`, from a log that retains offsets from `first`.
fn read(replica: &mut Replica, first: Offset, from: Offset, records: &[Record]) {
    let entries = (from..).zip(records).map(|(offset, record)| LogEntry {
        offset,
        data: record.encode_to_vec().into(),
    });
    let records: Vec<LogEntry> = entries.collect();
    let next = from + records.len() as Offset;
    replica.push(Chunk {
        first,
        next,
        records,
    });
    while replica.step().is_some() {}
}

/// A log of three records, a replica that has folded them, and its snapshot.
fn log() -> (Vec<Record>, Replica, Snapshot) {
    let records = vec![edit(0, "e-1"), claim(), edit(1, "e-2")];
    let mut replica = Replica::default();
    read(&mut replica, 1, 1, &records);
    let snapshot = replica.snapshot().expect("all is folded");
    (records, replica, snapshot)
}

fn snapshot_record(snapshot: &Snapshot) -> Record {
    record(Body::Snapshot(snapshot.clone()))
}

// The log no longer has its first records. If an entry folded the rest, it would serve a catalogue
// that never existed.
#[test]
fn records_after_a_gap_are_not_folded() {
    let mut replica = Replica::default();
    read(&mut replica, 4, 4, &[edit(0, "e-3")]);
    assert!(replica.has_gap() && !replica.is_up_to_date());
    assert_eq!(replica.folded(), 0);
    assert_eq!(replica.catalogue().revision(), 0);
}

#[test]
fn a_snapshot_covers_a_gap() {
    let (_, mut early, snapshot) = log();
    let later = [edit(3, "e-3"), snapshot_record(&snapshot), edit(4, "e-4")];
    read(&mut early, 1, 4, &later);
    let mut late = Replica::default();
    read(&mut late, 4, 4, &later);
    assert!(late.is_up_to_date());
    assert_eq!(late.snapshot(), early.snapshot());
    assert_eq!(
        late.authority().current_claim("llm").map(|held| held.fence),
        Some(2)
    );
}

// Records between an old snapshot and the retained ones are missing. If the snapshot were adopted,
// two entries could have different catalogues of the same revision.
#[test]
fn a_snapshot_that_leaves_a_gap_is_not_adopted() {
    let (_, _, snapshot) = log();
    let mut late = Replica::default();
    read(
        &mut late,
        5,
        5,
        &[snapshot_record(&snapshot), edit(3, "e-4")],
    );
    assert!(late.has_gap());
    assert_eq!(late.folded(), 0);
}

// An entry falls behind the retention, or queries a peer that is behind. If it adopted any snapshot
// that it gets, its catalogue could return to an older revision.
#[test]
fn an_older_snapshot_is_not_adopted() {
    let (records, _, older) = log();
    let mut replica = Replica::default();
    read(&mut replica, 1, 1, &records);
    read(&mut replica, 1, 4, &[edit(3, "e-3")]);
    replica.offer_snapshot(Box::new(older.clone()));
    assert!(replica.step().is_none());
    // After a long pause the log starts at 9, with a snapshot that is older than the own state.
    replica.discard_before(9, 10);
    read(&mut replica, 9, 9, &[snapshot_record(&older)]);
    assert_eq!(replica.catalogue().revision(), 4);
    assert!(replica.has_gap(), "what came between is missing");
}

// The rules are raised beyond the software of an entry, a scope changes its holder, and a peer
// offers an earlier state. If the offset of the frozen catalogue counted as the folded one, the
// authority would return to the former holder.
#[test]
fn authority_does_not_move_back_while_the_catalogue_is_frozen() {
    let (records, _, older) = log();
    let mut replica = Replica::default();
    let raise = record(Body::RulesRaise(RulesRaise { rules: 99 }));
    read(&mut replica, 1, 1, &[records[0].clone(), raise, claim()]);
    assert!(replica.catalogue().frozen().is_some());
    replica.offer_snapshot(Box::new(older));
    assert!(replica.step().is_none());
    assert_eq!(
        replica
            .authority()
            .current_claim("llm")
            .map(|held| held.fence),
        Some(3)
    );
}

#[test]
fn an_entry_behind_the_retention_continues_from_a_newer_snapshot() {
    let (records, _, _) = log();
    let mut replica = Replica::default();
    read(&mut replica, 1, 1, &records[..1]);
    let (_, mut other, _) = log();
    read(&mut other, 1, 4, &[edit(3, "e-3")]);
    let newer = other.snapshot().expect("all is folded");
    replica.discard_before(5, 6);
    read(&mut replica, 5, 5, &[snapshot_record(&newer)]);
    assert!(replica.is_up_to_date());
    assert_eq!(replica.catalogue().revision(), 4);
}

#[test]
fn a_damaged_snapshot_is_not_adopted() {
    let (_, _, mut snapshot) = log();
    snapshot.revision += 1;
    let mut late = Replica::default();
    read(&mut late, 4, 4, &[snapshot_record(&snapshot)]);
    assert_eq!(late.folded(), 0);
}

#[test]
fn snapshots_of_other_entries_are_compared_with_the_own_state() {
    let (_, mut replica, snapshot) = log();
    read(&mut replica, 1, 4, &[snapshot_record(&snapshot)]);
    assert_eq!(
        (replica.comparisons().same, replica.comparisons().different),
        (1, 0)
    );
    let mut wrong = replica.snapshot().expect("all is folded");
    wrong.scopes.clear();
    catalogue::seal(&mut wrong);
    read(&mut replica, 1, 5, &[snapshot_record(&wrong)]);
    assert_eq!(
        (replica.comparisons().same, replica.comparisons().different),
        (1, 1)
    );
}
