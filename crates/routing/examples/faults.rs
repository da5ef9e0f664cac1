//! Faults at a load of 0.7: slow and silent engines, engines that pause, and reports and frames
//! that are lost.
//!
//! `cargo run --release -p routing --example faults`

mod trial;

use clock::Moment;
use trial::{LONG_PROMPTS, Phase, SHORT_DEADLINES, Setup, Trial};

const PHASES: [Phase; 2] = [
    Phase {
        name: "warm-up",
        load: 0.7,
        seconds: 10,
    },
    Phase {
        name: "fault",
        load: 0.7,
        seconds: 90,
    },
];

const HEALTHY: Setup = Setup {
    phases: &PHASES,
    kinds: &LONG_PROMPTS,
    speed_factor: |_, _| 1.0,
    reports: true,
    frames: true,
};

/// Engine 0 at a fifth of its speed.
fn slow(engine: usize, now: Moment) -> f64 {
    if engine == 0 && now.as_secs() >= 10 {
        0.2
    } else {
        1.0
    }
}

/// Engine 0 accepts requests and never answers.
fn silent(engine: usize, now: Moment) -> f64 {
    if engine == 0 && now.as_secs() >= 10 {
        0.0
    } else {
        1.0
    }
}

/// Six engines pause for ten seconds.
fn pause(engine: usize, now: Moment) -> f64 {
    if engine < 6 && (30..40).contains(&now.as_secs()) {
        0.0
    } else {
        1.0
    }
}

fn main() {
    let setups = [
        ("no fault", HEALTHY),
        (
            "one engine of 18 at a fifth of its speed",
            Setup {
                speed_factor: slow,
                ..HEALTHY
            },
        ),
        (
            "one engine of 18 accepts and never answers",
            Setup {
                speed_factor: silent,
                ..HEALTHY
            },
        ),
        (
            "six engines of 18 pause for 10 s",
            Setup {
                speed_factor: pause,
                ..HEALTHY
            },
        ),
        (
            "no fault, short deadlines",
            Setup {
                kinds: &SHORT_DEADLINES,
                ..HEALTHY
            },
        ),
        (
            "one engine of 18 at a fifth of its speed, short deadlines",
            Setup {
                kinds: &SHORT_DEADLINES,
                speed_factor: slow,
                ..HEALTHY
            },
        ),
        (
            "no reports",
            Setup {
                reports: false,
                ..HEALTHY
            },
        ),
        (
            "no frames of peers",
            Setup {
                frames: false,
                ..HEALTHY
            },
        ),
        (
            "neither reports nor frames",
            Setup {
                reports: false,
                frames: false,
                ..HEALTHY
            },
        ),
    ];
    for (name, setup) in setups {
        let mut trial = Trial::new(setup);
        trial.run();
        trial.print(name);
    }
}
