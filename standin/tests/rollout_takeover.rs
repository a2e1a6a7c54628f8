//! Coordinators that crash or leave in the middle of a step: another instance takes the step over
//! without losing its samples.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use actix_web::http::StatusCode;
use flamingoscale::wire::{
    Batch,
    OpenStep, //
};
use standin::world::{
    fleet::{
        Fleet,
        FleetSettings,
        LengthDistribution, //
    },
    World,
    WorldTrainer, //
};
use tokio::time::sleep;

const TRAINER: &str = "notes";
const INSTANCES: usize = 4;

fn world() -> World {
    let settings = FleetSettings {
        engines: 3,
        slots: 4,
        tokens_per_s: 50.0,
        lengths: LengthDistribution {
            min_tokens: 50,
            tail_exponent: 1.5,
        },
    };
    let trainer = WorldTrainer {
        name: TRAINER.into(),
        weight: 1,
        staleness_bound: 1,
    };
    World::new(INSTANCES, &[trainer], Fleet::new(settings), 1)
}

fn step() -> OpenStep {
    OpenStep {
        step: 1,
        prompts: (0..8).map(|group| format!("log {group}").into()).collect(),
        samples_per_group: 4,
        max_tokens: 400,
        staleness_bound: 1,
        deadline_ms: 60_000,
        scoring: None,
    }
}

/// Runs `test` once for each instance, each time in a new world with one open step, and returns the
/// sum of the results.
fn for_each_instance<F>(test: impl Fn(World, Arc<str>) -> F) -> u32
where
    F: std::future::Future<Output = u64>,
{
    let takeovers = (0..INSTANCES).map(|number| {
        let system = actix_rt::System::with_tokio_rt(|| {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build()
                .expect("the runtime should build")
        });
        system.block_on(async {
            let world = world();
            let target = world.instances()[number].clone();
            assert_eq!(world.open("n0", TRAINER, &step()).await, StatusCode::OK);
            test(world, target).await
        })
    });
    takeovers.map(|count| count as u32).sum()
}

fn other_live_instance(world: &World, target: &str) -> Arc<str> {
    let live = world.instances().into_iter();
    let mut others = live.filter(|name| **name != *target);
    others.next().expect("another instance should be live")
}

async fn fetch_complete_batch(world: &World, instance: &str) -> Batch {
    loop {
        match world.fetch(instance, TRAINER, 1, 1_000).await {
            Ok(batch) if batch.complete => return batch,
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
}

fn assert_complete(batch: &Batch) {
    let ids: BTreeSet<_> = batch.samples.iter().map(|s| (s.group, s.index)).collect();
    assert_eq!((ids.len(), batch.samples.len()), (32, 32));
}

#[test]
fn samples_of_crashed_coordinator_are_not_regenerated() {
    let takeovers = for_each_instance(|world, target| async move {
        sleep(Duration::from_millis(6_000)).await;
        let generated = world.fleet.runs().len();
        assert!(generated > 4);
        world.crash(&target);
        world.detect_crashes();
        let instance = other_live_instance(&world, &target);
        assert_complete(&fetch_complete_batch(&world, &instance).await);
        let runs = world.fleet.runs();
        let ids: BTreeSet<_> = runs.iter().map(|run| (&run.prompt, run.seed)).collect();
        // Samples are replicated within milliseconds, so a crash loses at most those of one message.
        assert!(runs.len() <= ids.len() + 2);
        world.event_count("step.take_over")
    });
    assert_eq!(takeovers, 1);
}

#[test]
fn repeated_fetch_returns_the_same_batch_after_crash() {
    let takeovers = for_each_instance(|world, target| async move {
        let first = fetch_complete_batch(&world, "n1").await;
        assert_complete(&first);
        // The samples now exceed the staleness bound, but the batch was closed before that.
        for version in 2..6 {
            let published = world.publish("n1", TRAINER, version).await;
            assert_eq!(published, StatusCode::OK);
        }
        world.propagate_versions();
        world.crash(&target);
        world.detect_crashes();
        let refetched = fetch_complete_batch(&world, &other_live_instance(&world, &target)).await;
        assert_eq!(refetched, first);
        world.event_count("step.take_over")
    });
    assert_eq!(takeovers, 1);
}

#[test]
fn replica_is_recreated_after_its_holder_crashes() {
    for_each_instance(|world, target| async move {
        let first = fetch_complete_batch(&world, "n1").await;
        world.crash(&target);
        world.detect_crashes();
        sleep(Duration::from_millis(3_000)).await;
        // The batch has been replicated again, so the next crash doesn't lose it either.
        let second = other_live_instance(&world, &target);
        world.crash(&second);
        world.detect_crashes();
        let refetched = fetch_complete_batch(&world, &other_live_instance(&world, &second)).await;
        assert_eq!(refetched, first);
        0
    });
}

#[test]
fn leaving_coordinator_hands_over_its_samples() {
    let takeovers = for_each_instance(|world, target| async move {
        sleep(Duration::from_millis(6_000)).await;
        let before = world
            .fetch("n1", TRAINER, 1, 0)
            .await
            .expect("the step should be open");
        world.mark_leaving(&target);
        sleep(Duration::from_millis(3_000)).await;
        let after = world
            .fetch("n1", TRAINER, 1, 0)
            .await
            .expect("the step should be open");
        let timeline = world.timeline();
        assert!(after.finished >= before.finished, "{timeline:#?}");
        assert_complete(&fetch_complete_batch(&world, "n1").await);
        world.event_count("step.take_over")
    });
    assert_eq!(takeovers, 1);
}

#[test]
fn acknowledged_step_is_deleted_on_all_instances() {
    for_each_instance(|world, target| async move {
        fetch_complete_batch(&world, "n2").await;
        let status = world.acknowledge("n3", TRAINER, 1).await;
        assert_eq!(status, StatusCode::OK);
        sleep(Duration::from_millis(500)).await;
        world.crash(&target);
        world.detect_crashes();
        let instance = other_live_instance(&world, &target);
        let fetched = world.fetch(&instance, TRAINER, 1, 0).await;
        assert_eq!(fetched, Err(StatusCode::NOT_FOUND));
        0
    });
}
