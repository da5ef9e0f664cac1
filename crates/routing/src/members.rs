//! The upstreams of one pool with what is believed about each.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

use crate::{
    class::Class,
    load::Load,
    member::Member,
    observed::Observed,
    pool::Config,
    upstream::{Health, Id, Report, Role, View},
};

/// Age beyond which a view of others' work counts no more.
///
/// Views fade towards the mean of all views. If all are as old as the last report before reports
/// ceased, that mean is too, and a pool that was full at that moment would stay full for good.
const OLDEST: Duration = Duration::from_secs(5);

/// All upstreams of a pool.
#[derive(Clone, Debug)]
pub struct Members {
    list: Vec<Member>,
    index: HashMap<Id, usize>,
    /// Positions of those that take work, by role.
    ready: [Vec<usize>; 3],
    /// Mean of what others have before an upstream.
    mean: Load,
    /// This entry's share of all outstanding requests.
    share: f64,
}

impl Members {
    /// No upstreams.
    pub fn new() -> Self {
        Self {
            list: Vec::new(),
            index: HashMap::new(),
            ready: Default::default(),
            mean: Load::default(),
            share: 1.0,
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
                    observed: Observed::default(),
                    quickness: 1.0,
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
        self.refresh();
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
    pub fn mean(&self) -> Load {
        self.mean
    }

    /// The upstream of this id for changes, if it is still there.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Member> {
        let position = self.position(id)?;
        Some(&mut self.list[position])
    }

    /// Takes in a load report.
    pub fn report(&mut self, id: &str, report: Report) {
        let Some(position) = self.position(id) else {
            return;
        };
        let member = &mut self.list[position];
        let drained = member.ledger.report().is_some_and(|last| last.draining);
        if !member.ledger.take_report(report) {
            return;
        }
        member.window.adapt(&report);
        if report.prefill_rate > 0.0 {
            member.speed.prefill_rate = report.prefill_rate;
        }
        if report.decode_slots > 0 {
            member.speed.slots = report.decode_slots;
        }
        if drained != report.draining {
            self.refresh();
        }
    }

    /// Takes in what the peers have before each upstream, true at `at`.
    pub fn take_peers(&mut self, at: Moment, load: impl Fn(&str) -> Load) {
        for member in &mut self.list {
            let load = load(&member.view.id);
            member.ledger.take_peers(at, load);
        }
    }

    /// Whether a request of this class finds room at a position beside the estimated load.
    pub fn has_room(&self, position: usize, class: Class, load: Load) -> bool {
        let member = &self.list[position];
        let own = member.ledger.own();
        member
            .window
            .has_room(class, &member.pace(), load, own, self.share)
    }

    /// Takes stock of the pool: the mean load, this entry's share of the requests, who
    /// is slow and who is set aside. Called from time to time and not per request, because it walks
    /// over the pool.
    pub fn survey(&mut self, now: Moment) {
        self.average(now);
        self.compare(now);
        let mut changed = false;
        for member in &mut self.list {
            let requests = member.ledger.own().requests;
            member.observed.check(now, requests);
            let aside = member.observed.is_aside(now);
            changed |= aside != member.aside;
            member.aside = aside;
        }
        if changed {
            self.refresh();
        }
    }

    /// Mean of the prompt tokens a second of an upstream that takes work, if there is one.
    pub fn prefill_rate(&self) -> Option<f64> {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| self.list[*position].pace().prefill_rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Requests of this kind a second that all upstreams together can do for this entry.
    pub fn capacity(&self, usual: Load) -> f64 {
        let ready = self.ready.iter().flatten();
        let rates = ready.map(|position| {
            let pace = self.list[*position].pace();
            let prefill = pace.prefill_rate / usual.prefill.max(f64::MIN_POSITIVE);
            let decode = f64::from(pace.slots) * pace.decode_rate;
            prefill.min(decode / usual.decode.max(f64::MIN_POSITIVE))
        });
        rates.sum::<f64>() * self.share
    }

    /// Compares the rates of answers of upstreams of one role.
    fn compare(&mut self, now: Moment) {
        for role in Role::ALL {
            let rates = self.list.iter().filter(|member| member.view.role == role);
            let rates = rates.filter_map(|member| member.observed.rate(now));
            let (sum, count) =
                rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
            if count == 0.0 {
                continue;
            }
            let usual = sum / count;
            for member in &mut self.list {
                if member.view.role == role {
                    member.speed.decode_rate = usual;
                    member.quickness = member.observed.share(now, usual);
                }
            }
        }
    }

    fn average(&mut self, now: Moment) {
        let (mut own, mut others) = (Load::default(), Load::default());
        let mut known = 0.0;
        for member in &self.list {
            own += member.ledger.own();
            let view = member.ledger.others(now);
            if let Some((load, _)) = view.filter(|(_, age)| *age <= OLDEST) {
                others += load;
                known += 1.0;
            }
        }
        self.mean = if known > 0.0 {
            others * (1.0 / known)
        } else {
            Load::default()
        };
        let all = own.requests + others.requests;
        self.share = if all > 0.0 { own.requests / all } else { 1.0 };
    }

    fn refresh(&mut self) {
        for ready in &mut self.ready {
            ready.clear();
        }
        for (position, member) in self.list.iter().enumerate() {
            if member.takes_work() && member.view.health == Health::Up && !member.aside {
                self.ready[member.view.role as usize].push(position);
            }
        }
        if self.ready.iter().all(Vec::is_empty) {
            self.admit_suspects();
        }
    }

    /// Opens suspects when nothing else is left: a doubtful upstream is better than a sure refusal.
    fn admit_suspects(&mut self) {
        for (position, member) in self.list.iter().enumerate() {
            if member.takes_work() {
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
