//! Status and orders for operators.

use authority::change::Step;
use clock::{Clock as _, Moment};

use crate::core::Core;
use crate::order::{describe, to_role};
use crate::status::{self, Orders, Status};
use crate::view;

impl Core {
    pub(crate) fn orders(&self) -> Orders {
        let recent = self.replica.authority().recent_orders();
        let recent = recent.map(|end| status::Order {
            order: end.intent.order,
            scope: end.intent.scope.clone(),
            upstream: end.upstream.clone(),
            what: describe(&end.intent.action),
            holder: String::new(),
            step: format!("{:?}", end.verdict).to_lowercase(),
            waits: end.detail.clone(),
        });
        let mut recent: Vec<_> = recent.collect();
        recent.reverse();
        Orders {
            unresolved: self.unresolved(),
            recent,
        }
    }

    pub(crate) fn status(&self) -> Status {
        let now = self.clock.now();
        Status {
            instance: self.options.local.id.clone(),
            incarnation: self.options.local.incarnation,
            up_s: now.saturating_sub(self.started).as_secs(),
            peer_address: self
                .mesh
                .address()
                .map_or_else(String::new, |address| address.to_string()),
            ready: self.publisher.current().ready,
            reasons: self.reasons(now).into_iter().collect(),
            log: self.log_status(now),
            catalogue: status::Catalogue {
                revision: self.replica.catalogue().revision(),
                rules: self.replica.catalogue().version(),
                entities: self.replica.catalogue().view().len(),
            },
            instances: status::Instances {
                version: self.fleet.list.version(),
                age_s: self
                    .fleet
                    .list
                    .read_at()
                    .map(|at| now.saturating_sub(at).as_secs()),
                doubted: self.fleet.rejected_listings(),
            },
            claims: status::Claims {
                in_force: self.calls.claims_in_force(),
                held: self.calls.open_calls(),
                contested: self.calls.contested(),
            },
            peers: self.peer_status(now),
            scopes: self.scope_status(now),
            orders: self.unresolved(),
            mismatches: self.scopes.mismatches(),
            drains: self.drain_status(now),
            upstreams: self.upstream_status(now),
            traffic: self.traffic(),
            udp: self.udp(),
        }
    }

    fn log_status(&self, now: Moment) -> status::Log {
        let down = match self.log_state(now) {
            view::Log::Up => None,
            view::Log::DownSince(since) => Some(now.saturating_sub(since).as_secs()),
        };
        let (first, next) = self.replica.retained();
        let traffic = self.appends.log().traffic();
        let compared = self.replica.comparisons();
        status::Log {
            up: down.is_none(),
            down_s: down.unwrap_or(0),
            folded: self.replica.folded(),
            behind: next.saturating_sub(self.replica.folded() + 1),
            first,
            snapshot: self.replica.snapshot_upto(),
            snapshots_same: compared.same,
            snapshots_different: compared.different,
            appends: traffic.appends,
            appended_bytes: traffic.appended_bytes,
            read_bytes: traffic.read_bytes,
        }
    }

    fn peer_status(&self, now: Moment) -> Vec<status::Peer> {
        let connected = self.mesh.status();
        let round_trip = |id: &str| {
            let found = connected.iter().find(|one| one.id == id);
            found.map_or(0, |one| one.round_trip.as_micros() as u64)
        };
        let members = self.fleet.members.iter();
        let peer = |one: &fleet::member::Member| status::Peer {
            id: one.id.clone(),
            state: format!("{:?}", one.state).to_lowercase(),
            hearing: format!("{:?}", one.hearing).to_lowercase(),
            silent_ms: one.silence(now).as_millis() as u64,
            folded: one.progress.folded,
            revision: one.progress.revision,
            rules: one.progress.rules,
            round_trip_us: round_trip(&one.id),
        };
        members.map(peer).collect()
    }

    fn scope_status(&self, now: Moment) -> Vec<status::Scope> {
        let scope = |(name, _): (&String, _)| {
            let held = self.replica.authority().current_claim(name);
            let grant = self.scopes.grant(name);
            let left = grant.map_or(0, |grant| grant.until.saturating_sub(now).as_millis());
            let lease = self.scopes.get(name).map(|scope| &scope.lease);
            status::Scope {
                scope: name.clone(),
                holder: held.map_or_else(String::new, |held| held.holder.instance.clone()),
                fence: held.map_or(0, |held| held.fence),
                released: held.is_some_and(|held| held.released),
                own: lease.is_some_and(authority::lease::Lease::holds),
                lease_ms: left as u64,
            }
        };
        self.scopes.iter().map(scope).collect()
    }

