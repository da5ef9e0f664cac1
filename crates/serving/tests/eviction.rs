//! Instances that go for good, stop, come back or lose each other, and which of them leave the list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::eviction::{Eviction, GONE_AFTER, Member, Own};

/// Sizes of the fleet, and its data centres.
const FLEETS: [(u16, u32); 4] = [(2, 1), (6, 3), (73, 3), (984, 21)];
/// Instances of a data centre that place calls.
const PLACERS: usize = 2;
const STEP: Duration = Duration::from_secs(1);

struct Instance {
    address: SocketAddr,
    own: Own,
    is_alive: bool,
    is_listed: bool,
    /// Whether it reaches the others.
    is_connected: bool,
    heard_at: Moment,
    eviction: Eviction,
}

struct Fleet {
    instances: Vec<Instance>,
    now: Moment,
    /// Every removal that was written.
    removals: Vec<SocketAddr>,
}

impl Fleet {
    fn start((size, zones): (u16, u32)) -> Self {
        let instances = (0..size).map(|number| {
            let [high, low] = number.to_be_bytes();
            Instance {
                address: SocketAddr::from(([10, 1, high, low], 7_080)),
                own: Own {
                    zone: u32::from(number) % zones,
                    order: u64::from(number),
                },
                is_alive: true,
                is_listed: true,
                is_connected: true,
                heard_at: Moment::ZERO,
                eviction: Eviction::default(),
            }
        });
        Self {
            instances: instances.collect(),
            now: Moment::ZERO,
            removals: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for instance in &mut self.instances {
            if instance.is_alive {
                instance.heard_at = now;
                instance.is_listed = true;
            }
        }
        let placers = self.placers();
        for judge in &placers {
            let members = self.members(*judge, &placers);
            let instance = &mut self.instances[*judge];
            let due = instance.eviction.due(instance.own, &members, now);
            for address in due {
                self.instances[*judge].eviction.on_removed(address, now);
                let removed = self.instances.iter_mut();
                for instance in removed.filter(|instance| instance.address == address) {
                    instance.is_listed = false;
                }
                self.removals.push(address);
            }
        }
        // Those that live read that they were removed, and register again.
        let returned: Vec<SocketAddr> = self
            .instances
            .iter()
            .filter(|instance| instance.is_alive && !instance.is_listed)
            .map(|instance| instance.address)
            .collect();
        for judge in placers {
            for address in &returned {
                self.instances[judge].eviction.on_registered(*address, now);
            }
        }
    }

    /// The first ones of each data centre that live.
    fn placers(&self) -> Vec<usize> {
        let alive = |number: &usize| self.instances[*number].is_alive;
        let all = (0..self.instances.len()).filter(alive);
        let is_placer = |number: &usize| {
            let zone = self.instances[*number].own.zone;
            let before = (0..*number).filter(alive);
            before
                .filter(|other| self.instances[*other].own.zone == zone)
                .count()
                < PLACERS
        };
        all.filter(is_placer).collect()
    }

    /// The others as one instance hears them: placers announce themselves to all, the rest to the placers of
    /// their data centre.
    fn members(&self, judge: usize, placers: &[usize]) -> Vec<Member> {
        let own = &self.instances[judge];
        let others = self.instances.iter().enumerate();
        let others = others.filter(|(other, instance)| *other != judge && instance.is_listed);
        let members = others.map(|(other, instance)| {
            let is_near = instance.own.zone == own.own.zone;
            let is_placer = placers.contains(&other);
            let is_in_reach = own.is_connected && instance.is_connected;
            let is_heard = instance.is_alive && is_in_reach && (is_near || is_placer);
            let heard_at = match (is_heard, is_near && is_in_reach) {
                (true, _) => self.now,
                (false, true) => instance.heard_at,
                (false, false) => Moment::ZERO,
            };
            Member {
                address: instance.address,
                zone: instance.own.zone,
                order: Some(instance.own.order),
                heard_at,
                is_placer: is_heard && is_placer,
                is_heard,
            }
        });
        members.collect()
    }

    fn removed(&self) -> BTreeSet<SocketAddr> {
        self.removals.iter().copied().collect()
    }
}

/// Guards against a list that grows with each instance that is replaced, and against removing one that lives.
#[test]
fn instances_that_are_gone_are_removed_once_and_no_other() {
    for size in FLEETS {
        let mut fleet = Fleet::start(size);
        fleet.run(30);
        assert!(fleet.removals.is_empty());
        let gone = (fleet.instances.len() / 2).max(1);
        for instance in &mut fleet.instances[..gone] {
            instance.is_alive = false;
        }
        fleet.run(8);
        assert!(fleet.removals.is_empty(), "{size:?}: too early");
        fleet.run(70);
        let expected: BTreeSet<SocketAddr> = fleet.instances[..gone]
            .iter()
            .map(|instance| instance.address)
            .collect();
        assert_eq!(fleet.removed(), expected, "{size:?}");
        assert_eq!(fleet.removals.len(), expected.len(), "{size:?}");
    }
}

/// Guards against the instances of a lost data centre staying in the list.
#[test]
fn a_data_centre_that_is_gone_is_removed_by_another_one() {
    for size in &FLEETS[1..] {
        let mut fleet = Fleet::start(*size);
        fleet.run(5);
        for instance in &mut fleet.instances {
            instance.is_alive = instance.own.zone != 0;
        }
        fleet.run(20);
        let lost = fleet.instances.iter().filter(|instance| !instance.is_alive);
        assert_eq!(fleet.removals.len(), lost.count(), "{size:?}");
    }
}

/// Guards against an instance that was stopped removing all others when it goes on.
#[test]
fn an_instance_that_was_stopped_removes_nobody() {
    for size in FLEETS {
        let mut fleet = Fleet::start(size);
        fleet.run(5);
        fleet.instances[0].is_alive = false;
        for instance in &mut fleet.instances[1..] {
            instance.is_alive = false;
        }
        fleet.now += Duration::from_secs(30);
        fleet.instances[0].is_alive = true;
        fleet.run(5);
        assert!(fleet.removals.is_empty(), "{size:?}");
    }
}

/// Guards against instances that lose each other, but not the store, being removed and coming back in turn.
#[test]
fn an_instance_that_came_back_is_not_removed_again() {
    let mut fleet = Fleet::start((6, 3));
    fleet.run(5);
    let cut = fleet.instances[5].address;
    fleet.instances[5].is_connected = false;
    fleet.run(120);
    let removals = fleet.removals.iter();
    assert_eq!(removals.filter(|address| **address == cut).count(), 1);
    assert!(
        fleet.removals.len() <= fleet.instances.len(),
        "{:?}",
        fleet.removals
    );
    assert!(GONE_AFTER < Duration::from_secs(120));
}
