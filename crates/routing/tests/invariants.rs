//! Invariants under any sequence of calls: no load or slot leaks, every queued request gets
//! exactly one answer, and a closed upstream gets no work.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use clock::Moment;
use common::{POOL, config, engines, ms, request};
use proptest::prelude::*;
use routing::{
    class::Class,
    decision::{Assignment, Attempt, Decision, Execution, Output, Progress, RetryDecision, Ticket},
    limit::Quota,
    pool::Config,
    router::{Outputs, Router, Settings},
    upstream::{Role, View},
};

#[derive(Clone, Debug)]
enum Step {
    Admit {
        class: usize,
        time_left: u64,
        prompt: u32,
    },
    Prefilled(usize),
    Tokens(usize, u32),
    TransferFailed(usize),
    Finish(usize),
    Fail(usize, bool),
    GiveUp(usize),
    Open(usize, bool),
    Role(usize, usize),
    DropPool,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let admit = (0..Class::COUNT, 1_u64..20_000, 0_u32..6_000);
    prop_oneof![
        8 => admit.prop_map(|(class, time_left, prompt)| Step::Admit { class, time_left, prompt }),
        2 => any::<usize>().prop_map(Step::Prefilled),
        2 => (any::<usize>(), 0_u32..200).prop_map(|(n, count)| Step::Tokens(n, count)),
        1 => any::<usize>().prop_map(Step::TransferFailed),
        4 => any::<usize>().prop_map(Step::Finish),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, ran)| Step::Fail(n, ran)),
        1 => any::<usize>().prop_map(Step::GiveUp),
        1 => (0..ENGINES, any::<bool>()).prop_map(|(n, open)| Step::Open(n, open)),
        1 => (0..ENGINES, 0_usize..3).prop_map(|(n, role)| Step::Role(n, role)),
        1 => Just(Step::DropPool),
        3 => (0_u64..500).prop_map(Step::Wait),
    ]
}

const ENGINES: usize = 4;

struct Model {
    now: Moment,
    router: Router,
    views: Vec<View>,
    running: BTreeMap<Attempt, Assignment>,
    waiting: BTreeSet<Ticket>,
}

impl Model {
    fn new() -> Self {
        let mut router = Router::new(Settings::default(), "entry-1", 5);
        router.set_peers([]);
        router.set_quotas(
            Moment::ZERO,
            vec![Quota {
                subject: "lima".into(),
                requests: None,
                tokens: None,
                concurrent: Some(10_000),
            }],
        );
        let mut model = Self {
            now: Moment::ZERO,
            router,
            views: engines(ENGINES),
            running: BTreeMap::new(),
            waiting: BTreeSet::new(),
        };
        model.restore_pool();
        model
    }

    fn restore_pool(&mut self) {
        let pool = Config {
            queue_capacity: 20,
            transfer_s_per_token: 1e-6,
            ..config()
        };
        self.router.set_pools(self.now, vec![pool]);
        self.set_views();
    }

    fn set_views(&mut self) {
        self.router
            .set_upstreams(self.now, POOL, self.views.clone());
    }

    fn record_sent(&mut self, assignment: Assignment) {
        let ids = [Some(&assignment.upstream), assignment.prefill.as_ref()];
        for id in ids.into_iter().flatten() {
            let view = self.views.iter().find(|view| view.id == *id);
            assert!(view.expect("the upstream is listed").open, "{id} is closed");
        }
        let known = self.running.insert(assignment.attempt, assignment);
        assert!(known.is_none(), "attempt id reused");
    }

    fn apply_outputs(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Send { ticket, assignment } => {
                    assert!(self.waiting.remove(&ticket), "{ticket} was not queued");
                    self.record_sent(assignment);
                }
                Output::Refuse { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket), "{ticket} was not queued");
                }
            }
        }
    }

    fn attempt(&self, n: usize) -> Option<Attempt> {
        let count = self.running.len();
        let nth = n.checked_rem(count)?;
        self.running.keys().nth(nth).copied()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Admit {
                class,
                time_left,
                prompt,
            } => self.admit(class, time_left, prompt),
            Step::Prefilled(n) => {
                if let Some(attempt) = self.attempt(n) {
                    self.router.progress(self.now, attempt, Progress::Prefilled);
                }
            }
            Step::Tokens(n, count) => {
                if let Some(attempt) = self.attempt(n) {
                    self.router
                        .progress(self.now, attempt, Progress::Tokens(count));
                }
            }
            Step::TransferFailed(n) => {
                if let Some(attempt) = self.attempt(n) {
                    self.router.transfer_failed(self.now, attempt);
                }
            }
            Step::Finish(n) => {
                if let Some(attempt) = self.attempt(n) {
                    self.finish(attempt);
                }
            }
            Step::Fail(n, ran) => {
                if let Some(attempt) = self.attempt(n) {
                    self.fail(attempt, ran);
                }
            }
            Step::GiveUp(n) => {
                let count = self.waiting.len();
                let nth = n.checked_rem(count);
                if let Some(ticket) = nth.and_then(|nth| self.waiting.iter().nth(nth).copied()) {
                    self.waiting.remove(&ticket);
                    self.router.cancel(ticket);
                }
            }
            Step::Open(n, open) => {
                self.views[n].open = open;
                self.set_views();
            }
            Step::Role(n, role) => {
                self.views[n].role = Role::ALL[role];
                self.set_views();
            }
            Step::DropPool => {
                self.router.set_pools(self.now, vec![]);
                self.tick();
                self.restore_pool();
            }
            Step::Wait(passed) => {
                self.now += ms(passed);
                self.tick();
            }
        }
    }

    fn admit(&mut self, class: usize, time_left: u64, prompt: u32) {
        let mut request = request(Class::ALL[class], self.now + ms(time_left));
        request.prompt_tokens = prompt;
        request.repeatable = prompt.is_multiple_of(2);
        match self.router.admit(self.now, request) {
            Decision::Send(assignment) => self.record_sent(assignment),
            Decision::Wait(ticket) => assert!(self.waiting.insert(ticket)),
            Decision::Refuse(_) => {}
        }
    }

    fn finish(&mut self, attempt: Attempt) {
        self.running.remove(&attempt);
        let outputs = self.router.finished(self.now, attempt);
        self.apply_outputs(outputs);
    }

    fn fail(&mut self, attempt: Attempt, ran: bool) {
        self.running.remove(&attempt);
        let ran = if ran {
            Execution::Unknown
        } else {
            Execution::NotRun
        };
        if let RetryDecision::Wait(ticket) = self.router.failed(self.now, attempt, ran) {
            assert!(self.waiting.insert(ticket));
        }
    }

    fn tick(&mut self) {
        let outputs = self.router.tick(self.now);
        self.apply_outputs(outputs);
    }

    /// Ends all attempts and lets all deadlines pass.
    fn drain(&mut self) {
        for _ in 0..50 {
            while let Some(attempt) = self.attempt(0) {
                self.finish(attempt);
            }
            self.now += ms(1_000);
            self.tick();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_load_or_ticket_leaks(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.drain();
        prop_assert!(model.running.is_empty());
        prop_assert!(model.waiting.is_empty(), "{:?}", model.waiting);
        prop_assert_eq!(model.router.queued(POOL), 0);
        let outstanding = model.router.outstanding();
        prop_assert!(outstanding.is_empty(), "{outstanding:?}");
        let demand = model.router.demand(model.now);
        prop_assert!(demand.iter().all(|demand| demand.in_flight == 0), "{demand:?}");
        for view in &model.views {
            prop_assert_eq!(model.router.in_flight(&view.id), 0);
        }
    }
}
