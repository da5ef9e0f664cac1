//! Replays of engines that end, with a part of prompts to blame or not, at instances that tell each
//! other what they see.

mod replay;

use replay::{Case, Outcome, Replay, Source};
use serving::fingerprint::Fingerprint;

/// Requests with a fatal part that may reach engines once all instances know it.
const MAX_LATER_REQUESTS: usize = 3;
/// What the prompts of some calls share, in order.
const FIRST: Fingerprint = 1;
const FATAL: Fingerprint = 2;
const OTHER_FATAL: Fingerprint = 3;
const THIRD: Fingerprint = 4;
const OTHER_FIRST: Fingerprint = 5;
const RARE: Fingerprint = 6;

/// Calls with the fatal part.
fn fatal(per_second: f64) -> Source {
    Source {
        per_second,
        from: 2_000,
        parts: vec![FIRST, FATAL],
        ..Source::default()
    }
}

/// Sound calls of the same first part, each in one of many sessions.
fn sound() -> Source {
    Source {
        parts: vec![FIRST, 0],
        sessions: 200,
        ..Source::default()
    }
}

/// Seeds of each case.
const SEEDS: u64 = 3;

/// Replays a case whose first source has fatal parts, and whose second has none.
fn check_fatal(name: &str, case: &Case) {
    for seed in 1..=SEEDS {
        let outcome = Replay::new(case, seed).run();
        let Outcome {
            counts,
            crashes,
            wrongly_held,
            messages,
        } = &outcome;
        println!(
            "{name} seed {seed}: {} engines ended, {counts:?}, wrongly held {wrongly_held:?}, {messages} messages",
            crashes.len()
        );
        assert!(
            counts[0].reached_later <= MAX_LATER_REQUESTS,
            "{name} seed {seed}: {counts:?}"
        );
        assert!(crashes.len() >= 3, "{name} seed {seed}: no engine ended");
        let sound = counts[1];
        assert!(
            sound.refused_later * 10 <= sound.sent_later,
            "{name} seed {seed}: {sound:?}, {wrongly_held:?}"
        );
    }
}

/// Guards against fatal parts that go on to crash engines because of where they stand in prompts, how
/// often and where they come, or what happens beside them.
#[test]
fn fatal_parts_are_held_and_sound_calls_are_not() {
    let base = Case {
        sources: vec![fatal(20.0), sound()],
        fatal_parts: vec![FATAL],
        ..Case::default()
    };
    let with_first = |source: Source| Case {
        sources: vec![source, sound()],
        ..base.clone()
    };
    let cases = [
        ("middle part, 20 a second", base.clone()),
        ("middle part, 1 a second", with_first(fatal(1.0))),
        ("middle part, one in 5 s", with_first(fatal(0.2))),
        (
            "last but one of four parts",
            with_first(Source {
                parts: vec![FIRST, THIRD, FATAL],
                ..fatal(20.0)
            }),
        ),
        (
            "first part; the sound calls have another",
            Case {
                sources: vec![
                    Source {
                        parts: vec![FATAL, 0],
                        sessions: 50,
                        ..fatal(20.0)
                    },
                    Source {
                        parts: vec![OTHER_FIRST, 0],
                        sessions: 200,
                        ..sound()
                    },
                ],
                ..base.clone()
            },
        ),
        (
            "at one instance",
            with_first(Source {
                at_one_instance: true,
                ..fatal(20.0)
            }),
        ),
        (
            "two fatal parts",
            Case {
                sources: vec![
                    fatal(10.0),
                    sound(),
                    Source {
                        parts: vec![FIRST, OTHER_FATAL],
                        ..fatal(10.0)
                    },
                ],
                fatal_parts: vec![FATAL, OTHER_FATAL],
                ..base.clone()
            },
        ),
        (
            "beside a fatal call",
            Case {
                sources: vec![
                    fatal(5.0),
                    sound(),
                    Source {
                        parts: vec![FIRST, RARE],
                        is_one_call: true,
                        is_fatal: true,
                        ..fatal(2.0)
                    },
                ],
                ..base.clone()
            },
        ),
        (
            "beside engines that end together",
            Case {
                together: vec![(3_000, 4), (9_000, 5), (20_000, 6)],
                ..base.clone()
            },
        ),
        (
            "beside ends of other causes",
            Case {
                crash_interval: 1_200,
                ..base.clone()
            },
        ),
        (
            "engines back after 6 s",
            Case {
                restart_time: 6_000,
                ..base.clone()
            },
        ),
        (
            "a fifth of the messages lost",
            Case {
                lost: 20,
                ..base.clone()
            },
        ),
        (
            "the store away",
            Case {
                store: false,
                ..base.clone()
            },
        ),
        (
            "all instances killed",
            Case {
                killed_at: Some(8_000),
                ..base.clone()
            },
        ),
        (
            "forty instances",
            Case {
                instances: 40,
                engines: 60,
                ..base.clone()
            },
        ),
        (
            "beside one call that all callers send",
            Case {
                sources: vec![
                    fatal(20.0),
                    Source {
                        per_second: 40.0,
                        is_one_call: true,
                        ..sound()
                    },
                ],
                engines: 4,
                restart_time: 300,
                ..base.clone()
            },
        ),
        (
            "984 instances",
            Case {
                sources: vec![
                    fatal(20.0),
                    Source {
                        per_second: 300.0,
                        ..sound()
                    },
                ],
                instances: 984,
                engines: 200,
                duration: 12_000,
                ..base.clone()
            },
        ),
    ];
    for (name, case) in cases {
        check_fatal(name, &case);
    }
}

