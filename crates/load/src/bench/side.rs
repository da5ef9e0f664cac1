//! The two ways of one call: through an entry, and straight to the stand-in.

use std::time::{Duration, Instant};

use awc::Client;

use crate::answer::Judge;
use crate::args::Bench;
use crate::attempt::{Attempt, Progress};
use crate::plan::{Ask, Class, Contract, raw};
use crate::request::Source;
use crate::verdict::End;

/// No call of a bench takes longer.
const DEADLINE: Duration = Duration::from_secs(30);

/// Tokens of the prompts of a bench.
const PROMPT_TOKENS: f64 = 32.0;

/// One way of a call.
#[derive(Clone, Debug)]
pub struct Side {
    /// URL root.
    pub url: String,
    /// What is asked.
    pub class: Class,
}

/// Both ways of one kind of call.
#[derive(Clone, Debug)]
pub struct Sides {
    /// Name of the kind.
    pub name: &'static str,
    /// Straight to the stand-in.
    pub direct: Side,
    /// Through the entry.
    pub entry: Side,
}

/// What came of one call.
#[derive(Clone, Debug)]
pub struct Call {
    /// How it ended.
    pub end: End,
    /// Until its first token.
    pub first: Option<Duration>,
    /// Until its end.
    pub whole: Duration,
    /// Tokens that came.
    pub tokens: u64,
    /// Cause that an error answer gave.
    pub detail: Option<String>,
}

impl Call {
    /// What went wrong, for a look.
    pub fn failure(&self) -> String {
        let detail = self.detail.as_deref().unwrap_or("no detail");
        format!("{:?}: {detail}", self.end)
    }
}

impl Sides {
    /// The kinds of calls for which the command line names both ways.
    pub fn all(options: &Bench) -> Vec<Self> {
        let mut sides = Vec::new();
        if let Some(service) = &options.service {
            sides.push(Self {
                name: "plain",
                direct: Side::plain(service, &options.plain_path, ""),
                entry: Side::plain(&options.entry, &options.plain_path, &options.plain_key),
            });
        }
        if let Some(engine) = &options.engine {
            let tokens = options.tokens;
            let direct =
                |stream| Side::completion(engine, &options.engine_model, "", stream, tokens);
            let entry = |stream| {
                let (model, key) = (&options.entry_model, &options.entry_key);
                Side::completion(&options.entry, model, key, stream, tokens)
            };
            for (name, stream) in [("completion", false), ("stream", true)] {
                sides.push(Self {
                    name,
                    direct: direct(stream),
                    entry: entry(stream),
                });
            }
        }
        sides
    }
}

impl Side {
    /// A call of a plain service.
    pub fn plain(url: &str, path: &str, key: &str) -> Self {
        let ask = Ask::Plain(raw::Plain {
            method: "POST".to_owned(),
            path: path.to_owned(),
            body_bytes: 64,
        });
        Self::new(url, key, ask)
    }

    /// A stream of this many tokens through the entry.
    pub fn stream(options: &Bench, tokens: u32) -> Self {
        let (model, key) = (&options.entry_model, &options.entry_key);
        Self::completion(&options.entry, model, key, true, tokens)
    }

    fn completion(url: &str, model: &str, key: &str, stream: bool, tokens: u32) -> Self {
        let constant = |tokens: f64| raw::Size {
            median: tokens,
            sigma: 0.0,
            max: u32::MAX,
        };
        let ask = Ask::Completion(raw::Completion {
            model: model.to_owned(),
            chat: false,
            stream,
            prompt: constant(PROMPT_TOKENS),
            output: constant(tokens.into()),
            prefix: None,
        });
        Self::new(url, key, ask)
    }

    fn new(url: &str, key: &str, ask: Ask) -> Self {
        let class = Class {
            name: "bench".to_owned(),
            key: key.to_owned(),
            rate: 0.0,
            ask,
            contract: Contract {
                deadline: DEADLINE,
                first_token: None,
                between_tokens: None,
            },
            repeatable: true,
            keyed: false,
            retries: 0,
            attempt_timeout: None,
            patience: DEADLINE,
            swings: Vec::new(),
        };
        Self {
            url: url.trim_end_matches('/').to_owned(),
            class,
        }
    }

    /// Makes one call and waits for its end.
    pub async fn call(&self, client: &Client, source: &mut Source<'_>) -> Call {
        let request = source.draw(Duration::ZERO);
        let judge = request
            .prompt
            .as_ref()
            .map(|prompt| Judge::new(prompt.due()));
        let mut progress = Progress::new(judge);
        let attempt = Attempt {
            url: &self.url,
            class: &self.class,
            request: &request,
            number: 1,
            left: DEADLINE,
        };
        let sent = Instant::now();
        let end = actix_rt::time::timeout(DEADLINE, attempt.run(client, &mut progress)).await;
        Call {
            end: end.unwrap_or(End::TimedOut),
            first: progress.first.map(|first| first - sent),
            whole: sent.elapsed(),
            tokens: progress.tokens,
            detail: progress.detail,
        }
    }
}
