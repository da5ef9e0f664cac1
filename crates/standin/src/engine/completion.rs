//! Completions: turns a request into a job and the job's progress into the response.

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

/// Priority of a request without a valid `x-priority`.
const DEFAULT_PRIORITY: u8 = 4;

/// Fault that breaks a stream after some of its events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamFault {
    Drop,
    Cut,
    Exit,
}

/// An error response for a request that certainly did not run.
pub(super) fn not_run(status: StatusCode, text: &str) -> HttpResponse {
    response::json(status, &json!({ "ran": "no", "error": text }))
}

/// Returns the priority of a request.
pub(super) fn priority(request: &HttpRequest) -> u8 {
    let named = request
        .header("x-priority")
        .and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_PRIORITY)
}

/// Returns the error response if the engine cannot accept a completion now.
pub(super) fn rejection(engine: &Engine, completion: &Completion) -> Option<HttpResponse> {
    if lock(&engine.orders).running().is_some() {
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

/// Runs a completion and responds with its result.
pub(super) async fn complete(
    engine: &Arc<Engine>,
    kind: Kind,
    request: &HttpRequest,
) -> HttpResponse {
    let completion = match Completion::parse(&request.body) {
        Ok(completion) => completion,
        Err(error) => return not_run(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if let Some(rejection) = rejection(engine, &completion) {
        return rejection;
    }
    let stream = match start(engine, kind, &completion, request) {
        Ok(stream) => stream,
        Err(rejection) => return rejection,
    };
    if fault_due(engine, |switches| &mut switches.never_answer) {
        return response::never_respond().await;
    }
    if fault_due(engine, |switches| &mut switches.late) {
        let late = Duration::from_millis(engine.faults.get().late_ms);
        actix_rt::time::sleep(late).await;
    }
    let stream = response_stream(engine, stream);
    match completion.stream {
        true => {
            let fault = next_stream_fault(engine);
            event_stream(engine, &stream, 0, fault)
        }
        false => full_response(engine, &stream).await,
    }
}

/// Resumes a stream from an event on.
pub(super) fn resume(engine: &Arc<Engine>, id: &str, from: u64) -> HttpResponse {
    let Some(stream) = lock(&engine.streams).get(id) else {
        return response::not_found();
    };
    let from = u32::try_from(from)
        .unwrap_or(u32::MAX)
        .min(stream.total + 2);
    let fault = next_stream_fault(engine);
    event_stream(engine, &stream, from, fault)
}

/// Cancels a stream.
pub(super) fn cancel(engine: &Engine, id: &str) -> HttpResponse {
    let stream = lock(&engine.streams).remove(id);
    if let Some(stream) = stream {
        engine.cancel(&stream);
    }
    response::ok(&json!({}))
}

fn start(
    engine: &Arc<Engine>,
    kind: Kind,
    completion: &Completion,
    request: &HttpRequest,
) -> Result<Arc<Stream>, HttpResponse> {
    let stream = Arc::new(Stream::new(kind, completion, engine.new_job(), request));
    let mut job = Job {
        id: stream.job,
        priority: priority(request),
        prompt_tokens: stream.prompt_tokens,
        output_tokens: stream.total,
        blocks: Vec::new(),
        prefilled: false,
    };
    if !engine.fits(&job) {
        let text = "prompt and answer are too long";
        return Err(not_run(StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    if !lock(&engine.streams).insert(&stream) {
        return Err(not_run(StatusCode::CONFLICT, "stream id in use"));
    }
    if engine.options.instant {
        stream.finish(0);
        lock(&engine.streams).end(&stream.id);
        return Ok(stream);
    }
    job.prefilled = take_imported_kv(engine, &stream, request);
    let blocks = engine.options.block_tokens;
    job.blocks = prefix::block_hashes(&completion.model, &completion.prompt, blocks);
    engine.submit(job, stream.clone());
    Ok(stream)
}

/// Consumes the KV handle of the request and returns whether it replaces the prefill. With an
/// unknown handle, or one of another prompt, the prefill runs here.
fn take_imported_kv(engine: &Engine, stream: &Stream, request: &HttpRequest) -> bool {
    let Some(handle) = request.header("x-kv-handle") else {
        return false;
    };
    let prompt = lock(&engine.kv).take(handle);
    engine.update_held_tokens();
    prompt.is_some_and(|prompt| prompt.digest == stream.digest)
}

/// Returns the stream to respond with: the request's own, or the previous request's for the
/// `crossed` fault.
fn response_stream(engine: &Engine, stream: Arc<Stream>) -> Arc<Stream> {
    let previous = lock(&engine.previous).replace(stream.clone());
    if !fault_due(engine, |switches| &mut switches.crossed) {
        return stream;
    }
    previous
        .filter(|previous| previous.request_id != stream.request_id)
        .unwrap_or(stream)
}

fn fault_due(engine: &Engine, count: impl FnOnce(&mut Switches) -> &mut FaultCount) -> bool {
    engine.faults.update(|switches| take_fault(count(switches)))
}

/// Returns the fault for the next stream and the number of events sent before it.
fn next_stream_fault(engine: &Engine) -> Option<(u32, StreamFault)> {
    engine.faults.update(|switches| {
        let kind = if take_fault(&mut switches.exit_streams) {
            StreamFault::Exit
        } else if take_fault(&mut switches.cut_streams) {
            StreamFault::Cut
        } else if take_fault(&mut switches.drop_streams) {
            StreamFault::Drop
        } else {
            return None;
        };
        Some((switches.after_events, kind))
    })
}

async fn full_response(engine: &Engine, stream: &Stream) -> HttpResponse {
    if stream.ended().await != End::Done {
        return response::drop_connection();
    }
    if fault_due(engine, |switches| &mut switches.drop_after) {
        return response::drop_connection();
    }
    let response = response::ok(&stream.full_body());
    response::with_header(response, "x-request-id", &stream.request_id)
}

/// Position of a connection in its stream.
struct Cursor {
    engine: Arc<Engine>,
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    next: u32,
    fault: Option<(u32, StreamFault)>,
}

fn event_stream(
    engine: &Arc<Engine>,
    stream: &Arc<Stream>,
    from: u32,
    fault: Option<(u32, StreamFault)>,
) -> HttpResponse {
    let cursor = Cursor {
        engine: engine.clone(),
        stream: stream.clone(),
        progress: stream.progress.subscribe(),
        next: from,
        fault: fault.map(|(after, kind)| (from + after, kind)),
    };
    let body = stream::unfold(cursor, |mut cursor| async move {
        let chunk = cursor.next_chunk().await?;
        Some((chunk, cursor))
    });
    let body = BoxBody::new(BodyStream::new(Box::pin(body)));
    let mut response = Response::with_body(StatusCode::OK, body);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    response::with_header(response, "x-request-id", &stream.request_id)
}

impl Cursor {
    /// Returns the next events, at most `write_events` of those that are ready.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.next >= self.stream.total + 2 {
            return None;
        }
        if let Some((at, kind)) = self.fault
            && self.next >= at
        {
            // Let the earlier events be flushed first: a body that fails at once discards the
            // unsent bytes.
            actix_rt::task::yield_now().await;
            return Some(Err(self.apply_fault(kind)));
        }
        let Some(ready) = self.wait_ready().await else {
            return Some(Err(io::Error::other("the stream was cut")));
        };
        let most = self.next + self.engine.options.write_events.max(1);
        let stop = self.fault.map_or(u32::MAX, |(at, _)| at);
        let to = ready.min(most).min(stop);
        let bytes = self.stream.events(self.next, to);
        self.next = to;
        Some(Ok(bytes.into()))
    }

    /// Waits for an unsent event; returns `None` if there will be none.
    async fn wait_ready(&mut self) -> Option<u32> {
        let (stream, next) = (&self.stream, self.next);
        let due = |progress: &Progress| stream.ready(*progress) > next || progress.end == End::Cut;
        let progress = *self.progress.wait_for(due).await.ok()?;
        Some(stream.ready(progress)).filter(|ready| *ready > next)
    }

    fn apply_fault(&self, kind: StreamFault) -> io::Error {
        match kind {
            StreamFault::Drop => {}
            StreamFault::Cut => {
                lock(&self.engine.streams).remove(&self.stream.id);
                self.engine.cancel(&self.stream);
            }
            StreamFault::Exit => fault::exit("within a stream"),
        }
        io::Error::other("fault: the stream broke")
    }
}
