//! Replays of streams that begin at one instance and are resumed at the others, through what goes wrong in
//! between. Each case is played in fleets of several sizes: what is lost may be refused, nothing is mixed.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use common::{ms, service};
use serving::backups::{Backups, COPY_INTERVAL, Scope};
use serving::claim::Era;
use serving::origin::{
    self, ASKED, Batch, HOLDERS, Key, Knowledge, Note, Origins, Software, Unresolved,
};
use serving::version_history::{Record, VersionHistory, Versions};

const STARTED: Duration = Duration::from_secs(1_800_000_000);
const SIZES: [u8; 3] = [2, 6, 90];
/// Streams that begin in each case.
const STREAMS: Key = 24;
const TIME_LEFT: Duration = Duration::from_secs(8);

struct Instance {
    address: SocketAddr,
    incarnation: u64,
    /// Whether it runs and hears the others.
    is_alive: bool,
    versions: VersionHistory,
    origins: Origins,
    backups: Backups,
}

impl Instance {
    fn new(number: u8, is_first: bool) -> Self {
        Self {
            address: SocketAddr::from(([10, 1, 0, number], 7_080)),
            incarnation: 1,
            is_alive: true,
            versions: VersionHistory::new(is_first),
            origins: Origins::default(),
            backups: Backups::default(),
        }
    }
}

/// A fleet with its store and the engines' versions.
struct Fleet {
    instances: Vec<Instance>,
    now: Moment,
    listed: Versions,
    recorded: Option<Record>,
    /// The store's era.
    era: Era,
    is_store_away: bool,
    /// Version at which each stream began.
    begun: Vec<Software>,
}

impl Fleet {
    /// A fleet that starts for the first time, with engines of v1, at one of whose instances streams begin.
    fn start(size: u8) -> Self {
        let mut fleet = Self {
            instances: (0..size)
                .map(|number| Instance::new(number, true))
                .collect(),
            now: ms(0),
            listed: Versions::new(),
            recorded: None,
            era: 0,
            is_store_away: false,
            begun: Vec::new(),
        };
        fleet.list(&["v1"]);
        fleet.begin(0, "v1");
        fleet.run(2_000);
        fleet
    }

    fn list(&mut self, names: &[&str]) {
        self.listed = names.iter().map(|name| Software::from(*name)).collect();
        self.run(500);
    }

    /// Lets time pass in steps of the interval between copies.
    fn run(&mut self, millis: u64) {
        let end = self.now + ms(millis);
        while self.now < end {
            self.now += COPY_INTERVAL;
            for number in 0..self.instances.len() {
                if self.instances[number].is_alive {
                    self.step(number);
                }
            }
        }
    }

    fn step(&mut self, number: usize) {
        let (now, unix) = (self.now, STARTED + self.now);
        let instance = &mut self.instances[number];
        instance.versions.on_list_current(now, now);
        if instance.versions.records_due(Duration::ZERO, now) {
            if let Some(record) = self.recorded.clone() {
                instance.versions.on_record(record, now, unix);
            }
            instance.versions.on_records_current(now, now, unix);
        }
        let listed = self.listed.iter();
        let notes = match instance.versions.observe(&service(), listed, now, unix) {
            true => instance.origins.unannounced(&service(), now),
            false => Vec::new(),
        };
        for record in instance.versions.unrecorded(now) {
            instance.versions.on_recorded(record.clone());
            self.recorded = Some(record);
        }
        self.tell_holders(number, &notes);
        self.copy(number);
    }

    fn others(&self, number: usize) -> Vec<SocketAddr> {
        let all = self.instances.iter().map(|instance| instance.address);
        all.filter(|address| *address != self.instances[number].address)
            .collect()
    }

    fn alive(&mut self, address: SocketAddr) -> Option<&mut Instance> {
        let mut alive = self
            .instances
            .iter_mut()
            .filter(|instance| instance.is_alive);
        alive.find(|instance| instance.address == address)
    }

    fn tell_holders(&mut self, from: usize, notes: &[Note]) {
        let (others, now) = (self.others(from), self.now);
        for note in notes {
            for holder in origin::holders(note.key, others.iter().copied(), HOLDERS) {
                if let Some(holder) = self.alive(holder) {
                    holder.origins.on_note(note, now);
                }
            }
        }
    }