/// Refused calls allowed of a thousand where no part is to blame.
const MAX_REFUSED_PER_THOUSAND: usize = 2;

/// Guards against holding parts that were about to run as engines ended for reasons of their own.
#[test]
fn parts_without_blame_are_rarely_held() {
    let rare = Source {
        per_second: 0.1,
        parts: vec![FIRST, RARE],
        ..Source::default()
    };
    // Its first calls are in progress when engines end together.
    let new = Source {
        per_second: 200.0,
        from: 9_950,
        parts: vec![FIRST, THIRD],
        ..Source::default()
    };
    let ordinary = Case {
        sources: vec![
            Source {
                per_second: 40.0,
                ..sound()
            },
            rare.clone(),
        ],
        ..Case::default()
    };
    let cases = [
        (
            "an end each 1.2 s for ten minutes",
            Case {
                crash_interval: 1_200,
                duration: 600_000,
                ..ordinary.clone()
            },
        ),
        (
            "a new part as five engines end together",
            Case {
                sources: vec![sound(), rare.clone(), new],
                together: vec![(10_000, 5)],
                ..ordinary.clone()
            },
        ),
        (
            "all engines end together, twice",
            Case {
                together: vec![(10_000, 12), (20_000, 12)],
                ..ordinary.clone()
            },
        ),
        (
            "a third of the engines ends each second",
            Case {
                together: (5..30).map(|second| (second * 1_000, 4)).collect(),
                ..ordinary.clone()
            },
        ),
    ];
    for (name, case) in cases {
        for seed in 1..=SEEDS {
            let outcome = Replay::new(&case, seed).run();
            let Outcome {
                counts,
                wrongly_held,
                messages,
                ..
            } = &outcome;
            println!(
                "{name} seed {seed}: {counts:?}, wrongly held {wrongly_held:?}, {messages} messages"
            );
            let sent: usize = counts.iter().map(|count| count.sent).sum();
            let refused: usize = counts.iter().map(|count| count.refused).sum();
            assert!(
                refused * 1_000 <= sent * MAX_REFUSED_PER_THOUSAND,
                "{name} seed {seed}: {counts:?}, {wrongly_held:?}"
            );
        }
    }
}
