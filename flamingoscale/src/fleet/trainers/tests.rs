//! Tests that samples of different trainers are kept apart.

use super::*;
use crate::fleet::{
    fixtures,
    record::Record, //
};

fn batch_of(organisation: &str, model: &str) -> Batch {
    let Record::Batch(batch) = fixtures::batch("b", 1, 1, |_, _| 10) else {
        unreachable!("the fixture is a batch");
    };
    Batch {
        organisation: organisation.into(),
        model: model.into(),
        ..Batch::clone(&batch)
    }
}

/// Guards against MIXED: a sample got the text of another trainer's sample with the same id. See
/// docs/incidents/texts-of-other-trainers.md.
#[test]
fn samples_with_the_same_id_are_kept_apart() {
    let batches = [
        batch_of("lodges", "notes"),
        batch_of("rescue", "notes"),
        batch_of("lodges", "cards"),
    ];
    let mut kept = ByTrainer::default();
    for (number, batch) in batches.iter().enumerate() {
        assert_eq!(kept.get(batch, "s0.0"), None);
        kept.insert(batch, "s0.0".into(), number);
    }
    for (number, batch) in batches.iter().enumerate() {
        assert_eq!(kept.get(batch, "s0.0"), Some(&number));
    }
    assert_eq!(kept.remove(&batches[1], "s0.0"), Some(1));
    assert_eq!((kept.len(), kept.get(&batches[1], "s0.0")), (2, None));
    kept.retain(|number| *number == 0);
    assert_eq!((kept.len(), kept.get(&batches[2], "s0.0")), (1, None));
}