    fn copy(&mut self, from: usize) {
        let (others, now) = (self.others(from), self.now);
        let instance = &mut self.instances[from];
        let recipients = instance.backups.recipients(instance.address, &others, now);
        let new = instance.origins.take_uncopied(now);
        let all = instance.origins.all_own(now);
        for (to, scope) in recipients {
            let batches: &[Batch] = match scope {
                Scope::All => &all,
                Scope::New => &new,
            };
            if batches.is_empty() {
                continue;
            }
            self.instances[from].backups.on_sent(to, now);
            let Some(backup) = self.alive(to) else {
                continue;
            };
            let is_settled = backup.versions.is_settled(&service(), now);
            let notes = batches
                .iter()
                .flat_map(|batch| backup.origins.on_batch(batch, is_settled, now));
            let notes: Vec<Note> = notes.collect();
            let incarnation = backup.incarnation;
            self.instances[from]
                .backups
                .on_acknowledged(to, incarnation);
            let by_address = |instance: &Instance| instance.address == to;
            let number = self.instances.iter().position(by_address);
            self.tell_holders(number.expect("a registered instance"), &notes);
        }
    }

    fn begin(&mut self, number: usize, software: &str) {
        let (now, software) = (self.now, Software::from(software));
        let instance = &mut self.instances[number];
        let is_settled = instance.versions.is_settled(&service(), now);
        let first = self.begun.len() as Key;
        self.begun.extend((0..STREAMS).map(|_| software.clone()));
        let notes = (first..first + STREAMS).filter_map(|key| {
            let origins = &mut instance.origins;
            origins.begin(key, &service(), &software, TIME_LEFT, is_settled, now)
        });
        let notes: Vec<Note> = notes.collect();
        self.tell_holders(number, &notes);
    }

    /// Ends all instances but the first few others of the one at which streams began, which go on with what they
    /// knew when they were stopped.
    fn wake_only(&mut self, count: usize) {
        let woken = 1..=count;
        for (number, instance) in self.instances.iter_mut().enumerate() {
            instance.is_alive = woken.contains(&number);
        }
    }

    fn freeze(&mut self, number: usize) {
        self.instances[number].is_alive = false;
    }

    /// Replaces an instance's process by a new one, which reads what the store holds.
    fn restart(&mut self, number: usize) {
        let (now, unix) = (self.now, STARTED + self.now);
        let mut instance = Instance::new(u8::try_from(number).expect("a small fleet"), false);
        instance.incarnation = self.instances[number].incarnation + 1;
        instance.versions.on_store_era(self.era, now);
        instance.versions.on_instances_listed(false, now);
        if let Some(record) = self.recorded.clone() {
            instance.versions.on_record(record, now, unix);
        }
        self.instances[number] = instance;
        self.step(number);
    }

    /// Ends all instances, restores the store from a copy with these engines and this record, and starts the
    /// instances again.
    fn restart_all_on_copy(&mut self, listed: Versions, recorded: Option<Record>) {
        (0..self.instances.len()).for_each(|number| self.freeze(number));
        self.listed = listed;
        self.recorded = recorded;
        self.era += 1;
        self.restart_all();
    }

    fn restart_all(&mut self) {
        let all = 0..self.instances.len();
        all.clone().for_each(|number| self.freeze(number));
        all.for_each(|number| self.restart(number));
    }

    fn knowledge(&self, number: usize, key: Key) -> Knowledge {
        let instance = &self.instances[number];
        Knowledge {
            software: instance.origins.find(key, self.now),
            is_mixed: instance.versions.has_several(&service(), self.now),
            sole: instance.versions.sole(&service(), self.now).cloned(),
            is_confirmed: false,
        }
    }

    /// Resumes each stream at each of the first instances that live. Returns how many go on at their version,
    /// are refused, and go on at another one.
    fn resume_all(&mut self) -> [usize; 3] {
        let alive = (0..self.instances.len()).filter(|number| self.instances[*number].is_alive);
        let alive: Vec<usize> = alive.take(3).collect();
        let mut counts = [0; 3];
        for number in alive {
            for (key, began) in (0..).zip(self.begun.clone()) {
                counts[match self.resume(number, key) {
                    Some(software) if software == began => 0,
                    None => 1,
                    Some(_) => 2,
                }] += 1;
            }
        }
        counts
    }

