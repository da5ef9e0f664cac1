//! What the other entries tell and ask.

use std::sync::Arc;

use authority::order::Order;
use authority::planner::Reason;
use clock::Moment;
use fleet::member::{Output, Outputs};
use peer::{Event, Id};
use wire::peer::frame::Body;
use wire::peer::{Burn, Confirm, Empty, Frame, Query, Reply, Wish, query, reply};

use crate::core::Core;
use crate::hooks::Key;

/// Time after which confirmations are repeated although nothing changed.
const REPEAT: std::time::Duration = std::time::Duration::from_secs(1);

impl Core {
    pub(super) fn peer(&mut self, now: Moment, event: Event) {
        match event {
            Event::Frame(frame) => self.frame(now, frame),
            Event::Query {
                from,
                query,
                responder,
            } => responder.send(self.reply(now, &from.instance, &query)),
            Event::Up(id) => log::info!(peer = id.as_str(); "connected"),
            Event::Down(id) => log::warn!(peer = id.as_str(); "disconnected"),
        }
    }

    fn frame(&mut self, now: Moment, frame: Frame) {
        let outputs = self.census.frame(now, &frame);
        let refused = outputs.iter().any(|one| matches!(one, Output::Refused(_)));
        self.member_outputs(now, outputs);
        let Some(from) = frame.from.as_ref().filter(|_| !refused) else {
            return;
        };
        let from: Id = from.instance.clone();
        match frame.body {
            Some(Body::Heartbeat(_)) => self.heard(),
            Some(Body::Confirm(_)) => self.census.drain.confirm(&frame),
            Some(Body::Load(load)) => {
                let load = (now, Arc::from(load.outstanding));
                self.frames.loads.insert(from, load);
            }
            Some(Body::Shares(shares)) => {
                let demand = (now, Arc::from(shares.demand));
                self.frames.demands.insert(from.clone(), demand);
                self.frames.pools.insert(from, (now, shares.pools));
            }
            Some(Body::Burn(_) | Body::Query(_) | Body::Reply(_)) | None => (),
        }
    }

    /// Ends a pause of this process, also while the log is out, once peers show that its view still
    /// holds: at least one heartbeat is certainly newer than the pause, and none of those tells of
    /// more than is folded here. Any heartbeat would not do: one that waited in the socket since
    /// the pause began tells of nothing newer, and work would go to an upstream closed meanwhile.
    fn heard(&mut self) {
        if self.flags.paused_at.is_none() {
            return;
        }
        let folded = self.ledger.folded();
        let mut fresh = self.census.members.with_fresh_heartbeat().peekable();
        let heard = fresh.peek().is_some();
        if heard && fresh.all(|member| member.progress.folded <= folded) {
            self.flags.paused_at = None;
            self.flags.urgent = true;
        }
    }

    pub(super) fn member_outputs(&mut self, now: Moment, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::SendHeartbeat { to, heartbeat } => {
                    self.mesh.send(&to, Body::Heartbeat(heartbeat));
                }
                Output::Changed { id, was, state } => {
                    log::info!(peer = id.as_str(), was:?, state:?; "entry changed");
                }
                Output::Returned { id, silent } => {
                    log::warn!(peer = id.as_str(), silent:?; "entry is heard again");
                }
                Output::Restarted { id, incarnation } => {
                    log::info!(peer = id.as_str(), incarnation; "entry was restarted");
                }
                Output::HearingChanged { id, hearing } => {
                    log::info!(peer = id.as_str(), hearing:?; "entry hears this one, or does not");
                }
                Output::Refused(refusal) => log::debug!(refusal:?; "a frame was refused"),
                Output::Paused(pause) => {
                    log::warn!(pause:?; "this process was paused");
                    self.flags.paused_at = Some(now);
                    self.flags.urgent = true;
                }
                Output::Superseded(incarnation) => {
                    log::error!(incarnation; "a newer process runs under this instance id");
                    self.flags.superseded = true;
                    self.flags.urgent = true;
                }
            }
        }
    }

    /// Confirms the closings that the data plane has seen, to itself and to all peers: at once
    /// when something changed, and again while they stand.
    pub(super) fn confirm(&mut self, now: Moment) {
        let hooks = self.shared.hooks();
        let owed = self.census.owed((hooks.oldest_applied_view)(), |id| {
            (hooks.open_requests)(id)
        });
        self.census.confirm_own(&owed);
        let (sent_at, sent) = &self.confirms;
        let due = now >= *sent_at + REPEAT;
        for confirm in owed.iter().filter(|one| due || !sent.contains(one)) {
            self.mesh.broadcast(Body::Confirm(Confirm::clone(confirm)));
        }
        let sent_at = if due { now } else { *sent_at };
        self.confirms = (sent_at, owed);
    }

    fn reply(&mut self, now: Moment, from: &str, query: &Query) -> Reply {
        let kind = match &query.kind {
            Some(query::Kind::State(_)) => match self.ledger.snapshot() {
                Some(snapshot) if self.flags.caught_up => reply::Kind::State(snapshot),
                _ => reply::Kind::None(Empty {}),
            },
            Some(query::Kind::Answer(key)) => self.held(key),
            Some(query::Kind::Burn(_)) => reply::Kind::Burn(Burn {
                buckets: (self.shared.hooks().burn)(),
            }),
            Some(query::Kind::Status(_)) => match serde_json::to_string(&self.status()) {
                Ok(status) => reply::Kind::StatusJson(status),
                Err(_) => reply::Kind::None(Empty {}),
            },
            Some(query::Kind::Wish(wish)) => self.wished(now, from, wish),
            None => reply::Kind::None(Empty {}),
        };
        Reply { kind: Some(kind) }
    }

    fn held(&self, key: &[u8]) -> reply::Kind {
        let answer = Key::try_from(key).ok();
        let answer = answer.and_then(|key| (self.shared.hooks().held_answer)(&key));
        answer.map_or(reply::Kind::None(Empty {}), reply::Kind::Answer)
    }

    fn wished(&mut self, now: Moment, from: &str, wish: &Wish) -> reply::Kind {
        let refused = |why: &str| reply::Kind::Refused(why.to_owned());
        let Ok(what) = Order::try_from(wish.order.as_ref()) else {
            return refused("the order is malformed");
        };
        log::info!(upstream = wish.upstream.as_str(), operator = wish.operator.as_str(), from; "a planned change is asked for");
        let wanted = (wish.upstream.clone(), what);
        let (scopes, around) = self.split(now);
        if scopes.want(&around, &wish.scope, wanted, Reason::Operator) {
            reply::Kind::None(Empty {})
        } else {
            refused("control of the pool is not held here")
        }
    }
}
