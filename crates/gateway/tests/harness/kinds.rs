//! The kinds of request by which calls reach an engine.

use std::time::Duration;

use platform_standin::engine::Behaviour;
use platform_standin::{Engine, request};

use super::{Gateway, wait_until};

/// Time that decode engines take to prefill a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(60);

/// Kind of request by which calls reach an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Plain calls.
    Plain,
    /// Prefill for another engine.
    Prefill,
    /// Prefill and decode at one engine.
    Generate,
    /// Decode with the KV cache of another engine.
    TakeOver,
    /// Streams that resume after another engine broke them off.
    Resume,
}

/// All kinds of request.
pub(crate) const KINDS: [RequestKind; 5] = [
    RequestKind::Plain,
    RequestKind::Prefill,
    RequestKind::Generate,
    RequestKind::TakeOver,
    RequestKind::Resume,
];

impl RequestKind {
    fn path(self) -> &'static str {
        match self {
            Self::Plain => "/safe/",
            Self::Resume => "/resume/",
            Self::Prefill | Self::Generate | Self::TakeOver => "/stream/",
        }
    }

    pub(crate) async fn call(self, gateway: &Gateway) -> u16 {
        let id = gateway.fresh_id();
        // A prompt that no engine has cached, and long enough to be prefilled elsewhere.
        let prefix = format!("aa{id}:40000,bb{id}:10000");
        let headers = match self {
            Self::Plain => Vec::new(),
            _ => request::generation_headers("50000,20", &prefix).to_vec(),
        };
        gateway.call(self.path(), &id, &headers).await.status
    }
}

/// Three gateways, the last of which asks the others for placements, and an engine that they have to
/// use for calls of a kind.
pub(crate) struct Setup {
    pub(crate) kind: RequestKind,
    pub(crate) gateways: [Gateway; 3],
    pub(crate) engine: Engine,
    engines: Engines,
}

impl Setup {
    pub(crate) async fn start(kind: RequestKind) -> Self {
        let first = Gateway::start_unconfigured().await;
        let (service, stage) = match kind {
            RequestKind::Plain => ("app", None),
            RequestKind::Prefill => ("pool", Some("prefill")),
            RequestKind::Generate | RequestKind::TakeOver | RequestKind::Resume => {
                ("pool", Some("decode"))
            }
        };
        let mut engines = Engines::default();
        // Of equal engines, the one with the first id is chosen.
        let engine = engines.add(&first, "first", service, stage).await;
        if kind == RequestKind::Prefill {
            let decode = engines.add(&first, "other-2", "pool", Some("decode")).await;
            decode.set_prefill_time(PREFILL_TIME);
        }
        first.configure(1, "app");
        first.wait_until_ready(true).await;
        let (second, third) = (first.start_another(), first.start_another_on_slow_link());
        let gateways = [first, second, third];
        engines.until_known(&gateways, 0).await;
        Self {
            kind,
            gateways,
            engine,
            engines,
        }
    }

    /// Adds engines that can serve everything without the first one.
    pub(crate) async fn add_others(&mut self) {
        self.start_others().await;
        self.engines.until_known(&self.gateways, 0).await;
    }

    /// As [`Setup::add_others`], once the first engine takes no more calls.
    pub(crate) async fn replace_first(&mut self) {
        self.start_others().await;
        self.engines.until_known(&self.gateways, 1).await;
    }

    async fn start_others(&mut self) {
        self.engines.add_others(self.kind, &self.gateways[0]).await;
        if self.kind == RequestKind::TakeOver {
            self.engine.set_prefill_time(PREFILL_TIME);
        }
    }
}

#[derive(Default)]
struct Engines {
    started: Vec<Engine>,
}

impl Engines {
    async fn add(
        &mut self,
        gateway: &Gateway,
        id: &str,
        service: &str,
        stage: Option<&str>,
    ) -> Engine {
        let engine = Engine::start(id).await;
        engine.register(&gateway.store, service, "ready", stage);
        self.started.push(engine.clone());
        engine
    }

    /// Adds engines that can serve everything without the first one.
    async fn add_others(&mut self, kind: RequestKind, gateway: &Gateway) {
        self.add(gateway, "other-1", "app", None).await;
        if kind != RequestKind::Prefill {
            let decode = self.add(gateway, "other-2", "pool", Some("decode")).await;
            decode.set_prefill_time(PREFILL_TIME);
        }
        if kind == RequestKind::TakeOver {
            self.add(gateway, "other-3", "pool", Some("prefill")).await;
        }
        if kind == RequestKind::Resume {
            let broken = self.add(gateway, "broken", "pool", Some("decode")).await;
            broken.set_behaviour(Behaviour::CutAfter(1));
        }
    }

    /// Waits until all gateways know all engines, of which some have left.
    async fn until_known(&self, gateways: &[Gateway; 3], left: usize) {
        let all = format!("tarragon_engines {}\n", self.started.len() - left);
        for gateway in gateways {
            gateway.wait_until_ready(true).await;
            wait_until(async || gateway.metrics_page().await.contains(&all)).await;
        }
    }
}
