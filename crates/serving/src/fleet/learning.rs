//! Learns the speeds of engines and the times of calls from the calls that this instance placed and
//! those that others report.

use std::time::Duration;

use clock::Moment;

use super::{Fleet, SentCall};
use crate::engine::{Engine, Job, LATE_RANK, Pending, Stage};
use crate::health::Outcome;
use crate::pace::{MeanTime, StageModel};
use crate::speed::Speed;
use crate::{EngineId, ServiceName};

/// Times of one service's calls at engines that answer them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallTimes {
    /// From being sent to the end, without the wait for a slot.
    all: MeanTime,
}

impl Fleet {
    /// The learned reading speed of an engine's stage.
    pub fn speed(&self, engine: &Engine) -> Speed {
        let stage = stage(engine);
        self.model(&engine.record.service, stage)
            .map_or_else(|| Speed::new(stage), |model| model.speed)
    }

    /// The time that an engine takes as a multiple of its service's mean: for prompts at an engine
    /// of a model, for calls at others.
    pub fn slowdown(&self, engine: &Engine, now: Moment) -> f64 {
        let service = &engine.record.service;
        let Some(stage) = engine.record.stage else {
            let mean = self.mean_call_ms(service);
            return mean.map_or(1.0, |mean| engine.pace.factor(mean, now));
        };
        self.model(service, stage)
            .map_or(1.0, |model| model.factor(&engine.pace, now))
    }

    /// Tokens of work that an engine reads per millisecond.
    pub(crate) fn reading_rate(&self, engine: &Engine, now: Moment) -> f64 {
        self.speed(engine).tokens_per_ms / self.slowdown(engine, now)
    }

    /// Mean time of a service's calls at engines that answer them, in milliseconds, without the wait
    /// for a slot. `None` before the first one.
    pub(crate) fn mean_call_ms(&self, service: &ServiceName) -> Option<f64> {
        self.call_times.get(service)?.all.ms()
    }

    fn model(&self, service: &ServiceName, stage: Stage) -> Option<&StageModel> {
        let mut models = self.models.iter();
        let known = models.find(|(of, at, _)| *at == stage && of == service);
        known.map(|(_, _, model)| model)
    }

    fn model_index(&mut self, service: &ServiceName, stage: Stage) -> usize {
        let mut models = self.models.iter();
        let known = models.position(|(of, at, _)| *at == stage && of == service);
        known.unwrap_or_else(|| {
            self.models
                .push((service.clone(), stage, StageModel::new(stage)));
            self.models.len() - 1
        })
    }

    /// Learns from a prompt of this instance that has been read.
    pub(super) fn learn(&mut self, id: &EngineId, pending: &Pending, at: Moment) {
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        if pending.was_idle {
            let index = self.model_index(&engine.record.service.clone(), stage(engine));
            let took = at.saturating_sub(pending.job.sent_at);
            self.models[index].2.speed.observe(pending.job.work, took);
        }
        self.observe_read(id, pending.job, at);
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        if pending.job.rank >= LATE_RANK {
            let setup_s = self.speed(engine).setup_ms / 1_000.0;
            let took = at.saturating_sub(pending.job.sent_at).as_secs_f64();
            let expected = pending.expected_read_time.as_secs_f64() + setup_s;
            let overrun = self.overruns.entry(engine.record.service.clone());
            overrun.or_default().observe(took / expected.max(1e-3), at);
        }
    }

    /// Records that a prompt of any instance was read at a moment.
    pub(super) fn observe_read(&mut self, id: &EngineId, job: Job, at: Moment) {
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        let (service, stage) = (engine.record.service.clone(), stage(engine));
        let end = at.saturating_sub(duration(self.speed(engine).setup_ms));
        let index = self.model_index(&service, stage);
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some((work, busy_ms)) = engine.end_interval(job, end) else {
            return;
        };
        engine.pace.observe(work, busy_ms, at);
        self.models[index].2.observe(work, busy_ms, at);
    }

    /// Learns from the time of a call that has ended. Failures are no samples: an engine that fails
    /// calls at once would look quick.
    pub(super) fn learn_from_call(
        &mut self,
        sent: &SentCall,
        outcome: Option<Outcome>,
        now: Moment,
    ) {
        let Some(engine) = self.engines.get_mut(&sent.engine) else {
            return;
        };
        if outcome != Some(Outcome::Success) || engine.record.stage == Some(Stage::Prefill) {
            return;
        }
        // Each call before it frees a slot after its own time.
        let queue = f64::from(sent.waiting_calls) / f64::from(engine.record.slots.max(1));
        let took_ms = now.saturating_sub(sent.sent_at).as_secs_f64() * 1_000.0 / (1.0 + queue);
        let times = self.call_times.entry(engine.record.service.clone());
        let times = times.or_default();
        if engine.record.stage.is_none() && times.all.ms().is_some() {
            engine.pace.observe(1.0, took_ms, now);
        }
        times.all.observe(took_ms);
    }

    /// Learns from how long a late call had waited if it ends before its prompt was read.
    pub(super) fn learn_from_unread(&mut self, sent: &SentCall, now: Moment) {
        let Some(engine) = self.engines.get(&sent.engine) else {
            return;
        };
        let is_late = |pending: &&Pending| pending.job.rank >= LATE_RANK && pending.job.work > 0;
        let mut own = engine.pending.iter().filter(is_late);
        let Some(pending) = own.find(|pending| pending.job.ticket == sent.ticket) else {
            return;
        };
        let expected =
            pending.expected_read_time.as_secs_f64() + self.speed(engine).setup_ms / 1_000.0;
        let took = now.saturating_sub(pending.job.sent_at).as_secs_f64();
        let overrun = self.overruns.entry(engine.record.service.clone());
        overrun
            .or_default()
            .observe_abandoned(took / expected.max(1e-3), now);
    }

    /// The factor by which late calls wait longer than the work queued before them takes.
    pub(crate) fn wait_overrun(&self, service: &ServiceName, now: Moment) -> f64 {
        let overrun = self.overruns.get(service);
        overrun.map_or(1.0, |overrun| overrun.factor(now))
    }

    /// Keeps an engine's pace relative to the others as it changes its stage.
    pub(super) fn change_pace(&mut self, id: &EngineId, from: Option<Stage>, to: Option<Stage>) {
        let (Some(from), Some(to)) = (from, to) else {
            return;
        };
        let Some(service) = self.engines.get(id).map(|e| e.record.service.clone()) else {
            return;
        };
        let mean_ms = |stage| {
            let known = self.model(&service, stage).map(StageModel::mean_ms);
            known.unwrap_or_else(|| 1.0 / Speed::new(stage).tokens_per_ms)
        };
        let ratio = mean_ms(to) / mean_ms(from);
        if let Some(engine) = self.engines.get_mut(id) {
            engine.pace.rescale(ratio);
        }
    }
}

fn stage(engine: &Engine) -> Stage {
    engine.record.stage.unwrap_or(Stage::Decode)
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
