//! Tests of the batch state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::engine::Moment;
use standin::engine::batch::{Batch, Id, Input, Job, Output, Role, Settings};
use standin::engine::prefix::block_hashes;

const MS: Duration = Duration::from_millis(1);

fn settings() -> Settings {
    Settings {
        iteration_base: 10 * MS,
        prefill_token: MS,
        decode_sequence: 2 * MS,
        token_budget: 100,
        max_running: 2,
        kv_tokens: 1000,
        cache_tokens: 64,
        block_tokens: 4,
        preempt: false,
    }
}

fn job(id: Id, priority: u8, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        id,
        priority,
        prompt_tokens,
        output_tokens,
        blocks: Vec::new(),
        prefilled: false,
    }
}

/// Runs all jobs to the end and returns each token with the time at which it was produced.
fn run(batch: &mut Batch) -> Vec<(Moment, Id, u32)> {
    let mut tokens = Vec::new();
    while let Some(next) = batch.next_output_at() {
        for output in batch.step(next, Input::Advance) {
            if let Output::Progress { id, produced } = output {
                tokens.push((next, id, produced));
            }
        }
    }
    tokens
}

fn finished(outputs: &[Output]) -> Vec<(Id, u32)> {
    let finished = outputs.iter().filter_map(|output| match output {
        Output::Finished { id, cached } => Some((*id, *cached)),
        _ => None,
    });
    finished.collect()
}

#[test]
fn iteration_time_is_the_sum_of_prefill_and_decode_costs() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    batch.step(Moment::ZERO, Input::Submit(job(1, 0, 50, 3)));
    assert_eq!(
        run(&mut batch),
        [(60 * MS, 1, 1), (72 * MS, 1, 2), (84 * MS, 1, 3)]
    );
    assert_eq!(batch.load(), Default::default());
}

#[test]
fn long_prompt_is_prefilled_in_chunks_during_decode() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    batch.step(Moment::ZERO, Input::Submit(job(1, 0, 10, 4)));
    batch.step(MS, Input::Submit(job(2, 0, 150, 1)));
    let tokens = run(&mut batch);
    // The second prompt prefills 99 tokens while the first job decodes, then 51.
    assert_eq!(tokens[0], (20 * MS, 1, 1));
    assert_eq!(tokens[1], (20 * MS + (10 + 99 + 2) * MS, 1, 2));
    assert_eq!(tokens[2], (131 * MS + (10 + 51 + 2) * MS, 1, 3));
    assert_eq!(tokens[3], (194 * MS, 2, 1));
}

#[test]
fn single_late_step_matches_many_small_steps() {
    let submit = |batch: &mut Batch| {
        for id in 1..=5 {
            batch.step(Moment::ZERO, Input::Submit(job(id, 0, 30 * id as u32, 7)));
        }
    };
    let mut small = Batch::new(settings(), Role::Mixed);
    submit(&mut small);
    let stepwise = run(&mut small);
    let mut large = Batch::new(settings(), Role::Mixed);
    submit(&mut large);
    let at_once = large.step(Duration::from_secs(60), Input::Advance);
    let progress = at_once.iter().filter_map(|output| match output {
        Output::Progress { id, produced } => Some((*id, *produced)),
        _ => None,
    });
    let expected = stepwise.iter().map(|(_, id, produced)| (*id, *produced));
    assert!(progress.eq(expected));
    assert_eq!(large.next_output_at(), None);
}

#[test]
fn higher_priority_is_admitted_first() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    for (id, priority) in [(1, 5), (2, 5), (3, 5), (4, 0)] {
        batch.step(Moment::ZERO, Input::Submit(job(id, priority, 10, 2)));
    }
    let outputs = batch.step(Duration::from_secs(9), Input::Advance);
    let order = finished(&outputs).into_iter().map(|(id, _)| id);
    assert_eq!(order.collect::<Vec<_>>(), [1, 4, 2, 3]);
}

#[test]
fn preempted_job_keeps_its_produced_tokens() {
    let settings = Settings {
        preempt: true,
        max_running: 1,
        ..settings()
    };
    let mut batch = Batch::new(settings, Role::Mixed);
    batch.step(Moment::ZERO, Input::Submit(job(1, 5, 10, 3)));
    batch.step(20 * MS, Input::Submit(job(2, 0, 10, 1)));
    let tokens = run(&mut batch);
    let order = tokens.iter().map(|(_, id, produced)| (*id, *produced));
    // The preempted job continues with its third token; no token is produced twice.
    assert_eq!(order.collect::<Vec<_>>(), [(1, 2), (2, 1), (1, 3)]);
    // The iteration of the third token prefills its prompt and the first two tokens again.
    assert_eq!(tokens[2].0 - tokens[1].0, (10 + 12) * MS);
}

#[test]
fn equal_priorities_do_not_preempt_each_other() {
    let settings = Settings {
        preempt: true,
        max_running: 1,
        ..settings()
    };
    let mut batch = Batch::new(settings, Role::Mixed);
    for id in [1, 2] {
        batch.step(Moment::ZERO, Input::Submit(job(id, 5, 10, 2)));
    }
    // A preemption would show as a second prefill of the first prompt.
    let times = run(&mut batch).into_iter().map(|(at, id, _)| (at, id));
    let expected = [(20 * MS, 1), (32 * MS, 1), (52 * MS, 2), (64 * MS, 2)];
    assert_eq!(times.collect::<Vec<_>>(), expected);
}

