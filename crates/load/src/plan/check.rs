//! The rules of a plan. All are applied, so that its author can fix all findings at once.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Class, Plan, RequestKind, raw};
use crate::finding;
use crate::swing::{Shape, Swing};

/// Limit for a run, so that a forgotten one does not keep a shared machine busy.
const MAX_RUN_TIME: Duration = Duration::from_secs(2 * 60 * 60);

impl TryFrom<raw::Plan> for Plan {
    type Error = finding::Findings;

    fn try_from(mut raw: raw::Plan) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        check_times(&raw, &mut findings);
        check_names(&raw, &mut findings);
        for (index, class) in raw.classes.iter().enumerate() {
            check_class(class, &format!("classes[{index}]"), &mut findings);
        }
        for (index, swing) in raw.swings.iter().enumerate() {
            check_swing(&raw, swing, &format!("swings[{index}]"), &mut findings);
        }
        findings.into_result(move || {
            apply_time_scale(&mut raw);
            build(raw)
        })
    }
}

fn check_times(raw: &raw::Plan, findings: &mut finding::Findings) {
    findings.require(
        is_positive(raw.time_scale),
        "time_scale",
        "must be a number above 0",
    );
    findings.require(!raw.duration.is_zero(), "duration", "must be above 0");
    findings.require(!raw.bucket.is_zero(), "bucket", "must be above 0");
    findings.require(
        raw.duration + raw.grace <= MAX_RUN_TIME,
        "duration",
        "with grace must not be above 2 hours",
    );
    findings.require(raw.max_open > 0, "max_open", "must be above 0");
}

fn check_names(raw: &raw::Plan, findings: &mut finding::Findings) {
    findings.require(
        !raw.classes.is_empty(),
        "classes",
        "must name at least one class",
    );
    let mut seen = BTreeSet::new();
    for (index, class) in raw.classes.iter().enumerate() {
        if !seen.insert(&class.name) {
            findings.add(
                format!("classes[{index}].name"),
                format!("`{}` stands twice", class.name),
            );
        }
    }
}

fn check_class(class: &raw::Class, place: &str, findings: &mut finding::Findings) {
    findings.require(
        class.rate.is_finite() && class.rate >= 0.0,
        format!("{place}.rate"),
        "must be a number from 0 on",
    );
    findings.require(
        class.patience.is_finite() && class.patience >= 1.0,
        format!("{place}.patience"),
        "must be a number from 1 on",
    );
    findings.require(
        !class.contract.deadline.is_zero(),
        format!("{place}.contract.deadline"),
        "must be above 0",
    );
    match (&class.completion, &class.plain) {
        (Some(completion), None) => {
            check_completion(completion, &format!("{place}.completion"), findings);
        }
        (None, Some(plain)) => check_plain(plain, &format!("{place}.plain"), findings),
        _ => findings.add(place, "must have either `completion` or `plain`"),
    }
}

fn check_completion(completion: &raw::Completion, place: &str, findings: &mut finding::Findings) {
    check_size(completion.prompt, &format!("{place}.prompt"), findings);
    check_size(completion.output, &format!("{place}.output"), findings);
    if let Some(prefix) = completion.prefix {
        findings.require(
            prefix.count > 0,
            format!("{place}.prefix.count"),
            "must be above 0",
        );
        findings.require(
            (0.0..=1.0).contains(&prefix.share),
            format!("{place}.prefix.share"),
            "must be from 0 to 1",
        );
    }
}

fn check_size(size: raw::Size, place: &str, findings: &mut finding::Findings) {
    findings.require(
        size.median.is_finite() && size.median >= 1.0,
        format!("{place}.median"),
        "must be a number from 1 on",
    );
    findings.require(
        size.sigma.is_finite() && size.sigma >= 0.0,
        format!("{place}.sigma"),
        "must be a number from 0 on",
    );
    findings.require(
        f64::from(size.max) >= size.median,
        format!("{place}.max"),
        "must not be below the median",
    );
}

