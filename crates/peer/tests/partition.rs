//! Membership under partitions between real meshes. Time is virtual: a round takes one second, and
//! ends when all frames that are not dropped have arrived.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use fleet::Members;
use fleet::list::{Instance, Kind, Listing, Mark, View};
use fleet::member::{Hearing, Input, LocalMember, Output, Progress, Settings, State};
use peer::Event;
use peer::config::{Direction, Fault};
use peer::issue::Authority;
use support::{Process, connect};
use wire::peer::frame::Body;

/// The frames that are dropped, shared by all meshes of a test.
type Cut = Rc<Cell<LostFrames>>;

#[derive(Clone, Copy, Eq, PartialEq)]
enum LostFrames {
    Nothing,
    FromAToB,
    Both,
}

struct Entry {
    process: Process,
    members: Members,
    outputs: Vec<Output>,
}

impl Entry {
    fn start(authority: &Authority, id: &str, cut: &Cut) -> Self {
        let cut = Rc::clone(cut);
        let from_a = id == "a";
        let fault: Fault = Rc::new(move |direction, _peer| {
            direction == Direction::Out
                && match cut.get() {
                    LostFrames::Nothing => false,
                    LostFrames::FromAToB => from_a,
                    LostFrames::Both => true,
                }
        });
        let own = LocalMember {
            id: id.to_owned(),
            incarnation: 1,
            data_centre: "callao".to_owned(),
        };
        let mut members = Members::new(own, Settings::default(), Duration::ZERO);
        members.step(Duration::ZERO, Input::List(&instance_list()));
        Self {
            process: Process::start_with_fault(authority, id, fault),
            members,
            outputs: Vec::new(),
        }
    }

    /// Ticks the membership and sends its heartbeats.
    fn send(&mut self, now: Duration) {
        for output in self.members.step(now, Input::Tick(Progress::default())) {
            match output {
                Output::SendHeartbeat { to, heartbeat } => {
                    self.process
                        .mesh
                        .send(&to, Body::Heartbeat(heartbeat))
                        .unwrap();
                }
                other => self.outputs.push(other),
            }
        }
    }

    async fn receive(&mut self, now: Duration) {
        let frame = self
            .process
            .wait_for(|event| match event {
                Event::Frame(frame) => Some(frame),
                _ => None,
            })
            .await;
        self.outputs
            .extend(self.members.step(now, Input::Frame(&frame)));
    }
}

/// The instance list, which always contains a and b.
fn instance_list() -> View {
    let mut view = View::default();
    let instances = ["a", "b"].map(|id| Instance {
        id: id.to_owned(),
        kind: Kind::Entry,
        pool: String::new(),
        data_centre: "callao".to_owned(),
        address: String::new(),
        mark: Mark::Live,
    });
    let listing = Listing {
        version: 1,
        instances: instances.to_vec(),
    };
    view.read(Duration::ZERO, listing);
    view
}

struct Pair {
    a: Entry,
    b: Entry,
    cut: Cut,
    second: u64,
}

impl Pair {
    async fn start() -> Self {
        let authority = Authority::new("test").unwrap();
        let cut: Cut = Rc::new(Cell::new(LostFrames::Nothing));
        let mut a = Entry::start(&authority, "a", &cut);
        let mut b = Entry::start(&authority, "b", &cut);
        connect(&mut [&mut a.process, &mut b.process]).await;
        Self {
            a,
            b,
            cut,
            second: 0,
        }
    }

    async fn rounds(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.second += 1;
            let now = Duration::from_secs(self.second);
            self.a.send(now);
            self.b.send(now);
            let lost = self.cut.get();
            if lost == LostFrames::Nothing {
                self.b.receive(now).await;
            }
            if lost != LostFrames::Both {
                self.a.receive(now).await;
            }
        }
    }

    fn state(entry: &Entry, peer: &str) -> (State, Hearing) {
        let member = entry.members.get(peer).unwrap();
        (member.state, member.hearing)
    }
}

// Frames from a to b are lost, those from b to a arrive. If a judged by received frames only, it
// would not notice the partition, while b routes and confirms without hearing a.
#[actix_rt::test]
async fn a_partition_in_one_direction_is_detected_on_both_sides() {
    let mut pair = Pair::start().await;
    pair.rounds(3).await;
    assert_eq!(Pair::state(&pair.a, "b"), (State::Alive, Hearing::Hears));
    assert_eq!(Pair::state(&pair.b, "a"), (State::Alive, Hearing::Hears));
    pair.cut.set(LostFrames::FromAToB);
    pair.rounds(6).await;
    assert_eq!(Pair::state(&pair.a, "b"), (State::Alive, Hearing::Deaf));
    assert_eq!(
        Pair::state(&pair.b, "a"),
        (State::Suspect, Hearing::Unknown)
    );
    pair.cut.set(LostFrames::Nothing);
    pair.rounds(2).await;
    assert_eq!(Pair::state(&pair.a, "b"), (State::Alive, Hearing::Hears));
    assert_eq!(Pair::state(&pair.b, "a"), (State::Alive, Hearing::Hears));
}

// All frames between a and b are lost for a minute while both stay listed. If silence alone made an
// entry gone, an upstream could be closed while that entry still sends to it.
#[actix_rt::test]
async fn a_silent_listed_peer_is_suspect_until_it_returns() {
    let mut pair = Pair::start().await;
    pair.rounds(3).await;
    pair.cut.set(LostFrames::Both);
    pair.rounds(60).await;
    for (entry, peer) in [(&pair.a, "b"), (&pair.b, "a")] {
        assert_eq!(Pair::state(entry, peer), (State::Suspect, Hearing::Unknown));
        assert_eq!(entry.members.senders().len(), 2);
    }
    pair.cut.set(LostFrames::Nothing);
    pair.rounds(2).await;
    for (entry, peer) in [(&pair.a, "b"), (&pair.b, "a")] {
        assert_eq!(Pair::state(entry, peer), (State::Alive, Hearing::Hears));
        let returned = |one: &Output| matches!(one, Output::Returned { id, .. } if id == peer);
        assert!(entry.outputs.iter().any(returned));
    }
}
