//! Tests that the directory names no instance that has long gone, whatever its heartbeats were read in.

use super::*;
use crate::fleet::{
    fixtures::heartbeat,
    record::Record, //
};

/// Time after which an instance that was killed must not be named, `contact_ms` and 3 s.
const GONE_MS: u64 = 7_000;

/// Timeout of a heartbeat, as the platform's crate sets it.
const HEARTBEAT_TIMEOUT_MS: u64 = 2_600;

/// A reader of the heartbeats of one cell.
#[derive(Default)]
struct Reader {
    ledger: Ledger,
    reads: HeartbeatReads,
    last_read_ms: u64,
}

impl Reader {
    /// Reads a page to the end of the topic, with heartbeats of these instances.
    fn read(&mut self, is_newest: bool, instances: &[&str], sent_ms: u64) {
        let written_ms = self.reads.written_ms(is_newest, sent_ms);
        for instance in instances {
            let Record::Heartbeat(heartbeat) = heartbeat(instance, 1) else {
                unreachable!()
            };
            self.ledger
                .apply_cell_heartbeat(heartbeat, written_ms, sent_ms);
        }
        self.reads.page_read(true, sent_ms);
        self.last_read_ms = sent_ms;
    }

    fn named(&self) -> Vec<&str> {
        let timeout_ms = HEARTBEAT_TIMEOUT_MS;
        let named = reachable_instances(&self.ledger, "self", self.last_read_ms, timeout_ms);
        named.map(|heartbeat| &*heartbeat.instance).collect()
    }
}

/// Guards against instances that the newest records of a cell still hold, long after they were killed:
/// a reader that starts, or whose cell has changed, names only those that it has seen beat.
#[test]
fn newest_records_do_not_make_an_instance_alive() {
    let mut reader = Reader::default();
    reader.read(true, &["gone", "live", "self"], 100_000);
    assert!(reader.named().is_empty());
    reader.read(false, &["live", "self"], 101_000);
    assert_eq!(reader.named(), ["live"]);
    // The instance is in another cell now, whose newest records hold a heartbeat of long ago.
    reader.reads = HeartbeatReads::default();
    reader.read(true, &["gone", "elsewhere"], 102_000);
    assert_eq!(reader.named(), ["live"]);
    reader.read(false, &["elsewhere"], 104_000);
    assert_eq!(reader.named(), ["elsewhere"]);
}

/// Guards against a reader that was cut off and takes the backlog for news: one instance was killed
/// meanwhile, another lives. While the reader is cut off, the last known instances stay.
#[test]
fn backlog_of_a_reader_that_was_cut_off_is_old() {
    let mut reader = Reader::default();
    reader.read(true, &[], 99_000);
    reader.read(false, &["killed", "live"], 100_000);
    assert_eq!(reader.named(), ["killed", "live"]);
    // The backlog holds heartbeats from 100,000 to 108,000 ms.
    reader.read(false, &["killed", "live"], 120_000);
    assert!(reader.named().is_empty());
    reader.read(false, &["live"], 121_000);
    assert_eq!(reader.named(), ["live"]);
}

/// Guards against an instance that is named too long or dropped too early for any pace of the reads of
/// a reader that is in contact: within 3 s.
#[test]
fn killed_instance_is_named_for_a_bounded_time() {
    for interval_ms in [100, 400, 1_000, 1_400, 1_900, 2_500, 3_000] {
        let mut reader = Reader::default();
        reader.read(true, &[], 10_000);
        let killed_ms = 30_000;
        let mut now_ms = 10_000;
        let mut last_named_ms = now_ms;
        while now_ms < killed_ms + 2 * GONE_MS {
            let read_ms = now_ms;
            now_ms += interval_ms;
            // The last heartbeat was written just before the instance was killed.
            let beats: &[&str] = if read_ms < killed_ms {
                &["killed"]
            } else {
                &[]
            };
            reader.read(false, beats, now_ms);
            if reader.named() == ["killed"] {
                last_named_ms = now_ms + interval_ms;
            } else {
                assert!(now_ms > killed_ms, "dropped at {now_ms}, {interval_ms}");
            }
        }
        assert!(last_named_ms < killed_ms + GONE_MS, "{interval_ms}");
    }
}

/// Guards against an instance that shuts down and is named again, because a heartbeat from before it
/// did is read later.
#[test]
fn instance_that_leaves_is_not_named_again() {
    let mut reader = Reader::default();
    reader.read(true, &[], 99_000);
    reader.read(false, &["leaving"], 100_000);
    let Record::Heartbeat(mut last) = heartbeat("leaving", 1) else {
        unreachable!()
    };
    last.leaving = true;
    reader.ledger.apply_heartbeat(last, 100_100);
    reader.read(false, &["leaving"], 100_400);
    assert!(reader.named().is_empty());
}
