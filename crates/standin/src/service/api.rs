//! The resources of `standin-service`.

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

/// All state of the process, shared by its connections.
#[derive(Debug)]
pub struct Service {
    options: Options,
    executions: Mutex<Executions>,
    previous: Mutex<String>,
    panel: FaultSwitches<Switches>,
}

impl Service {
    /// A service that has executed nothing.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            executions: Mutex::default(),
            previous: Mutex::default(),
            panel: FaultSwitches::new(options.seed),
            options,
        })
    }

    /// Answers a request.
    pub async fn handle(self: Arc<Self>, call: HttpRequest) -> HttpResponse {
        match call.path.as_str() {
            "/fault" => self.panel.handle(&call),
            "/standin/executions" => self.executions(&call),
            _ => self.execute(&call).await,
        }
    }

    fn executions(&self, call: &HttpRequest) -> HttpResponse {
        let mut executions = lock(&self.executions);
        if call.method == Method::DELETE {
            *executions = Executions::default();
        }
        match call.query_parameter("repeated") {
            Some(_) => response::ok(&executions.repeated()),
            None => response::ok(&*executions),
        }
    }

    async fn execute(&self, call: &HttpRequest) -> HttpResponse {
        if let Some(out) = self.panel.get().out.response().await {
            return out;
        }
        if self
            .panel
            .update(|switches| take_fault(&mut switches.drop_before))
        {
            return response::drop_connection();
        }
        let digest = blake3::hash(&call.body).to_hex();
        let request = call.header("x-request-id").unwrap_or_default();
        let times = lock(&self.executions).count(ExecutionKeys {
            request: (!request.is_empty()).then_some(request),
            key: call.header("idempotency-key"),
            body: (!call.body.is_empty()).then_some(digest.as_str()),
        });
        if let Some(failure) = self.fail().await {
            return failure;
        }
        let value = json!({
            "service": self.options.name,
            "method": call.method.as_str(),
            "path": call.path,
            "request_id": request,
            "digest": digest.as_str(),
            "times": times,
        });
        response::with_header(response::ok(&value), "x-request-id", &self.echo(request))
    }

    /// Lets the service time pass, and gives the answer of a fault if one is due.
    async fn fail(&self) -> Option<HttpResponse> {
        let switches = self.panel.get();
        let wait = Duration::from_millis(self.options.service_ms + switches.delay_ms);
        if !wait.is_zero() {
            sleep(wait).await;
        }
        if self
            .panel
            .update(|switches| take_fault(&mut switches.exit_after))
        {
            fault::exit("after an execution");
        }
        if self
            .panel
            .update(|switches| take_fault(&mut switches.never_answer))
        {
            return Some(response::never_respond().await);
        }
        let counted = self
            .panel
            .update(|switches| take_fault(&mut switches.drop_after));
        let dropped = counted || self.panel.chance(switches.drop_fraction);
        dropped.then(response::drop_connection)
    }

    /// The request id to answer with: the right one, unless the answer is to be crossed.
    fn echo(&self, request: &str) -> String {
        let previous = std::mem::replace(&mut *lock(&self.previous), request.to_owned());
        let crossed = self
            .panel
            .update(|switches| take_fault(&mut switches.crossed));
        match (crossed, previous.is_empty()) {
            (false, _) => request.to_owned(),
            (true, false) => previous,
            (true, true) => format!("{request}-crossed"),
        }
    }
}
