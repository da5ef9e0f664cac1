//! Requests from handles.

use authority::order::Order;
use authority::planner::Reason;
use catalogue::{DecidedEdit, Findings};
use claims::{Call, CallEnd, CallId, Decision};
use clock::Clock as _;
use tokio::sync::oneshot;
use wire::peer::{Answer, Empty, Query, Wish, query, reply};
use wire::record::record::Body;
use wire::record::{Change, Edit};

use crate::appends::Source;
use crate::core::Core;
use crate::edits;
use crate::hooks::Key;
use crate::order::OrderError;
use crate::status::{Burn, Entities, Entity};

impl Core {
    pub(crate) fn claim(&mut self, call: Call, reply: oneshot::Sender<Decision>) {
        let now = self.clock.now();
        self.calls.claim(now, call, reply, &self.appends);
    }

    pub(crate) fn conclude(&mut self, call_id: CallId, end: CallEnd) {
        let now = self.clock.now();
        self.calls.call_ended(now, call_id, end, &self.appends);
    }

    pub(crate) fn caller_gone(&mut self, call_id: CallId) {
        let now = self.clock.now();
        self.calls.caller_gone(now, call_id, &self.appends);
    }

    pub(crate) fn edit(&mut self, edit: Edit, reply: oneshot::Sender<edits::EditResult>) {
        let nonce = self.nonces.next_nonce();
        let deadline = self.clock.now() + self.options.edit_timeout;
        self.edits.insert(nonce, deadline, reply);
        self.appends.send(Source::Edit, nonce, Body::Edit(edit));
    }

    pub(crate) fn check(&self, changes: &[Change]) -> Findings {
        catalogue::check(self.replica.catalogue(), changes)
    }

    pub(crate) fn history(&self) -> Vec<DecidedEdit> {
        self.replica.catalogue().history().cloned().collect()
    }

    pub(crate) fn entities(&self) -> Entities {
        let catalogue = self.replica.catalogue();
        let slots = catalogue.view().slots();
        let entities = slots.filter(|(_, _, slot)| slot.entity.is_some());
        let entities = entities.map(|(kind, name, slot)| Entity {
            kind: kind.to_string(),
            name: name.to_owned(),
            revision: slot.revision,
            operator: slot.operator.to_string(),
            value: serde_json::from_str(&slot.json).unwrap_or_default(),
        });
        Entities {
            revision: catalogue.revision(),
            entities: entities.collect(),
        }
    }

    /// Passes a requested change to the holder of the engine's pool, which may be a peer.
    pub(crate) fn request_change(
        &mut self,
        upstream: String,
        action: &Order,
        operator: String,
        reply: oneshot::Sender<Result<(), OrderError>>,
    ) {
        let now = self.clock.now();
        let known = self.fleet.upstreams.get(&upstream);
        let engine = known.filter(|one| one.kind == fleet::list::Kind::Engine);
        let Some(scope) = engine.map(|one| one.pool.clone()) else {
            let _gone = reply.send(Err(OrderError::UnknownEngine));
            return;
        };
        let change = (upstream.clone(), action.clone());
        let (scopes, context) = self.scopes_and_context(now);
        if scopes.request_change(&context, &scope, change, Reason::Operator) {
            let _gone = reply.send(Ok(()));
            return;
        }
        let held = self.replica.authority().current_claim(&scope);
        let own = &self.options.local.id;
        let holder = held.filter(|held| !held.released && held.holder.instance != *own);
        let Some(holder) = holder.map(|held| held.holder.instance.clone()) else {
            let _gone = reply.send(Err(OrderError::NoHolder));
            return;
        };
        let wish = Wish {
            scope,
            upstream,
            order: Some(action.into()),
            operator,
        };
        let kind = Some(query::Kind::Wish(wish));
        let answer = self.mesh.query(&holder, Query { kind });
        actix_rt::spawn(async move {
            let result = match answer.await.and_then(|reply| reply.kind) {
                Some(reply::Kind::None(_)) => Ok(()),
                Some(reply::Kind::Refused(why)) => Err(OrderError::Refused(why)),
                _ => Err(OrderError::HolderAway(holder)),
            };
            let _gone = reply.send(result);
        });
    }

    pub(crate) fn query_held_answer(
        &mut self,
        instance: &str,
        key: Key,
        reply: oneshot::Sender<Option<Answer>>,
    ) {
        let kind = Some(query::Kind::Answer(key.to_vec()));
        let answer = self.mesh.query(instance, Query { kind });
        actix_rt::spawn(async move {
            let held = match answer.await.and_then(|reply| reply.kind) {
                Some(reply::Kind::Answer(held)) => Some(held),
                _ => None,
            };
            let _gone = reply.send(held);
        });
    }

    pub(crate) fn query_burn(&mut self, reply: oneshot::Sender<Burn>) {
        let own = (self.options.local.id.clone(), (self.shared.hooks().burn)());
        let kind = Some(query::Kind::Burn(Empty {}));
        let query = Query { kind };
        let peers: Vec<String> = self.mesh.status().into_iter().map(|one| one.id).collect();
        let queries: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let answer = self.mesh.query(&peer, query.clone());
                async move { (peer, answer.await) }
            })
            .collect();
        actix_rt::spawn(async move {
            let mut merged = Burn::from([own]);
            for (peer, answer) in futures_util::future::join_all(queries).await {
                if let Some(reply::Kind::Burn(burn)) = answer.and_then(|reply| reply.kind) {
                    merged.insert(peer, burn.buckets);
                }
            }
            let _gone = reply.send(merged);
        });
    }
}
