//! All explorations: the real protocol, which must satisfy its properties, and the mutants, each of
//! which must violate one.

use crate::explore::Report;
use crate::{calls, edits, lease, orders};

/// States after which an exploration stops as incomplete; all cases are far below it.
pub const MAX_STATES: usize = 1_000_000;

/// One exploration.
pub struct Case {
    /// Name by which `spec check --property` selects the case.
    pub name: &'static str,
    /// The removed guard, if any.
    pub mutant: Option<&'static str>,
    /// Coverage markers that the exploration must reach; without them it proves nothing.
    pub must_cover: &'static [&'static str],
    /// Runs the exploration.
    pub explore: Box<dyn Fn() -> Report>,
}

impl Case {
    /// Fails if the real protocol has a violation, unexplored states or missing coverage, or if a
    /// mutant has no violation.
    pub fn verify(&self, report: &Report) -> Result<(), String> {
        match (self.mutant, &report.violation) {
            (Some(_), Some(_)) => return Ok(()),
            (Some(mutant), None) => return Err(format!("{}: {mutant} is undetected", self.name)),
            (None, Some(trace)) => return Err(format!("{}: {}", self.name, trace.property)),
            (None, None) => (),
        }
        if !report.complete {
            return Err(format!("{}: not all states were explored", self.name));
        }
        let missing = self
            .must_cover
            .iter()
            .find(|marker| !report.covered.contains(*marker));
        match missing {
            Some(missing) => Err(format!("{}: never reached: {missing}", self.name)),
            None => Ok(()),
        }
    }
}

const ACTS: &str = "a holder acts";
const SECOND_CLAIM: &str = "a second claim acts";
const ORDER_RUNS: &str = "an engine carries out an order";
const TAKEN_OVER: &str = "a successor concludes an order";
const SECOND_ORDER: &str = "a second order is concluded";
const EXECUTED: &str = "a call is executed";
const LATER_CALL: &str = "a later call is executed";
const REPEAT_ANSWERED: &str = "a repeat is answered";
const EVERYWHERE: &str = "a second edit is in force everywhere";
const AFTER_TRUNCATION: &str = "an edit is in force after the log forgot it";
const RESIDUE: &str = "what remains possible";

/// All cases.
pub fn cases() -> Vec<Case> {
    let mut cases = lease_cases();
    cases.extend(order_cases());
    cases.extend(call_cases());
    cases.extend(edit_cases());
    cases
}

fn lease_cases() -> Vec<Case> {
    use lease::{Config, Mutant};
    let handover = Config::default();
    let race = Config {
        initially_held: false,
        horizon: 2,
        ..Config::default()
    };
    let long = Config {
        horizon: 7,
        max_records: 4,
        max_faults: 0,
        ..Config::default()
    };
    let three = Config {
        clock_rates: vec![900, 1000, 1100],
        horizon: 5,
        max_records: 3,
        max_faults: 0,
        ..Config::default()
    };
    let mutants = [
        (Mutant::ClaimUnseen, "claim-unseen"),
        (Mutant::ShortWait, "short-wait"),
        (Mutant::NoDrift, "no-drift"),
        (Mutant::FromReadBack, "from-read-back"),
        (Mutant::ActAfterRelease, "act-after-release"),
    ];
    let mut cases = vec![
        lease_case(
            "lease-handover",
            &[ACTS, SECOND_CLAIM],
            handover.clone(),
            None,
        ),
        lease_case("lease-long", &[ACTS, SECOND_CLAIM], long, None),
        lease_case("lease-race", &[ACTS], race.clone(), None),
        lease_case("lease-three", &[ACTS, SECOND_CLAIM], three, None),
        lease_case(
            "lease-race",
            &[],
            race,
            Some((Mutant::AnyClaim, "any-claim")),
        ),
    ];
    let mutants =
        mutants.map(|mutant| lease_case("lease-handover", &[], handover.clone(), Some(mutant)));
    cases.extend(mutants);
    cases
}

fn lease_case(
    name: &'static str,
    must_cover: &'static [&'static str],
    mut config: lease::Config,
    mutant: Option<(lease::Mutant, &'static str)>,
) -> Case {
    config.mutant = mutant.map(|(mutant, _)| mutant);
    Case {
        name,
        mutant: mutant.map(|(_, name)| name),
        must_cover,
        explore: Box::new(move || lease::model(config.clone()).check(MAX_STATES)),
    }
}

