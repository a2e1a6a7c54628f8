//! Tests of the coordinator's decision logic.

use super::*;

fn trainer() -> Arc<str> {
    "notes".into()
}

fn contents(groups: usize, samples_per_group: u16) -> Arc<OpenStep> {
    let prompts = (0..groups).map(|group| format!("prompt {group}").into());
    Arc::new(OpenStep {
        step: 1,
        prompts: prompts.collect(),
        samples_per_group,
        max_tokens: 100,
        staleness_bound: 1,
        deadline_ms: 10_000,
        scoring: None,
    })
}

fn params(newest_version: u64) -> TrainerParams {
    TrainerParams {
        newest_version,
        staleness_bound: 1,
        share: Share {
            slots: 64,
            weight: 1,
            total_weight: 1,
        },
    }
}

/// Returns a core with one open step, and the attempts that it started.
fn open_step(contents: &Arc<OpenStep>) -> (Core, StepKey, Vec<AttemptSpec>) {
    let mut core = Core::default();
    core.set_trainer_params(&trainer(), params(5), 0);
    let OpenResult::Open(key) = core.open(&trainer(), contents.clone(), 1, 0) else {
        panic!("the step is within the limits");
    };
    core.tick(true, 0);
    let attempts = started(&mut core);
    (core, key, attempts)
}

fn started(core: &mut Core) -> Vec<AttemptSpec> {
    let actions = core.take_actions().into_iter();
    let attempts = actions.filter_map(|action| match action {
        Action::Start(attempt) => Some(attempt),
        _ => None,
    });
    attempts.collect()
}

fn generated(version: u64) -> AttemptEnd {
    AttemptEnd::Generated(Generated {
        text: format!("by {version}"),
        tokens: 10,
        versions: vec![VersionSpan {
            version,
            tokens: 10,
        }],
    })
}

/// Acknowledges copies of all finished samples.
fn copy_all(core: &mut Core, key: StepKey) {
    let copies = core.pending_copies(key, usize::MAX);
    let draws: Vec<(u32, u32)> = copies.iter().map(|c| (c.position, c.draw)).collect();
    core.copies_stored(key, &draws);
}

fn finish_all(core: &mut Core, key: StepKey, attempts: &[AttemptSpec], version: u64) {
    for attempt in attempts {
        core.ended(attempt.key, generated(version), 1_000);
    }
    copy_all(core, key);
}

fn batch(core: &mut Core, key: StepKey) -> Arc<Batch> {
    core.fetch(key, 1_000).expect("the step is open")
}

#[test]
fn batch_contains_each_sample_once_in_order() {
    let (mut core, key, attempts) = open_step(&contents(3, 2));
    assert_eq!(attempts.len(), 6);
    for attempt in attempts.iter().rev() {
        core.ended(attempt.key, generated(5), 1_000);
    }
    copy_all(&mut core, key);
    core.tick(true, 1_000);
    core.sealed(key, true);
    let batch = batch(&mut core, key);
    let ids: Vec<(u32, u16)> = batch.samples.iter().map(|s| (s.group, s.index)).collect();
    assert_eq!(ids, [(0, 0), (0, 1), (1, 0), (1, 1), (2, 0), (2, 1)]);
    assert!(batch.complete);
    assert_eq!(batch.newest_version, 5);
}

#[test]
fn sample_counts_only_after_its_copy_is_acknowledged() {
    let (mut core, key, attempts) = open_step(&contents(1, 1));
    core.ended(attempts[0].key, generated(5), 1_000);
    core.tick(true, 1_000);
    assert_eq!(batch(&mut core, key).finished, 0);
    copy_all(&mut core, key);
    assert_eq!(batch(&mut core, key).finished, 1);
}

#[test]
fn reopening_is_idempotent_and_different_contents_conflict() {
    let step = contents(2, 2);
    let (mut core, key, _) = open_step(&step);
    assert_eq!(core.open(&trainer(), step, 1, 5), OpenResult::Open(key));
    let conflicting = core.open(&trainer(), contents(2, 3), 1, 5);
    assert_eq!(conflicting, OpenResult::Conflict);
    assert_eq!(started(&mut core).len(), 0);
}

