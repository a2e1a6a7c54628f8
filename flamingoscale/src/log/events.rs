//! Time-line events for folded records.

use std::fmt::Display;

use crate::{
    record::{
        Envelope,
        Record, //
    },
    state::Rejection,
    timeline::Timeline, //
};

/// Records a folded record on the time line. Usage counts and snapshot chunks are left out, because
/// they are frequent and each changes little.
pub(crate) fn record(
    timeline: &Timeline,
    offset: u64,
    envelope: &Envelope,
    result: Result<(), Rejection>,
) {
    let Some((kind, subject)) = describe(&envelope.record) else {
        return;
    };
    let fields: [(&str, &dyn Display); 3] = [
        ("offset", &offset),
        ("writer", &envelope.writer),
        ("subject", &subject),
    ];
    match result {
        Ok(()) => timeline.record(kind, "", &fields),
        Err(Rejection::Repeated) => {}
        Err(reason) => {
            let [offset, writer, subject] = fields;
            let kind = format!("{kind}_dropped");
            timeline.record(&kind, "", &[offset, writer, subject, ("reason", &reason)]);
        }
    }
}

fn describe(record: &Record) -> Option<(&'static str, String)> {
    let described = match record {
        Record::Configuration { base_revision, .. } => {
            ("configuration.in_force", base_revision.to_string())
        }
        Record::KeyGranted { key_id, .. } => ("key.granted", key_id.to_string()),
        Record::KeyWithdrawn { key_id } => ("key.withdrawn", key_id.to_string()),
        Record::LeaseClaim {
            lease, replaces, ..
        } => ("lease.claim", format!("{lease} after {replaces}")),
        Record::LeaseRelease { lease, .. } => ("lease.release", lease.to_string()),
        Record::OrderIntent { region, .. } => ("orders.intent", region.to_string()),
        Record::OrderOutcome { order, .. } => ("orders.outcome", order.to_string()),
        Record::VersionPublished {
            trainer, version, ..
        } => ("weights.published", format!("{trainer} {version}")),
        Record::WindowClosed { region, window, .. } => {
            ("usage.closed", format!("{region} {window}"))
        }
        Record::WindowReported { region, window } => {
            ("usage.reported", format!("{region} {window}"))
        }
        Record::Endpoints {
            changed, removed, ..
        } => (
            "endpoints.changed",
            format!("{} changed, {} gone", changed.len(), removed.len()),
        ),
        Record::UsageCounts { .. } | Record::SnapshotChunk { .. } => return None,
    };
    Some(described)
}
