//! Tests that the questionnaire template and the examples are valid, and that one error reports all
//! faults of an invalid questionnaire.

use std::{
    collections::BTreeSet,
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use flamingoscale::{
    configuration::ServiceKind,
    questionnaire, //
};

/// Returns the path of a file relative to the root of this crate.
fn crate_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn read(path: &str) -> String {
    fs::read_to_string(crate_path(path)).expect("the file is part of the repository")
}

#[test]
fn the_template_is_valid() {
    let configuration = questionnaire::generate(questionnaire::template());
    let configuration = configuration.expect("the template is valid");
    assert_eq!(configuration.failure_domains.len(), 2);
    assert_eq!(configuration.tolerances, Default::default());
}

#[test]
fn the_example_questionnaires_are_valid() {
    let wadi = questionnaire::generate(&read("../examples/wadi-piste.questionnaire.ini"));
    let wadi = wadi.expect("the example is valid");
    assert_eq!(wadi.failure_domains.len(), 4);
    assert_eq!(wadi.organisations.len(), 8);
    assert!(wadi.service("portal").is_some_and(|portal| portal.open));
    let vagkant = questionnaire::generate(&read("../examples/vagkant.questionnaire.ini"));
    let vagkant = vagkant.expect("the example is valid");
    assert_eq!(vagkant.failure_domains.len(), 3);
    let dispatch = vagkant
        .service("dispatch")
        .expect("the example describes the service");
    assert_eq!(dispatch.kind, ServiceKind::Plain);
    assert!(!dispatch.idempotent);
    let region = vagkant.region("uppsala");
    assert!(region.is_some() && region == vagkant.region("orebro"));
}

/// Returns the faults, as section and key, that a file lists in its `;!` lines.
fn marked_faults(text: &str) -> BTreeSet<(String, String)> {
    let marked = text.lines().filter_map(|line| line.strip_prefix(";!"));
    let parts = marked.filter_map(|line| line.rsplit_once('/'));
    parts
        .map(|(section, key)| (section.trim().to_owned(), key.trim().to_owned()))
        .collect()
}

#[test]
fn every_fault_of_an_invalid_questionnaire_is_reported() {
    let mut file_count = 0;
    for entry in fs::read_dir(crate_path("tests/questionnaires")).expect("the directory exists") {
        let path = entry.expect("the directory can be listed").path();
        let text = fs::read_to_string(&path).expect("the file can be read");
        let error = questionnaire::generate(&text).expect_err("the file is faulty");
        let reported: BTreeSet<(String, String)> = error
            .faults
            .iter()
            .map(|fault| (fault.section.to_string(), fault.key.to_string()))
            .collect();
        assert_eq!(reported, marked_faults(&text), "{}", path.display());
        let has_remedy = |fault: &flamingoscale::settings::Fault| !fault.remedy.is_empty();
        assert!(error.faults.iter().all(has_remedy));
        file_count += 1;
    }
    assert!(
        file_count >= 3,
        "fewer than 3 questionnaires in tests/questionnaires"
    );
}
