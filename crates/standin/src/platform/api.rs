//! The resources of `standin-platform`.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{Method, Response, StatusCode};
use actix_rt::time::{sleep, timeout};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Serialize;
use serde_json::json;
use tokio::sync::watch;

use super::instances::{Instance, List};
use super::log::{Limits, Log, Moment, Offset, Page};
use super::weights::WeightStore;
use super::{Options, Switches};
use crate::fault::{FaultSwitches, lock, take_fault};
use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// Records of a page when the caller names no number.
const PAGE: u64 = 1000;

/// Longest wait of a read.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// All state of the process, shared by its connections.
#[derive(Debug)]
pub struct Platform {
    options: Options,
    start: Instant,
    log: Mutex<Log>,
    next: watch::Sender<Offset>,
    instances: Mutex<List>,
    weights: Arc<WeightStore>,
    panel: FaultSwitches<Switches>,
}

#[derive(Serialize)]
struct Row {
    offset: Offset,
    data: String,
}

#[derive(Serialize)]
struct Rows {
    first: Offset,
    next: Offset,
    records: Vec<Row>,
}

impl Platform {
    /// An empty platform.
    pub fn new(options: Options) -> Arc<Self> {
        let limits = Limits {
            max_age: Duration::from_secs_f64(options.retention_s),
            max_records: options.retention_count,
            append_rate: options.append_rate,
        };
        Arc::new(Self {
            start: Instant::now(),
            log: Mutex::new(Log::new(limits)),
            next: watch::Sender::new(1),
            instances: Mutex::default(),
            weights: Arc::new(WeightStore::new(
                options.weight_rate,
                options.weight_transfers,
            )),
            panel: FaultSwitches::new(options.seed),
            options,
        })
    }

    /// Answers a request.
    pub async fn handle(self: Arc<Self>, call: HttpRequest) -> HttpResponse {
        let segments = call.segments();
        match (call.method.as_str(), segments.as_slice()) {
            (_, ["fault"]) => self.panel.handle(&call),
            ("POST", ["log", "append"]) => self.append(&call).await,
            ("GET", ["log", "read"]) => self.read(&call).await,
            (_, ["instances", ..]) => self.instances(&call, &segments[1..]).await,
            ("GET", ["weights", _model, _version]) => self.weights(&call).await,
            _ => response::not_found(),
        }
    }

    fn now(&self) -> Moment {
        self.start.elapsed()
    }

    async fn append(&self, call: &HttpRequest) -> HttpResponse {
        let switches = self.panel.get();
        if let Some(out) = switches.append.response().await {
            return out;
        }
        sleep_ms(self.options.append_ms + switches.append_delay_ms).await;
        let appended = {
            let mut log = lock(&self.log);
            let appended = log.append(self.now(), call.body.clone());
            self.next.send_replace(log.next());
            appended
        };
        let Some(offset) = appended else {
            return response::too_many_requests();
        };
        sleep_ms(switches.append_answer_delay_ms).await;
        let counted = self
            .panel
            .update(|switches| take_fault(&mut switches.lose_answers));
        if counted || self.panel.chance(switches.lose_fraction) {
            log::info!(offset; "fault: the answer to an append is lost");
            return match switches.lose_silently {
                true => response::never_respond().await,
                false => response::drop_connection(),
            };
        }
        response::ok(&json!({ "offset": offset }))
    }

    async fn read(&self, call: &HttpRequest) -> HttpResponse {
        let switches = self.panel.get();
        if let Some(out) = switches.read.response().await {
            return out;
        }
        sleep_ms(switches.read_delay_ms).await;
        let from = call.query_number("from").unwrap_or(1);
        let max = call.query_number("max").unwrap_or(PAGE) as usize;
        let wait =
            Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(LONGEST_WAIT);
        let mut next = self.next.subscribe();
        // The outcome of the wait does not matter: a page without records tells that it timed out.
        let _ = timeout(wait, next.wait_for(|next| *next > from)).await;
        // An outage that began during the wait holds for this answer as well.
        if let Some(out) = self.panel.get().read.response().await {
            return out;
        }
        let mut log = lock(&self.log);
        let page = log.read(self.now(), from, max);
        let (first, next) = (log.first(), log.next());
        match page {
            Page::Gone => {
                response::json(StatusCode::GONE, &json!({ "first": first, "next": next }))
            }
            Page::Records(records) => {
                let records = records.into_iter().map(|record| Row {
                    offset: record.offset,
                    data: STANDARD.encode(&record.data),
                });
                let records = records.collect();
                response::ok(&Rows {
                    first,
                    next,
                    records,
                })
            }
        }
    }

    async fn instances(&self, call: &HttpRequest, path: &[&str]) -> HttpResponse {
        let switches = self.panel.get();
        if call.method == Method::GET
            && let Some(out) = switches.instances.response().await
        {
            return out;
        }
        let now = self.now();
        let mut list = lock(&self.instances);
        let done = match (call.method.as_str(), path) {
            ("GET", []) => {
                let lag = switches
                    .instance_lag_ms
                    .unwrap_or(self.options.instance_lag_ms);
                let lag = Duration::from_millis(lag);
                return response::ok(&list.lagged(now, lag, switches.freeze_instances));
            }
            ("POST", []) => match serde_json::from_slice::<Instance>(&call.body) {
                Ok(instance) => {
                    list.register(now, instance);
                    true
                }
                Err(error) => return response::bad_request(&error.to_string()),
            },
            ("POST", [id, "leave"]) => list.leave(now, id),
            ("DELETE", [id]) => list.remove(now, id),
            _ => false,
        };
        match done {
            true => response::ok(&json!({})),
            false => response::not_found(),
        }
    }

    async fn weights(&self, call: &HttpRequest) -> HttpResponse {
        let switches = self.panel.get();
        if let Some(out) = switches.weights.response().await {
            return out;
        }
        let bytes = match call.query_parameter("adapter") {
            Some(name) if !name.is_empty() => self.options.adapter_bytes,
            _ => self.options.weight_bytes,
        };
        match self.weights.begin(bytes, switches.weight_slow) {
            Some(transfer) => {
                let body = SizedStream::new(bytes, Box::pin(transfer.body()));
                Response::with_body(StatusCode::OK, BoxBody::new(body))
            }
            None => response::too_many_requests(),
        }
    }
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}