#[test]
fn sample_with_unknown_versions_is_redrawn() {
    let (mut core, key, attempts) = open_step(&contents(1, 1));
    let unaccounted = AttemptEnd::Generated(Generated {
        text: "text".into(),
        tokens: 10,
        versions: vec![VersionSpan {
            version: 5,
            tokens: 9,
        }],
    });
    core.ended(attempts[0].key, unaccounted, 100);
    assert_eq!(core.stats().unknown_versions, 1);
    core.tick(true, 100 + REDRAW_DELAY_MS);
    let redrawn = started(&mut core);
    assert_eq!(redrawn.len(), 1);
    assert_eq!(redrawn[0].sample, attempts[0].sample);
    finish_all(&mut core, key, &redrawn, 5);
    assert_eq!(batch(&mut core, key).finished, 1);
}

#[test]
fn sample_that_becomes_stale_during_the_step_is_redrawn() {
    let (mut core, key, attempts) = open_step(&contents(2, 1));
    core.ended(attempts[0].key, generated(4), 1_000);
    core.published(&trainer(), 6, 1_100);
    core.ended(attempts[1].key, generated(6), 1_200);
    copy_all(&mut core, key);
    core.tick(true, 1_300);
    assert!(!batch(&mut core, key).complete);
    assert_eq!(core.stats().stale, 1);
    core.tick(true, 1_400);
    let redrawn = started(&mut core);
    assert_eq!(redrawn.len(), 1);
    assert!(redrawn[0].oldest_version >= 5);
    finish_all(&mut core, key, &redrawn, 6);
    core.tick(true, 1_500);
    core.sealed(key, true);
    let batch = batch(&mut core, key);
    assert!(batch.complete);
    assert_eq!(batch.newest_version, 6);
}

#[test]
fn batch_does_not_close_on_a_view_that_may_be_outdated() {
    let (mut core, key, attempts) = open_step(&contents(1, 1));
    finish_all(&mut core, key, &attempts, 5);
    core.take_actions();
    core.tick(false, 1_000);
    assert_eq!(core.take_actions(), []);
    core.tick(true, 1_100);
    assert_eq!(core.take_actions(), [Action::Replicate(key)]);
}

#[test]
fn failed_seal_leaves_the_batch_open() {
    let (mut core, key, attempts) = open_step(&contents(1, 1));
    finish_all(&mut core, key, &attempts, 5);
    core.tick(true, 1_000);
    core.sealed(key, false);
    assert!(!batch(&mut core, key).complete);
    core.published(&trainer(), 9, 1_100);
    core.tick(true, 1_200);
    assert_eq!(core.stats().stale, 1);
}

#[test]
fn straggler_is_hedged_and_the_losing_attempt_is_cancelled() {
    let (mut core, key, attempts) = open_step(&contents(8, 1));
    let slow = &attempts[0];
    core.started(slow.key, EndpointKey(7), 0);
    for attempt in &attempts[1..] {
        core.started(attempt.key, EndpointKey(1), 0);
        core.ended(attempt.key, generated(5), 100);
    }
    core.progressed(slow.key, 3, 10_000);
    core.tick(true, 10_000);
    let hedges = started(&mut core);
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].sample, slow.sample);
    assert_eq!(hedges[0].avoid, [EndpointKey(7)]);
    core.tick(true, 10_050);
    assert_eq!(started(&mut core).len(), 0);
    core.ended(hedges[0].key, generated(5), 10_200);
    assert!(core.take_actions().contains(&Action::Cancel(slow.key)));
    assert_eq!(core.stats().discarded_tokens, 3);
    core.ended(slow.key, generated(5), 10_300);
    assert_eq!(core.stats().late_results, 1);
    copy_all(&mut core, key);
    assert_eq!(batch(&mut core, key).finished, 8);
}

#[test]
fn long_sample_on_a_healthy_engine_is_not_hedged() {
    let (mut core, _, attempts) = open_step(&contents(8, 1));
    for attempt in &attempts[1..] {
        core.started(attempt.key, EndpointKey(1), 0);
        core.ended(attempt.key, generated(5), 100);
    }
    core.started(attempts[0].key, EndpointKey(1), 0);
    core.progressed(attempts[0].key, 1_000, 10_000);
    core.tick(true, 10_000);
    assert_eq!(started(&mut core).len(), 0);
}

#[test]
fn refused_sample_waits_for_its_retry_delay() {
    let (mut core, _, attempts) = open_step(&contents(1, 1));
    let refused = AttemptEnd::Refused {
        retry_after_ms: 1_000,
    };
    core.ended(attempts[0].key, refused, 0);
    core.tick(true, 999);
    assert_eq!(started(&mut core).len(), 0);
    core.tick(true, 1_000);
    assert_eq!(started(&mut core).len(), 1);
}