    fn resume(&mut self, number: usize, key: Key) -> Option<Software> {
        let members = self.instances.iter().map(|instance| instance.address);
        let asked = origin::holders(key, members, ASKED);
        let has_answered = |member: SocketAddr| {
            let instances = self.instances.iter();
            let mut answering = instances.filter(|instance| instance.is_alive);
            answering.any(|instance| instance.address == member)
        };
        let is_complete = origin::is_complete(&asked, has_answered);
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(other, instance)| {
                *other != number && instance.is_alive && asked.contains(&instance.address)
            });
        let others: Vec<_> = others
            .map(|(other, _)| self.knowledge(other, key))
            .collect();
        let resolved = origin::resolve(&self.knowledge(number, key), &others, is_complete);
        if self.is_store_away || resolved != Err(Unresolved::Unknown) {
            return resolved.ok().map(|(software, _)| software);
        }
        self.step(number);
        let own = Knowledge {
            is_confirmed: true,
            ..self.knowledge(number, key)
        };
        let resolved = origin::resolve(&own, &others, is_complete);
        resolved.ok().map(|(software, _)| software)
    }
}

/// What becomes of streams that are resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    GoesOn,
    Refused,
    /// Those whose notes are left go on, the rest is refused.
    NotMixed,
}
use Outcome::{GoesOn, NotMixed, Refused};

