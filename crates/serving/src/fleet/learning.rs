//! Learns the speeds of engines and the times of calls from the calls that this instance placed and
//! those that others report.

use std::time::Duration;

use clock::Moment;

use super::{Fleet, SentCall};
use crate::engine::{Engine, Job, LATE_RANK, Pending, Stage};
use crate::health::Outcome;
use crate::pace::{self, MeanTime, Sample, StageModel};
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
    /// of a model, with the slots that are occupied now; for calls at others.
    pub fn slowdown(&self, engine: &Engine, now: Moment) -> f64 {
        let service = &engine.record.service;
        let Some(stage) = engine.record.stage else {
            let mean = self.mean_call_ms(service);
            return mean.map_or(1.0, |mean| engine.pace.factor(mean, now));
        };
        self.model(service, stage).map_or(1.0, |model| {
            engine.pace.factor(model.mean_ms(), now) * curve_factor(model, engine)
        })
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
            let model = StageModel::new(Speed::new(stage));
            self.models.push((service.clone(), stage, model));
            self.models.len() - 1
        })
    }

    /// Learns from a prompt of this instance that has been read.
    pub(super) fn learn(&mut self, id: &EngineId, pending: &Pending, at: Moment) {
        self.observe_read(id, pending.job, at, at);
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

    /// Records that a prompt of any instance was read at a moment, which is known from now on.
    pub(super) fn observe_read(&mut self, id: &EngineId, job: Job, at: Moment, now: Moment) {
        let Some(setup_ms) = self.engines.get(id).map(|e| self.speed(e).setup_ms) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let freed_at = at.saturating_sub(duration(setup_ms));
        engine.last_read_at = engine.last_read_at.max(freed_at);
        if job.work > 0 {
            engine.timeline.prompt_read(job, at, now);
            self.unsettled.push_back((id.clone(), now));
        }
    }

    /// Learns from the prompts whose predecessors at their engines are known by now.
    pub(super) fn settle_samples(&mut self, now: Moment) {
        while let Some((id, since)) = self.unsettled.front() {
            if now.saturating_sub(*since) < pace::SETTLE_TIME {
                return;
            }
            let id = id.clone();
            self.unsettled.pop_front();
            let Some(setup_ms) = self.engines.get(&id).map(|e| self.speed(e).setup_ms) else {
                continue;
            };
            let Some(engine) = self.engines.get_mut(&id) else {
                continue;
            };
            let waiting = engine.pending_jobs();
            let samples = engine.timeline.settle(&waiting, duration(setup_ms), now);
            for sample in &samples {
                self.learn_from_sample(&id, sample);
            }
        }
    }

    fn learn_from_sample(&mut self, id: &EngineId, sample: &Sample) {
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        let (service, stage) = (engine.record.service.clone(), stage(engine));
        let index = self.model_index(&service, stage);
        let model = &mut self.models[index].2;
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let mean_ms = model.mean_ms();
        let curve = curve_factor(model, engine);
        let factor = engine.pace.factor(mean_ms, sample.at);
        if sample.was_idle {
            let took = sample.at.saturating_sub(sample.job.sent_at);
            model.observe_idle(sample.job.work, took, factor * curve);
            if !model.knows_setup() {
                return;
            }
        }
        if !sample.was_idle {
            model.observe_queued(sample.job.work, sample.took, factor * curve);
        }
        let work = f64::from(sample.job.work);
        let took_ms = sample.took.as_secs_f64() * 1_000.0;
        if stage == Stage::Decode {
            let ratio = took_ms / (work * mean_ms * factor);
            model.curve.observe(engine.occupancy(), ratio);
        }
        let mean_ms = work * mean_ms;
        engine
            .pace
            .observe(work, took_ms / curve, mean_ms, sample.at);
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
        if engine.record.stage.is_none()
            && let Some(mean_ms) = times.all.ms()
        {
            engine.pace.observe(1.0, took_ms, mean_ms, now);
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

/// The factor of the occupied slots. An engine that only reads prompts reads one after the other,
/// however many wait.
fn curve_factor(model: &StageModel, engine: &Engine) -> f64 {
    match engine.record.stage {
        Some(Stage::Decode) => model.curve.factor(engine.occupancy()),
        _ => 1.0,
    }
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
