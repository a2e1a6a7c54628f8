//! Plays an instance that follows a topic through all orders of the store's failures, and measures how
//! late it is with what changed meanwhile.

use rand::{
    RngExt,
    SeedableRng, //
};

use super::*;
use crate::fleet::removals::Removals;

/// Bounds of deployments on which the instance counts as in contact after a failure.
const CONTACTS_MS: [u64; 3] = [MIN_CONTACT_MS, 4_000, 5_000];

/// Time within which an endpoint that left while the store worked must get nothing more.
const DRAIN_MS: u64 = 2_000;

/// Entries of live endpoints that expired are back this long after the end of an outage: their usual
/// interval.
const RELISTED_MS: u64 = 1_200;

/// An entry expires after this time without a heartbeat of its endpoint.
const EXPIRY_MS: u64 = 3 * RELISTED_MS;

/// Time that the store takes to answer.
const ANSWER_MS: u64 = 4;

/// The topics that instances follow.
const TOPICS: [Topic; 5] = [
    Topic::OPERATOR,
    Topic::FLEET,
    Topic::HEARTBEATS,
    Topic::BATCHES,
    Topic::ENDPOINTS,
];

/// What happens to reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// They get no answer, nor do those that are under way.
    Silence,
    /// They are refused; those under way go on.
    Refusal,
    /// Their connections are reset, and those of reads that are under way.
    Reset,
    /// They are answered after this many milliseconds.
    Slow(u64),
    /// The records of the topic are deleted at the beginning.
    Deletion,
}

const FAILURES: [Failure; 6] = [
    Failure::Silence,
    Failure::Refusal,
    Failure::Reset,
    Failure::Slow(240),
    Failure::Slow(1_200),
    Failure::Deletion,
];

/// A failure of the store for the instance.
#[derive(Clone, Copy, Debug)]
struct Phase {
    failure: Failure,
    from_ms: u64,
    to_ms: u64,
}

/// A store in which one record is written at a time, beside records that bring nothing new.
#[derive(Debug)]
struct Store {
    phases: Vec<Phase>,
    changed_ms: u64,
    /// When a listed endpoint's entry that had expired is written again.
    relisted_ms: Option<u64>,
}

/// How a read ends, and when.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Failed,
    Deleted,
    /// A page of what was written before this time.
    Page {
        as_of_ms: u64,
    },
}

impl Store {
    /// Interval between records that bring nothing new.
    const RECORD_INTERVAL_MS: u64 = 900;

