//! The resources of `standin-service`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::Method;
use actix_rt::time::sleep;
use serde_json::json;

use super::executions::{Executions, Names};
use super::{Options, Switches};
use crate::answer;
use crate::fault::{self, Panel, lock, take};
use crate::http::{Answer, Call};

/// All state of the process, shared by its connections.
#[derive(Debug)]
pub struct Service {
    options: Options,
    executions: Mutex<Executions>,
    previous: Mutex<String>,
    panel: Panel<Switches>,
}

impl Service {
    /// A service that has executed nothing.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            executions: Mutex::default(),
            previous: Mutex::default(),
            panel: Panel::new(options.seed),
            options,
        })
    }

    /// Answers a request.
    pub async fn answer(self: Arc<Self>, call: Call) -> Answer {
        match call.path.as_str() {
            "/fault" => self.panel.answer(&call),
            "/standin/executions" => self.executions(&call),
            _ => self.execute(&call).await,
        }
    }

    fn executions(&self, call: &Call) -> Answer {
        let mut executions = lock(&self.executions);
        if call.method == Method::DELETE {
            *executions = Executions::default();
        }
        match call.parameter("repeated") {
            Some(_) => answer::ok(&executions.repeated()),
            None => answer::ok(&*executions),
        }
    }

    async fn execute(&self, call: &Call) -> Answer {
        if let Some(out) = self.panel.get().out.answer().await {
            return out;
        }
        if self
            .panel
            .update(|switches| take(&mut switches.drop_before))
        {
            return answer::drop_connection();
        }
        let digest = blake3::hash(&call.body).to_hex();
        let request = call.header("x-request-id").unwrap_or_default();
        let times = lock(&self.executions).count(Names {
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
        answer::with_header(answer::ok(&value), "x-request-id", &self.echo(request))
    }

    /// Lets the service time pass, and gives the answer of a fault if one is due.
    async fn fail(&self) -> Option<Answer> {
        let switches = self.panel.get();
        let wait = Duration::from_millis(self.options.service_ms + switches.delay_ms);
        if !wait.is_zero() {
            sleep(wait).await;
        }
        if self.panel.update(|switches| take(&mut switches.exit_after)) {
            fault::exit("after an execution");
        }
        if self
            .panel
            .update(|switches| take(&mut switches.never_answer))
        {
            return Some(answer::silence().await);
        }
        let counted = self.panel.update(|switches| take(&mut switches.drop_after));
        let dropped = counted || self.panel.chance(switches.drop_fraction);
        dropped.then(answer::drop_connection)
    }

    /// The request id to answer with: the right one, unless the answer is to be crossed.
    fn echo(&self, request: &str) -> String {
        let previous = std::mem::replace(&mut *lock(&self.previous), request.to_owned());
        let crossed = self.panel.update(|switches| take(&mut switches.crossed));
        match (crossed, previous.is_empty()) {
            (false, _) => request.to_owned(),
            (true, false) => previous,
            (true, true) => format!("{request}-crossed"),
        }
    }
}
