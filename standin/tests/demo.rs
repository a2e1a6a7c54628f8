//! Runs the demo, the first command of the README, in one process without faults: every sample is
//! delivered and no guarantee is violated.

use standin::demo::{
    run,
    Options, //
};

#[test]
fn demo_run_has_no_violations() {
    let options = Options {
        seed: 3,
        faults: false,
        nodes: 3,
        steps: 2,
        show_timeline: false,
    };
    let report = run(options).expect("the demo run should complete");
    assert_eq!(report.violations(), Vec::<String>::new());
    assert_eq!((report.steps, report.samples_delivered), (2, 32));
    assert!(report.lookups > 0 && report.usage_windows > 0);
}