    /// Returns the end of the last failure.
    fn sound_from_ms(&self) -> u64 {
        self.phases
            .iter()
            .map(|phase| phase.to_ms)
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of records that were written before a time.
    fn end_offset(&self, now_ms: u64) -> u64 {
        let changes = [Some(self.changed_ms), self.relisted_ms];
        let written = changes
            .into_iter()
            .flatten()
            .filter(|at_ms| *at_ms <= now_ms);
        now_ms / Self::RECORD_INTERVAL_MS + written.count() as u64
    }

    /// Returns when the next record after a time is written.
    fn next_record_ms(&self, now_ms: u64) -> u64 {
        let regular_ms = (now_ms / Self::RECORD_INTERVAL_MS + 1) * Self::RECORD_INTERVAL_MS;
        let changes = [Some(self.changed_ms), self.relisted_ms];
        let later = changes
            .into_iter()
            .flatten()
            .filter(|at_ms| *at_ms > now_ms);
        later
            .min()
            .map_or(regular_ms, |at_ms| at_ms.min(regular_ms))
    }

    fn first_offset(&self, now_ms: u64) -> u64 {
        let deletions = self
            .phases
            .iter()
            .filter(|phase| phase.failure == Failure::Deletion && phase.from_ms <= now_ms);
        let ends = deletions.map(|phase| self.end_offset(phase.from_ms));
        ends.max().unwrap_or(0)
    }

    fn failure_at(&self, now_ms: u64) -> Option<Failure> {
        let is_current = |phase: &&Phase| (phase.from_ms..phase.to_ms).contains(&now_ms);
        self.phases
            .iter()
            .find(is_current)
            .map(|phase| phase.failure)
    }

    /// Returns when and how a read ends that is sent at `sent_ms`.
    fn answer(&self, read: NextRead, sent_ms: u64) -> (u64, Answer) {
        let deadline_ms = sent_ms + read.timeout_ms;
        let (latency_ms, refused) = match self.failure_at(sent_ms) {
            Some(Failure::Silence) => return (deadline_ms, Answer::Failed),
            Some(Failure::Refusal | Failure::Reset) => (ANSWER_MS, true),
            Some(Failure::Slow(latency_ms)) => (latency_ms, false),
            Some(Failure::Deletion) | None => (ANSWER_MS, false),
        };
        if refused {
            return (sent_ms + latency_ms, Answer::Failed);
        }
        let mut as_of_ms = sent_ms + latency_ms / 2;
        let is_deleted = |at_ms| {
            read.from
                .is_some_and(|from| from < self.first_offset(at_ms))
        };
        if let Some(from) = read.from {
            let wait_until_ms = as_of_ms + read.wait_ms;
            if self.end_offset(as_of_ms) <= from {
                as_of_ms = self.next_record_ms(as_of_ms).min(wait_until_ms);
            }
        }
        let answered_ms = as_of_ms + latency_ms - latency_ms / 2;
        let interrupted = self
            .phases
            .iter()
            .filter(|phase| (sent_ms..answered_ms).contains(&phase.from_ms))
            .find(|phase| matches!(phase.failure, Failure::Silence | Failure::Reset));
        match interrupted {
            Some(phase) if phase.failure == Failure::Reset => {
                (phase.from_ms.min(deadline_ms), Answer::Failed)
            }
            Some(_) => (deadline_ms, Answer::Failed),
            None if answered_ms > deadline_ms => (deadline_ms, Answer::Failed),
            None if is_deleted(as_of_ms) => (answered_ms, Answer::Deleted),
            None => (answered_ms, Answer::Page { as_of_ms }),
        }
    }
}

/// A fault of the carrier, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// The parts of the sum are those of a deployment with twice the bound.
    LongerParts,
    /// It removes endpoints only when it reads, and reads on only after the interval.
    ActsOncePerInterval,
}

/// What became of the change.
#[derive(Clone, Copy, Debug, Default)]
struct Followed {
    /// When it was in force; `None` if it was not until the end.
    in_force_ms: Option<u64>,
    /// Reads that were sent while the store failed and in the second after.
    reads: u64,
}

/// Follows a topic until some time after the failures and the change.
fn follow(
    store: &Store,
    topic: Topic,
    contact_ms: u64,
    planted: Planted,
    random: &mut ChaCha8Rng,
) -> Followed {
    let divided_ms = match planted {
        Planted::LongerParts => 2 * contact_ms,
        _ => contact_ms,
    };
    let mut following = Following::new(Lateness::new(divided_ms), topic);
    let mut removals = Removals::default();
    let mut followed = Followed::default();
    let mut now_ms = 0;
    let end_ms = store.sound_from_ms().max(store.changed_ms) + 3 * contact_ms;
    while now_ms < end_ms {
        let read = following.next_read();
        let sent_ms = now_ms;
        let (ended_ms, answer) = store.answer(read, sent_ms);
        now_ms = ended_ms;
        followed.reads += 1;
        let had_failed = following.is_failing();
        match answer {
            Answer::Failed => {
                now_ms += following.failed(sent_ms, now_ms, random);
                continue;
            }
            Answer::Deleted => {
                following.records_deleted(now_ms);
                continue;
            }
            Answer::Page { as_of_ms } => {
                let end_offset = store.end_offset(as_of_ms);
                following.page_read(end_offset, end_offset, now_ms);
                if had_failed {
                    removals.list_recovered(&following, now_ms);
                }
                let is_known = followed.in_force_ms.is_some();
                let relisted = store.relisted_ms.is_some_and(|at_ms| at_ms <= as_of_ms);
                if relisted {
                    removals.listed("endpoint");
                } else if store.changed_ms <= as_of_ms && !is_known {
                    match topic == Topic::ENDPOINTS {
                        true => removals.missing("endpoint", false, &following, now_ms),
                        false => followed.in_force_ms = Some(now_ms),
                    }
                }
            }
        }
        let interval_ms = match planted {
            Planted::ActsOncePerInterval => topic.interval_ms,
            _ => following.interval_ms(),
        };
        let next_read_ms = now_ms + interval_ms;
        loop {
            if !removals.take_due(&following, now_ms).is_empty() {
                followed.in_force_ms = Some(now_ms);
            }
            if now_ms >= next_read_ms {
                break;
            }
            let due_ms = removals.next_due_ms(now_ms).map(|left_ms| now_ms + left_ms);
            now_ms = match planted {
                Planted::ActsOncePerInterval => next_read_ms,
                _ => due_ms.map_or(next_read_ms, |due_ms| due_ms.min(next_read_ms)),
            };
        }
    }
    followed
}

