//! Generates the requests of a plan: sizes, shared prefixes, ids and bodies. Each class has its own
//! random generator, used in the order of arrivals, so that one seed gives the same requests
//! whatever the system answers.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standin::engine;

use crate::plan::{Class, RequestKind, raw};
use crate::swing::{self, Quantity};

/// Role of the messages in a chat.
const ROLE: &str = "user";

/// One request of a caller, the same in all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id, unique over workers and runs; all attempts use it.
    pub id: String,
    /// Index of its class in the plan.
    pub class: usize,
    /// When it arrived, since the start of the run.
    pub at: Duration,
    /// HTTP method.
    pub method: String,
    /// Path from the root.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Prompt of a completion, `None` for a plain call.
    pub prompt: Option<Prompt>,
}

/// The input of a completion, from which the expected answer follows.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The whole prompt; for a chat, the text that its messages are turned into.
    pub text: String,
    /// Tokens requested.
    pub output: u32,
    /// Whether it is streamed.
    pub stream: bool,
}

impl Prompt {
    /// The text that the stand-in engine returns for this prompt.
    pub fn expected_text(&self) -> String {
        engine::expected_text(&self.text, self.output)
    }
}

/// Generates the requests of one class at one worker.
#[derive(Debug)]
pub struct RequestSource<'a> {
    class: &'a Class,
    index: usize,
    label: String,
    count: u64,
    random: StdRng,
}

impl<'a> RequestSource<'a> {
    /// Creates a source; `label` makes its ids unique over workers and runs.
    pub fn new(class: &'a Class, index: usize, label: String, seed: u64) -> Self {
        Self {
            class,
            index,
            label,
            count: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Generates the request that arrives at this time.
    pub fn next_request(&mut self, at: Duration) -> Request {
        self.count += 1;
        let id = format!("{}-{}-{}", self.label, self.index, self.count);
        match &self.class.kind {
            RequestKind::Completion(completion) => self.completion(id, at, completion),
            RequestKind::Plain(plain) => Request {
                class: self.index,
                at,
                method: plain.method.clone(),
                path: plain.path.clone(),
                body: plain_body(plain, &id),
                prompt: None,
                id,
            },
        }
    }

    fn completion(&mut self, id: String, at: Duration, asked: &raw::Completion) -> Request {
        let factor = |quantity| swing::factor(&self.class.swings, quantity, at);
        let prompt_factor = factor(Quantity::Prompt);
        let output_factor = factor(Quantity::Output);
        let prompt_tokens = draw_size(&mut self.random, asked.prompt, prompt_factor);
        let output = draw_size(&mut self.random, asked.output, output_factor);
        let prefix = draw_prefix(&mut self.random, asked.prefix);
        let text = prompt_text(&self.class.name, &id, prefix, prompt_tokens);
        let (path, body) = completion_body(asked, &text, output);
        let text = if asked.chat {
            engine::chat_prompt([(ROLE, text.as_str())])
        } else {
            text
        };
        Request {
            id,
            class: self.index,
            at,
            method: "POST".to_owned(),
            path: path.to_owned(),
            body,
            prompt: Some(Prompt {
                text,
                output,
                stream: asked.stream,
            }),
        }
    }
}

/// A shared prefix: its number and length in tokens.
#[derive(Clone, Copy, Debug)]
struct SharedPrefix {
    number: u32,
    tokens: u32,
}

fn draw_size(random: &mut StdRng, size: raw::Size, factor: f64) -> u32 {
    let spread = (size.sigma * swing::standard_normal(random)).exp();
    let tokens = size.median * spread * factor;
    tokens.clamp(1.0, f64::from(size.max)).round() as u32
}

fn draw_prefix(random: &mut StdRng, prefix: Option<raw::Prefix>) -> Option<SharedPrefix> {
    let prefix = prefix?;
    let number = random.random_range(0..prefix.count);
    random.random_bool(prefix.share).then_some(SharedPrefix {
        number,
        tokens: prefix.tokens,
    })
}

/// Builds a prompt of one-token words: the shared prefix, the id and filler.
fn prompt_text(class: &str, id: &str, prefix: Option<SharedPrefix>, tokens: u32) -> String {
    let mut text = String::new();
    if let Some(shared) = prefix {
        for word in 0..shared.tokens {
            write!(text, "{class}{}.{word} ", shared.number).ok();
        }
    }
    text.push_str(id);
    for word in 1..tokens {
        write!(text, " {word}").ok();
    }
    text
}

fn completion_body(asked: &raw::Completion, text: &str, output: u32) -> (&'static str, Bytes) {
    let model = &asked.model;
    let stream = asked.stream;
    if asked.chat {
        let messages = [json!({"role": ROLE, "content": text})];
        let body = json!({
            "model": model, "messages": messages, "max_tokens": output, "stream": stream,
        });
        ("/v1/chat/completions", Bytes::from(body.to_string()))
    } else {
        let body = json!({
            "model": model, "prompt": text, "max_tokens": output, "stream": stream,
        });
        ("/v1/completions", Bytes::from(body.to_string()))
    }
}

fn plain_body(plain: &raw::Plain, id: &str) -> Bytes {
    if matches!(plain.method.as_str(), "GET" | "HEAD" | "DELETE") {
        return Bytes::new();
    }
    let filler = "x".repeat(plain.body_bytes);
    Bytes::from(json!({"id": id, "filler": filler}).to_string())
}
