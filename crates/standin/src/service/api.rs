//! HTTP interface of `standin-service`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::Method;
use actix_rt::time::sleep;
use serde_json::json;

use super::executions::{ExecutionKeys, Executions};
use super::{Options, Switches};
use crate::fault::{self, FaultSwitches, lock, take_fault};
use crate::http::{HttpRequest, HttpResponse};
use crate::response;

/// State of the process, shared by all connections.
#[derive(Debug)]
pub struct Service {
    options: Options,
    executions: Mutex<Executions>,
    previous_request: Mutex<String>,
    faults: FaultSwitches<Switches>,
}

impl Service {
    /// Creates a service without executions.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            executions: Mutex::default(),
            previous_request: Mutex::default(),
            faults: FaultSwitches::new(options.seed),
            options,
        })
    }

    /// Handles a request.
    pub async fn handle(self: Arc<Self>, request: HttpRequest) -> HttpResponse {
        match request.path.as_str() {
            "/fault" => self.faults.handle(&request),
            "/standin/executions" => self.executions(&request),
            _ => self.execute(&request).await,
        }
    }

    fn executions(&self, request: &HttpRequest) -> HttpResponse {
        let mut executions = lock(&self.executions);
        if request.method == Method::DELETE {
            *executions = Executions::default();
        }
        match request.query_parameter("repeated") {
            Some(_) => response::ok(&executions.repeated()),
            None => response::ok(&*executions),
        }
    }

    async fn execute(&self, request: &HttpRequest) -> HttpResponse {
        if let Some(out) = self.faults.get().out.response().await {
            return out;
        }
        if self
            .faults
            .update(|switches| take_fault(&mut switches.drop_before))
        {
            return response::drop_connection();
        }
        let digest = blake3::hash(&request.body).to_hex();
        let request_id = request.header("x-request-id").unwrap_or_default();
        let times = lock(&self.executions).count(ExecutionKeys {
            request: (!request_id.is_empty()).then_some(request_id),
            key: request.header("idempotency-key"),
            body: (!request.body.is_empty()).then_some(digest.as_str()),
        });
        if let Some(failure) = self.fault_after_delay().await {
            return failure;
        }
        let value = json!({
            "service": self.options.name,
            "method": request.method.as_str(),
            "path": request.path,
            "request_id": request_id,
            "digest": digest.as_str(),
            "times": times,
        });
        response::with_header(
            response::ok(&value),
            "x-request-id",
            &self.response_request_id(request_id),
        )
    }

    /// Waits for the service time, then returns the response of a fault if one applies.
    async fn fault_after_delay(&self) -> Option<HttpResponse> {
        let switches = self.faults.get();
        let wait = Duration::from_millis(self.options.service_ms + switches.delay_ms);
        if !wait.is_zero() {
            sleep(wait).await;
        }
        if self
            .faults
            .update(|switches| take_fault(&mut switches.exit_after))
        {
            fault::exit("after an execution");
        }
        if self
            .faults
            .update(|switches| take_fault(&mut switches.never_answer))
        {
            return Some(response::never_respond().await);
        }
        let counted = self
            .faults
            .update(|switches| take_fault(&mut switches.drop_after));
        let dropped = counted || self.faults.chance(switches.drop_fraction);
        dropped.then(response::drop_connection)
    }

    /// Returns the request id for the response: the request's own, or another one for the `crossed`
    /// fault.
    fn response_request_id(&self, request_id: &str) -> String {
        let previous = std::mem::replace(&mut *lock(&self.previous_request), request_id.to_owned());
        let crossed = self
            .faults
            .update(|switches| take_fault(&mut switches.crossed));
        match (crossed, previous.is_empty()) {
            (false, _) => request_id.to_owned(),
            (true, false) => previous,
            (true, true) => format!("{request_id}-crossed"),
        }
    }
}