fn order_cases() -> Vec<Case> {
    use orders::{Config, Mutant};
    let takeover = Config::takeover();
    let faulty = Config {
        horizon: 2,
        max_faults: 2,
        ..Config::takeover()
    };
    let sequence = Config::sequence();
    let unfenced = Config::unfenced_takeover();
    let takeovers: &[&str] = &[ORDER_RUNS, TAKEN_OVER];
    let sequences: &[&str] = &[ORDER_RUNS, SECOND_ORDER];
    let mut cases = vec![
        order_case("order-takeover", takeovers, takeover.clone(), None),
        order_case("order-takeover-faulty", takeovers, faulty, None),
        order_case("order-sequence", sequences, sequence.clone(), None),
        order_case("order-unfenced-takeover", takeovers, unfenced.clone(), None),
        order_case(
            "order-unfenced-sequence",
            sequences,
            Config::unfenced_sequence(),
            None,
        ),
        order_case("order-residue", &[RESIDUE], Config::residue(), None),
        order_case(
            "order-restart-residue",
            &[RESIDUE],
            Config::restart_residue(),
            None,
        ),
    ];
    let mutants = [
        ("order-takeover", &takeover, Mutant::NoClosing, "no-closing"),
        ("order-takeover", &takeover, Mutant::NoDrain, "no-drain"),
        ("order-takeover", &takeover, Mutant::NoFence, "no-fence"),
        ("order-takeover", &takeover, Mutant::NoCancel, "no-cancel"),
        (
            "order-sequence",
            &sequence,
            Mutant::ClaimToken,
            "claim-token",
        ),
        (
            "order-unfenced-takeover",
            &unfenced,
            Mutant::NoQuarantine,
            "no-quarantine",
        ),
        (
            "order-unfenced-takeover",
            &unfenced,
            Mutant::NoLease,
            "no-lease",
        ),
    ];
    let mutants = mutants.map(|(name, config, mutant, mutant_name)| {
        order_case(name, &[], config.clone(), Some((mutant, mutant_name)))
    });
    cases.extend(mutants);
    cases
}

fn order_case(
    name: &'static str,
    must_cover: &'static [&'static str],
    mut config: orders::Config,
    mutant: Option<(orders::Mutant, &'static str)>,
) -> Case {
    config.mutant = mutant.map(|(mutant, _)| mutant);
    Case {
        name,
        mutant: mutant.map(|(_, name)| name),
        must_cover,
        explore: Box::new(move || orders::model(config.clone()).check(MAX_STATES)),
    }
}

fn call_cases() -> Vec<Case> {
    use calls::{Config, Mutant};
    use claims::OutagePolicy::{FirstAttempt, Refuse};
    let markers: &[&str] = &[EXECUTED, LATER_CALL, REPEAT_ANSWERED];
    let mut cases = vec![
        call_case("call-refuse", markers, Config::new(Refuse), None),
        call_case("call-refuse-faulty", markers, Config::faulty(Refuse), None),
        call_case("call-refuse-long", markers, Config::long(Refuse), None),
        call_case(
            "call-first-attempt",
            markers,
            Config::new(FirstAttempt),
            None,
        ),
        call_case(
            "call-first-attempt-faulty",
            markers,
            Config::faulty(FirstAttempt),
            None,
        ),
        call_case(
            "call-first-attempt-long",
            markers,
            Config::long(FirstAttempt),
            None,
        ),
    ];
    let mutants = [
        (
            "call-refuse-faulty",
            Refuse,
            false,
            Mutant::OwnClaimsOnly,
            "own-claims-only",
        ),
        (
            "call-refuse-faulty",
            Refuse,
            true,
            Mutant::OwnClaimsOnly,
            "own-claims-only-twice",
        ),
        (
            "call-refuse-faulty",
            Refuse,
            false,
            Mutant::RunOnAppend,
            "run-on-append",
        ),
        (
            "call-refuse-faulty",
            Refuse,
            true,
            Mutant::RunOnAppend,
            "run-on-append-twice",
        ),
        (
            "call-refuse-faulty",
            Refuse,
            true,
            Mutant::SameIncarnation,
            "same-incarnation",
        ),
        (
            "call-first-attempt-faulty",
            FirstAttempt,
            false,
            Mutant::AlwaysFirst,
            "always-first",
        ),
        (
            "call-first-attempt-faulty",
            FirstAttempt,
            true,
            Mutant::AlwaysFirst,
            "always-first-twice",
        ),
    ];
    let mutants = mutants.map(
        |(name, policy, only_double_execution, mutant, mutant_name)| {
            let config = Config {
                only_double_execution,
                ..Config::faulty(policy)
            };
            call_case(name, &[], config, Some((mutant, mutant_name)))
        },
    );
    cases.extend(mutants);
    cases
}

fn call_case(
    name: &'static str,
    must_cover: &'static [&'static str],
    mut config: calls::Config,
    mutant: Option<(calls::Mutant, &'static str)>,
) -> Case {
    config.mutant = mutant.map(|(mutant, _)| mutant);
    Case {
        name,
        mutant: mutant.map(|(_, name)| name),
        must_cover,
        explore: Box::new(move || calls::model(config.clone()).check(MAX_STATES)),
    }
}

fn edit_cases() -> Vec<Case> {
    use edits::{Config, Mutant};
    let markers: &[&str] = &[EVERYWHERE, AFTER_TRUNCATION];
    let mutants = [
        (Mutant::AdoptAny, "adopt-any"),
        (Mutant::AnyBase, "any-base"),
        (Mutant::NoSnapshot, "no-snapshot"),
    ];
    let faulty = Config {
        max_faults: 2,
        ..Config::default()
    };
    let mut cases = vec![
        edit_case("edit-race", markers, Config::default(), None),
        edit_case("edit-race-faulty", markers, faulty, None),
    ];
    let mutants =
        mutants.map(|mutant| edit_case("edit-race", &[], Config::default(), Some(mutant)));
    cases.extend(mutants);
    return cases;

    fn edit_case(
        name: &'static str,
        must_cover: &'static [&'static str],
        mut config: Config,
        mutant: Option<(Mutant, &'static str)>,
    ) -> Case {
        config.mutant = mutant.map(|(mutant, _)| mutant);
        Case {
            name,
            mutant: mutant.map(|(_, name)| name),
            must_cover,
            explore: Box::new(move || edits::model(config.clone()).check(MAX_STATES)),
        }
    }
}