fn check_plain(plain: &raw::Plain, place: &str, findings: &mut finding::Findings) {
    findings.require(
        plain.path.starts_with('/'),
        format!("{place}.path"),
        "must start with `/`",
    );
    findings.require(
        !plain.method.is_empty() && plain.method.bytes().all(|byte| byte.is_ascii_uppercase()),
        format!("{place}.method"),
        "must be an HTTP method in capitals",
    );
}

fn check_swing(raw: &raw::Plan, swing: &raw::Swing, place: &str, findings: &mut finding::Findings) {
    for (index, name) in swing.classes.iter().enumerate() {
        if !raw.classes.iter().any(|class| class.name == *name) {
            findings.add(
                format!("{place}.classes[{index}]"),
                format!("no class is called `{name}`"),
            );
        }
    }
    let place = format!("{place}.shape");
    match swing.shape {
        Shape::Step { at, until, factor } => {
            findings.require(
                until.is_none_or(|end| end > at),
                &*place,
                "`until` must be after `at`",
            );
            check_factor(factor, &place, findings);
        }
        Shape::Ramp { from, to, factor } => {
            findings.require(to > from, &*place, "`to` must be after `from`");
            check_factor(factor, &place, findings);
        }
        Shape::Oscillation {
            period, low, high, ..
        } => {
            findings.require(!period.is_zero(), &*place, "`period` must be above 0");
            findings.require(high >= low, &*place, "`high` must not be below `low`");
            check_factor(low, &place, findings);
            check_factor(high, &place, findings);
        }
        Shape::Noise { every, sigma } => {
            findings.require(!every.is_zero(), &*place, "`every` must be above 0");
            check_factor(sigma, &place, findings);
        }
    }
}

fn check_factor(factor: f64, place: &str, findings: &mut finding::Findings) {
    findings.require(
        factor.is_finite() && factor >= 0.0,
        place,
        "factors must be numbers from 0 on",
    );
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn apply_time_scale(raw: &mut raw::Plan) {
    let by = raw.time_scale;
    raw.duration = raw.duration.div_f64(by);
    raw.grace = raw.grace.div_f64(by);
    raw.bucket = raw.bucket.div_f64(by);
    for class in &mut raw.classes {
        class.rate *= by;
        class.attempt_timeout = class.attempt_timeout.map(|time| time.div_f64(by));
        let contract = &mut class.contract;
        contract.deadline = contract.deadline.div_f64(by);
        contract.first_token = contract.first_token.map(|time| time.div_f64(by));
        contract.between_tokens = contract.between_tokens.map(|time| time.div_f64(by));
    }
    for swing in &mut raw.swings {
        swing.shape.scale(by);
    }
}

fn build(raw: raw::Plan) -> Plan {
    let swings = raw.swings;
    let seed = raw.seed;
    Plan {
        seed,
        duration: raw.duration,
        grace: raw.grace,
        bucket: raw.bucket,
        max_open: raw.max_open,
        classes: raw
            .classes
            .into_iter()
            .filter_map(|class| build_class(class, &swings, seed))
            .collect(),
    }
}

fn build_class(class: raw::Class, swings: &[raw::Swing], seed: u64) -> Option<Class> {
    let ask = match (class.completion, class.plain) {
        (Some(completion), _) => RequestKind::Completion(completion),
        (None, Some(plain)) => RequestKind::Plain(plain),
        (None, None) => return None,
    };
    let swings = swings
        .iter()
        .zip(0_u64..)
        .filter(|(swing, _)| swing.classes.contains(&class.name))
        .map(|(swing, index)| Swing {
            quantity: swing.quantity,
            shape: swing.shape.clone(),
            seed: seed.wrapping_add(index),
        })
        .collect();
    Some(Class {
        name: class.name,
        key: class.key,
        rate: class.rate,
        kind: ask,
        gives_up_after: class.contract.deadline.mul_f64(class.patience),
        contract: class.contract,
        repeatable: class.repeatable,
        keyed: class.keyed,
        retries: class.retries,
        attempt_timeout: class.attempt_timeout,
        swings,
    })
}
