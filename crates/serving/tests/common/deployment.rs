//! A deployment that carries out orders for engines, in simulated time.
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serving::engine::{Job, Record, Work};
use serving::scaling::{Order, Planner, Range};
use serving::{Fleet, Stage, Zone};

use super::{ms, record, service};

/// The instance whose calls make up the load.
const PEER: u64 = 7;
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
pub(crate) const BOOT: Duration = Duration::from_secs(4);
pub(crate) const LEAVE_DELAY: Duration = Duration::from_millis(1_200);

pub(crate) fn range() -> Range {
    Range {
        min: 1,
        max: 40,
        boot: BOOT,
        reclaimable_price: Some(0.18),
        zone_prices: BTreeMap::new(),
    }
}

pub(crate) fn zone(name: &str) -> Zone {
    Rc::from(name)
}

/// A platform that carries out orders.
pub(crate) struct Deployment {
    pub(crate) fleet: Fleet,
    pub(crate) now: Duration,
    pub(crate) range: Range,
    /// The numbers ordered, and since when.
    pub(crate) ordered: BTreeMap<(Zone, bool), (u32, Duration)>,
    /// When each number was last ordered to rise: an order for fewer does not delay engines that
    /// are booting.
    raised: BTreeMap<(Zone, bool), Duration>,
    /// Data centres where no reclaimable engine is available.
    pub(crate) unavailable: Vec<&'static str>,
    /// All orders, and whether they were accepted.
    pub(crate) log: Vec<(Duration, Order, bool)>,
    next: u32,
    /// Engines that have prompts to read, by the time.
    pub(crate) load: fn(Duration) -> f64,
}

impl Deployment {
    /// A deployment with this many engines in each data centre.
    pub(crate) fn new(engines: u32) -> Self {
        let mut world = Self {
            fleet: Fleet::default(),
            now: ms(0),
            range: range(),
            ordered: BTreeMap::new(),
            raised: BTreeMap::new(),
            unavailable: Vec::new(),
            log: Vec::new(),
            next: 0,
            load: |_| 0.0,
        };
        for name in ZONES {
            world.add(name, false, engines);
        }
        world
    }

    pub(crate) fn add(&mut self, name: &str, reclaimable: bool, count: u32) {
        for _ in 0..count {
            self.next += 1;
            let id = format!("e{}", self.next);
            self.fleet.put(Record {
                zone: zone(name),
                reclaimable,
                ..record(&id, Some(Stage::Decode))
            });
        }
    }

    pub(crate) fn engines_of(&self, name: &str, reclaimable: bool) -> Vec<Rc<str>> {
        let service = service();
        let engines = self.fleet.active(&service);
        let of = engines.filter(|engine| {
            let record = &engine.record;
            &*record.zone == name && record.reclaimable == reclaimable
        });
        of.map(|engine| engine.record.id.clone()).collect()
    }

    pub(crate) fn count(&self, name: &str) -> (usize, usize) {
        (
            self.engines_of(name, false).len(),
            self.engines_of(name, true).len(),
        )
    }

    pub(crate) fn all_engines(&self) -> usize {
        let counts = ZONES.map(|name| self.count(name));
        counts.iter().map(|(firm, cheap)| firm + cheap).sum()
    }

    pub(crate) fn all_on_demand(&self) -> usize {
        ZONES.map(|name| self.count(name).0).iter().sum()
    }

    /// Removes all reclaimable engines of a data centre.
    pub(crate) fn reclaim(&mut self, name: &'static str) {
        self.unavailable.push(name);
        for id in self.engines_of(name, true) {
            self.fleet.remove(&id);
        }
        self.ordered.remove(&(zone(name), true));
    }

    /// Advances time by a quarter of a second.
    pub(crate) fn step(&mut self, planner: &mut Planner) {
        self.now += ms(250);
        planner.observe(&self.fleet, &service(), self.now);
        let orders = planner.plan(&self.fleet, &service(), &self.range, self.now);
        for order in orders {
            let is_dry = order.reclaimable && self.unavailable.contains(&&*order.zone);
            if is_dry {
                planner.record_refusal(&order, self.now);
            } else {
                planner.record_order(&order, self.now);
                let key = (order.zone.clone(), order.reclaimable);
                let before = self.ordered.insert(key.clone(), (order.engines, self.now));
                if before.is_none_or(|(before, _)| before <= order.engines) {
                    self.raised.insert(key, self.now);
                }
            }
            self.log.push((self.now, order, !is_dry));
        }
        self.carry_out();
        self.apply_load();
    }

    /// Gives prompts to as many engines as the load keeps busy.
    fn apply_load(&mut self) {
        let load = (self.load)(self.now);
        if load == 0.0 {
            return;
        }
        let service = service();
        let engines = self.fleet.active(&service);
        let busy: Vec<_> = engines.map(|engine| engine.record.id.clone()).collect();
        let job = Job {
            ticket: 1,
            sent_at: self.now,
            rank: 0,
            work: 1_000,
        };
        let work = Work {
            calls: 1,
            jobs: smallvec::smallvec![job],
        };
        let busy = busy.into_iter().take(load.round() as usize);
        let works = busy.map(|id| (id, work.clone())).collect();
        self.fleet.apply_all_work(PEER, works, self.now);
    }

    fn carry_out(&mut self) {
        for ((name, reclaimable), (engines, since)) in self.ordered.clone() {
            let there = self.engines_of(&name, reclaimable);
            let has = u32::try_from(there.len()).expect("the number of engines fits");
            let raised = self.raised[&(name.clone(), reclaimable)];
            if has < engines && self.now >= raised + BOOT {
                self.add(&name, reclaimable, engines - has);
            }
            // An engine leaves some time after it was ordered to.
            let go = if self.now >= since + LEAVE_DELAY {
                engines as usize
            } else {
                there.len()
            };
            for id in there.iter().skip(go) {
                self.fleet.remove(id);
            }
        }
    }

    pub(crate) fn run(&mut self, planner: &mut Planner, seconds: u64) -> usize {
        let mut fewest = usize::MAX;
        for _ in 0..seconds * 4 {
            self.step(planner);
            fewest = fewest.min(self.all_engines());
        }
        fewest
    }
}
