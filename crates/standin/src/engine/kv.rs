//! Exported and imported KV caches, and their transfer between engines. A transfer sends a few
//! bytes per token and takes the time that the emulated size would need.

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
use crate::client::{self, FetchError};
use crate::fault::lock;
use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// Identifies a prompt's KV cache at an engine.
pub(super) type Handle = String;

/// Bytes actually sent for each token.
const TRANSFER_BYTES_PER_TOKEN: usize = 8;

/// How long unused KV is held, in real time.
const KV_RETENTION: Duration = Duration::from_secs(30);

/// The KV cache of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PromptKv {
    pub(super) digest: Digest,
    pub(super) tokens: u32,
}

/// The KV caches held by handle.
#[derive(Debug, Default)]
pub(super) struct KvStore {
    caches: HashMap<Handle, (Instant, PromptKv)>,
    link_free_at: Option<Instant>,
}

impl KvStore {
    pub(super) fn clear(&mut self) {
        self.caches.clear();
    }

    pub(super) fn tokens(&self) -> u32 {
        self.caches.values().map(|(_, prompt)| prompt.tokens).sum()
    }

    pub(super) fn take(&mut self, handle: &str) -> Option<PromptKv> {
        self.caches.remove(handle).map(|(_, prompt)| prompt)
    }

    /// Drops expired KV; returns whether there was any.
    pub(super) fn expire(&mut self) -> bool {
        let before = self.caches.len();
        self.caches
            .retain(|_, (since, _)| since.elapsed() < KV_RETENTION);
        self.caches.len() < before
    }

    fn hold(&mut self, prompt: PromptKv) -> Handle {
        let handle = uuid::Uuid::new_v4().simple().to_string();
        self.caches.insert(handle.clone(), (Instant::now(), prompt));
        handle
    }

    /// Reserves the engine's link for a transfer and returns when it ends.
    fn reserve(&mut self, duration: Duration) -> Instant {
        let now = Instant::now();
        let start = self.link_free_at.map_or(now, |free_at| free_at.max(now));
        self.link_free_at = Some(start + duration);
        start + duration
    }
}

/// Runs the prefill of a prompt and holds the resulting KV.
pub(super) async fn export(engine: &Arc<Engine>, request: &HttpRequest) -> HttpResponse {
    let completion = match Completion::parse(&request.body) {
        Ok(completion) => Completion {
            max_tokens: 1,
            ..completion
        },
        Err(error) => return response::bad_request(&error.to_string()),
    };
    if let Some(rejection) = completion::rejection(engine, &completion) {
        return rejection;
    }
    let prompt = PromptKv {
        digest: tokens::digest(&completion.prompt),
        tokens: tokens::count(&completion.prompt),
    };
    let job = prefill_job(engine, request, &completion, &prompt);
    if !engine.fits(&job) {
        return completion::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt too long");
    }
    let stream = Arc::new(Stream::new(Kind::Text, &completion, job.id, request));
    engine.submit(job, stream.clone());
    if stream.ended().await == End::Cut {
        return response::drop_connection();
    }
    let handle = lock(&engine.kv).hold(prompt);
    engine.update_held_tokens();
    response::ok(&json!({
        "handle": handle,
        "tokens": prompt.tokens,
        "bytes": u64::from(prompt.tokens) * engine.options.kv_token_bytes,
        "first_token": tokens::text(prompt.digest, 1),
    }))
}

fn prefill_job(
    engine: &Engine,
    request: &HttpRequest,
    completion: &Completion,
    prompt: &PromptKv,
) -> Job {
    Job {
        id: engine.new_job(),
        priority: completion::priority(request),
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

/// Sends held KV to another engine and releases it.
pub(super) fn fetch(engine: &Engine, handle: &str) -> HttpResponse {
    let Some(prompt) = lock(&engine.kv).take(handle) else {
        return response::not_found();
    };
    engine.update_held_tokens();
    let body = prompt.digest.to_be_bytes().repeat(prompt.tokens as usize);
    response::with_content_type(StatusCode::OK, "application/octet-stream", body)
}

#[derive(Deserialize)]
struct Import {
    from: String,
    handle: Handle,
}

/// Fetches KV from another engine and holds it.
pub(super) async fn import(engine: &Arc<Engine>, request: &HttpRequest) -> HttpResponse {
    let import: Import = match serde_json::from_slice(&request.body) {
        Ok(import) => import,
        Err(error) => return response::bad_request(&error.to_string()),
    };
    let prompt = match fetch_remote(&import).await {
        Ok(prompt) => prompt,
        Err(error) => return response::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let bytes = u64::from(prompt.tokens) * engine.options.kv_token_bytes;
    let duration = Duration::from_secs_f64(bytes as f64 / engine.options.kv_bandwidth as f64);
    let end = lock(&engine.kv).reserve(engine.clock.real_duration(duration));
    actix_rt::time::sleep_until(end.into()).await;
    if engine.load().kv_used.saturating_add(prompt.tokens) > engine.options.kv_tokens {
        return completion::not_run(StatusCode::SERVICE_UNAVAILABLE, "KV memory full");
    }
    let handle = lock(&engine.kv).hold(prompt);
    engine.update_held_tokens();
    response::ok(&json!({ "handle": handle, "tokens": prompt.tokens, "bytes": bytes }))
}

async fn fetch_remote(import: &Import) -> Result<PromptKv, Report<FetchError>> {
    let url = format!("http://{}/engine/kv/{}", import.from, import.handle);
    let body = client::get(&url).await?;
    let Some((digest, _)) = body.split_first_chunk::<TRANSFER_BYTES_PER_TOKEN>() else {
        bail!(FetchError::Truncated);
    };
    Ok(PromptKv {
        digest: Digest::from_be_bytes(*digest),
        tokens: u32::try_from(body.len() / TRANSFER_BYTES_PER_TOKEN).unwrap_or(u32::MAX),
    })
}