#[test]
fn taken_over_step_draws_only_missing_samples() {
    let step = contents(2, 2);
    let (mut old_core, old_key, attempts) = open_step(&step);
    for attempt in &attempts[..3] {
        old_core.ended(attempt.key, generated(5), 1_000);
    }
    let copies = old_core.all_copies(old_key);
    assert!(old_core.release(old_key).is_some());
    let mut core = Core::default();
    core.set_trainer_params(&trainer(), params(5), 0);
    let OpenResult::Open(key) = core.open(&trainer(), step, 2, 0) else {
        panic!("the step is within the limits");
    };
    core.restore(key, copies, None);
    core.tick(true, 0);
    let missing = started(&mut core);
    assert_eq!(missing.len(), 1);
    assert_eq!(missing[0].sample.position, 3);
    finish_all(&mut core, key, &missing, 5);
    core.tick(true, 1_000);
    core.sealed(key, true);
    assert_eq!(batch(&mut core, key).samples.len(), 4);
}

#[test]
fn sealed_batch_is_unchanged_after_takeover() {
    let step = contents(1, 2);
    let (mut old_core, old_key, attempts) = open_step(&step);
    finish_all(&mut old_core, old_key, &attempts, 5);
    old_core.tick(true, 1_000);
    old_core.sealed(old_key, true);
    let before = batch(&mut old_core, old_key);
    let copies = old_core.all_copies(old_key);
    let mut core = Core::default();
    core.set_trainer_params(&trainer(), params(99), 0);
    let OpenResult::Open(key) = core.open(&trainer(), step, 2, 0) else {
        panic!("the step is within the limits");
    };
    core.restore(key, copies, Some(5));
    core.tick(true, 0);
    assert_eq!(started(&mut core).len(), 0);
    assert_eq!(*batch(&mut core, key), *before);
}

#[test]
fn ending_a_step_cancels_its_attempts() {
    let (mut core, key, attempts) = open_step(&contents(1, 2));
    core.end(key);
    let actions = core.take_actions();
    assert!(actions.contains(&Action::Cancel(attempts[0].key)));
    assert!(actions.contains(&Action::Cancel(attempts[1].key)));
    assert!(actions.contains(&Action::Forget(key)));
    assert_eq!(core.fetch(key, 0), None);
}

#[test]
fn step_without_requests_expires() {
    let (mut core, key, _) = open_step(&contents(1, 1));
    let expiry_ms = Limits::default().expiry_ms;
    core.tick(true, expiry_ms);
    assert!(core.fetch(key, expiry_ms).is_some());
    core.tick(true, 2 * expiry_ms);
    assert!(core.step(key).is_some());
    core.tick(true, 2 * expiry_ms + 1);
    assert!(core.step(key).is_none());
}

#[test]
fn oversized_step_is_refused_with_limit_and_remedy() {
    let mut core = Core::new(Limits {
        step_bytes: 10_000,
        total_bytes: 15_000,
        ..Limits::default()
    });
    let OpenResult::TooLarge(too_large) = core.open(&trainer(), contents(10, 10), 1, 0) else {
        panic!("the step exceeds the limit");
    };
    let message = too_large.to_string();
    assert!(message.contains("10000 are allowed"));
    assert!(message.contains("fewer samples"));
    let first = core.open(&trainer(), contents(2, 4), 1, 0);
    assert!(matches!(first, OpenResult::Open(_)));
    let second = core.open(&"other".into(), contents(2, 4), 1, 0);
    assert!(matches!(
        second,
        OpenResult::TooLarge(TooLarge::NotEnoughFree { .. })
    ));
}

#[test]
fn failed_scoring_redraws_the_sample() {
    let mut step = contents(1, 1);
    Arc::make_mut(&mut step).scoring = Some("judge".into());
    let (mut core, key, attempts) = open_step(&step);
    core.ended(attempts[0].key, generated(5), 100);
    let sample = attempts[0].sample;
    let score = Action::Score { sample, draw: 1 };
    assert!(core.take_actions().contains(&score));
    core.scored(sample, 1, None, 200);
    core.tick(true, 200 + REDRAW_DELAY_MS);
    let redrawn = started(&mut core);
    core.ended(redrawn[0].key, generated(5), 500);
    core.scored(sample, 1, Some(0.1), 550);
    core.scored(sample, 2, Some(0.5), 600);
    copy_all(&mut core, key);
    core.tick(true, 700);
    core.sealed(key, true);
    assert_eq!(batch(&mut core, key).samples[0].score, Some(0.5));
}
