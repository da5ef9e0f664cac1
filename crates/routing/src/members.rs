//! The upstreams of one pool.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

use crate::{
    class::Class,
    load::Load,
    member::Member,
    passive_health::PassiveHealth,
    pool::Config,
    upstream::{Health, Id, Report, Role, View},
};

/// Age beyond which a view of the peers' work is ignored.
///
/// Views decay towards the mean of all views. If every view dates from before the load reports
/// stopped, that mean is stale too, and a pool that was full at the time would look full forever.
const MAX_VIEW_AGE: Duration = Duration::from_secs(5);

/// All upstreams of a pool.
#[derive(Clone, Debug)]
pub struct Members {
    list: Vec<Member>,
    index: HashMap<Id, usize>,
    /// Positions of the upstreams that accept work, by role.
    ready: [Vec<usize>; 3],
    /// Mean work per upstream that other entries have outstanding.
    mean_load: Load,
    /// This entry's share of all outstanding requests.
    own_share: f64,
}

impl Members {
    /// An empty pool.
    pub fn new() -> Self {
        Self {
            list: Vec::new(),
            index: HashMap::new(),
            ready: Default::default(),
            mean_load: Load::default(),
            own_share: 1.0,
        }
    }

    /// Replaces the upstreams and returns whether anything changed. The state of upstreams that
    /// remain is kept.
    pub fn set(&mut self, config: &Config, mut views: Vec<View>) -> bool {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        views.dedup_by(|a, b| a.id == b.id);
        if self.list.iter().map(|member| &member.view).eq(&views) {
            return false;
        }
        let mut old: HashMap<Id, Member> = self
            .list
            .drain(..)
            .map(|member| (member.view.id.clone(), member))
            .collect();
        for view in views {
            let member = match old.remove(&view.id) {
                None => Member::new(view, config.speed),
                // Health observed in one role does not carry over to another.
                Some(known) if known.view.role != view.role => Member {
                    view,
                    passive_health: PassiveHealth::default(),
                    speed_factor: 1.0,
                    ..known
                },
                Some(known) => Member { view, ..known },
            };
            self.list.push(member);
        }
        self.index = self
            .list
            .iter()
            .enumerate()
            .map(|(position, member)| (member.view.id.clone(), position))
            .collect();
        self.rebuild_ready();
        true
    }

    /// All upstreams, ordered by id.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// The upstream at `position`.
    pub fn at(&self, position: usize) -> &Member {
        &self.list[position]
    }

    /// The position of the upstream with this id.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Positions of the upstreams in `role` that accept new work.
    pub fn ready(&self, role: Role) -> &[usize] {
        &self.ready[role as usize]
    }

    /// Mean work per upstream that other entries have outstanding; stale views decay towards it.
    pub fn mean_load(&self) -> Load {
        self.mean_load
    }

    /// The upstream with this id, for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Member> {
        let position = self.position(id)?;
        Some(&mut self.list[position])
    }

    /// Applies a load report.
    pub fn apply_report(&mut self, id: &str, report: Report) {
        let Some(position) = self.position(id) else {
            return;
        };
        let member = &mut self.list[position];
        let was_draining = member.ledger.report().is_some_and(|last| last.draining);
        if !member.ledger.apply_report(report) {
            return;
        }
        member.window.adapt(&report);
        if report.prefill_rate > 0.0 {
            member.speed.prefill_rate = report.prefill_rate;
        }
        if report.decode_slots > 0 {
            member.speed.slots = report.decode_slots;
        }
        if was_draining != report.draining {
            self.rebuild_ready();
        }
    }

    /// Sets the work that the peers have outstanding at each upstream, as of `at`.
    pub fn set_peer_load(&mut self, at: Moment, load: impl Fn(&str) -> Load) {
        for member in &mut self.list {
            let load = load(&member.view.id);
            member.ledger.set_peer_load(at, load);
        }
    }

    /// Whether the upstream at `position` has room for a request of this class on top of its
    /// estimated load.
    pub fn has_room(&self, position: usize, class: Class, load: Load) -> bool {
        let member = &self.list[position];
        let own = member.ledger.own();
        member
            .window
            .has_room(class, &member.effective_speed(), load, own, self.own_share)
    }

    /// Recomputes the pool-wide statistics: the mean load, this entry's share of the requests, and
    /// which upstreams are slow or ejected. Called periodically rather than per request, because
    /// it visits every upstream.
    pub fn refresh_statistics(&mut self, now: Moment) {
        self.update_mean_load(now);
        self.update_speed_factors(now);
        let mut changed = false;
        for member in &mut self.list {
            let requests = member.ledger.own().requests;
            member.passive_health.check_silence(now, requests);
            let ejected = member.passive_health.is_ejected(now);
            changed |= ejected != member.ejected;
            member.ejected = ejected;
        }
        if changed {
            self.rebuild_ready();
        }
    }

    /// Mean prefill rate of the upstreams that accept work, in prompt tokens per second.
    pub fn prefill_rate(&self) -> Option<f64> {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| self.list[*position].effective_speed().prefill_rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Requests like `request` that this entry's share of the pool can complete per second.
    pub fn capacity(&self, request: Load) -> f64 {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| {
            let speed = self.list[*position].effective_speed();
            let prefill = speed.prefill_rate / request.prefill.max(f64::MIN_POSITIVE);
            let decode = f64::from(speed.slots) * speed.decode_rate;
            prefill.min(decode / request.decode.max(f64::MIN_POSITIVE))
        });
        rates.sum::<f64>() * self.own_share
    }

    /// Derives speed factors from the answer rates of the upstreams in each role.
    fn update_speed_factors(&mut self, now: Moment) {
        for role in Role::ALL {
            let rates = self.list.iter().filter(|member| member.view.role == role);
            let rates = rates.filter_map(|member| member.passive_health.answer_rate(now));
            let (sum, count) =
                rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
            if count == 0.0 {
                continue;
            }
            let mean_rate = sum / count;
            for member in &mut self.list {
                if member.view.role == role {
                    member.speed.decode_rate = mean_rate;
                    member.speed_factor = member.passive_health.speed_share(now, mean_rate);
                }
            }
        }
    }

    fn update_mean_load(&mut self, now: Moment) {
        let (mut own, mut others) = (Load::default(), Load::default());
        let mut views = 0.0;
        for member in &self.list {
            own += member.ledger.own();
            let view = member.ledger.others(now);
            if let Some((load, _)) = view.filter(|(_, age)| *age <= MAX_VIEW_AGE) {
                others += load;
                views += 1.0;
            }
        }
        self.mean_load = if views > 0.0 {
            others * (1.0 / views)
        } else {
            Load::default()
        };
        let total = own.requests + others.requests;
        self.own_share = if total > 0.0 {
            own.requests / total
        } else {
            1.0
        };
    }

    fn rebuild_ready(&mut self) {
        for ready in &mut self.ready {
            ready.clear();
        }
        for (position, member) in self.list.iter().enumerate() {
            if member.accepts_work() && member.view.health == Health::Up && !member.ejected {
                self.ready[member.view.role as usize].push(position);
            }
        }
        if self.ready.iter().all(Vec::is_empty) {
            self.fill_ready_with_suspects();
        }
    }

    /// Falls back to suspect upstreams when no other is left: an uncertain attempt is better than
    /// a certain refusal.
    fn fill_ready_with_suspects(&mut self) {
        for (position, member) in self.list.iter().enumerate() {
            if member.accepts_work() {
                self.ready[member.view.role as usize].push(position);
            }
        }
    }
}

impl Default for Members {
    fn default() -> Self {
        Self::new()
    }
}