type Case = (&'static str, fn(&mut Fleet), Outcome);

/// Guards against mixing and against refusing, each of which a mend of the other may bring back.
#[test]
fn streams_go_on_at_their_version_or_are_refused_where_what_was_known_is_lost() {
    let cases: [Case; 22] = [
        ("one version", |_| (), GoesOn),
        (
            "a second version",
            |fleet| fleet.list(&["v1", "v2"]),
            GoesOn,
        ),
        (
            "frozen before the second version",
            |fleet| {
                fleet.freeze(0);
                fleet.list(&["v1", "v2"]);
            },
            GoesOn,
        ),
        (
            "started anew before the second version",
            |fleet| {
                fleet.restart(0);
                fleet.list(&["v1", "v2"]);
            },
            GoesOn,
        ),
        (
            "the second version follows the first, which has gone",
            |fleet| {
                fleet.freeze(0);
                fleet.list(&[]);
                fleet.list(&["v2"]);
            },
            GoesOn,
        ),
        (
            "frozen until the first version has gone",
            |fleet| {
                fleet.freeze(0);
                fleet.list(&["v1", "v2"]);
                fleet.list(&["v2"]);
                fleet.instances[0].is_alive = true;
                fleet.run(500);
            },
            GoesOn,
        ),
        (
            "the others started anew in turn before",
            |fleet| {
                for number in 1..fleet.instances.len().min(6) {
                    fleet.restart(number);
                    fleet.begin(0, "v1");
                    fleet.run(750);
                }
                fleet.freeze(0);
                fleet.list(&["v1", "v2"]);
            },
            GoesOn,
        ),
        (
            "rolled back, begun at the second version",
            |fleet| {
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.freeze(0);
                fleet.list(&["v1"]);
            },
            GoesOn,
        ),
        ("all started anew, one version", Fleet::restart_all, GoesOn),
        (
            "all started anew in turn, one version",
            |fleet| (0..fleet.instances.len()).for_each(|number| fleet.restart(number)),
            GoesOn,
        ),
        (
            "all started anew twice, one version",
            |fleet| {
                fleet.restart_all();
                fleet.run(1_000);
                fleet.restart_all();
            },
            GoesOn,
        ),
        (
            "all started anew while both versions serve",
            |fleet| {
                fleet.list(&["v1", "v2"]);
                fleet.restart_all();
            },
            Refused,
        ),
        (
            "all started anew as the first version has gone",
            |fleet| {
                fleet.list(&["v1", "v2"]);
                fleet.listed = Versions::from_iter([Software::from("v2")]);
                fleet.restart_all();
            },
            Refused,
        ),
        (
            "all started anew after the first version has gone",
            |fleet| {
                fleet.list(&["v1", "v2"]);
                fleet.list(&["v2"]);
                fleet.restart_all();
            },
            Refused,
        ),
        (
            "all started anew before the change was recorded",
            |fleet| {
                fleet.listed = Versions::from_iter([Software::from("v2")]);
                fleet.restart_all();
            },
            Refused,
        ),
        (
            "all started anew with a copy of the store from before the second version",
            |fleet| {
                let (listed, recorded) = (fleet.listed.clone(), fleet.recorded.clone());
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.restart_all_on_copy(listed, recorded);
            },
            Refused,
        ),
        (
            "a copy of the store, recorded again by those that live",
            |fleet| {
                fleet.era += 1;
                for instance in &mut fleet.instances {
                    instance.versions.on_store_era(fleet.era, fleet.now);
                }
                fleet.run(1_000);
                fleet.restart_all();
            },
            GoesOn,
        ),
        (
            "stopped as a second version came, the others gone",
            |fleet| {
                fleet.freeze(1);
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.wake_only(1);
            },
            NotMixed,
        ),
        (
            "stopped together as a second version came, the others gone",
            |fleet| {
                (1..fleet.instances.len().min(4)).for_each(|number| fleet.freeze(number));
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.wake_only(3);
            },
            NotMixed,
        ),
        (
            "cut off from the others and the store as a second version came",
            |fleet| {
                (1..fleet.instances.len().min(4)).for_each(|number| fleet.freeze(number));
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.wake_only(3);
                fleet.is_store_away = true;
            },
            NotMixed,
        ),
        (
            "stopped until the second version had gone again, the others gone",
            |fleet| {
                fleet.freeze(1);
                fleet.list(&["v1", "v2"]);
                fleet.begin(0, "v2");
                fleet.list(&["v1"]);
                fleet.run(2_000);
                fleet.wake_only(1);
            },
            NotMixed,
        ),
        (
            "stopped, one version, the others gone",
            |fleet| {
                fleet.freeze(1);
                fleet.run(4_000);
                fleet.wake_only(1);
            },
            GoesOn,
        ),
    ];
    for size in SIZES {
        for (name, play, expected) in &cases {
            let mut fleet = Fleet::start(size);
            play(&mut fleet);
            let [at_their_version, refused, mixed] = fleet.resume_all();
            let counts =
                format!("{name}, {size} instances: {at_their_version} go on, {refused} refused");
            assert_eq!(mixed, 0, "{counts}");
            match expected {
                GoesOn => assert_eq!(refused, 0, "{counts}"),
                Refused => assert_eq!(at_their_version, 0, "{counts}"),
                NotMixed => {}
            }
        }
    }
}

/// Guards against mixing where most instances are cut off from the store, and from those that begin streams at a
/// second version: all that may hold a note answer, and none of them was told.
#[test]
fn a_stream_does_not_go_on_by_lists_from_before_a_cut_though_all_holders_answer() {
    for (size, cut_off) in [(6, 2), (90, 30)] {
        let mut fleet = Fleet::start(size);
        (cut_off..fleet.instances.len()).for_each(|number| fleet.freeze(number));
        fleet.list(&["v1", "v2"]);
        fleet.begin(0, "v2");
        fleet.run(5_000);
        for (number, instance) in fleet.instances.iter_mut().enumerate() {
            instance.is_alive = number >= cut_off;
        }
        fleet.is_store_away = true;
        let [_, _, mixed] = fleet.resume_all();
        assert_eq!(mixed, 0, "{size} instances");
    }
}

/// Guards against mixing at instances that are told neither by the store, which has come back from a copy, nor by
/// the holders, which have gone with the instance that began the streams.
#[test]
fn a_stream_does_not_go_on_by_a_copy_of_the_store_that_lacks_its_version() {
    for size in SIZES {
        let mut fleet = Fleet::start(size);
        fleet.run(60_000);
        // Reads of this instance come less than two seconds before and after.
        fleet.freeze(1);
        let listed = fleet.listed.clone();
        fleet.list(&["v1", "v2"]);
        fleet.begin(0, "v2");
        fleet.era += 1;
        fleet.listed = listed;
        fleet.wake_only(1);
        let now = fleet.now;
        fleet.instances[1].versions.on_store_era(fleet.era, now);
        fleet.recorded = None;
        fleet.run(500);
        let [_, _, mixed] = fleet.resume_all();
        assert_eq!(mixed, 0, "{size} instances");
    }
}
