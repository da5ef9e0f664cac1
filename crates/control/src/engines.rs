//! Calls to engines, each in its own task that sends the result as a message.

use std::rc::Rc;
use std::time::Duration;

use authority::change::{Input, Output, RequestId, SendResult};
use authority::engine::{LastOrder, Progress, Reading};
use authority::{Fence, OrderId, UpstreamId};
use clock::Moment;
use error_stack::Report;
use fleet::list::Kind;
use fleet::upstream::Observation;
use platform::{EngineError, EngineReport, EngineState};
use tokio::net::TcpStream;

use crate::message::{Message, Sender, send};
use crate::order::{from_model, from_role, to_platform_action};

/// Result of a call to an engine, or of a probe of a plain service.
#[derive(Debug)]
pub(crate) enum EngineReply {
    /// Input for the change of an order.
    Change {
        scope: String,
        order: OrderId,
        input: Input,
    },
    /// The state of an engine without a change under way.
    Checked {
        scope: String,
        upstream: UpstreamId,
        settled: OrderId,
        reading: Reading,
    },
    /// The result of a probe of an ejected upstream.
    Probed {
        upstream: UpstreamId,
        observation: Observation,
    },
    /// A load report, or `None` if it could not be read.
    Reported {
        upstream: UpstreamId,
        report: Option<EngineReport>,
    },
}

/// Reads the clock of the process.
pub(crate) type Now = Rc<dyn Fn() -> Moment>;

/// Client for the control calls of engines.
#[derive(Clone)]
pub(crate) struct Engines {
    client: platform::EngineClient,
    timeout: Duration,
    now: Now,
    sender: Sender,
}

impl Engines {
    pub(crate) fn new(timeout: Duration, now: Now, sender: Sender) -> Self {
        Self {
            client: platform::EngineClient::new(timeout),
            timeout,
            now,
            sender,
        }
    }

    /// Carries out an output of a change at the engine. If its address is not known, it counts as
    /// unreachable.
    pub(crate) fn change(
        &self,
        scope: &str,
        order: OrderId,
        address: Option<String>,
        output: Output,
    ) {
        let (engines, scope) = (self.clone(), scope.to_owned());
        actix_rt::spawn(async move {
            let input = match output {
                Output::Read { request } => engines.read(request, address).await,
                Output::Send {
                    request,
                    order,
                    fence,
                    action,
                    not_after,
                } => {
                    let order = platform::Order {
                        order,
                        fence,
                        action: to_platform_action(&action),
                    };
                    Input::Sent(request, engines.order(address, &order, not_after).await)
                }
                Output::Cancel {
                    request,
                    order,
                    fence,
                    not_after,
                } => {
                    let result = engines.cancel(address, order, fence, not_after).await;
                    Input::Cancelled(request, result)
                }
                // The planner turns it into an append, so it does not get here.
                Output::Conclude { .. } => return,
            };
            engines.send_reply(EngineReply::Change {
                scope,
                order,
                input,
            });
        });
    }

    /// Reads the state of an engine without a change under way.
    pub(crate) fn check(
        &self,
        scope: &str,
        upstream: UpstreamId,
        settled: OrderId,
        address: String,
    ) {
        let (engines, scope) = (self.clone(), scope.to_owned());
        actix_rt::spawn(async move {
            if let Ok(state) = engines.client.state(&address, engines.timeout).await {
                engines.send_reply(EngineReply::Checked {
                    scope,
                    upstream,
                    settled,
                    reading: to_reading(&state),
                });
            }
        });
    }

    /// Probes an ejected upstream.
    pub(crate) fn probe(&self, upstream: UpstreamId, kind: Kind, address: String) {
        let engines = self.clone();
        actix_rt::spawn(async move {
            let begun = (engines.now)();
            let alive = match kind {
                Kind::Engine => engines
                    .client
                    .state(&address, engines.timeout)
                    .await
                    .is_ok(),
                _ => engines.can_connect(&address).await,
            };
            let observation = match alive {
                true => Observation::Answered((engines.now)().saturating_sub(begun)),
                false => Observation::Failed,
            };
            engines.send_reply(EngineReply::Probed {
                upstream,
                observation,
            });
        });
    }

