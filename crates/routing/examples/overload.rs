//! Overload: twice the capacity for one minute, and the recovery after it.
//!
//! `cargo run --release -p routing --example overload`

mod trial;

use trial::{LONG_PROMPTS, Phase, SHORT_DEADLINES, Setup, Trial};

const PHASES: [Phase; 5] = [
    phase("warm-up", 0.9, 30),
    phase("1 x", 0.9, 60),
    phase("2 x", 1.8, 60),
    phase("after, 5 s", 0.9, 5),
    phase("after", 0.9, 60),
];

const fn phase(name: &'static str, load: f64, seconds: u64) -> Phase {
    Phase {
        name,
        load,
        seconds,
    }
}

fn main() {
    for (name, kinds) in [
        ("long prompts", &LONG_PROMPTS),
        ("short deadlines", &SHORT_DEADLINES),
    ] {
        let mut trial = Trial::new(Setup {
            phases: &PHASES,
            kinds,
            speed_factor: |_, _| 1.0,
            reports: true,
            frames: true,
        });
        trial.run();
        trial.print(name);
    }
}
