//! KV cache that was exported or imported and waits to be fetched or used, and its transfer
//! between engines. The transfer is real but small; the time is that of the emulated bytes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use error_stack::{Report, bail};
use serde::Deserialize;
use serde_json::json;

use super::batch::Job;
use super::request::{Completion, Kind};
use super::state::Engine;
use super::stream::{End, Stream};
use super::tokens::{self, Digest};
use super::{completion, prefix};
use crate::client::{self, Failure};
use crate::fault::lock;
use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// Name of a prompt's KV at an engine.
pub(super) type Handle = String;

/// Bytes that are really transferred for each token.
const SMALL_BYTES: usize = 8;

/// How long KV is held that nobody fetches or uses, in real time.
const HELD_FOR: Duration = Duration::from_secs(30);

/// The KV of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Prompt {
    pub(super) digest: Digest,
    pub(super) tokens: u32,
}

/// The KV that is held.
#[derive(Debug, Default)]
pub(super) struct Store {
    held: HashMap<Handle, (Instant, Prompt)>,
    link_free_at: Option<Instant>,
}

impl Store {
    pub(super) fn clear(&mut self) {
        self.held.clear();
    }

    pub(super) fn tokens(&self) -> u32 {
        self.held.values().map(|(_, prompt)| prompt.tokens).sum()
    }

    pub(super) fn take(&mut self, handle: &str) -> Option<Prompt> {
        self.held.remove(handle).map(|(_, prompt)| prompt)
    }

    /// Drops what was held too long; true if there was any.
    pub(super) fn expire(&mut self) -> bool {
        let before = self.held.len();
        self.held.retain(|_, (since, _)| since.elapsed() < HELD_FOR);
        self.held.len() < before
    }

    fn hold(&mut self, prompt: Prompt) -> Handle {
        let handle = uuid::Uuid::new_v4().simple().to_string();
        self.held.insert(handle.clone(), (Instant::now(), prompt));
        handle
    }

    /// Reserves the engine's link for a transfer and gives the moment of its end.
    fn reserve(&mut self, duration: Duration) -> Instant {
        let now = Instant::now();
        let start = self.link_free_at.map_or(now, |free_at| free_at.max(now));
        self.link_free_at = Some(start + duration);
        start + duration
    }
}

/// Runs the prefill of a prompt and holds its KV.
pub(super) async fn export(engine: &Arc<Engine>, call: &HttpRequest) -> HttpResponse {
    let completion = match Completion::parse(&call.body) {
        Ok(completion) => Completion {
            max_tokens: 1,
            ..completion
        },
        Err(error) => return response::bad_request(&error.to_string()),
    };
    if let Some(refusal) = completion::refusal(engine, &completion) {
        return refusal;
    }
    let prompt = Prompt {
        digest: tokens::digest(&completion.prompt),
        tokens: tokens::count(&completion.prompt),
    };
    let job = prefill(engine, call, &completion, &prompt);
    if !engine.fits(&job) {
        return completion::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt too long");
    }
    let stream = Arc::new(Stream::new(Kind::Text, &completion, job.id, call));
    engine.submit(job, stream.clone());
    if stream.ended().await == End::Cut {
        return response::drop_connection();
    }
    let handle = lock(&engine.kv).hold(prompt);
    engine.hold();
    response::ok(&json!({
        "handle": handle,
        "tokens": prompt.tokens,
        "bytes": u64::from(prompt.tokens) * engine.options.kv_token_bytes,
        "first_token": tokens::text(prompt.digest, 1),
    }))
}

fn prefill(engine: &Engine, call: &HttpRequest, completion: &Completion, prompt: &Prompt) -> Job {
    Job {
        id: engine.new_job(),
        priority: completion::priority(call),
        prompt_tokens: prompt.tokens,
        output_tokens: completion.max_tokens,
        blocks: prefix::block_hashes(
            &completion.model,
            &completion.prompt,
            engine.options.block_tokens,
        ),
        prefilled: false,
    }
}

/// Gives the KV to another engine and lets go of it.
pub(super) fn fetch(engine: &Engine, handle: &str) -> HttpResponse {
    let Some(prompt) = lock(&engine.kv).take(handle) else {
        return response::not_found();
    };
    engine.hold();
    let body = prompt.digest.to_be_bytes().repeat(prompt.tokens as usize);
    response::with_content_type(StatusCode::OK, "application/octet-stream", body)
}

#[derive(Deserialize)]
struct Import {
    from: String,
    handle: Handle,
}

/// Fetches KV from another engine and holds it.
pub(super) async fn import(engine: &Arc<Engine>, call: &HttpRequest) -> HttpResponse {
    let import: Import = match serde_json::from_slice(&call.body) {
        Ok(import) => import,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let prompt = match transfer(&import).await {
        Ok(prompt) => prompt,
        Err(error) => return response::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let bytes = u64::from(prompt.tokens) * engine.options.kv_token_bytes;
    let duration = Duration::from_secs_f64(bytes as f64 / engine.options.kv_bandwidth as f64);
    let end = lock(&engine.kv).reserve(engine.scale.real(duration));
    actix_rt::time::sleep_until(end.into()).await;
    if engine.load().kv_used.saturating_add(prompt.tokens) > engine.options.kv_tokens {
        return completion::not_run(StatusCode::SERVICE_UNAVAILABLE, "KV memory full");
    }
    let handle = lock(&engine.kv).hold(prompt);
    engine.hold();
    response::ok(&json!({ "handle": handle, "tokens": prompt.tokens, "bytes": bytes }))
}

async fn transfer(import: &Import) -> Result<Prompt, Report<Failure>> {
    let url = format!("http://{}/engine/kv/{}", import.from, import.handle);
    let body = client::get(&url).await?;
    let Some((digest, _)) = body.split_first_chunk::<SMALL_BYTES>() else {
        bail!(Failure::Broken);
    };
    Ok(Prompt {
        digest: Digest::from_be_bytes(*digest),
        tokens: u32::try_from(body.len() / SMALL_BYTES).unwrap_or(u32::MAX),
    })
}
