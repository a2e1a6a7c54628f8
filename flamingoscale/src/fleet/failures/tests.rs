//! Tests of which samples are not run again.

use super::*;
use crate::fleet::{
    fixtures,
    record::Record, //
};

fn some_batch() -> Arc<Batch> {
    match fixtures::batch("b", 1, 2, |_, _| 10) {
        Record::Batch(batch) => batch,
        _ => unreachable!("the fixture is a batch"),
    }
}

/// Guards against BUDGET: a sample that engines had rejected three times was sent to one again in each later
/// batch. See docs/incidents/hopeless-samples.md.
#[test]
fn samples_that_fail_again_and_again_are_hopeless() {
    let batch = some_batch();
    let (rejected, failed): (Arc<str>, Arc<str>) = ("s0.0".into(), "s0.1".into());
    let mut failures = Failures::default();
    let two_attempts = |_: &str| Some(2);
    for _ in 0..3 {
        assert!(failures.hopeless(&batch, two_attempts).is_empty());
        failures.rejected(&batch, &rejected);
        failures.run_failed(&batch, &failed);
    }
    let hopeless = failures.hopeless(&batch, two_attempts);
    assert!(hopeless.iter().eq([&rejected]));
    for _ in 0..3 {
        failures.run_failed(&batch, &failed);
    }
    assert_eq!(failures.hopeless(&batch, two_attempts).len(), 2);
    let of_open = |sample: &str| (*sample == *failed).then_some(2);
    assert_eq!(failures.hopeless(&batch, of_open), [failed]);
}
