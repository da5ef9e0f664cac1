//! Feeds the data plane with the catalogue and the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use catalogue::State;
use clock::Moment;
use platform::{Event, Instances, Kind, Listing, Log, Options, Tail};
use prost::Message as _;
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::scene::{Scene, Upstream};
use crate::shared::Shared;
use crate::world::{self, Known};

/// Follows the log and the instance list for ever.
pub async fn run(shared: Arc<Shared>, sender: watch::Sender<Arc<Scene>>) {
    let options = Options::new(format!("http://{}", shared.settings.platform.log));
    let mut tail = Tail::spawn(
        Log::new(&options),
        1,
        Duration::from_millis(500),
        Box::new(|| 0.5),
        Box::new(|| Moment::ZERO),
    );
    let poll = Instances::new(&options).poll(shared.settings.platform.poll, Box::new(|| 0.5));
    let mut listing = poll.listing();
    let mut state = State::default();
    loop {
        tokio::select! {
            event = tail.next() => match event {
                Some(Event::Chunk { chunk, .. }) => {
                    for entry in chunk.records {
                        if let Ok(record) = wire::record::Record::decode(entry.data) {
                            state.apply(entry.offset, &record);
                        }
                    }
                }
                Some(_) => continue,
                None => return,
            },
            changed = listing.changed() => if changed.is_err() { return },
        }
        let list = listing.borrow().clone().unwrap_or_default();
        publish(&shared, &sender, &state, &list);
    }
}

fn publish(shared: &Shared, sender: &watch::Sender<Arc<Scene>>, state: &State, list: &Listing) {
    let catalogue = Arc::new(state.view().clone());
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
    let data_centre = &shared.settings.instance.data_centre;
    shared.dispatch.with(|now, router| {
        world::apply(now, router, &catalogue, &known, data_centre);
    });
    let accepted = state.revision() > 0;
    sender.send_replace(Arc::new(Scene {
        catalogue: accepted.then_some(catalogue),
        upstreams,
    }));
}