    /// Reads the load report of an engine.
    pub(crate) fn report(&self, upstream: UpstreamId, address: String) {
        let engines = self.clone();
        actix_rt::spawn(async move {
            let report = engines.client.report(&address, engines.timeout).await;
            engines.send_reply(EngineReply::Reported {
                upstream,
                report: report.ok(),
            });
        });
    }

    async fn can_connect(&self, address: &str) -> bool {
        let connection = actix_rt::time::timeout(self.timeout, TcpStream::connect(address)).await;
        matches!(connection, Ok(Ok(_)))
    }

    async fn read(&self, request: RequestId, address: Option<String>) -> Input {
        let Some(address) = address else {
            return Input::Unreachable(request);
        };
        let state: Result<EngineState, Report<EngineError>> =
            self.client.state(&address, self.timeout).await;
        match state {
            Ok(state) => Input::Reading(request, to_reading(&state)),
            Err(report) => {
                log::debug!(address, error:? = report; "an engine was not read");
                Input::Unreachable(request)
            }
        }
    }

    async fn order(
        &self,
        address: Option<String>,
        order: &platform::Order,
        not_after: Moment,
    ) -> SendResult {
        let Some((address, left)) = self.check_deadline(address, not_after) else {
            return SendResult::Failed;
        };
        log::info!(order = order.order, fence = order.fence, address; "order sent");
        to_send_result(self.client.order(&address, order, left).await)
    }

    async fn cancel(
        &self,
        address: Option<String>,
        order: OrderId,
        fence: Fence,
        not_after: Moment,
    ) -> SendResult {
        let Some((address, left)) = self.check_deadline(address, not_after) else {
            return SendResult::Failed;
        };
        log::info!(order, fence, address; "order cancelled");
        to_send_result(self.client.cancel(&address, order, fence, left).await)
    }

    /// Checks the clock just before sending, since the process may have been paused after its lease
    /// was checked. The call is limited to the remaining time, so that nothing is sent after the
    /// lease has expired.
    fn check_deadline(
        &self,
        address: Option<String>,
        not_after: Moment,
    ) -> Option<(String, Duration)> {
        let left = not_after.checked_sub((self.now)())?;
        let address = address.filter(|_| !left.is_zero())?;
        Some((address, left))
    }

    fn send_reply(&self, answer: EngineReply) {
        send(&self.sender, Message::Engine(answer));
    }
}

fn to_send_result(receipt: platform::Receipt) -> SendResult {
    match receipt {
        platform::Receipt::Accepted => SendResult::Accepted,
        platform::Receipt::Superseded(fence) => SendResult::Superseded { fence },
        platform::Receipt::Busy(order) => SendResult::Busy { order },
        platform::Receipt::Unsent => SendResult::Failed,
        platform::Receipt::Unknown => SendResult::Unknown,
    }
}

fn to_reading(state: &EngineState) -> Reading {
    let progress = |progress| match progress {
        platform::Progress::Running => Some(Progress::Running),
        platform::Progress::Done => Some(Progress::Done),
        platform::Progress::Failed => Some(Progress::Failed),
        // A cancelled order never began, so it does not count as taken.
        platform::Progress::Cancelled => None,
    };
    Reading {
        incarnation: state.incarnation,
        role: from_role(state.role),
        models: state.models.iter().map(from_model).collect(),
        last_order: state.order.and_then(|taken| {
            Some(LastOrder {
                order: taken.order,
                progress: progress(taken.state)?,
            })
        }),
        fence: state.fence,
        checks_fence: state.checks_fence,
        open_streams: state.open,
    }
}
