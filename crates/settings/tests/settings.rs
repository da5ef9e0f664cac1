//! Settings are either read completely or refused with all findings and their origins.

use std::time::Duration;

use assert_matches::assert_matches;
use settings::{Findings, Origin, Problem, Settings, Source};

const MINIMAL: &str = "\
instance:
  id: entry-1
  data_centre: callao
platform:
  log: 127.0.0.1:9000
";

fn check(text: &str) -> Result<Settings, Findings> {
    Source::from_yaml(text).check()
}

#[test]
fn defaults_apply_to_settings_not_given() {
    let settings = check(MINIMAL).unwrap();
    assert_eq!(settings.instance.id, "entry-1");
    assert_eq!(settings.listen.workers, 1);
    assert_eq!(settings.lease.term, Duration::from_secs(3));
    assert_eq!(settings.limits.body, 8 << 20);
    assert_eq!(settings.platform.instances, settings.platform.log);
    assert!(settings.peer.tls.is_none());
}

#[test]
fn every_default_in_the_table_parses() {
    for row in settings::table::ROWS {
        if let Some(default) = row.default {
            let mut source = Source::from_yaml(MINIMAL);
            source.apply_overrides(&[format!("{}={default}", row.key)]);
            assert_matches!(source.check(), Ok(_), "{}", row.key);
        }
    }
}

#[test]
fn all_findings_are_reported_with_their_origins() {
    let text = "\
instance:
  id: entry-1
lease:
  terms: 3s
  renewal: soon
limits:
  body: 8 MB
platform:
  log: localhost
";
    let findings = check(text).unwrap_err().0;
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "line 4, column 3: lease.terms: unknown setting; did you mean lease.term?",
            "line 5, column 12: lease.renewal: \"soon\" is not a duration with its unit, for example 250ms or 3s",
            "line 7, column 9: limits.body: \"8 MB\" is not a size in bytes, for example 64KiB or 8MiB",
            "line 9, column 8: platform.log: \"localhost\" is not an address, for example 127.0.0.1:8080",
            "not given: instance.data_centre: required",
        ]
    );
}

/// Guards against memory in which the largest body, answer or held answers never fit.
#[test]
fn memory_must_hold_the_largest_of_what_it_is_for() {
    for (key, least) in [
        (
            "limits:\n  body: 10MiB\n  answer: 1MiB\nhold:\n  bytes: 1MiB\n",
            50,
        ),
        (
            "limits:\n  body: 1MiB\n  answer: 10MiB\nhold:\n  bytes: 1MiB\n",
            30,
        ),
        (
            "limits:\n  body: 1MiB\n  answer: 1MiB\nhold:\n  bytes: 10MiB\n",
            40,
        ),
    ] {
        let with_memory = |mebibytes: usize| {
            let memory = format!("limits:\n  memory: {mebibytes}MiB\n");
            check(&format!(
                "{MINIMAL}{}",
                key.replacen("limits:\n", &memory, 1)
            ))
        };
        assert!(with_memory(least).is_ok(), "{key}");
        let findings = with_memory(least - 1).unwrap_err().0;
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        assert!(
            lines.iter().all(|line| line.contains("limits.memory")),
            "{lines:?}"
        );
    }
}

#[test]
fn overrides_replace_the_file_and_the_environment_replaces_both() {
    let mut source = Source::from_yaml(MINIMAL);
    source.apply_overrides(&[
        "listen.workers=4".to_owned(),
        "policy.choice=least".to_owned(),
        "lease.trem=1s".to_owned(),
        "nonsense".to_owned(),
    ]);
    source.apply_environment(|name| (name == "TARRAGON_ADMIN_TOKEN").then(|| "s3cret".to_owned()));
    let findings = source.clone().check().unwrap_err().0;
    assert_eq!(findings.len(), 2);
    assert_eq!(findings[0].origin, Origin::Flag(3));
    assert_matches!(
        findings[0].problem,
        Problem::Unknown {
            nearest: Some("lease.term")
        }
    );

    let mut source = Source::from_yaml(MINIMAL);
    source.apply_overrides(&[
        "listen.workers=4".to_owned(),
        "policy.choice=least".to_owned(),
    ]);
    source.apply_environment(|name| (name == "TARRAGON_ADMIN_TOKEN").then(|| "s3cret".to_owned()));
    let settings = source.check().unwrap();
    assert_eq!(settings.listen.workers, 4);
    assert_eq!(settings.policy["choice"], "least");
    let token = settings.admin.token.clone().unwrap();
    assert_eq!(token.expose(), b"s3cret");
    assert!(!format!("{settings:?}").contains("s3cret"));
}

#[test]
fn contradicting_settings_are_reported() {
    let text = format!("{MINIMAL}lease:\n  term: 1s\n  renewal: 900ms\npeer:\n  key: key.pem\n");
    let findings = check(&text).unwrap_err().0;
    assert_eq!(findings.len(), 2);
    for finding in &findings {
        assert_matches!(finding.problem, Problem::Contradiction(_));
    }
}

#[test]
fn syntax_error_is_reported_with_its_position() {
    let findings = check("instance: [1, 2\nlisten: {").unwrap_err().0;
    assert_matches!(findings[0].problem, Problem::Syntax(_));
    assert_matches!(findings[0].origin, Origin::File { .. });
}

#[test]
fn settings_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        page,
        settings::page::render(),
        "write it with: cargo run -p settings --example page > docs/SETTINGS.md"
    );
}
