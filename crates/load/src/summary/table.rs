//! Prints the result of a run as text.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

use super::{ClassSummary, Quantiles, Summary};
use crate::verdict::Verdict;

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {:.1} s of arrivals, sent late by p99 {:.1} ms, unsent {}, unfinished {}",
            self.seed, self.seconds, self.lag.p99_ms, self.all.unsent, self.unfinished
        )?;
        write_counts(f, &self.classes, &self.all)?;
        write_times(f, &self.classes)?;
        for class in &self.classes {
            for (cause, count) in &class.causes {
                writeln!(f, "{:<16} {count} ended with: {cause}", class.name)?;
            }
        }
        if let Some(audit) = &self.audit {
            writeln!(
                f,
                "audit of {} plain calls: doubled {}, wrongly \"not run\" {}, served but never \
                 run {}, uncertain and run {}, uncertain and not run {}",
                audit.calls,
                audit.doubled,
                audit.wrongly_not_run,
                audit.never_run,
                audit.uncertain_run,
                audit.uncertain_not_run
            )?;
        }
        if self.engines.looks > 0 {
            writeln!(
                f,
                "engines: role changes {}, open requests on one {:.1} with a deviation of {:.1}",
                self.engines.role_changes, self.engines.mean_open, self.engines.spread_open
            )?;
        }
        let doubled = match &self.audit {
            Some(audit) => audit.doubled.to_string(),
            None => "not looked up".to_owned(),
        };
        write!(
            f,
            "served {}, lost {}, doubled {doubled}, crossed {}, cut {}",
            self.all.ended(Verdict::Served),
            self.all.ended(Verdict::Lost),
            self.all.ended(Verdict::Crossed) + self.all.ended(Verdict::Garbled),
            self.all.ended(Verdict::Cut),
        )
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    classes: &[ClassSummary],
    all: &ClassSummary,
) -> fmt::Result {
    write!(
        f,
        "{:<16} {:>8} {:>8} {:>8}",
        "class", "offered", "good", "goodput"
    )?;
    for verdict in Verdict::ALL {
        write!(f, " {:>8}", verdict.name())?;
    }
    writeln!(f, " {:>8} {:>8}  statuses", "retries", "resumes")?;
    for class in classes.iter().chain([all]) {
        write!(
            f,
            "{:<16} {:>8} {:>8} {:>8.4}",
            class.name, class.offered, class.good, class.goodput
        )?;
        for verdict in Verdict::ALL {
            write!(f, " {:>8}", class.ended(verdict))?;
        }
        writeln!(
            f,
            " {:>8} {:>8}  {}",
            class.retries,
            class.resumes,
            statuses(&class.statuses)
        )?;
    }
    Ok(())
}

fn write_times(f: &mut fmt::Formatter<'_>, classes: &[ClassSummary]) -> fmt::Result {
    writeln!(
        f,
        "{:<16} {:>26} {:>26} {:>26} {:>17}",
        "ms p50/p95/p99", "first token", "between tokens", "whole", "refusal p50/p99"
    )?;
    for class in classes {
        writeln!(
            f,
            "{:<16} {:>26} {:>26} {:>26} {:>17}",
            class.name,
            format_p50_p95_p99(&class.first_token),
            format_p50_p95_p99(&class.between_tokens),
            format_p50_p95_p99(&class.whole),
            format_p50_p99(&class.refusal),
        )?;
    }
    Ok(())
}

fn format_p50_p95_p99(times: &Quantiles) -> String {
    if times.count == 0 {
        return "-".to_owned();
    }
    format!(
        "{:.1}/{:.1}/{:.1}",
        times.p50_ms, times.p95_ms, times.p99_ms
    )
}

fn format_p50_p99(times: &Quantiles) -> String {
    if times.count == 0 {
        return "-".to_owned();
    }
    format!("{:.1}/{:.1}", times.p50_ms, times.p99_ms)
}

fn statuses(statuses: &BTreeMap<u16, u64>) -> String {
    let mut text = String::new();
    for (status, count) in statuses {
        write!(text, "{status}:{count} ").ok();
    }
    text.trim_end().to_owned()
}
