//! What counts as load of a service's engines.

mod common;

use common::{fleet, id, ms, service};
use serving::Stage;
use serving::scaling::demand::Load;

/// Guards against twice the number of engines for prompts that are spread over many: the time until
/// the first answer has come was counted as reading.
#[test]
fn the_time_until_an_answer_arrives_is_no_load() {
    let names: Vec<String> = (0..40).map(|n| format!("e{n}")).collect();
    let stages = names.iter().map(|name| (name.as_str(), Stage::Decode));
    let mut fleet = fleet(&stages.collect::<Vec<_>>());
    let mut load = Load::default();
    let (work, setup, reading) = (1_820, ms(80), ms(70));
    for round in 0..40 {
        let at = ms(300 * round);
        let calls: Vec<_> = names
            .iter()
            .map(|name| fleet.begin_call(&id(name), work, 1, at))
            .collect();
        for call in &calls {
            fleet.prompt_read(call, at + reading + setup);
            fleet.end_call(call, None, at + reading + setup);
        }
        load.observe(&fleet, &service(), at + ms(299));
    }
    let need = load.need(ms(12_000)).expect("there was traffic");
    // Forty engines read for 70 of 300 ms.
    assert!((9.0..=10.1).contains(&need.busy), "{need:?}");
    assert!((13.0..=15.0).contains(&need.engines), "{need:?}");
}