/// Returns all orders of up to three failures.
fn orders() -> Vec<Vec<Failure>> {
    let mut orders: Vec<Vec<Failure>> = vec![Vec::new()];
    let mut all = Vec::new();
    for _ in 0..3 {
        let longer = |order: &Vec<Failure>| {
            let order = order.clone();
            FAILURES.map(|failure| [order.as_slice(), &[failure]].concat())
        };
        orders = orders.iter().flat_map(longer).collect();
        all.extend(orders.clone());
    }
    all
}

/// Lets failures follow each other, of random lengths and with random times between.
fn phases(order: &[Failure], random: &mut ChaCha8Rng) -> Vec<Phase> {
    let mut from_ms = random.random_range(2_000..4_000);
    let phase = |failure: &Failure| {
        let longest_ms = [60, 900, 3_500, 12_000][random.random_range(0..4)];
        let to_ms = from_ms + random.random_range(1..=longest_ms);
        let phase = Phase {
            failure: *failure,
            from_ms,
            to_ms,
        };
        from_ms = to_ms + [0, 1, 300, 1_700][random.random_range(0..4)];
        phase
    };
    order.iter().map(phase).collect()
}

/// Plays all orders and returns the ones in which a change that was made until the last failure ended was
/// not in force in time.
fn late_orders(topics: &[Topic], plays: u64, planted: Planted) -> Vec<String> {
    let mut late = Vec::new();
    for (number, order) in orders().iter().enumerate() {
        for play in 0..plays {
            let mut random = ChaCha8Rng::seed_from_u64(number as u64 * plays + play);
            let phases = phases(order, &mut random);
            let ends_ms = phases.last().map_or(0, |phase| phase.to_ms);
            let store = Store {
                changed_ms: random.random_range(phases[0].from_ms - 300..=ends_ms),
                phases,
                relisted_ms: None,
            };
            for contact_ms in CONTACTS_MS {
                for topic in topics {
                    let followed = follow(&store, *topic, contact_ms, planted, &mut random);
                    let in_force_ms = followed.in_force_ms.unwrap_or(u64::MAX);
                    if in_force_ms >= ends_ms + contact_ms {
                        late.push(format!(
                            "{contact_ms} ms, {topic:?}: {followed:?}, {store:?}"
                        ));
                    }
                }
            }
        }
    }
    late
}

/// Guards against DRAIN and CONFIG: after a silence of the store, keys that had been taken away and endpoints
/// that had left were used for longer than the bound. See docs/incidents/late-after-silence.md.
#[test]
fn changes_are_in_force_in_time_after_any_order_of_failures() {
    let late = late_orders(&TOPICS, 12, Planted::Nothing);
    assert!(late.is_empty(), "{} are late: {}", late.len(), late[0]);
}

#[test]
fn faults_of_the_carrier_are_found() {
    assert!(!late_orders(&TOPICS, 1, Planted::LongerParts).is_empty());
    assert!(late_leaver(Planted::ActsOncePerInterval).is_some());
}

