//! Seeded random schedules of calls, changes and faults. A schedule with a violation is shrunk and
//! printed as a scenario file.

use std::cell::Cell;
use std::fmt::Write as _;

use filetests::{Command, World};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

/// Default number of schedules of each kind, and default seed; `FILETESTS_CASES` and
/// `FILETESTS_SEED` override them.
const CASES: u32 = 256;
const SEED: u64 = 4;

fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a number"))
}

fn entry() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a", "b", "c"])
}

fn engine() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["engine-1", "engine-2", "engine-3"])
}

fn word(words: &'static [&'static str]) -> impl Strategy<Value = &'static str> {
    prop::sample::select(words)
}

/// Faults that all kinds of schedules include.
fn fault() -> impl Strategy<Value = String> {
    prop_oneof![
        entry().prop_map(|a| format!("pause {a}")),
        entry().prop_map(|a| format!("resume {a}")),
        entry().prop_map(|a| format!("kill {a}")),
        entry().prop_map(|a| format!("start {a}")),
        word(&["up", "out"]).prop_map(|state| format!("log {state}")),
        entry().prop_map(|a| format!("cut {a} log")),
        entry().prop_map(|a| format!("heal {a} log")),
        (
            entry(),
            word(&["lost-after", "lost-before", "twice", "held"])
        )
            .prop_map(|(a, outcome)| format!("next {a} fate={outcome}")),
        Just("let-go".to_owned()),
    ]
}

fn time() -> impl Strategy<Value = String> {
    word(&["250ms", "500ms", "1s", "4s"]).prop_map(|span| format!("run for={span}"))
}

fn calls() -> impl Strategy<Value = Vec<String>> {
    let call = (entry(), 0..3_u8, word(&["1s", "3s", "9s"])).prop_map(|(a, key, deadline)| {
        // The policy is fixed for each key, since a key belongs to one entry of the catalogue.
        let policy = if key == 0 { "refuse" } else { "first-attempt" };
        format!("call {a} key=k{key} deadline={deadline} policy={policy} attempt=next")
    });
    let command = prop_oneof![
        3 => call,
        3 => fault(),
        4 => time(),
        1 => word(&["good", "lost", "unreachable"]).prop_map(|answer| format!("service {answer}")),
        1 => (entry(), 1..4_u8).prop_map(|(a, call)| format!("gone {a} call={call}")),
    ];
    prop::collection::vec(command, 10..60)
}

fn changes() -> impl Strategy<Value = Vec<String>> {
    let pair = || (entry(), engine());
    let command = prop_oneof![
        4 => (engine(), word(&["mixed", "prefill", "decode"]))
            .prop_map(|(e, role)| format!("want {e} role={role}")),
        2 => pair().prop_map(|(a, e)| format!("open {e} at={a}")),
        2 => pair().prop_map(|(a, e)| format!("close {e} at={a}")),
        1 => pair().prop_map(|(a, e)| format!("slow from={a} to={e}")),
        1 => pair().prop_map(|(a, e)| format!("slow from={a} to={e} off=1")),
        1 => pair().prop_map(|(a, e)| format!("deaf from={a} to={e}")),
        1 => pair().prop_map(|(a, e)| format!("deaf from={a} to={e} off=1")),
        1 => pair().prop_map(|(a, e)| format!("cut {a} {e}")),
        1 => pair().prop_map(|(a, e)| format!("heal {a} {e}")),
        1 => (entry(), entry()).prop_map(|(a, b)| format!("cut from={a} to={b}")),
        1 => (entry(), entry()).prop_map(|(a, b)| format!("heal from={a} to={b}")),
        1 => entry().prop_map(|a| format!("cut {a} list")),
        1 => entry().prop_map(|a| format!("heal {a} list")),
        1 => entry().prop_map(|a| format!("leave {a}")),
        1 => engine().prop_map(|e| format!("engine {e} restart=1")),
        1 => Just("arrive".to_owned()),
        1 => entry().prop_map(|a| format!("snapshot {a}")),
        1 => Just("forget before=snapshot".to_owned()),
        4 => fault(),
        6 => time(),
        6 => Just("run for=12s".to_owned()),
    ];
    prop::collection::vec(command, 20..120)
}

