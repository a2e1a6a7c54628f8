//! The whole path in one process, as the README's first command shows it.

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
    let report = run(options).expect("the run comes to its end");
    assert_eq!(report.violations(), Vec::<String>::new());
    assert_eq!((report.steps, report.samples_delivered), (2, 32));
    assert!(report.lookups > 0 && report.usage_windows > 0);
}
