//! Feeds the data plane with the catalogue, the fleet and the claims.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep_until};
use catalogue::State;
use claims::{Holder, Input, Reach};
use clock::{Clock as _, Moment};
use platform::{Chunk, Event, Instances, Kind, Listing, Log, Options, Tail};
use prost::Message as _;
use smallvec::SmallVec;
use tokio::sync::{mpsc, watch};

use crate::claiming::Claiming;
use crate::keys::Question;
use crate::scene::{Scene, Upstream};
use crate::shared::Shared;
use crate::world::{self, Known};

/// Longest sleep when nothing is due.
const LONG: Duration = Duration::from_secs(60);

struct Feed {
    shared: Arc<Shared>,
    scene: watch::Sender<Arc<Scene>>,
    log: Log,
    state: State,
    claiming: Claiming,
}

/// Follows the log and the instance list for ever.
pub async fn run(
    shared: Arc<Shared>,
    scene: watch::Sender<Arc<Scene>>,
    mut questions: mpsc::UnboundedReceiver<Question>,
) {
    let options = Options::new(format!("http://{}", shared.settings.platform.log));
    let log = Log::new(&options);
    let wait = Duration::from_millis(500);
    let clock = shared.clock;
    let mut tail = Tail::spawn(
        log.clone(),
        1,
        wait,
        Box::new(|| 0.5),
        Box::new(move || clock.now()),
    );
    let poll = Instances::new(&options).poll(shared.settings.platform.poll, Box::new(|| 0.5));
    let mut listing = poll.listing();
    let (sender, mut landed) = mpsc::unbounded_channel();
    let holder = Holder {
        instance: shared.settings.instance.id.clone(),
        incarnation: crate::daemon::incarnation(),
    };
    let mut feed = Feed {
        claiming: Claiming::new(holder, rand::random(), sender),
        state: State::default(),
        shared,
        scene,
        log,
    };
    loop {
        let wake = feed.claiming.next_wake();
        let now = feed.shared.clock.now();
        let pause = wake.map_or(LONG, |wake| wake.saturating_sub(now));
        tokio::select! {
            event = tail.next() => {
                let Some(event) = event else { return };
                feed.event(event);
                feed.publish(&listing.borrow().clone().unwrap_or_default());
            }
            changed = listing.changed() => {
                if changed.is_err() { return }
                feed.publish(&listing.borrow().clone().unwrap_or_default());
            }
            Some(question) = questions.recv() => {
                let now = feed.shared.clock.now();
                feed.claiming.ask(now, &feed.log, question);
            }
            Some(landed) = landed.recv() => {
                let now = feed.shared.clock.now();
                feed.claiming.landed(now, &feed.log, &landed);
            }
            () = sleep_until(Instant::now() + pause) => {
                let now = feed.shared.clock.now();
                feed.claiming.step(now, &feed.log, Input::Tick);
            }
        }
    }
}

impl Feed {
    fn event(&mut self, event: Event) {
        let now = self.shared.clock.now();
        match event {
            Event::Chunk { chunk, .. } => self.chunk(now, chunk),
            Event::Down | Event::Gone { .. } => self.claiming.reach(now, &self.log, Reach::Out),
        }
    }

    fn chunk(&mut self, now: Moment, chunk: Chunk) {
        self.claiming.forget(chunk.first);
        for entry in chunk.records {
            if let Ok(record) = wire::record::Record::decode(entry.data) {
                self.state.apply(entry.offset, &record);
                self.claiming.fold(now, &self.log, entry.offset, &record);
            }
        }
        self.claiming.reach(now, &self.log, Reach::Up);
    }

    fn publish(&self, list: &Listing) {
        let catalogue = Arc::new(self.state.view().clone());
        let mut upstreams = HashMap::new();
        let mut known = Vec::new();
        for instance in &list.instances {
            if instance.kind == Kind::Entry {
                continue;
            }
            upstreams.insert(
                instance.id.clone(),
                Upstream {
                    address: instance.address,
                    pool: instance.pool.clone(),
                },
            );
            known.push(Known {
                pool: instance.pool.clone(),
                data_centre: instance.data_centre.clone(),
                view: routing::upstream::View {
                    id: instance.id.as_str().into(),
                    distance: Duration::ZERO,
                    role: routing::upstream::Role::Mixed,
                    models: SmallVec::new(),
                    open: instance.state == platform::State::Live
                        && catalogue.drain(&instance.id).is_none(),
                    health: routing::upstream::Health::Up,
                    up_since: Moment::ZERO,
                },
            });
        }
        let data_centre = &self.shared.settings.instance.data_centre;
        self.shared.dispatch.with(|now, router| {
            world::apply(now, router, &catalogue, &known, data_centre);
        });
        let accepted = self.state.revision() > 0;
        self.scene.send_replace(Arc::new(Scene {
            catalogue: accepted.then_some(catalogue),
            upstreams,
        }));
    }
}