    fn unresolved(&self) -> Vec<status::Order> {
        let authority = self.replica.authority();
        let pending = authority.pending_orders().map(|(upstream, pending)| {
            let holder = authority.current_claim(&pending.scope);
            let (step, waits) = self.order_step(&pending.scope, pending.order);
            status::Order {
                order: pending.order,
                scope: pending.scope.clone(),
                upstream: upstream.clone(),
                what: describe(&pending.action),
                holder: holder.map_or_else(String::new, |held| held.holder.instance.clone()),
                step,
                waits,
            }
        });
        let requested = self.scopes.iter().flat_map(|(name, scope)| {
            let requested = scope.planner.requested_changes();
            requested.map(|(upstream, what, reason)| status::Order {
                order: 0,
                scope: name.clone(),
                upstream: upstream.clone(),
                what: describe(what),
                holder: self.options.local.id.clone(),
                step: "wanted".to_owned(),
                waits: format!("{reason:?}").to_lowercase(),
            })
        });
        pending.chain(requested).collect()
    }

    /// Step and blockers of an order if this process carries it out, else `elsewhere`.
    fn order_step(&self, scope: &str, order: u64) -> (String, String) {
        let scope = self.scopes.get(scope);
        let mut underway = scope
            .into_iter()
            .flat_map(|scope| scope.planner.active_changes());
        let Some(change) = underway.find(|change| change.order == order) else {
            return ("elsewhere".to_owned(), String::new());
        };
        let step = match change.change.current_step() {
            Step::Concluding(verdict, detail) => format!("concluding {verdict:?}: {detail}"),
            step => format!("{step:?}"),
        };
        (step.to_lowercase(), change.change.blockers().join(", "))
    }

    fn drain_status(&self, now: Moment) -> Vec<status::Drain> {
        let senders = self.fleet.senders();
        let closings = self.fleet.drain.status(now, &senders);
        let drain = |one: fleet::drain::Status| {
            let confirmed = one
                .confirmed
                .iter()
                .map(|(id, open)| format!("{id} {open}"));
            let waits = one.blockers.iter().map(ToString::to_string);
            status::Drain {
                order: one.order,
                upstream: one.upstream,
                for_s: now.saturating_sub(one.since).as_secs(),
                confirmed: confirmed.collect::<Vec<_>>().join(", "),
                waits: waits.collect::<Vec<_>>().join(", "),
            }
        };
        closings.into_iter().map(drain).collect()
    }

    fn upstream_status(&self, now: Moment) -> Vec<status::Upstream> {
        let hooks = self.shared.hooks();
        let health = &self.options.health;
        let upstream = |one: &fleet::upstream::Upstream| {
            let report = self.fleet.report(&one.id);
            let settled = self.replica.authority().settled(&one.id);
            let role = report.map(|report| report.content.role);
            let role = role.or(settled.and_then(|known| known.role).map(to_role));
            let role = role.map_or_else(String::new, |role| format!("{role:?}").to_lowercase());
            status::Upstream {
                id: one.id.clone(),
                pool: one.pool.clone(),
                state: format!("{:?}", one.state).to_lowercase(),
                role,
                open: (hooks.open_requests)(&one.id),
                weight: one.health.share(now, health),
                report_ms: report.map(|report| report.age(now).as_millis() as u64),
            }
        };
        self.fleet.upstreams.iter().map(upstream).collect()
    }

    fn traffic(&self) -> Vec<status::Traffic> {
        let kinds = self.mesh.traffic().kinds;
        let row = |(kind, flow): (peer::traffic::Kind, peer::traffic::Flow)| status::Traffic {
            kind: kind.name().to_owned(),
            sent: flow.sent.messages,
            sent_bytes: flow.sent.bytes,
            received: flow.received.messages,
            received_bytes: flow.received.bytes,
        };
        kinds.into_iter().map(row).collect()
    }

    fn udp(&self) -> status::Udp {
        let traffic = self.mesh.traffic();
        status::Udp {
            sent_bytes: traffic.udp.sent.bytes,
            received_bytes: traffic.udp.received.bytes,
            unsent: traffic.unsent,
            refused: traffic.refused,
            failed_handshakes: traffic.failed_handshakes,
        }
    }
}
