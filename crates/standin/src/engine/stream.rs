//! A completion in progress: how much is generated, and its events. Since the content follows
//! from the prompt, nothing else has to be kept to send any part of it again.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::watch;

use super::batch;
use super::request::{Completion, Kind};
use super::tokens::{self, Digest};
use crate::http::HttpRequest;

/// Name of a stream, chosen by who asks for the completion.
pub(super) type Id = String;

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// It has not.
    Open,
    /// All tokens were generated.
    Done,
    /// It was cancelled, or an order cut it.
    Cut,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: End,
}

/// A stream. Its events are one for each token, one that tells the end, and `[DONE]`.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: Id,
    pub(super) job: batch::Id,
    pub(super) request: String,
    pub(super) kind: Kind,
    pub(super) model: String,
    pub(super) digest: Digest,
    pub(super) prompt_tokens: u32,
    pub(super) total: u32,
    pub(super) cached: AtomicU32,
    pub(super) progress: watch::Sender<Progress>,
}

/// Bytes of an event beside its fixed parts.
const EVENT_ROOM: usize = 32;

impl Stream {
    /// A stream that has produced nothing. Its name and that of its request are taken from the
    /// headers, or chosen if they are missing.
    pub(super) fn new(
        kind: Kind,
        completion: &Completion,
        job: batch::Id,
        call: &HttpRequest,
    ) -> Self {
        let name = |header: &str| match call.header(header) {
            Some(name) if !name.is_empty() => name.to_owned(),
            _ => uuid::Uuid::new_v4().simple().to_string(),
        };
        Self {
            id: name("x-stream-id"),
            job,
            request: name("x-request-id"),
            kind,
            model: completion.model.clone(),
            digest: tokens::digest(&completion.prompt),
            prompt_tokens: tokens::count(&completion.prompt),
            total: completion.max_tokens,
            cached: AtomicU32::new(0),
            progress: watch::Sender::new(Progress {
                produced: 0,
                end: End::Open,
            }),
        }
    }

    /// Waits until the stream ends and tells how.
    pub(super) async fn ended(&self) -> End {
        let mut progress = self.progress.subscribe();
        let ended = progress
            .wait_for(|progress| progress.end != End::Open)
            .await;
        ended.map_or(End::Cut, |progress| progress.end)
    }

    /// The number of events that can be sent now.
    pub(super) fn ready(&self, progress: Progress) -> u32 {
        match progress.end {
            End::Done => self.total + 2,
            _ => progress.produced,
        }
    }

    pub(super) fn produce(&self, produced: u32) {
        self.progress
            .send_modify(|progress| progress.produced = produced);
    }

    pub(super) fn finish(&self, cached: u32) {
        self.cached.store(cached, Ordering::Release);
        let (produced, end) = (self.total, End::Done);
        self.progress.send_replace(Progress { produced, end });
    }

    /// Ends the stream before its time; one that is done stays so.
    pub(super) fn cut(&self) {
        self.progress.send_if_modified(|progress| {
            let open = progress.end == End::Open;
            if open {
                progress.end = End::Cut;
            }
            open
        });
    }

    /// The events from `from` up to `to` in the form of server-sent events.
    pub(super) fn events(&self, from: u32, to: u32) -> Vec<u8> {
        let (head, tail) = self.frame();
        let room = self.id.len() + head.len() + tail.len() + tokens::LENGTH + EVENT_ROOM;
        let mut out = Vec::with_capacity(room * (to - from) as usize);
        for index in from..to {
            out.extend_from_slice(b"id: ");
            out.extend_from_slice(self.id.as_bytes());
            out.push(b':');
            out.extend_from_slice(index.to_string().as_bytes());
            out.extend_from_slice(b"\ndata: ");
            if index < self.total {
                out.extend_from_slice(head.as_bytes());
                tokens::write(self.digest, index, &mut out);
                out.extend_from_slice(tail.as_bytes());
            } else if index == self.total {
                out.extend_from_slice(self.last_chunk().to_string().as_bytes());
            } else {
                out.extend_from_slice(b"[DONE]");
            }
            out.extend_from_slice(b"\n\n");
        }
        out
    }

    /// The whole answer.
    pub(super) fn whole(&self) -> serde_json::Value {
        let text = tokens::text(self.digest, self.total);
        let (object, choice) = match self.kind {
            Kind::Text => (
                "text_completion",
                json!({
                    "index": 0, "text": text, "finish_reason": "length",
                }),
            ),
            Kind::Chat => (
                "chat.completion",
                json!({
                    "index": 0, "finish_reason": "length",
                    "message": { "role": "assistant", "content": text },
                }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(),
        })
    }

    /// What stands before and after the token in the chunk of each token.
    fn frame(&self) -> (String, &'static str) {
        let id = json!(self.id);
        let model = json!(self.model);
        match self.kind {
            Kind::Text => (
                format!(
                    r#"{{"id":{id},"object":"text_completion","created":0,"model":{model},"choices":[{{"index":0,"text":""#
                ),
                r#"","finish_reason":null}]}"#,
            ),
            Kind::Chat => (
                format!(
                    r#"{{"id":{id},"object":"chat.completion.chunk","created":0,"model":{model},"choices":[{{"index":0,"delta":{{"role":"assistant","content":""#
                ),
                r#""},"finish_reason":null}]}"#,
            ),
        }
    }

    fn last_chunk(&self) -> serde_json::Value {
        let (object, choice) = match self.kind {
            Kind::Text => (
                "text_completion",
                json!({ "index": 0, "text": "", "finish_reason": "length" }),
            ),
            Kind::Chat => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": {}, "finish_reason": "length" }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(),
        })
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": self.prompt_tokens + self.total,
            "cached_tokens": self.cached.load(Ordering::Acquire),
        })
    }
}

/// The streams that can be resumed or cancelled.
#[derive(Debug)]
pub(super) struct Table {
    keep: Duration,
    streams: HashMap<Id, Arc<Stream>>,
    ended: VecDeque<(Instant, Id)>,
}

impl Table {
    pub(super) fn new(keep: Duration) -> Self {
        Self {
            keep,
            streams: HashMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Adds a stream; false if there is one of the same name.
    pub(super) fn insert(&mut self, stream: &Arc<Stream>) -> bool {
        self.expire();
        if self.streams.contains_key(&stream.id) {
            return false;
        }
        self.streams.insert(stream.id.clone(), stream.clone());
        true
    }

    pub(super) fn get(&self, id: &str) -> Option<Arc<Stream>> {
        self.streams.get(id).cloned()
    }

    pub(super) fn remove(&mut self, id: &str) -> Option<Arc<Stream>> {
        self.streams.remove(id)
    }

    /// Notes that a stream is done: from now on it is kept for its time.
    pub(super) fn end(&mut self, id: &str) {
        self.ended.push_back((Instant::now(), id.to_owned()));
        self.expire();
    }

    fn expire(&mut self) {
        while let Some((at, _)) = self.ended.front() {
            if at.elapsed() < self.keep {
                break;
            }
            if let Some((_, id)) = self.ended.pop_front() {
                self.streams.remove(&id);
            }
        }
    }
}
