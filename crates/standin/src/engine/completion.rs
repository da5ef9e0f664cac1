//! Completions: from the request to its job, and from its progress to the answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde_json::json;
use tokio::sync::watch;

use super::batch::Job;
use super::prefix;
use super::request::{Completion, Kind};
use super::state::Engine;
use super::stream::{End, Progress, Stream};
use super::switches::Switches;
use crate::fault::{self, FaultCount, lock, take_fault};
use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 4;

/// What a fault does to a stream after some of its events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Break {
    Drop,
    Cut,
    Exit,
}

/// A refusal that is certain not to have run.
pub(super) fn not_run(status: StatusCode, text: &str) -> HttpResponse {
    response::json(status, &json!({ "ran": "no", "error": text }))
}

/// The priority that a request names.
pub(super) fn priority(call: &HttpRequest) -> u8 {
    let named = call.header("x-priority").and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_PRIORITY)
}

/// Why the engine takes no work for a completion now, if so.
pub(super) fn refusal(engine: &Engine, completion: &Completion) -> Option<HttpResponse> {
    if lock(&engine.book).running().is_some() {
        let text = "an order runs";
        return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, text));
    }
    let models = lock(&engine.models);
    let name = completion.model.as_str();
    let known = |model: &super::orders::Model| {
        let version = format!("{}@{}", model.model, model.version);
        let adapter = format!("{}+{}", model.model, model.adapter);
        let full = format!("{version}+{}", model.adapter);
        name == model.model || name == version || name == adapter || name == full
    };
    let open = engine.options.models.is_empty();
    if !open && !models.iter().any(known) {
        return Some(not_run(StatusCode::NOT_FOUND, "model not loaded"));
    }
    None
}

