//! Metrics of a process, and the reload of its settings.

mod harness;

use harness::{Gateway, wait_until};
use platform_standin::engine::Behaviour;

#[actix_rt::test]
async fn calls_are_counted_by_how_they_ended() {
    let (gateway, app, pool) = Gateway::start().await;
    gateway.call("/once/a", "a", &[]).await;
    gateway.generate("/stream/a", "b").await;
    app.set_behaviour(Behaviour::Full);
    pool.set_behaviour(Behaviour::CutAfter(2));
    gateway.call("/once/a", "c", &[]).await;
    gateway.generate("/stream/a", "d").await;
    let page = gateway.metrics_page().await;
    for line in [
        r#"tarragon_plain_calls_total{end="served"} 1"#,
        r#"tarragon_plain_calls_total{end="refused"} 1"#,
        r#"tarragon_streams_total{end="served"} 1"#,
        r#"tarragon_streams_total{end="cut"} 1"#,
        "tarragon_first_event_seconds_count 1",
        "tarragon_configuration_version 1",
        "tarragon_engines 2",
        "tarragon_calls_in_hand 0",
    ] {
        assert!(page.lines().any(|found| found == line), "{line} in\n{page}");
    }
    assert!(page.ends_with("# EOF\n"));
}

/// The settings file changes and no signal is sent. When only the signal was waited for, instances
/// kept limits that operators had revoked.
#[actix_rt::test]
async fn a_changed_settings_file_is_reloaded_without_a_signal() {
    let (gateway, _app, _pool) = Gateway::start().await;
    let path = gateway.settings.path();
    let text = std::fs::read_to_string(path).unwrap();
    let before = gateway.count_log_lines("settings reloaded");
    std::fs::write(path, text.replace("grace_s = 8", "grace_s = 12.5")).unwrap();
    wait_until(async || gateway.count_log_lines("settings reloaded") > before).await;
}
