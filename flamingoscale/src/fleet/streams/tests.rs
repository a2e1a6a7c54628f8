//! Tests that instances are told of the streams that others may have to resume.

use super::*;

const SERVICE: &str = "drafting";

fn began(streams: &mut Streams, id: &str, software: &str, now_ms: u64) {
    streams.began(&id.into(), &SERVICE.into(), &software.into(), now_ms);
}

#[test]
fn streams_are_announced_once_there_are_several_versions() {
    let mut streams = Streams::default();
    began(&mut streams, "s1", "v1", 10);
    assert!(streams.due_announcements(&|_| false).is_empty());
    assert_eq!(streams.unannounced_services().len(), 1);
    began(&mut streams, "s2", "v2", 30);
    let mut due = streams.due_announcements(&|service| service == SERVICE);
    due.sort();
    assert_eq!(
        due,
        [("s1".into(), "v1".into()), ("s2".into(), "v2".into())]
    );
    assert!(streams.due_announcements(&|_| true).is_empty());
    assert!(streams.unannounced_services().is_empty());
    assert_eq!(streams.software("s2"), Some("v2".into()));
}

#[test]
fn old_streams_are_forgotten() {
    let mut streams = Streams::default();
    began(&mut streams, "s1", "v1", 10);
    began(&mut streams, "s2", "v1", 11 + STREAM_LIFETIME_MS);
    assert_eq!(streams.streams.len(), 1);
    assert_eq!(streams.software("s1"), None);
}
