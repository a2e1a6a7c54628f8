//! Tests that a stream is resumed only where its software is known or cannot matter.

use super::*;

const SERVICE: &str = "drafting";

fn observe(streams: &mut Streams, versions: &[&str], now_ms: u64) {
    let listed = versions.iter().map(|version| Arc::from(*version)).collect();
    streams.observe(&SERVICE.into(), listed, now_ms);
}

fn began(streams: &mut Streams, id: &str, software: &str, now_ms: u64) {
    streams.began(&id.into(), &SERVICE.into(), &software.into(), now_ms);
}

#[test]
fn any_endpoint_resumes_a_stream_while_there_is_one_software() {
    let mut streams = Streams::default();
    observe(&mut streams, &["v1"], 0);
    let other = |at_ms| streams.origin(Some("other"), SERVICE, at_ms);
    assert_eq!(other(STREAM_LIFETIME_MS), Origin::Any);
    // This instance may have started just after another software was replaced.
    let otherwise = Some("v1".into());
    assert_eq!(other(10), Origin::AskStore { otherwise });
    assert!(streams.due_announcements().is_empty());
}

#[test]
fn stream_is_announced_once_a_second_software_is_listed() {
    let mut streams = Streams::default();
    observe(&mut streams, &["v1"], 0);
    began(&mut streams, "s1", "v1", 10);
    assert!(streams.due_announcements().is_empty());
    observe(&mut streams, &["v1", "v2"], 20);
    began(&mut streams, "s2", "v2", 30);
    let mut due = streams.due_announcements();
    due.sort();
    assert_eq!(
        due,
        [("s1".into(), "v1".into()), ("s2".into(), "v2".into())]
    );
    assert!(streams.due_announcements().is_empty());
    assert_eq!(
        streams.origin(Some("s2"), SERVICE, 40),
        Origin::Software("v2".into())
    );
}

#[test]
fn unknown_stream_began_before_the_second_software() {
    let mut streams = Streams::default();
    observe(&mut streams, &["v1"], 0);
    observe(&mut streams, &["v1", "v2"], 20);
    let otherwise = Some("v1".into());
    assert_eq!(
        streams.origin(None, SERVICE, 30),
        Origin::AskStore { otherwise }
    );
}

#[test]
fn unknown_stream_is_not_resumed_just_after_the_software_was_replaced() {
    let mut streams = Streams::default();
    observe(&mut streams, &["v1"], 0);
    observe(&mut streams, &["v1", "v2"], 20);
    observe(&mut streams, &["v2"], 30);
    let later_ms = 30 + STREAM_LIFETIME_MS;
    let unknown = Origin::AskStore { otherwise: None };
    assert_eq!(streams.origin(Some("s1"), SERVICE, later_ms - 1), unknown);
    assert_eq!(streams.origin(Some("s1"), SERVICE, later_ms), Origin::Any);
}

#[test]
fn instance_that_started_among_two_softwares_knows_nothing_by_itself() {
    let mut streams = Streams::default();
    let unknown = Origin::AskStore { otherwise: None };
    assert_eq!(streams.origin(Some("s1"), SERVICE, 0), unknown);
    observe(&mut streams, &["v1", "v2"], 20);
    assert_eq!(streams.origin(Some("s1"), SERVICE, 30), unknown);
    observe(&mut streams, &["v2"], 40);
    assert_eq!(streams.origin(Some("s1"), SERVICE, 50), unknown);
}

#[test]
fn old_streams_are_forgotten() {
    let mut streams = Streams::default();
    observe(&mut streams, &["v1", "v2"], 0);
    began(&mut streams, "s1", "v1", 10);
    began(&mut streams, "s2", "v1", 11 + STREAM_LIFETIME_MS);
    assert_eq!(streams.streams.len(), 1);
    assert!(matches!(
        streams.origin(Some("s1"), SERVICE, 20),
        Origin::AskStore { .. }
    ));
}
