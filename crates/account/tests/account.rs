//! Summaries of logs.

use account::call::Outcome;
use account::tally::Account;
use account::{plot, text};

/// A log line at the given second of a fixed minute.
fn line(second: f64, text: &str) -> String {
    format!("[2026-07-13T01:15:{second:06.3}Z INFO  gateway::generate] {text}\n")
}

fn log() -> String {
    [
        line(1.0, "sent id=a engine=e expected_ms=40 unread=900 rank=0"),
        line(
            1.05,
            "engine began id=a engine=e step=read ms=50 expected_ms=40 unread=900",
        ),
        line(
            1.06,
            "streamed id=a route=long ms=60 first_ms=60 target_ms=200 gap_ms=0 most_gap_ms=150 events=1 beside_ms=0",
        ),
        line(
            2.0,
            "engine began id=b engine=e step=read ms=900 expected_ms=400 unread=900",
        ),
        line(
            2.1,
            "streamed id=b route=long ms=960 first_ms=960 target_ms=200 gap_ms=0 most_gap_ms=150 events=1",
        ),
        line(
            2.2,
            "streamed id=c route=chat ms=960 first_ms=20 target_ms=200 gap_ms=170 most_gap_ms=150 events=9 beside_ms=300",
        ),
        line(
            2.3,
            "streamed id=d route=chat ms=960 first_ms=20 target_ms=200 gap_ms=170 most_gap_ms=150 events=9 beside_ms=10",
        ),
        line(
            2.4,
            "refused id=e route=long ms=1 after_ms=30 expected_ms=1900 left_ms=1800 unread=4 rank=4 engine=e why=There is too much work",
        ),
        line(
            2.5,
            "refused id=f route=long ms=1 after_ms=500 expected_ms=0 left_ms=1800 why=No engine takes the call.",
        ),
        line(3.0, "stream broken off id=g route=chat ms=9000 why=out of time"),
        line(3.1, "stream broken off id=h route=chat ms=900 why=the engine failed"),
        line(3.2, "sent id=i engine=e expected_ms=40"),
        line(3.3, "answered id=j route=plain ms=30 status=200"),
        line(3.4, "failed, may have run id=k route=plain ms=30 why=The engine's answer was lost."),
        line(3.5, "out of time id=l route=plain ms=900"),
    ]
    .concat()
}

fn account<'a>(logs: impl IntoIterator<Item = &'a str>) -> Account {
    let account = Account::new(logs.into_iter().map(str::as_bytes));
    account.expect("text can be read")
}

#[test]
fn calls_are_counted_by_outcome() {
    let log = log();
    let account = account([log.as_str()]);
    let count =
        |route: &str, outcome: Outcome| account.routes[route].get(&outcome).copied().unwrap_or(0);
    assert_eq!(count("long", Outcome::OnTime), 1);
    assert_eq!(count("long", Outcome::LatePrefill), 1);
    assert_eq!(count("long", Outcome::RefusedForecast), 1);
    assert_eq!(count("long", Outcome::RefusedOther), 1);
    assert_eq!(count("chat", Outcome::PausedByPrefill), 1);
    assert_eq!(count("chat", Outcome::PausedOther), 1);
    assert_eq!(count("chat", Outcome::Abandoned), 1);
    assert_eq!(count("chat", Outcome::Failed), 1);
    assert_eq!(count("plain", Outcome::OnTime), 1);
    assert_eq!(count("plain", Outcome::Failed), 1);
    assert_eq!(count("plain", Outcome::Abandoned), 1);
    assert_eq!(count("(no route)", Outcome::Unknown), 1);
    let seconds: Vec<u32> = account
        .seconds
        .values()
        .map(|counts| counts.values().sum())
        .collect();
    assert_eq!(seconds, [1, 5, 6]);
}

#[test]
fn forecasts_are_compared_with_actual_times() {
    let log = log();
    let prefill = account([log.as_str()]).prefill;
    assert_eq!(
        (
            prefill.count,
            prefill.expected_ms,
            prefill.actual_ms,
            prefill.error_ms
        ),
        (2, 440.0, 950.0, 510.0)
    );
}

