//! The two routes of a call: through an entry, and directly to the stand-in.

use std::time::{Duration, Instant};

use awc::Client;

use crate::answer::AnswerChecker;
use crate::args::Bench;
use crate::attempt::{Attempt, Progress};
use crate::plan::{Class, Contract, RequestKind, raw};
use crate::request::RequestSource;
use crate::verdict::AttemptEnd;

/// Time limit for each call.
const DEADLINE: Duration = Duration::from_secs(30);

/// Size of each prompt in tokens.
const PROMPT_TOKENS: f64 = 32.0;

/// One route of a call.
#[derive(Clone, Debug)]
pub struct Route {
    /// URL root.
    pub url: String,
    /// Class of the requests.
    pub class: Class,
}

/// Both routes of one kind of call.
#[derive(Clone, Debug)]
pub struct RoutePair {
    /// Name of the kind.
    pub name: &'static str,
    /// Directly to the stand-in.
    pub direct: Route,
    /// Through the entry.
    pub entry: Route,
}

/// The result of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u64,
    /// Cause given by an error answer.
    pub detail: Option<String>,
}

impl CallResult {
    /// Describes the failure.
    pub fn failure(&self) -> String {
        let detail = self.detail.as_deref().unwrap_or("no detail");
        format!("{:?}: {detail}", self.end)
    }
}

impl RoutePair {
    /// The kinds of calls for which the command line gives both routes.
    pub fn all(options: &Bench) -> Vec<Self> {
        let mut pairs = Vec::new();
        if let Some(service) = &options.service {
            pairs.push(Self {
                name: "plain",
                direct: Route::plain(service, &options.plain_path, ""),
                entry: Route::plain(&options.entry, &options.plain_path, &options.plain_key),
            });
        }
        if let Some(engine) = &options.engine {
            let tokens = options.tokens;
            let direct =
                |stream| Route::completion(engine, &options.engine_model, "", stream, tokens);
            let entry = |stream| {
                let (model, key) = (&options.entry_model, &options.entry_key);
                Route::completion(&options.entry, model, key, stream, tokens)
            };
            for (name, stream) in [("completion", false), ("stream", true)] {
                pairs.push(Self {
                    name,
                    direct: direct(stream),
                    entry: entry(stream),
                });
            }
        }
        pairs
    }
}

impl Route {
    /// Creates a call of a plain service.
    pub fn plain(url: &str, path: &str, key: &str) -> Self {
        let ask = RequestKind::Plain(raw::Plain {
            method: "POST".to_owned(),
            path: path.to_owned(),
            body_bytes: 64,
        });
        Self::new(url, key, ask)
    }

    /// Creates a stream of this many tokens through the entry.
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
        let ask = RequestKind::Completion(raw::Completion {
            model: model.to_owned(),
            chat: false,
            stream,
            prompt: constant(PROMPT_TOKENS),
            output: constant(tokens.into()),
            prefix: None,
        });
        Self::new(url, key, ask)
    }

    fn new(url: &str, key: &str, ask: RequestKind) -> Self {
        let class = Class {
            name: "bench".to_owned(),
            key: key.to_owned(),
            rate: 0.0,
            kind: ask,
            contract: Contract {
                deadline: DEADLINE,
                first_token: None,
                between_tokens: None,
            },
            repeatable: true,
            keyed: false,
            retries: 0,
            attempt_timeout: None,
            gives_up_after: DEADLINE,
            swings: Vec::new(),
        };
        Self {
            url: url.trim_end_matches('/').to_owned(),
            class,
        }
    }

    /// Makes one call and waits for its end.
    pub async fn call(&self, client: &Client, source: &mut RequestSource<'_>) -> CallResult {
        let request = source.next_request(Duration::ZERO);
        let checker = request
            .prompt
            .as_ref()
            .map(|prompt| AnswerChecker::new(prompt.expected_text()));
        let mut progress = Progress::new(checker);
        let attempt = Attempt {
            url: &self.url,
            class: &self.class,
            request: &request,
            number: 1,
            time_left: DEADLINE,
        };
        let sent = Instant::now();
        let end = actix_rt::time::timeout(DEADLINE, attempt.run(client, &mut progress)).await;
        CallResult {
            end: end.unwrap_or(AttemptEnd::TimedOut),
            first_token: progress.first_token_at.map(|first| first - sent),
            whole: sent.elapsed(),
            tokens: progress.tokens,
            detail: progress.detail,
        }
    }
}
