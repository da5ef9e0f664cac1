//! A call as its lines tell it.

use std::time::Duration;

use crate::line::Line;

/// Where a call's time went, or why it got nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Within its target, with no pause over what is allowed.
    OnTime,
    /// Its first answer was late: its prompt waited to be read.
    LateRead,
    /// Its first answer was late: it waited at the engine that generates.
    LateBegin,
    /// A pause was too long, mostly while its engine read prompts.
    LateBeside,
    /// A pause was too long, for another reason: a slow engine or link.
    LatePause,
    /// It was refused by the forecast.
    RefusedForecast,
    /// It was refused for another reason: no engine, or full ones.
    RefusedOther,
    /// Its caller's time ended or it left.
    Left,
    /// An engine failed, broke off, or its answer was lost.
    Failed,
    /// No line tells its end: the instance ended before.
    Untold,
}

impl End {
    /// All, in the order of tables.
    pub const ALL: [Self; 10] = [
        Self::OnTime,
        Self::LateRead,
        Self::LateBegin,
        Self::LateBeside,
        Self::LatePause,
        Self::RefusedForecast,
        Self::RefusedOther,
        Self::Left,
        Self::Failed,
        Self::Untold,
    ];

    /// Its column.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LateRead => "late: read",
            Self::LateBegin => "late: begin",
            Self::LateBeside => "late: beside",
            Self::LatePause => "late: pause",
            Self::RefusedForecast => "refused",
            Self::RefusedOther => "no room",
            Self::Left => "left",
            Self::Failed => "failed",
            Self::Untold => "untold",
        }
    }
}

/// Step at an engine, with what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Whether it read the prompt for another engine.
    pub reads: bool,
    /// Milliseconds until it began to answer.
    pub took: f64,
    /// Milliseconds that were expected.
    pub expected: f64,
}

/// What is known of a call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The instance that its caller reached.
    pub instance: Option<String>,
    /// When its first line was written.
    pub at: Option<Duration>,
    /// Its route, where a line names it.
    pub route: Option<String>,
    /// Its steps.
    pub steps: Vec<Step>,
    end: Option<End>,
    target: f64,
}

/// Share of a pause's allowance that reading beside a stream must have taken to be named as its cause.
const MOSTLY: f64 = 0.5;

impl Call {
    /// Takes a line of the call in.
    pub fn add(&mut self, line: &Line) {
        self.at = Some(self.at.map_or(line.at, |at| at.min(line.at)));
        if let Some(route) = line.field("route") {
            self.route = Some(route.to_owned());
        }
        self.target = line.millis("target_ms").unwrap_or(self.target);
        match line.says {
            "engine began" => self.steps.extend(step(line)),
            "streamed" => self.end = Some(self.streamed(line)),
            "answered" => self.end = Some(answered(line)),
            "refused" => self.end = Some(refused(line)),
            "answered at once" => self.end = Some(End::RefusedOther),
            "stream broken off" => self.end = Some(broken(line)),
            "out of time" | "the caller left" => self.end = Some(End::Left),
            "failed" | "failed, may have run" => self.end = Some(End::Failed),
            _ => {}
        }
    }

    /// Whether a line told its end.
    pub fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// How it ended.
    pub fn end(&self) -> End {
        self.end.unwrap_or(End::Untold)
    }

    fn streamed(&self, line: &Line) -> End {
        let value = |name| line.millis(name).unwrap_or_default();
        if value("first_ms") > self.target {
            let read = self.steps.iter().filter(|step| step.reads);
            let read: f64 = read.map(|step| step.took).sum();
            return if read > self.target / 2.0 {
                End::LateRead
            } else {
                End::LateBegin
            };
        }
        let most = value("most_gap_ms");
        if most == 0.0 || value("gap_ms") <= most {
            return End::OnTime;
        }
        if value("beside_ms") > most * MOSTLY {
            End::LateBeside
        } else {
            End::LatePause
        }
    }
}

fn step(line: &Line) -> Option<Step> {
    Some(Step {
        reads: line.field("step") == Some("read"),
        took: line.millis("ms")?,
        expected: line.millis("expected_ms")?,
    })
}

/// Plain calls name no target in their line, so that those which were answered count as on time.
fn answered(line: &Line) -> End {
    match line.millis("status") {
        Some(status) if status < 500.0 => End::OnTime,
        _ => End::Failed,
    }
}

fn refused(line: &Line) -> End {
    if line.millis("expected_ms").unwrap_or_default() > 0.0 {
        End::RefusedForecast
    } else {
        End::RefusedOther
    }
}

fn broken(line: &Line) -> End {
    match line.last("why") {
        Some("out of time" | "the caller has gone") => End::Left,
        Some(_) | None => End::Failed,
    }
}