/// Guards against refusals of an instance that has just started: it waited for the next record before it knew
/// that it had read all of them. See docs/incidents/late-after-silence.md.
#[test]
fn what_was_written_during_the_first_read_is_read_at_once() {
    for topic in TOPICS {
        let mut following = Following::new(Lateness::new(CONTACTS_MS[0]), topic);
        assert_eq!(following.next_read().from, None);
        following.page_read(9, 9, 10);
        let next = following.next_read();
        assert_eq!((next.from, next.wait_ms), (Some(9), 0));
        assert_eq!((following.is_at_end(), following.interval_ms()), (false, 0));
        following.page_read(9, 9, 20);
        assert_eq!(following.next_read().wait_ms > 0, topic.waits);
        assert!(following.is_at_end());
    }
}

/// The time between two failed reads is bounded below, so that a store that is back is not flooded.
#[test]
fn an_instance_does_not_flood_a_store_that_fails() {
    for failure in [Failure::Refusal, Failure::Reset, Failure::Silence] {
        for contact_ms in CONTACTS_MS {
            let mut random = ChaCha8Rng::seed_from_u64(contact_ms);
            let store = Store {
                phases: vec![Phase {
                    failure,
                    from_ms: 0,
                    to_ms: 60_000,
                }],
                changed_ms: 0,
                relisted_ms: None,
            };
            let followed = follow(&store, TOPICS[0], contact_ms, Planted::Nothing, &mut random);
            // The longest pause is a fifth of the bound, the shortest one a third of that.
            let most = 60_000 / (contact_ms / 15) + 10 + 3 * contact_ms / 800;
            assert!(
                followed.reads <= most,
                "{failure:?}: {} reads",
                followed.reads
            );
        }
    }
}

/// Lets endpoints leave while the store works, at different times after a failure. Returns a play in which
/// one was kept for too long.
fn late_leaver(planted: Planted) -> Option<String> {
    (0..2_000).find_map(|seed| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let order = [FAILURES[random.random_range(0..FAILURES.len())]];
        let phases = phases(&order, &mut random);
        let contact_ms = CONTACTS_MS[seed as usize % CONTACTS_MS.len()];
        let changed_ms = phases[0].to_ms + contact_ms + random.random_range(0..3_000);
        let store = Store {
            phases,
            changed_ms,
            relisted_ms: None,
        };
        let followed = follow(&store, Topic::ENDPOINTS, contact_ms, planted, &mut random);
        let in_force_ms = followed.in_force_ms.unwrap_or(u64::MAX);
        let is_late = in_force_ms >= changed_ms + DRAIN_MS;
        is_late.then(|| format!("{followed:?}, {store:?}"))
    })
}

/// Guards against DRAIN: an endpoint that left shortly after a failure, while the store worked, was removed
/// only at the read after the one at which it was due.
#[test]
fn endpoints_that_leave_after_a_failure_are_removed_in_time() {
    assert_eq!(late_leaver(Planted::Nothing), None);
}

/// Endpoints whose entries expired in outages without a break between stay in the list if they are back soon
/// after the last one.
#[test]
fn endpoints_that_are_listed_again_are_kept() {
    let outages = [Failure::Silence, Failure::Refusal, Failure::Reset];
    for seed in 0..4_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..=3);
        let order: Vec<Failure> = (0..count)
            .map(|_| outages[random.random_range(0..outages.len())])
            .collect();
        let mut phases = phases(&order, &mut random);
        let delay_ms = random.random_range(EXPIRY_MS..2 * EXPIRY_MS);
        phases[0].to_ms += delay_ms;
        for phase in &mut phases[1..] {
            phase.from_ms += delay_ms;
            phase.to_ms += delay_ms;
        }
        if phases
            .windows(2)
            .any(|pair| pair[0].to_ms < pair[1].from_ms)
        {
            continue;
        }
        let sound_ms = phases.last().map_or(0, |phase| phase.to_ms);
        let store = Store {
            changed_ms: random.random_range(phases[0].from_ms + EXPIRY_MS..=phases[0].to_ms),
            phases,
            relisted_ms: Some(sound_ms + RELISTED_MS),
        };
        let contact_ms = CONTACTS_MS[seed as usize % CONTACTS_MS.len()];
        let followed = follow(
            &store,
            Topic::ENDPOINTS,
            contact_ms,
            Planted::Nothing,
            &mut random,
        );
        assert_eq!(followed.in_force_ms, None, "{followed:?}, {store:?}");
    }
}
