//! Collects the log lines of one request from several instances.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

/// A log line that concerns a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Line {
    /// Time as written in the line.
    pub time: String,
    /// File that contains it.
    pub file: PathBuf,
    /// Text after the time.
    pub text: String,
}

/// Log lines of a request and their context.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Trace {
    /// Lines with the request's id, in order of time.
    pub lines: Vec<Line>,
    /// Last known state of each engine that these lines name, up to the last of them.
    pub beliefs: BTreeMap<String, Line>,
    /// Number of lines that each file reports as dropped.
    pub dropped: BTreeMap<PathBuf, u64>,
}

/// Reads the lines of the request with this id.
///
/// # Errors
///
/// If a file cannot be read.
pub fn read(id: &str, files: &[PathBuf]) -> io::Result<Trace> {
    let mut trace = Trace::default();
    let mut beliefs = Vec::new();
    for file in files {
        for text in fs::read_to_string(file)?.lines() {
            if field(text, "id") == Some(id) {
                trace.lines.push(parse_line(file, text));
            } else if text.contains("engine changed") || text.contains("engine's record is gone") {
                beliefs.push(parse_line(file, text));
            } else if text.contains("log lines were dropped") {
                let count = field(text, "count").and_then(|count| count.parse().ok());
                *trace.dropped.entry(file.clone()).or_default() += count.unwrap_or(0);
            }
        }
    }
    trace.lines.sort_by(|a, b| a.time.cmp(&b.time));
    add_engine_states(&mut trace, beliefs);
    Ok(trace)
}

fn add_engine_states(trace: &mut Trace, mut beliefs: Vec<Line>) {
    beliefs.sort_by(|a, b| a.time.cmp(&b.time));
    let Some(last) = trace.lines.last() else {
        return;
    };
    let engines = trace
        .lines
        .iter()
        .filter_map(|line| field(&line.text, "engine"));
    let engines: Vec<String> = engines.map(str::to_owned).collect();
    for belief in beliefs
        .into_iter()
        .filter(|belief| belief.time <= last.time)
    {
        let engine = field(&belief.text, "engine").map(str::to_owned);
        if let Some(engine) = engine.filter(|engine| engines.contains(engine)) {
            trace.beliefs.insert(engine, belief);
        }
    }
}

impl Trace {
    /// Formats the trace as JSON.
    ///
    /// # Errors
    ///
    /// If a file's name is not UTF-8.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Formats the trace as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if self.lines.is_empty() {
            text.push_str("no line names this request\n");
        }
        for line in &self.lines {
            text.push_str(&format_line(line));
        }
        for (engine, belief) in &self.beliefs {
            text.push_str(&format!("last known of {engine}: {}", format_line(belief)));
        }
        for (file, count) in &self.dropped {
            let file = file.display();
            text.push_str(&format!(
                "{file} has dropped {count} lines; some of this request's may be missing\n"
            ));
        }
        text
    }
}

fn format_line(line: &Line) -> String {
    let name = line.file.file_name().unwrap_or_default().to_string_lossy();
    format!("{} {} {}\n", line.time, name, line.text)
}

/// Parses a line as `env_logger` writes it: the time in brackets, with the level and the module.
pub(crate) fn parse_line(file: &Path, text: &str) -> Line {
    let (head, rest) = text.split_once("] ").unwrap_or(("", text));
    let head = head.rsplit_once('[').map_or(head, |(_, head)| head);
    let time = head.split(' ').next().unwrap_or_default();
    Line {
        time: time.to_owned(),
        file: file.to_owned(),
        text: rest.to_owned(),
    }
}

/// The value of a field of a line.
pub(crate) fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut words = text.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
