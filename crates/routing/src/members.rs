//! The upstreams of one pool with what is believed about each.

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

/// Age beyond which a view of others' work counts no more.
///
/// Views fade towards the mean of all views. If all are as old as the last report before reports
/// ceased, that mean is too, and a pool that was full at that moment would stay full for good.
const MAX_VIEW_AGE: Duration = Duration::from_secs(5);

/// All upstreams of a pool.
#[derive(Clone, Debug)]
pub struct Members {
    list: Vec<Member>,
    index: HashMap<Id, usize>,
    /// Positions of those that take work, by role.
    ready: [Vec<usize>; 3],
    /// Mean of what others have before an upstream.
    mean_load: Load,
    /// This entry's share of all outstanding requests.
    own_share: f64,
}

impl Members {
    /// No upstreams.
    pub fn new() -> Self {
        Self {
            list: Vec::new(),
            index: HashMap::new(),
            ready: Default::default(),
            mean_load: Load::default(),
            own_share: 1.0,
        }
    }

    /// Replaces the upstreams, and says whether that changed anything. Belief about those that stay
    /// is kept.
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
                // What was observed of it in another role says nothing of this one.
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

    /// All upstreams in the order of their ids.
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// The upstream at a position.
    pub fn at(&self, position: usize) -> &Member {
        &self.list[position]
    }

    /// The position of an upstream.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Positions of those of a role that take new work.
    pub fn ready(&self, role: Role) -> &[usize] {
        &self.ready[role as usize]
    }

    /// Mean of what others have before an upstream, towards which stale views fade.
    pub fn mean_load(&self) -> Load {
        self.mean_load
    }

    /// The upstream of this id for changes, if it is still there.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Member> {
        let position = self.position(id)?;
        Some(&mut self.list[position])
    }

    /// Takes in a load report.
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

    /// Takes in what the peers have before each upstream, true at `at`.
    pub fn set_peer_load(&mut self, at: Moment, load: impl Fn(&str) -> Load) {
        for member in &mut self.list {
            let load = load(&member.view.id);
            member.ledger.set_peer_load(at, load);
        }
    }

    /// Whether a request of this class finds room at a position beside the estimated load.
    pub fn has_room(&self, position: usize, class: Class, load: Load) -> bool {
        let member = &self.list[position];
        let own = member.ledger.own();
        member
            .window
            .has_room(class, &member.effective_speed(), load, own, self.own_share)
    }

    /// Takes stock of the pool: the mean load, this entry's share of the requests, who
    /// is slow and who is set aside. Called from time to time and not per request, because it walks
    /// over the pool.
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

    /// Mean of the prompt tokens a second of an upstream that takes work, if there is one.
    pub fn prefill_rate(&self) -> Option<f64> {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| self.list[*position].effective_speed().prefill_rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Requests of this kind a second that all upstreams together can do for this entry.
    pub fn capacity(&self, request: Load) -> f64 {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| {
            let pace = self.list[*position].effective_speed();
            let prefill = pace.prefill_rate / request.prefill.max(f64::MIN_POSITIVE);
            let decode = f64::from(pace.slots) * pace.decode_rate;
            prefill.min(decode / request.decode.max(f64::MIN_POSITIVE))
        });
        rates.sum::<f64>() * self.own_share
    }

    /// Compares the rates of answers of upstreams of one role.
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

    /// Opens suspects when nothing else is left: a doubtful upstream is better than a sure refusal.
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
