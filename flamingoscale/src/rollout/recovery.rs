//! Recovers steps whose coordinator is gone from the copies that other instances hold.

use std::{
    rc::Rc,
    sync::Arc, //
};

use futures::future::join_all;

use crate::{
    rollout::{
        answer::{
            request_peer,
            Answer, //
        },
        copies::HeldStep,
        driver::Driver,
        placement,
        Message, //
    },
    view::{
        Member,
        View, //
    }, //
};

/// Maximum number of members to query, in placement order: the members that are most likely to hold
/// copies come first.
const MAX_QUERIED_MEMBERS: usize = 16;

/// Timeout for a member's answer.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Collects what this instance and the queried members hold of a step, and merges it.
pub(crate) async fn recover(
    driver: &Rc<Driver>,
    trainer: &Arc<str>,
    step: u64,
) -> Option<HeldStep> {
    let queried = other_members(driver, trainer);
    let answers = queried.iter().map(|member| {
        let message = Message::Recover {
            trainer: trainer.clone(),
            step,
        };
        request_peer(driver.instance(), member, message, ANSWER_TIMEOUT_MS)
    });
    let answers = join_all(answers).await;
    let own_copies = driver.shared().copies().get(trainer, step);
    let held_by_others = answers.into_iter().filter_map(|answer| match answer {
        Answer::Held(held) => Some(*held),
        _ => None,
    });
    merge(held_by_others.chain(own_copies).collect())
}

/// Tells all members that may hold copies that a step is over.
pub(crate) fn forget(driver: &Rc<Driver>, trainer: &Arc<str>, step: u64) {
    driver.shared().copies().forget(trainer, step);
    for member in other_members(driver, trainer) {
        let driver = driver.clone();
        let trainer = trainer.clone();
        actix_rt::spawn(async move {
            let message = Message::Forget { trainer, step };
            request_peer(driver.instance(), &member, message, ANSWER_TIMEOUT_MS).await;
        });
    }
}

/// Hands orphaned steps to a new coordinator. A step whose coordinator is gone has only one copy
/// left, so it can't wait for its trainer's next request: the best-ranked member is sent a fetch,
/// which makes it take the step over.
pub(crate) fn redirect_orphans(driver: &Rc<Driver>, view: &View) {
    let members = view.members.iter().filter(|member| !member.leaving);
    let remaining: Vec<Arc<str>> = members.map(|member| member.instance.clone()).collect();
    let orphans = driver.shared().copies().orphans(&remaining);
    for (trainer, step) in orphans {
        let successor = placement::coordinator(&view.members, &trainer).cloned();
        actix_rt::spawn(redirect(driver.clone(), successor, trainer, step));
    }
}

async fn redirect(driver: Rc<Driver>, successor: Option<Member>, trainer: Arc<str>, step: u64) {
    let remote_successor = successor.filter(|member| member.instance != *driver.instance().id());
    let Some(member) = remote_successor else {
        driver.find_or_take_over(&trainer, step).await;
        return;
    };
    let message = Message::Fetch {
        trainer,
        step,
        wait_ms: 0,
    };
    request_peer(driver.instance(), &member, message, ANSWER_TIMEOUT_MS).await;
}

fn other_members(driver: &Rc<Driver>, trainer: &str) -> Vec<Member> {
    let view = driver.instance().view.load();
    let ranked = placement::ranked(&view.members, trainer).into_iter();
    let others = ranked.filter(|member| member.instance != *driver.instance().id());
    others.take(MAX_QUERIED_MEMBERS).cloned().collect()
}

/// Merges held copies of a step. Copies of the highest epoch win; positions without such a copy are
/// filled from older epochs. A batch that was made final by [`Message::Seal`] takes precedence over
/// copies of any epoch that were not, because the trainer may already have received that batch.
pub(crate) fn merge(mut held_steps: Vec<HeldStep>) -> Option<HeldStep> {
    let epoch = held_steps.iter().map(|held| held.epoch).max()?;
    held_steps.sort_by_key(|held| (held.sealed.is_some(), held.epoch, held.samples.len()));
    let mut newest = held_steps.pop()?;
    for older in held_steps.into_iter().rev() {
        if older.step != newest.step || newest.sealed.is_some() {
            continue;
        }
        for (position, copy) in older.samples {
            newest.samples.entry(position).or_insert(copy);
        }
    }
    newest.epoch = epoch;
    Some(newest)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        rollout::SampleCopy,
        wire::{
            OpenStep,
            Sample, //
        }, //
    };

    fn held(epoch: u64, sealed: Option<u64>, samples: &[(u32, &str)]) -> HeldStep {
        let step = OpenStep {
            step: 1,
            prompts: vec!["p".into()],
            samples_per_group: 4,
            max_tokens: 8,
            staleness_bound: 1,
            deadline_ms: 1_000,
            scoring: None,
        };
        let mut held = HeldStep::new(Arc::new(step), epoch, "n1".into(), sealed);
        for &(position, text) in samples {
            let sample = Sample {
                group: 0,
                index: position as u16,
                text: text.into(),
                tokens: 1,
                versions: Vec::new(),
                score: None,
            };
            let copy = SampleCopy {
                position,
                draw: 1,
                sample: Arc::new(sample),
            };
            held.samples.insert(position, copy);
        }
        held
    }

    #[test]
    fn highest_epoch_wins_and_gaps_are_filled() {
        let merged = merge(vec![
            held(2, None, &[(0, "new")]),
            held(1, None, &[(0, "old"), (1, "kept")]),
        ]);
        let texts: Vec<String> = merged
            .into_iter()
            .flat_map(|held| held.samples.into_values())
            .map(|copy| copy.sample.text.clone())
            .collect();
        assert_eq!(texts, ["new", "kept"]);
    }

    #[test]
    fn sealed_batch_wins_over_unsealed_copies_of_a_higher_epoch() {
        let merged = merge(vec![
            held(2, None, &[(0, "unsealed")]),
            held(1, Some(5), &[(0, "sealed"), (1, "sealed")]),
        ]);
        let merged = merged.expect("merging two steps yields one");
        assert_eq!((merged.epoch, merged.sealed), (2, Some(5)));
        assert_eq!(merged.samples[&0].sample.text, "sealed");
    }

    #[test]
    fn sealed_batch_is_not_extended_by_older_copies() {
        let merged = merge(vec![
            held(2, Some(5), &[(0, "sealed")]),
            held(1, None, &[(0, "old"), (1, "unsealed")]),
        ]);
        assert_eq!(merged.map(|held| held.samples.len()), Some(1));
    }
}