#[test]
fn kv_memory_limits_admission() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    batch.step(Moment::ZERO, Input::SetHeldTokens(500));
    batch.step(Moment::ZERO, Input::Submit(job(1, 0, 300, 10)));
    batch.step(Moment::ZERO, Input::Submit(job(2, 0, 300, 10)));
    let load = batch.load();
    assert_eq!((load.running, load.waiting, load.kv_used), (1, 1, 810));
    assert_eq!(load.prefill_tokens_waiting, 600);
    assert_eq!(load.decode_tokens_left, 20);
    assert!(!batch.fits(&job(3, 0, 999, 2)));
    batch.step(MS, Input::Cancel(1));
    assert_eq!(batch.load().kv_used, 810);
    let outputs = batch.step(Duration::from_secs(9), Input::Advance);
    assert_eq!(finished(&outputs), [(2, 0)]);
    assert_eq!(batch.load().kv_used, 500);
}

#[test]
fn imported_prompt_needs_no_prefill() {
    let mut batch = Batch::new(settings(), Role::Decode);
    let prefilled = Job {
        prefilled: true,
        ..job(1, 0, 500, 2)
    };
    batch.step(Moment::ZERO, Input::Submit(prefilled));
    assert_eq!(run(&mut batch), [(12 * MS, 1, 1), (24 * MS, 1, 2)]);
}

#[test]
fn shared_prefix_is_prefilled_once_and_reset_evicts_all_blocks() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    let prompt = |tail: &str| format!("a b c d e f g h {tail} {tail} {tail} {tail}");
    let with = |id, prompt: &str| Job {
        blocks: block_hashes("m", prompt, 4),
        ..job(id, 0, 12, 1)
    };
    let mut cached = Vec::new();
    for (id, tail) in [(1, "x"), (2, "y"), (3, "y")] {
        let now = Duration::from_secs(id);
        batch.step(now, Input::Submit(with(id, &prompt(tail))));
        cached.extend(finished(&batch.step(now + 900 * MS, Input::Advance)));
    }
    // The third prompt is cached but for its last token, which is always computed.
    assert_eq!(cached, [(1, 0), (2, 8), (3, 11)]);
    let outputs = batch.step(Duration::from_secs(9), Input::Reset(Role::Decode));
    assert_eq!(outputs.len(), 4);
    assert_matches!(outputs[0], Output::Cache(_));
}

#[test]
fn roles_trade_prefill_rate_for_decode_capacity() {
    let settings = settings();
    assert!(settings.prefill_rate(Role::Prefill) > settings.prefill_rate(Role::Mixed));
    assert!(settings.prefill_rate(Role::Mixed) > settings.prefill_rate(Role::Decode));
    assert_eq!(settings.limits(Role::Prefill).max_running, 1);
    assert_eq!(settings.limits(Role::Decode).max_running, 2);
}

#[test]
fn slowdown_applies_from_the_next_iteration() {
    let mut batch = Batch::new(settings(), Role::Mixed);
    batch.step(Moment::ZERO, Input::Submit(job(1, 0, 10, 2)));
    batch.step(MS, Input::SetSlowdown(3000));
    assert_eq!(run(&mut batch), [(20 * MS, 1, 1), (56 * MS, 1, 2)]);
}

#[test]
fn every_token_is_produced_once_under_random_schedules() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let settings = Settings {
            preempt: random.random_bool(0.5),
            max_running: random.random_range(1..5),
            ..settings()
        };
        let mut batch = Batch::new(settings, Role::Mixed);
        let mut produced = BTreeMap::<Id, u32>::new();
        let mut complete = 0;
        let jobs = (1..=40).map(|id| {
            let (prompt, output) = (random.random_range(0..300), random.random_range(1..20));
            job(id, random.random_range(0..4), prompt, output)
        });
        let jobs = jobs.collect::<Vec<_>>();
        let mut now = Moment::ZERO;
        for input in jobs
            .iter()
            .cloned()
            .map(Input::Submit)
            .chain([Input::Advance])
        {
            let outputs = batch.step(now, input.clone());
            now += random.random_range(0..200) * MS;
            if input == Input::Advance {
                now += Duration::from_secs(600);
            }
            let load = batch.load();
            assert!(load.running <= settings.max_running, "seed {seed}");
            assert!(load.kv_used <= settings.kv_tokens, "seed {seed}");
            for output in outputs.into_iter().chain(batch.step(now, Input::Advance)) {
                match output {
                    Output::Progress {
                        id,
                        produced: count,
                    } => {
                        let before = produced.insert(id, count).unwrap_or(0);
                        assert_eq!(count, before + 1, "seed {seed} job {id}");
                    }
                    Output::Finished { id, .. } => {
                        let wanted = jobs[id as usize - 1].output_tokens;
                        assert_eq!(produced[&id], wanted, "seed {seed} job {id}");
                        complete += 1;
                    }
                    Output::Cache(_) => {}
                }
            }
        }
        assert_eq!(
            (complete, batch.load()),
            (40, Default::default()),
            "seed {seed}"
        );
    }
}
