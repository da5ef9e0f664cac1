//! Reports organisations' usage to the platform. [`serving::usage`] counts and fixes it;
//! [`crate::duties`] decides which instance reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::duties::{self, Answer, Holder};
use clock::System;
use http1::{Client, Config, Failure, TcpTimeouts};
use serving::usage::{CountUpdate, Report};
use tokio::time::timeout;
use wire::gateway;

use crate::claims::Grant;
use crate::pool_sizes::Target;

/// Instances that receive the usage counts: the one that reports, and its successors.
pub(crate) const REPORTERS: usize = 3;
/// Largest response of the platform that is read; only the status matters.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Time-out of a call to the platform, which may be slow for seconds; an unanswered call is
/// repeated with the same content.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The kernel gives up a call that is not acknowledged in time, so that it does not arrive after
/// another instance's.
const PLATFORM_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(250),
    acknowledge: Duration::from_millis(400),
    probe_interval: Duration::from_millis(400),
    probe_count: 1,
};

/// Calls the platform under a claim.
pub(crate) struct Platform<'a> {
    pub(crate) address: SocketAddr,
    /// Name of this instance.
    pub(crate) holder: &'a str,
    pub(crate) grant: Grant,
    pub(crate) clock: &'a System,
    pub(crate) codec: &'a Config,
}

impl Platform<'_> {
    /// Reports the usage of a window. Returns `None` if the claim is over or no answer came; the
    /// call may be carried out nevertheless.
    pub(crate) async fn report(&self, report: &Report) -> Option<Answer> {
        let (head, body) = duties::usage_call(self.address, self.as_holder(), report);
        let answer = self.call(head, &body).await;
        let requests: u64 = report.counts.values().copied().map(u64::from).sum();
        log::info!(
            window = report.window, organisations = report.counts.len(), requests = requests,
            fence = self.grant.fence, answer:? = answer;
            "use reported"
        );
        answer
    }

    /// Orders engines. Returns `None` as [`Platform::report`] does.
    pub(crate) async fn order(&self, target: &Target) -> Option<Answer> {
        let Target {
            size,
            reason,
            needed,
        } = target;
        let (head, body) = duties::scale_call(self.address, self.as_holder(), size);
        let answer = self.call(head, &body).await;
        log::info!(
            service = &*size.service, zone = &*size.data_centre, engines = size.engines,
            reclaimable = size.reclaimable, why:? = reason, needed:? = needed, fence = self.grant.fence, answer:? = answer;
            "engines ordered"
        );
        answer
    }

    fn as_holder(&self) -> Holder<'_> {
        Holder {
            name: self.holder,
            fence: self.grant.fence,
        }
    }

    async fn call(&self, head: actix_http::RequestHead, body: &bytes::Bytes) -> Option<Answer> {
        let exchange = async {
            let mut client = Client::open(self.address, &PLATFORM_PATIENCE, self.codec).await?;
            if !self.grant.is_valid(self.clock) {
                return Ok(None);
            }
            let status = client.send(head, body).await?.head.status.as_u16();
            client.body(MAX_ANSWER_BYTES).await?;
            Ok::<_, Failure>(Some(duties::parse_answer(status)))
        };
        match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure)) => {
                log::info!(failure:% = failure; "the platform could not be called");
                None
            }
            Err(_) => None,
        }
    }
}

/// Encodes counts for peers.
pub(crate) fn encode(counts: CountUpdate) -> gateway::Usage {
    let windows = counts.counts.into_iter().map(|(window, counts)| {
        let counts = counts.into_iter();
        let counts = counts.map(|(organisation, begun)| gateway::UsageCount {
            organisation: organisation.to_string(),
            begun,
        });
        gateway::UsageWindow {
            window,
            counts: counts.collect(),
        }
    });
    gateway::Usage {
        present: counts.current_window,
        windows: windows.collect(),
    }
}

/// Decodes a peer's counts.
pub(crate) fn decode(usage: gateway::Usage) -> CountUpdate {
    let windows = usage.windows.into_iter().map(|window| {
        let counts = window.counts.into_iter();
        let counts = counts.map(|count| (Rc::from(count.organisation), count.begun));
        (window.window, counts.collect())
    });
    CountUpdate {
        current_window: usage.present,
        counts: windows.collect(),
    }
}
