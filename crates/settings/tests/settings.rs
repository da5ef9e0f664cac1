//! Settings are read whole or refused with every finding and its place.

use std::time::Duration;

use assert_matches::assert_matches;
use settings::{Findings, Origin, Problem, Settings, Source};

const LEAST: &str = "\
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
fn defaults_fill_what_is_not_given() {
    let settings = check(LEAST).unwrap();
    assert_eq!(settings.instance.id, "entry-1");
    assert_eq!(settings.listen.workers, 1);
    assert_eq!(settings.lease.term, Duration::from_secs(3));
    assert_eq!(settings.limits.body, 8 << 20);
    assert_eq!(settings.platform.instances, settings.platform.log);
    assert!(settings.peer.tls.is_none());
}

#[test]
fn every_default_of_the_table_reads() {
    for row in settings::table::ROWS {
        if let Some(default) = row.default {
            let mut source = Source::from_yaml(LEAST);
            source.apply_overrides(&[format!("{}={default}", row.key)]);
            assert_matches!(source.check(), Ok(_), "{}", row.key);
        }
    }
}

#[test]
fn all_findings_come_together_with_their_places() {
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
    let told: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        told,
        [
            "line 4, column 3: lease.terms: unknown setting; did you mean lease.term?",
            "line 5, column 12: lease.renewal: \"soon\" is not a duration with its unit, for example 250ms or 3s",
            "line 7, column 9: limits.body: \"8 MB\" is not a size in bytes, for example 64KiB or 8MiB",
            "line 9, column 8: platform.log: \"localhost\" is not an address, for example 127.0.0.1:8080",
            "not given: instance.data_centre: required",
        ]
    );
}

#[test]
fn set_goes_over_the_file_and_the_environment_over_both() {
    let mut source = Source::from_yaml(LEAST);
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

    let mut source = Source::from_yaml(LEAST);
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
fn settings_that_contradict_each_other_are_told() {
    let text = format!("{LEAST}lease:\n  term: 1s\n  renewal: 900ms\npeer:\n  key: key.pem\n");
    let findings = check(&text).unwrap_err().0;
    assert_eq!(findings.len(), 2);
    for finding in &findings {
        assert_matches!(finding.problem, Problem::Contradiction(_));
    }
}

#[test]
fn a_broken_file_names_its_line() {
    let findings = check("instance: [1, 2\nlisten: {").unwrap_err().0;
    assert_matches!(findings[0].problem, Problem::Syntax(_));
    assert_matches!(findings[0].origin, Origin::File { .. });
}

#[test]
fn the_page_of_settings_is_fresh() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        page,
        settings::page::render(),
        "write it with: cargo run -p settings --example page > docs/SETTINGS.md"
    );
}
