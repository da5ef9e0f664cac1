//! What an instance that was stopped concludes about calls that crash engines.

use std::time::Duration;

use clock::{Clock as _, Moment};
use serving::fingerprint::Fingerprint;
use serving::quarantine::{Crash, Entry, GoodRun, Quarantine};
use serving::receipt::Inbox;

const CALL: Fingerprint = 7;
const CALLER: u32 = 1;
const BUILD: u32 = 1;

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn crash(engine: u32, at: u64) -> Crash {
    Crash {
        engine,
        build: BUILD,
        at: ms(at),
        call: 0,
    }
}

/// Guards against a trial beside the next instance's: the instance was stopped between its claim and the answer.
#[test]
fn a_trial_whose_claim_was_answered_late_does_not_start() {
    let clock = clock::Manual::new();
    clock.advance(ms(33_000));
    let mut quarantine = Quarantine::default();
    for engine in 1..=3 {
        quarantine.record_crash(CALL, CALLER, crash(engine, u64::from(engine) * 1_000));
    }
    let entry = quarantine.next_trial(CALL, clock.now()).unwrap();
    clock.advance(ms(100));
    assert!(entry.may_start_trial(clock.now()));
    clock.advance(ms(1_000));
    assert!(!entry.may_start_trial(clock.now()));
}

/// Guards against a good run, told while an instance was stopped, that clears a crash from after it.
#[test]
fn a_good_run_that_waited_clears_no_later_crash() {
    let clock = clock::Manual::new();
    clock.advance(ms(900));
    let inbox = Inbox::new(clock.now());
    // The instance is stopped; the run ends at 1.0 s, and the call crashes an engine at 2.0 s.
    clock.advance(ms(2_600));
    let receipt = inbox.receipt(clock.now());
    let ran = Entry {
        crashes: [crash(1, 3_000)].into_iter().collect(),
        good_runs: [GoodRun {
            build: BUILD,
            at: receipt.handled,
        }]
        .into_iter()
        .collect(),
        ..Entry::default()
    };
    let crashed = Entry {
        crashes: [crash(2, 3_500)].into_iter().collect(),
        ..Entry::default()
    };
    for order in [[&ran, &crashed], [&crashed, &ran]] {
        let mut quarantine = Quarantine::default();
        for entry in order {
            quarantine.merge(CALL, &entry.clone().after_wait(receipt.max_wait()));
        }
        // What the run had cleared for its sender stays cleared.
        let standing = quarantine.get(CALL).map(Entry::uncleared_crashes);
        assert_eq!(standing, Some(1));
    }
}

/// Guards against holding a call that an operator has released, since the release and the crash both waited.
#[test]
fn a_release_that_waited_is_corrected_by_its_repeat() {
    let wait = ms(2_600);
    let crashed = Entry {
        crashes: [crash(1, 3_500)].into_iter().collect(),
        ..Entry::default()
    };
    let released = Entry {
        released: Some(ms(3_500)),
        ..Entry::default()
    };
    let repeated = Entry {
        crashes: [crash(1, 1_500)].into_iter().collect(),
        released: Some(ms(1_700)),
        ..Entry::default()
    };
    let mut quarantine = Quarantine::default();
    for entry in [
        crashed.after_wait(wait),
        released.after_wait(wait),
        repeated,
    ] {
        quarantine.merge(CALL, &entry);
    }
    assert_eq!(quarantine.get(CALL).map(Entry::uncleared_crashes), Some(0));
}
