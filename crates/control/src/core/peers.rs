//! Events of the mesh: frames and queries of the other entries.

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

/// Interval at which unchanged confirmations are repeated.
const CONFIRM_REPEAT_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

impl Core {
    pub(super) fn handle_peer_event(&mut self, now: Moment, event: Event) {
        match event {
            Event::Frame(frame) => self.handle_frame(now, frame),
            Event::Query {
                from,
                query,
                responder,
            } => responder.send(self.reply(now, &from.instance, &query)),
            Event::Up(id) => log::info!(peer = id.as_str(); "connected"),
            Event::Down(id) => log::warn!(peer = id.as_str(); "disconnected"),
        }
    }

    fn handle_frame(&mut self, now: Moment, frame: Frame) {
        let outputs = self.fleet.receive_frame(now, &frame);
        let refused = outputs.iter().any(|one| matches!(one, Output::Refused(_)));
        self.member_outputs(now, outputs);
        let Some(from) = frame.from.as_ref().filter(|_| !refused) else {
            return;
        };
        let from: Id = from.instance.clone();
        match frame.body {
            Some(Body::Heartbeat(_)) => self.end_pause_if_current(),
            Some(Body::Confirm(_)) => self.fleet.drain.confirm(&frame),
            Some(Body::Load(load)) => {
                let load = (now, Arc::from(load.outstanding));
                self.peer_frames.loads.insert(from, load);
            }
            Some(Body::Shares(shares)) => {
                let demand = (now, Arc::from(shares.demand));
                self.peer_frames.demands.insert(from.clone(), demand);
                self.peer_frames.pools.insert(from, (now, shares.pools));
            }
            Some(Body::Burn(_) | Body::Query(_) | Body::Reply(_)) | None => (),
        }
    }

    /// Ends a pause of this process, also while the log is down, once the peers confirm its view:
    /// at least one heartbeat was certainly sent after the pause, and no such heartbeat has a
    /// higher folded offset. A heartbeat that waited in the socket during the pause does not count:
    /// work could then go to an upstream that was closed meanwhile.
    fn end_pause_if_current(&mut self) {
        if self.flags.paused_at.is_none() {
            return;
        }
        let folded = self.replica.folded();
        let mut fresh = self.fleet.members.with_fresh_heartbeat().peekable();
        let heard = fresh.peek().is_some();
        if heard && fresh.all(|member| member.progress.folded <= folded) {
            self.flags.paused_at = None;
            self.flags.publish_now = true;
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
                    log::warn!(peer = id.as_str(), silent:?; "heartbeats received again");
                }
                Output::Restarted { id, incarnation } => {
                    log::info!(peer = id.as_str(), incarnation; "entry was restarted");
                }
                Output::HearingChanged { id, hearing } => {
                    log::info!(peer = id.as_str(), hearing:?; "reception of own heartbeats changed");
                }
                Output::Refused(refusal) => log::debug!(refusal:?; "frame refused"),
                Output::Paused(pause) => {
                    log::warn!(pause:?; "this process was paused");
                    self.flags.paused_at = Some(now);
                    self.flags.publish_now = true;
                }
                Output::Superseded(incarnation) => {
                    log::error!(incarnation; "a newer process uses this instance id");
                    self.flags.superseded = true;
                    self.flags.publish_now = true;
                }
            }
        }
    }

    /// Confirms the closings that the data plane has applied, locally and to all peers: at once
    /// after a change, and periodically while they are in force.
    pub(super) fn broadcast_confirms(&mut self, now: Moment) {
        let hooks = self.shared.hooks();
        let due_confirms = self
            .fleet
            .due_confirmations((hooks.oldest_applied_view)(), |id| {
                (hooks.open_requests)(id)
            });
        self.fleet.confirm_local(&due_confirms);
        let (sent_at, sent) = &self.last_confirms;
        let due = now >= *sent_at + CONFIRM_REPEAT_INTERVAL;
        for confirm in due_confirms.iter().filter(|one| due || !sent.contains(one)) {
            self.mesh.broadcast(Body::Confirm(Confirm::clone(confirm)));
        }
        let sent_at = if due { now } else { *sent_at };
        self.last_confirms = (sent_at, due_confirms);
    }

    fn reply(&mut self, now: Moment, from: &str, query: &Query) -> Reply {
        let kind = match &query.kind {
            Some(query::Kind::State(_)) => match self.replica.snapshot() {
                Some(snapshot) if self.flags.caught_up => reply::Kind::State(snapshot),
                _ => reply::Kind::None(Empty {}),
            },
            Some(query::Kind::Answer(key)) => self.held_answer(key),
            Some(query::Kind::Burn(_)) => reply::Kind::Burn(Burn {
                buckets: (self.shared.hooks().burn)(),
            }),
            Some(query::Kind::Status(_)) => match serde_json::to_string(&self.status()) {
                Ok(status) => reply::Kind::StatusJson(status),
                Err(_) => reply::Kind::None(Empty {}),
            },
            Some(query::Kind::Wish(wish)) => self.handle_change_request(now, from, wish),
            None => reply::Kind::None(Empty {}),
        };
        Reply { kind: Some(kind) }
    }

    fn held_answer(&self, key: &[u8]) -> reply::Kind {
        let answer = Key::try_from(key).ok();
        let answer = answer.and_then(|key| (self.shared.hooks().held_answer)(&key));
        answer.map_or(reply::Kind::None(Empty {}), reply::Kind::Answer)
    }

    fn handle_change_request(&mut self, now: Moment, from: &str, wish: &Wish) -> reply::Kind {
        let refused = |why: &str| reply::Kind::Refused(why.to_owned());
        let Ok(action) = Order::try_from(wish.order.as_ref()) else {
            return refused("the order is malformed");
        };
        log::info!(upstream = wish.upstream.as_str(), operator = wish.operator.as_str(), from; "planned change requested");
        let change = (wish.upstream.clone(), action);
        let (scopes, context) = self.scopes_and_context(now);
        if scopes.request_change(&context, &wish.scope, change, Reason::Operator) {
            reply::Kind::None(Empty {})
        } else {
            refused("control of the pool is not held here")
        }
    }
}
