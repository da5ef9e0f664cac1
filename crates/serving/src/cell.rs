//! Which engines and instances work together.
//!
//! Instances tell each other of every call that they place, so that none sends to an engine that
//! another has just given a long prompt. Among all instances of a large fleet this costs each of
//! them more with every other one, until it takes the link and the processor from the calls
//! themselves. One notices it by answers that are late at small instances only. So in a large fleet
//! the instances and engines of one data centre work together, and an engine elsewhere is used only
//! for calls that would be refused. Then what an instance sends and takes in does not grow with the
//! fleet.

use std::collections::BTreeMap;

use crate::{Fleet, Stage, Zone};

/// Engines of each stage that a data centre needs to work by itself: so many that one that is lost or
/// has a long prompt leaves a choice.
const PREFILL: usize = 3;
/// As above.
const DECODE: usize = 6;
/// Instances at which telling all of each other costs too much.
const INSTANCES: usize = 120;

/// Whether the instances and engines of a data centre work by themselves, given how many instances
/// there are in all data centres together.
pub fn is_own(fleet: &Fleet, zone: &Zone, instances: usize) -> bool {
    if instances < INSTANCES {
        return false;
    }
    let mut prefill: BTreeMap<&str, usize> = BTreeMap::new();
    let mut decode: BTreeMap<&str, usize> = BTreeMap::new();
    for engine in fleet.all().filter(|engine| engine.record.zone == *zone) {
        let service = &*engine.record.service;
        match engine.record.stage {
            Some(Stage::Prefill) => *prefill.entry(service).or_default() += 1,
            Some(Stage::Decode) => *decode.entry(service).or_default() += 1,
            None => {}
        }
    }
    let enough = |service: &str| prefill.get(service).is_some_and(|&n| n >= PREFILL);
    let large: Vec<bool> = decode
        .iter()
        .map(|(service, &n)| n >= DECODE && enough(service))
        .collect();
    !large.is_empty() && large.into_iter().all(|large| large)
}
