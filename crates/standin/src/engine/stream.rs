//! A completion in progress and its events. The content is a function of the prompt, so any part
//! can be sent again without storing it.

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

/// Id of a stream, chosen by the caller.
pub(super) type Id = String;

/// Whether and how a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// Still open.
    Open,
    /// All tokens were generated.
    Done,
    /// Cancelled, or cut by an order.
    Cut,
}

/// Progress of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: End,
}

/// A stream. Its events are one per token, one with the finish reason, and `[DONE]`.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: Id,
    pub(super) job: batch::Id,
    pub(super) request_id: String,
    pub(super) kind: Kind,
    pub(super) model: String,
    pub(super) digest: Digest,
    pub(super) prompt_tokens: u32,
    pub(super) total: u32,
    pub(super) cached: AtomicU32,
    pub(super) progress: watch::Sender<Progress>,
}

/// Buffer space of an event for its index and its server-sent-event fields.
const EVENT_OVERHEAD_BYTES: usize = 32;

impl Stream {
    /// Creates a stream without progress. The stream id and request id come from the headers, or
    /// are generated if missing.
    pub(super) fn new(
        kind: Kind,
        completion: &Completion,
        job: batch::Id,
        request: &HttpRequest,
    ) -> Self {
        let name = |header: &str| match request.header(header) {
            Some(name) if !name.is_empty() => name.to_owned(),
            _ => uuid::Uuid::new_v4().simple().to_string(),
        };
        Self {
            id: name("x-stream-id"),
            job,
            request_id: name("x-request-id"),
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

    /// Waits until the stream ends and returns how.
    pub(super) async fn ended(&self) -> End {
        let mut progress = self.progress.subscribe();
        let ended = progress
            .wait_for(|progress| progress.end != End::Open)
            .await;
        ended.map_or(End::Cut, |progress| progress.end)
    }

    /// Returns the number of events that can be sent now.
    pub(super) fn ready(&self, progress: Progress) -> u32 {
        match progress.end {
            End::Done => self.total + 2,
            _ => progress.produced,
        }
    }

    pub(super) fn set_produced(&self, produced: u32) {
        self.progress
            .send_modify(|progress| progress.produced = produced);
    }

    pub(super) fn finish(&self, cached: u32) {
        self.cached.store(cached, Ordering::Release);
        let (produced, end) = (self.total, End::Done);
        self.progress.send_replace(Progress { produced, end });
    }

    /// Cuts the stream, unless it has ended.
    pub(super) fn cut(&self) {
        self.progress.send_if_modified(|progress| {
            let open = progress.end == End::Open;
            if open {
                progress.end = End::Cut;
            }
            open
        });
    }

    /// Returns the events from `from` up to `to` as server-sent events.
    pub(super) fn events(&self, from: u32, to: u32) -> Vec<u8> {
        let (head, tail) = self.chunk_frame();
        let room =
            self.id.len() + head.len() + tail.len() + tokens::TOKEN_BYTES + EVENT_OVERHEAD_BYTES;
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

    /// Returns the body of the response without streaming.
    pub(super) fn full_body(&self) -> serde_json::Value {
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

    /// Returns the JSON before and after the token in a token's chunk.
    fn chunk_frame(&self) -> (String, &'static str) {
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

/// Streams that can be resumed or cancelled.
#[derive(Debug)]
pub(super) struct StreamTable {
    retention: Duration,
    streams: HashMap<Id, Arc<Stream>>,
    ended: VecDeque<(Instant, Id)>,
}

impl StreamTable {
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            retention,
            streams: HashMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Adds a stream; returns false if its id is in use.
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

    /// Marks a stream as ended: it is removed after the retention time.
    pub(super) fn end(&mut self, id: &str) {
        self.ended.push_back((Instant::now(), id.to_owned()));
        self.expire();
    }

    fn expire(&mut self) {
        while let Some((at, _)) = self.ended.front() {
            if at.elapsed() < self.retention {
                break;
            }
            if let Some((_, id)) = self.ended.pop_front() {
                self.streams.remove(&id);
            }
        }
    }
}