fn edits() -> impl Strategy<Value = Vec<String>> {
    let pool = word(&["one", "two", "three_3"]);
    let kind = word(&["engine", "service", "neither"]);
    let served = |(entry, pool): (&str, &str)| {
        format!(
            r#"entry {entry} {{"owner": "o", "class": "batch", "pool": "{pool}", "path": "/{entry}",
            "repeatable": true, "contract": {{"objective": 0.9, "deadline": "9s"}}}}"#
        )
        .replace('\n', "")
    };
    let change = prop_oneof![
        4 => (pool, kind).prop_map(|(pool, kind)| format!(r#"pool {pool} {{"kind": "{kind}"}}"#)),
        2 => word(&["one", "two", "three_3"]).prop_map(|pool| format!("remove pool {pool}")),
        1 => Just(r#"owner o {"keys": []}"#.to_owned()),
        1 => Just("remove owner o".to_owned()),
        3 => (word(&["x", "y"]), word(&["one", "two"])).prop_map(served),
        1 => word(&["x", "y"]).prop_map(|entry| format!("remove entry {entry}")),
    ];
    let edit = (
        word(&["ana", "luis"]),
        0..4_u8,
        prop::collection::vec(change, 1..4),
    )
        .prop_map(|(operator, back, changes)| {
            let changes = changes.join("\n");
            format!("edit by={operator} back={back}\n{changes}")
        });
    let command = prop_oneof![
        6 => edit,
        4 => fault(),
        1 => entry().prop_map(|a| format!("start {a} knows=2")),
        5 => time(),
        2 => entry().prop_map(|a| format!("snapshot {a}")),
        1 => Just("forget before=snapshot".to_owned()),
        1 => (entry(), entry()).prop_map(|(a, b)| format!("adopt {a} from={b}")),
    ];
    let raise = prop::option::weighted(0.3, 0..30_usize);
    (prop::collection::vec(command, 10..80), raise).prop_map(|(mut commands, raise)| {
        if let Some(place) = raise {
            commands.insert(place.min(commands.len()), "raise to=2".to_owned());
        }
        commands
    })
}

fn prepend(start: &[&str], commands: &[String]) -> Vec<Command> {
    let start = start.iter().map(|text| (*text).to_owned());
    let all = start.chain(commands.iter().cloned());
    all.map(|text| Command::parse(&text)).collect()
}

/// Formats a schedule and its output as a scenario file.
fn scenario(commands: &[Command]) -> String {
    let mut text =
        "# Promise: (which one shows below)\n# Goes wrong: found by a random schedule.\n"
            .to_owned();
    let mut world = World::new();
    for command in commands {
        let _ = write!(text, "\n{command}\n----\n{}", world.execute(command));
    }
    text
}

/// Runs schedules; returns the number of matches of `pattern` in their output.
fn explore(schedules: impl Strategy<Value = Vec<String>>, start: &[&str], pattern: &str) -> usize {
    let cases = env_number("FILETESTS_CASES").and_then(|cases| cases.try_into().ok());
    let seed = env_number("FILETESTS_SEED").unwrap_or(SEED);
    let mut runner = TestRunner::new(ProptestConfig {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    });
    let matches = Cell::new(0);
    let run = runner.run(&schedules, |schedule| {
        let commands = prepend(start, &schedule);
        let mut world = World::new();
        for command in &commands {
            let output = world.execute(command);
            matches.set(matches.get() + output.matches(pattern).count());
        }
        if world.violations() > 0 {
            return Err(TestCaseError::fail(scenario(&commands)));
        }
        Ok(())
    });
    run.unwrap_or_else(|failure| panic!("{failure}"));
    println!("{} times: {pattern}", matches.get());
    matches.get()
}

#[test]
fn calls_run_at_most_once_and_not_run_is_true() {
    let executed = explore(calls(), &["start a b c", "run for=1s"], "runs, from");
    assert!(
        executed > CASES as usize,
        "only {executed} calls ran: the schedules cover too little"
    );
}

#[test]
fn catalogues_agree_and_never_revert() {
    let initial_edit =
        "edit by=ana base=0\nowner o {\"keys\": []}\npool one {\"kind\": \"service\"}";
    let start = ["start a b", "start c knows=2", initial_edit, "run for=1s"];
    let accepted = explore(edits(), &start, "accepted");
    assert!(
        accepted > CASES as usize,
        "only {accepted} edits were accepted"
    );
}

#[test]
fn engines_run_one_order_at_a_time_and_cut_no_streams() {
    let start = [
        "start a b c",
        "list a b c as=entry",
        "engine engine-1 engine-2",
        "engine engine-3 fences=ignored",
        "run for=2s",
    ];
    let begun = explore(changes(), &start, ": begins order");
    assert!(
        begun > 100,
        "only {begun} orders began: the schedules cover too little"
    );
}
