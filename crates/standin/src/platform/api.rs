//! HTTP interface of `standin-platform`.

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

/// Records per page unless the request sets `max`.
const DEFAULT_PAGE_RECORDS: u64 = 1000;

/// Upper bound of `wait_ms` of a read.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

/// State of the process, shared by all connections.
#[derive(Debug)]
pub struct Platform {
    options: Options,
    start: Instant,
    log: Mutex<Log>,
    next_offset: watch::Sender<Offset>,
    instances: Mutex<List>,
    weights: Arc<WeightStore>,
    faults: FaultSwitches<Switches>,
}

#[derive(Serialize)]
struct EncodedRecord {
    offset: Offset,
    data: String,
}

#[derive(Serialize)]
struct EncodedPage {
    first: Offset,
    next: Offset,
    records: Vec<EncodedRecord>,
}

impl Platform {
    /// Creates a platform with an empty log and instance list.
    pub fn new(options: Options) -> Arc<Self> {
        let limits = Limits {
            max_age: Duration::from_secs_f64(options.retention_s),
            max_records: options.retention_count,
            append_rate: options.append_rate,
        };
        Arc::new(Self {
            start: Instant::now(),
            log: Mutex::new(Log::new(limits)),
            next_offset: watch::Sender::new(1),
            instances: Mutex::default(),
            weights: Arc::new(WeightStore::new(
                options.weight_rate,
                options.weight_transfers,
            )),
            faults: FaultSwitches::new(options.seed),
            options,
        })
    }

    /// Handles a request.
    pub async fn handle(self: Arc<Self>, request: HttpRequest) -> HttpResponse {
        let segments = request.segments();
        match (request.method.as_str(), segments.as_slice()) {
            (_, ["fault"]) => self.faults.handle(&request),
            ("POST", ["log", "append"]) => self.append(&request).await,
            ("GET", ["log", "read"]) => self.read(&request).await,
            (_, ["instances", ..]) => self.instances(&request, &segments[1..]).await,
            ("GET", ["weights", _model, _version]) => self.weights(&request).await,
            _ => response::not_found(),
        }
    }

    fn now(&self) -> Moment {
        self.start.elapsed()
    }

    async fn append(&self, request: &HttpRequest) -> HttpResponse {
        let switches = self.faults.get();
        if let Some(out) = switches.append.response().await {
            return out;
        }
        sleep_ms(self.options.append_ms + switches.append_delay_ms).await;
        let appended = {
            let mut log = lock(&self.log);
            let appended = log.append(self.now(), request.body.clone());
            self.next_offset.send_replace(log.next());
            appended
        };
        let Some(offset) = appended else {
            return response::too_many_requests();
        };
        sleep_ms(switches.append_answer_delay_ms).await;
        let counted = self
            .faults
            .update(|switches| take_fault(&mut switches.lose_answers));
        if counted || self.faults.chance(switches.lose_fraction) {
            log::info!(offset; "fault: response to an append dropped");
            return match switches.lose_silently {
                true => response::never_respond().await,
                false => response::drop_connection(),
            };
        }
        response::ok(&json!({ "offset": offset }))
    }

    async fn read(&self, request: &HttpRequest) -> HttpResponse {
        let switches = self.faults.get();
        if let Some(out) = switches.read.response().await {
            return out;
        }
        sleep_ms(switches.read_delay_ms).await;
        let from = request.query_number("from").unwrap_or(1);
        let max = request.query_number("max").unwrap_or(DEFAULT_PAGE_RECORDS) as usize;
        let wait =
            Duration::from_millis(request.query_number("wait_ms").unwrap_or(0)).min(MAX_READ_WAIT);
        let mut next = self.next_offset.subscribe();
        // A timeout needs no handling: it shows as a page without records.
        let _ = timeout(wait, next.wait_for(|next| *next > from)).await;
        // An outage that began during the wait applies to this response too.
        if let Some(out) = self.faults.get().read.response().await {
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
                let records = records.into_iter().map(|record| EncodedRecord {
                    offset: record.offset,
                    data: STANDARD.encode(&record.data),
                });
                let records = records.collect();
                response::ok(&EncodedPage {
                    first,
                    next,
                    records,
                })
            }
        }
    }

    async fn instances(&self, request: &HttpRequest, path: &[&str]) -> HttpResponse {
        let switches = self.faults.get();
        if request.method == Method::GET
            && let Some(out) = switches.instances.response().await
        {
            return out;
        }
        let now = self.now();
        let mut list = lock(&self.instances);
        let done = match (request.method.as_str(), path) {
            ("GET", []) => {
                let lag = switches
                    .instance_lag_ms
                    .unwrap_or(self.options.instance_lag_ms);
                let lag = Duration::from_millis(lag);
                return response::ok(&list.lagged(now, lag, switches.freeze_instances));
            }
            ("POST", []) => match serde_json::from_slice::<Instance>(&request.body) {
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

    async fn weights(&self, request: &HttpRequest) -> HttpResponse {
        let switches = self.faults.get();
        if let Some(out) = switches.weights.response().await {
            return out;
        }
        let bytes = match request.query_parameter("adapter") {
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
