//! A call, reconstructed from its log lines.

use std::time::Duration;

use crate::line::Line;

/// How a call ended: on time, late and where its time went, or why it was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The first event came within the target, and no pause between events exceeded its limit.
    OnTime,
    /// The first event was late: the call waited for prefill.
    LatePrefill,
    /// The first event was late: the call waited at the decode engine.
    LateDecode,
    /// A pause was too long, mostly while its engine ran prefill.
    PausedByPrefill,
    /// A pause was too long for another reason, such as a slow engine or link.
    PausedOther,
    /// Refused because of its forecast.
    RefusedForecast,
    /// Refused for another reason: no engine, or all engines were full.
    RefusedOther,
    /// The call timed out or its caller disconnected.
    Abandoned,
    /// An engine failed, broke the stream off, or its answer was lost.
    Failed,
    /// No log line has its end, for instance because the instance exited first.
    Unknown,
}

impl Outcome {
    /// All outcomes, in column order.
    pub const ALL: [Self; 10] = [
        Self::OnTime,
        Self::LatePrefill,
        Self::LateDecode,
        Self::PausedByPrefill,
        Self::PausedOther,
        Self::RefusedForecast,
        Self::RefusedOther,
        Self::Abandoned,
        Self::Failed,
        Self::Unknown,
    ];

    /// Column heading in the tables and label in the plot.
    pub fn column_name(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LatePrefill => "late: read",
            Self::LateDecode => "late: begin",
            Self::PausedByPrefill => "late: beside",
            Self::PausedOther => "late: pause",
            Self::RefusedForecast => "refused",
            Self::RefusedOther => "no room",
            Self::Abandoned => "left",
            Self::Failed => "failed",
            Self::Unknown => "untold",
        }
    }
}

/// A call's step at an engine, with its forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Whether it is the prefill for another engine.
    pub is_prefill: bool,
    /// Time until the engine began to answer.
    pub actual_ms: f64,
    /// Forecast of that time.
    pub expected_ms: f64,
}

/// What the log lines read so far say of a call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The instance that received the call.
    pub instance: Option<String>,
    /// Time of its earliest line.
    pub first_logged_at: Option<Duration>,
    /// Its route, if a line has it.
    pub route: Option<String>,
    /// Steps at engines that have begun.
    pub steps: Vec<Step>,
    outcome: Option<Outcome>,
    target_ms: f64,
}

/// Share of the longest allowed pause that concurrent prefill must have taken to count as the cause
/// of a pause.
const PREFILL_SHARE_OF_PAUSE: f64 = 0.5;

impl Call {
    /// Adds a line of the call.
    pub fn add_line(&mut self, line: &Line) {
        self.first_logged_at = Some(
            self.first_logged_at
                .map_or(line.logged_at, |at| at.min(line.logged_at)),
        );
        if let Some(route) = line.field("route") {
            self.route = Some(route.to_owned());
        }
        self.target_ms = line.millis("target_ms").unwrap_or(self.target_ms);
        match line.message {
            "engine began" => self.steps.extend(parse_step(line)),
            "streamed" => self.outcome = Some(self.stream_outcome(line)),
            "answered" => self.outcome = Some(answer_outcome(line)),
            "refused" => self.outcome = Some(refusal_outcome(line)),
            "answered at once" => self.outcome = Some(Outcome::RefusedOther),
            "stream broken off" => self.outcome = Some(broken_stream_outcome(line)),
            "out of time" | "the caller left" => self.outcome = Some(Outcome::Abandoned),
            "failed" | "failed, may have run" => self.outcome = Some(Outcome::Failed),
            _ => {}
        }
    }

    /// Whether a line with its end was added.
    pub fn has_ended(&self) -> bool {
        self.outcome.is_some()
    }

    /// How the call ended.
    pub fn outcome(&self) -> Outcome {
        self.outcome.unwrap_or(Outcome::Unknown)
    }

    fn stream_outcome(&self, line: &Line) -> Outcome {
        let value = |name| line.millis(name).unwrap_or_default();
        if value("first_ms") > self.target_ms {
            let prefill = self.steps.iter().filter(|step| step.is_prefill);
            let prefill_ms: f64 = prefill.map(|step| step.actual_ms).sum();
            return if prefill_ms > self.target_ms / 2.0 {
                Outcome::LatePrefill
            } else {
                Outcome::LateDecode
            };
        }
        let allowed_ms = value("most_gap_ms");
        if allowed_ms == 0.0 || value("gap_ms") <= allowed_ms {
            return Outcome::OnTime;
        }
        if value("beside_ms") > allowed_ms * PREFILL_SHARE_OF_PAUSE {
            Outcome::PausedByPrefill
        } else {
            Outcome::PausedOther
        }
    }
}

fn parse_step(line: &Line) -> Option<Step> {
    Some(Step {
        is_prefill: line.field("step") == Some("read"),
        actual_ms: line.millis("ms")?,
        expected_ms: line.millis("expected_ms")?,
    })
}

/// Log lines of plain calls have no target, so that answered ones count as on time.
fn answer_outcome(line: &Line) -> Outcome {
    match line.millis("status") {
        Some(status) if status < 500.0 => Outcome::OnTime,
        _ => Outcome::Failed,
    }
}

fn refusal_outcome(line: &Line) -> Outcome {
    if line.millis("expected_ms").unwrap_or_default() > 0.0 {
        Outcome::RefusedForecast
    } else {
        Outcome::RefusedOther
    }
}

fn broken_stream_outcome(line: &Line) -> Outcome {
    match line.last_field("why") {
        Some("out of time" | "the caller has gone") => Outcome::Abandoned,
        Some(_) | None => Outcome::Failed,
    }
}