/// Calls had an unknown outcome although their instances ran, because the summary did not report
/// dropped lines.
#[test]
fn dropped_lines_are_reported() {
    let log = [
        log().as_str(),
        "log lines were dropped count=7\n",
        &line(4.0, "log lines were dropped line=9 count=5"),
    ]
    .concat();
    let account = account([log.as_str()]);
    assert_eq!(account.dropped_lines, 12);
    assert!(text::tables(&account).contains("12 lines were dropped"));
}

#[test]
fn text_that_is_not_a_log_gives_an_empty_account() {
    let account = account([
        "",
        "nothing\n[x] y=1\n[2026-07-13T99 I a] b c=1",
        "\u{0}] [ = ",
    ]);
    assert!(account.routes.is_empty());
    assert!(text::tables(&account).starts_with("route"));
}

#[test]
fn plot_is_written_as_svg() {
    let log = log();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("a.svg");
    plot::draw(&account([log.as_str()]), &file).unwrap();
    let svg = std::fs::read_to_string(file).unwrap();
    assert!(svg.contains("late: beside"));
}

#[test]
fn calls_are_counted_by_data_centre_and_by_link() {
    let started = |name: &str, link: u32| {
        line(
            0.5,
            &format!("started instance={name} incarnation=1 link_mbps={link}"),
        )
    };
    let answered = |id: &str| {
        line(
            1.0,
            &format!("answered id={id} route=plain ms=30 status=200"),
        )
    };
    let first = started("front-ate-1", 200) + &answered("a") + &answered("b");
    let both = [started("front-ate-12", 20), answered("c")];
    let second = both
        .map(|line| format!("  1.5 front-ate-12 {line}"))
        .concat();
    let third = started("front-surco-3", 20) + &answered("d");
    let third = third
        + &line(
            1.1,
            "answered at once id=x status=404 after_ms=0 why=No route matches.",
        );
    let account = account([first.as_str(), &second, &third]);
    let count = |table: &std::collections::BTreeMap<String, account::tally::OutcomeCounts>| {
        let counts = table
            .iter()
            .map(|(key, counts)| (key.clone(), counts.values().sum()));
        counts.collect::<Vec<(String, u32)>>()
    };
    assert_eq!(
        count(&account.data_centres),
        [("front-ate".to_owned(), 3), ("front-surco".to_owned(), 1)]
    );
    assert_eq!(
        count(&account.links),
        [("20".to_owned(), 2), ("200".to_owned(), 2)]
    );
}

/// Log of one instance with some calls on time and some failed.
fn instance_log(name: &str, on_time: u32, failed: u32) -> String {
    let mut log = line(0.5, &format!("started instance={name} link_mbps=20"));
    for call in 0..on_time + failed {
        let status = if call < on_time { 200 } else { 500 };
        let text = format!("answered id={name}-{call} route=plain ms=30 status={status}");
        log.push_str(&line(1.0, &text));
    }
    log
}

#[test]
fn slowest_tenth_of_instances_is_listed() {
    let names: Vec<String> = (0..20).map(|number| format!("front-a-{number}")).collect();
    let logs = names.iter().zip(0..);
    let logs: Vec<String> = logs
        .map(|(name, failed)| instance_log(name, 40 - failed, failed))
        .collect();
    let account = account(logs.iter().map(String::as_str));
    assert_eq!(account.instances.len(), 20);
    let slowest: Vec<&str> = account.slowest().iter().map(|(name, _)| *name).collect();
    assert_eq!(slowest, ["front-a-19", "front-a-18"]);
    assert!(text::tables(&account).contains("front-a-19"));
}

/// Calls whose instance was killed stayed in memory until all logs were read, those of hundreds of
/// instances at once.
#[test]
fn calls_without_an_end_are_counted_at_the_end_of_their_log() {
    let killed = line(1.0, "sent id=a engine=e")
        + &line(
            1.1,
            "an engine ended with the call in hand id=b engine=e ended=1",
        );
    let account = account([killed.as_str(), &log()]);
    assert_eq!(account.instances["(no instance)"].values().sum::<u32>(), 13);
    assert_eq!(account.routes["(no route)"][&Outcome::Unknown], 2);
}
