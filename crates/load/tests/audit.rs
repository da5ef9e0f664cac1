//! Comparison of the executed calls with what callers were told.

use load::audit::{Audit, AuditedCall, Executions};
use load::verdict::Verdict;

fn entry(digest: &str, verdict: Verdict, never_ran: bool, repeatable: bool) -> AuditedCall {
    AuditedCall {
        class: "a".to_owned(),
        digest: digest.to_owned(),
        repeatable,
        verdict,
        never_ran,
    }
}

#[test]
fn each_kind_of_fault_is_counted() {
    let entries = [
        entry("served", Verdict::Served, false, false),
        entry("twice", Verdict::Served, false, false),
        entry("twice-allowed", Verdict::Served, false, true),
        entry("denied", Verdict::Refused, true, false),
        entry("refused", Verdict::Refused, true, false),
        entry("invented", Verdict::Served, false, false),
        entry("ran", Verdict::Unknown, false, false),
        entry("did-not-run", Verdict::Lost, false, false),
        entry("denied-late", Verdict::Refused, false, false),
    ];
    let executions: Executions = [
        ("served", 1),
        ("twice", 2),
        ("twice-allowed", 2),
        ("denied", 1),
        ("ran", 1),
        ("denied-late", 1),
    ]
    .into_iter()
    .map(|(digest, count)| (digest.to_owned(), count))
    .collect();
    let audit = Audit::compare(&entries, &executions);
    assert_eq!(
        audit,
        Audit {
            calls: 9,
            doubled: 1,
            wrongly_not_run: 1,
            never_run: 1,
            uncertain_run: 2,
            uncertain_not_run: 1,
            examples: vec![
                "a twice".to_owned(),
                "a denied".to_owned(),
                "a invented".to_owned(),
            ],
        }
    );
    assert!(!audit.is_clean());
    assert!(Audit::compare(&entries[..1], &executions).is_clean());
}