/// Answers a completion.
pub(super) async fn create(engine: &Arc<Engine>, kind: Kind, call: &HttpRequest) -> HttpResponse {
    let completion = match Completion::parse(&call.body) {
        Ok(completion) => completion,
        Err(error) => return not_run(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if let Some(refusal) = refusal(engine, &completion) {
        return refusal;
    }
    let stream = match start(engine, kind, &completion, call) {
        Ok(stream) => stream,
        Err(refusal) => return refusal,
    };
    if due(engine, |switches| &mut switches.never_answer) {
        return response::never_respond().await;
    }
    if due(engine, |switches| &mut switches.late) {
        let late = Duration::from_millis(engine.panel.get().late_ms);
        actix_rt::time::sleep(late).await;
    }
    let stream = cross(engine, stream);
    match completion.stream {
        true => {
            let broken = breaks(engine);
            events(engine, &stream, 0, broken)
        }
        false => whole(engine, &stream).await,
    }
}

/// Answers a stream from an event on.
pub(super) fn resume(engine: &Arc<Engine>, id: &str, from: u64) -> HttpResponse {
    let Some(stream) = lock(&engine.table).get(id) else {
        return response::not_found();
    };
    let from = u32::try_from(from)
        .unwrap_or(u32::MAX)
        .min(stream.total + 2);
    let broken = breaks(engine);
    events(engine, &stream, from, broken)
}

/// Cancels a stream.
pub(super) fn cancel(engine: &Engine, id: &str) -> HttpResponse {
    let stream = lock(&engine.table).remove(id);
    if let Some(stream) = stream {
        engine.cancel(&stream);
    }
    response::ok(&json!({}))
}

fn start(
    engine: &Arc<Engine>,
    kind: Kind,
    completion: &Completion,
    call: &HttpRequest,
) -> Result<Arc<Stream>, HttpResponse> {
    let stream = Arc::new(Stream::new(kind, completion, engine.new_job(), call));
    let mut job = Job {
        id: stream.job,
        priority: priority(call),
        prompt_tokens: stream.prompt_tokens,
        output_tokens: stream.total,
        blocks: Vec::new(),
        prefilled: false,
    };
    if !engine.fits(&job) {
        let text = "prompt and answer are too long";
        return Err(not_run(StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    if !lock(&engine.table).insert(&stream) {
        return Err(not_run(StatusCode::CONFLICT, "stream id in use"));
    }
    if engine.options.instant {
        stream.finish(0);
        lock(&engine.table).end(&stream.id);
        return Ok(stream);
    }
    job.prefilled = imported(engine, &stream, call);
    let blocks = engine.options.block_tokens;
    job.blocks = prefix::block_hashes(&completion.model, &completion.prompt, blocks);
    engine.submit(job, stream.clone());
    Ok(stream)
}

/// Uses up the KV that the request names. An unknown handle, or one of another prompt, only means
/// that the prefill has to run here.
fn imported(engine: &Engine, stream: &Stream, call: &HttpRequest) -> bool {
    let Some(handle) = call.header("x-kv-handle") else {
        return false;
    };
    let prompt = lock(&engine.kv).take(handle);
    engine.hold();
    prompt.is_some_and(|prompt| prompt.digest == stream.digest)
}

/// The stream to answer with: the request's own, unless the answer is to be crossed.
fn cross(engine: &Engine, stream: Arc<Stream>) -> Arc<Stream> {
    let previous = lock(&engine.previous).replace(stream.clone());
    if !due(engine, |switches| &mut switches.crossed) {
        return stream;
    }
    previous
        .filter(|one| one.request != stream.request)
        .unwrap_or(stream)
}

fn due(engine: &Engine, times: impl FnOnce(&mut Switches) -> &mut FaultCount) -> bool {
    engine.panel.update(|switches| take_fault(times(switches)))
}

/// The fault that meets the next stream, with the event before which it does.
fn breaks(engine: &Engine) -> Option<(u32, Break)> {
    engine.panel.update(|switches| {
        let kind = if take_fault(&mut switches.exit_streams) {
            Break::Exit
        } else if take_fault(&mut switches.cut_streams) {
            Break::Cut
        } else if take_fault(&mut switches.drop_streams) {
            Break::Drop
        } else {
            return None;
        };
        Some((switches.after_events, kind))
    })
}

async fn whole(engine: &Engine, stream: &Stream) -> HttpResponse {
    if stream.ended().await != End::Done {
        return response::drop_connection();
    }
    if due(engine, |switches| &mut switches.drop_after) {
        return response::drop_connection();
    }
    let answer = response::ok(&stream.whole());
    response::with_header(answer, "x-request-id", &stream.request)
}

/// Where a connection is in its stream.
struct Cursor {
    engine: Arc<Engine>,
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    next: u32,
    broken: Option<(u32, Break)>,
}

fn events(
    engine: &Arc<Engine>,
    stream: &Arc<Stream>,
    from: u32,
    broken: Option<(u32, Break)>,
) -> HttpResponse {
    let cursor = Cursor {
        engine: engine.clone(),
        stream: stream.clone(),
        progress: stream.progress.subscribe(),
        next: from,
        broken: broken.map(|(after, kind)| (from + after, kind)),
    };
    let body = stream::unfold(cursor, |mut cursor| async move {
        let chunk = cursor.chunk().await?;
        Some((chunk, cursor))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(body)));
    let mut answer = Response::with_body(StatusCode::OK, body);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response::with_header(answer, "x-request-id", &stream.request)
}

impl Cursor {
    /// The next events, as many as are ready and may be written at once.
    async fn chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.next >= self.stream.total + 2 {
            return None;
        }
        if let Some((at, kind)) = self.broken
            && self.next >= at
        {
            // What was sent before has to reach the caller first: a body that fails at once takes
            // the unsent bytes along.
            actix_rt::task::yield_now().await;
            return Some(Err(self.fail(kind)));
        }
        let Some(ready) = self.wait().await else {
            return Some(Err(io::Error::other("the stream was cut")));
        };
        let most = self.next + self.engine.options.write_events.max(1);
        let stop = self.broken.map_or(u32::MAX, |(at, _)| at);
        let to = ready.min(most).min(stop);
        let bytes = self.stream.events(self.next, to);
        self.next = to;
        Some(Ok(bytes.into()))
    }

    /// Waits for an event that is not sent yet; `None` if there will be none.
    async fn wait(&mut self) -> Option<u32> {
        let (stream, next) = (&self.stream, self.next);
        let due = |progress: &Progress| stream.ready(*progress) > next || progress.end == End::Cut;
        let progress = *self.progress.wait_for(due).await.ok()?;
        Some(stream.ready(progress)).filter(|ready| *ready > next)
    }

    fn fail(&self, kind: Break) -> io::Error {
        match kind {
            Break::Drop => {}
            Break::Cut => {
                lock(&self.engine.table).remove(&self.stream.id);
                self.engine.cancel(&self.stream);
            }
            Break::Exit => fault::exit("within a stream"),
        }
        io::Error::other("fault: the stream broke")
    }
}
