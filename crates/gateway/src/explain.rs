//! One request's way through the logs of several instances.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;

/// A line of a log that concerns a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Line {
    /// Time as it stands in the line.
    pub time: String,
    /// File that it is from.
    pub file: PathBuf,
    /// Text after the time.
    pub text: String,
}

/// What the logs tell of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Story {
    /// Lines with the request's id, in order of time.
    pub lines: Vec<Line>,
    /// What was last believed of each engine that these lines name, before their end.
    pub beliefs: BTreeMap<String, Line>,
    /// Lines that a log says it has dropped, by file.
    pub dropped: BTreeMap<PathBuf, u64>,
}

/// Reads what the files tell of the request with this id.
///
/// # Errors
///
/// If a file cannot be read.
pub fn read(id: &str, files: &[PathBuf]) -> io::Result<Story> {
    let mut story = Story::default();
    let mut beliefs = Vec::new();
    for file in files {
        for text in fs::read_to_string(file)?.lines() {
            if field(text, "id") == Some(id) {
                story.lines.push(line(file, text));
            } else if text.contains("engine changed") || text.contains("engine's record is gone") {
                beliefs.push(line(file, text));
            } else if text.contains("log lines were dropped") {
                let count = field(text, "count").and_then(|count| count.parse().ok());
                *story.dropped.entry(file.clone()).or_default() += count.unwrap_or(0);
            }
        }
    }
    story.lines.sort_by(|a, b| a.time.cmp(&b.time));
    add_beliefs(&mut story, beliefs);
    Ok(story)
}

fn add_beliefs(story: &mut Story, mut beliefs: Vec<Line>) {
    beliefs.sort_by(|a, b| a.time.cmp(&b.time));
    let Some(last) = story.lines.last() else {
        return;
    };
    let engines = story
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
            story.beliefs.insert(engine, belief);
        }
    }
}

impl Story {
    /// The story for programs.
    ///
    /// # Errors
    ///
    /// If the name of a file is no text.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// The story for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if self.lines.is_empty() {
            text.push_str("no line names this request\n");
        }
        for line in &self.lines {
            text.push_str(&told(line));
        }
        for (engine, belief) in &self.beliefs {
            text.push_str(&format!("last known of {engine}: {}", told(belief)));
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

fn told(line: &Line) -> String {
    let name = line.file.file_name().unwrap_or_default().to_string_lossy();
    format!("{} {} {}\n", line.time, name, line.text)
}

/// A line of a log as `env_logger` writes it: the time in brackets, with the level and the module.
fn line(file: &Path, text: &str) -> Line {
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
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut words = text.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
