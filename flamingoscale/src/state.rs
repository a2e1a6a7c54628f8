//! The state folded from the records of the log.
//!
//! The fold is a pure function of the records in their order. A change names the entry that it
//! replaces and is rejected if that entry is no longer in force, so racing writers and repeated
//! appends are harmless. See `docs/design/state.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    configuration::Configuration,
    keys::{
        KeyEntry,
        KeyTable, //
    },
    record::{
        Envelope,
        Record, //
    },
    usage::Figures,
    view::{
        EndpointTable,
        NewestVersion, //
    },
    wire::{
        PlatformAction,
        PlatformEndpoint, //
    }, //
};

mod endpoints;
mod history;
#[cfg(test)]
mod properties;
mod sequences;
pub(crate) mod snapshot;

pub use history::{
    History,
    Revision, //
};
pub use sequences::Sequences;

/// Why a submitted record did not take effect, or why it is not known whether the record took
/// effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SubmitError {
    /// The fold rejected the record.
    #[display("refused ({reason}): read the current state and submit against that")]
    Refused {
        /// The rule that rejected the record.
        reason: Rejection,
    },
    /// The log is unreachable and the record was not appended.
    #[display("the log is away: nothing was changed; try again when it is back")]
    LogUnavailable,
    /// The outcome was not seen in time; the record may or may not have been appended.
    #[display("not confirmed in time: read the current state before trying again")]
    Unknown,
}

/// The rule by which the fold rejects a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Rejection {
    /// The same submission has already been folded.
    #[display("a repeated append")]
    Repeated,
    /// The entry that the record replaces is no longer in force.
    #[display("a newer entry is in force")]
    Stale,
    /// The record refers to a key, order, region or window that does not exist.
    #[display("it names something unknown")]
    Unknown,
    /// The record requires a lease that its writer does not hold.
    #[display("its writer does not hold the lease")]
    NotHolder,
    /// The record would create a numbered entry at offset 0. Entries are numbered by their
    /// offset, and 0 stands for none.
    #[display("the log's first offset can't number an entry: submit it again")]
    Reserved,
    /// The record exceeds the log's size limit.
    #[display("too large for one record: shorten it")]
    TooLarge,
}

/// The region name that stands for all regions. One lease for all regions covers the orders and
/// another the usage reports, so that no change of the questionnaire, which is the text of the
/// configuration, can put two instances in charge of the same work.
pub const ALL_REGIONS: &str = "everywhere";

/// Returns the name of the lease for endpoint orders of a region.
pub fn orders_lease(region: &str) -> Arc<str> {
    format!("orders/{region}").into()
}

/// Returns the name of the lease for usage reports of a region.
pub fn usage_lease(region: &str) -> Arc<str> {
    format!("usage/{region}").into()
}

/// A lease as recorded in the log. Each instance decides by its own clock whether the lease
/// has expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// The instance that made the last claim.
    pub holder: Arc<str>,
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// Offset of the first claim of the current term, which is the fencing number.
    pub fencing: u64,
    /// Offset of the last claim or renewal.
    pub claim: u64,
    /// Duration of the lease from the last claim, in milliseconds.
    pub lease_ms: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// An order whose outcome is not yet in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenOrder {
    /// The region that the order belongs to.
    pub region: Arc<str>,
    /// Offset of the claim under which the order was given.
    pub claim: u64,
    /// The ordered action.
    pub action: PlatformAction,
}

/// A closed usage window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// The figures to report.
    pub figures: Figures,
    /// Whether the platform has accepted the report.
    pub reported: bool,
}

/// The usage windows of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionUsage {
    /// The number of the next window to be closed.
    pub next_window: u64,
    /// Closed windows by number: those that the platform has not accepted yet, and the last
    /// accepted one.
    pub windows: BTreeMap<u64, ClosedWindow>,
}

/// The state after all records before [`State::folded`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to fold; all records before it are included.
    pub folded: u64,
    /// Offset of the configuration in force; 0 for none.
    pub revision: u64,
    /// The questionnaire in force, which is the text of the configuration.
    pub text: Arc<str>,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// All API keys, including withdrawn ones.
    pub keys: Arc<KeyTable>,
    /// All endpoints, as the holder of the orders lease last recorded them.
    pub endpoints: Arc<EndpointTable>,
    /// All leases by name.
    pub leases: BTreeMap<Arc<str>, LeaseEntry>,
    /// Orders without an outcome, by order number.
    pub open_orders: BTreeMap<u64, OpenOrder>,
    /// Newest weights by trainer.
    pub versions: Arc<BTreeMap<Arc<str>, NewestVersion>>,
    /// Usage that no window has been closed for yet.
    pub pending_usage: Figures,
    /// Sequence number of the last usage batch of each incarnation.
    pub usage_sequences: Sequences,
    /// Usage windows by region.
    pub usage: BTreeMap<Arc<str>, RegionUsage>,
    /// Serial of the last record folded from each writer's incarnation.
    pub serials: Sequences,
    /// The most recent accepted configurations, including the one in force.
    pub history: Arc<History>,
}

impl State {
    /// Folds the record at `offset`, which must be [`State::folded`].
    ///
    /// # Errors
    ///
    /// Returns the [`Rejection`] if the record has no effect. The state still advances past it.
    pub fn fold(&mut self, offset: u64, envelope: &Envelope) -> Result<(), Rejection> {
        self.skip(offset);
        self.check_serial(offset, envelope)?;
        if offset == 0 && envelope.record.is_numbered() {
            return Err(Rejection::Reserved);
        }
        match &envelope.record {
            Record::Configuration {
                base_revision,
                text,
                configuration,
            } => self.configure(offset, envelope, *base_revision, text, configuration),
            Record::KeyGranted {
                key_id,
                digest,
                organisation,
            } => self.grant_key(key_id, digest, organisation),
            Record::KeyWithdrawn { key_id } => self.withdraw_key(key_id),
            Record::LeaseClaim {
                lease,
                replaces,
                lease_ms,
            } => self.claim_lease(offset, envelope, lease, *replaces, *lease_ms),
            Record::LeaseRelease { lease, claim } => self.release_lease(lease, *claim),
            Record::Endpoints {
                claim,
                changed,
                removed,
            } => self.change_endpoints(*claim, envelope, changed, removed),
            Record::OrderIntent {
                claim,
                region,
                action,
            } => self.open_order(offset, *claim, envelope, region, action),
            Record::OrderOutcome { claim, order, .. } => self.close_order(*claim, envelope, *order),
            Record::VersionPublished {
                trainer,
                version,
                bytes,
            } => self.publish_version(offset, trainer, *version, *bytes),
            Record::UsageCounts {
                sequence,
                of_instance,
                of_incarnation,
                figures,
            } => self.count_usage(*sequence, of_instance, *of_incarnation, figures),
            Record::WindowClosed {
                claim,
                region,
                window,
                figures,
                covers,
            } => self.close_window(*claim, envelope, region, *window, *covers, figures),
            Record::WindowReported { region, window } => self.mark_reported(region, *window),
            Record::SnapshotChunk { .. } => Ok(()),
        }
    }

    /// Advances past a record that can't be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.folded = offset + 1;
    }

    /// Rejects a submission that was folded before. A writer appends a serial only after, or in the
    /// same call as, all lower serials that it has not abandoned, so only repeated submissions are
    /// rejected here.
    fn check_serial(&mut self, offset: u64, envelope: &Envelope) -> Result<(), Rejection> {
        let (writer, serial) = (&envelope.writer, envelope.serial);
        let is_new = self
            .serials
            .advance(writer, envelope.incarnation, serial, offset);
        is_new.then_some(()).ok_or(Rejection::Repeated)
    }

    /// Returns the last claimant of each lease that has not been released.
    pub fn holders(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let leases = self.leases.iter();
        leases
            .filter(|(_, entry)| !entry.released)
            .map(|(lease, entry)| (lease.clone(), entry.holder.clone()))
            .collect()
    }

    fn configure(
        &mut self,
        offset: u64,
        envelope: &Envelope,
        base_revision: u64,
        text: &Arc<str>,
        configuration: &Arc<Configuration>,
    ) -> Result<(), Rejection> {
        if base_revision != self.revision {
            return Err(Rejection::Stale);
        }
        Arc::make_mut(&mut self.history).push(Revision {
            revision: offset,
            writer: envelope.writer.clone(),
            text: text.clone(),
        });
        self.revision = offset;
        self.text = text.clone();
        self.configuration = configuration.clone();
        Ok(())
    }

    fn grant_key(
        &mut self,
        key_id: &Arc<str>,
        digest: &[u8; 32],
        organisation: &Arc<str>,
    ) -> Result<(), Rejection> {
        let entry = KeyEntry {
            key_id: key_id.clone(),
            digest: *digest,
            organisation: organisation.clone(),
            withdrawn: false,
        };
        Arc::make_mut(&mut self.keys).grant(entry);
        Ok(())
    }

    fn withdraw_key(&mut self, key_id: &str) -> Result<(), Rejection> {
        if !self.keys.is_in_force(key_id) {
            return Err(Rejection::Unknown);
        }
        Arc::make_mut(&mut self.keys).withdraw(key_id);
        Ok(())
    }

    fn claim_lease(
        &mut self,
        offset: u64,
        envelope: &Envelope,
        lease: &Arc<str>,
        replaces: u64,
        lease_ms: u64,
    ) -> Result<(), Rejection> {
        let current = self.leases.get(lease);
        if current.map_or(0, |entry| entry.claim) != replaces {
            return Err(Rejection::Stale);
        }
        let renewed = current.filter(|entry| !entry.released && entry.is_held_by(envelope));
        let fencing = renewed.map_or(offset, |entry| entry.fencing);
        let entry = LeaseEntry {
            holder: envelope.writer.clone(),
            incarnation: envelope.incarnation,
            fencing,
            claim: offset,
            lease_ms,
            released: false,
        };
        self.leases.insert(lease.clone(), entry);
        Ok(())
    }

    fn release_lease(&mut self, lease: &str, claim: u64) -> Result<(), Rejection> {
        match self.leases.get_mut(lease) {
            Some(entry) if entry.claim == claim => {
                entry.released = true;
                Ok(())
            }
            _ => Err(Rejection::Stale),
        }
    }

    /// Checks that the writer holds this lease in the term that the claim or renewal at offset
    /// `claim` belongs to.
    fn check_holder(&self, lease: &str, claim: u64, envelope: &Envelope) -> Result<(), Rejection> {
        let is_held = self.leases.get(lease).is_some_and(|entry| {
            let in_term = (entry.fencing..=entry.claim).contains(&claim);
            in_term && !entry.released && entry.is_held_by(envelope)
        });
        is_held.then_some(()).ok_or(Rejection::NotHolder)
    }

    fn change_endpoints(
        &mut self,
        claim: u64,
        envelope: &Envelope,
        changed: &[PlatformEndpoint],
        removed: &[Arc<str>],
    ) -> Result<(), Rejection> {
        self.check_holder(&orders_lease(ALL_REGIONS), claim, envelope)?;
        let table = Arc::make_mut(&mut self.endpoints);
        for endpoint in changed {
            table.upsert(endpoint);
        }
        for endpoint in removed {
            table.remove(endpoint);
        }
        Ok(())
    }

    fn open_order(
        &mut self,
        offset: u64,
        claim: u64,
        envelope: &Envelope,
        region: &Arc<str>,
        action: &PlatformAction,
    ) -> Result<(), Rejection> {
        self.check_holder(&orders_lease(region), claim, envelope)?;
        let order = OpenOrder {
            region: region.clone(),
            claim,
            action: action.clone(),
        };
        self.open_orders.insert(offset, order);
        Ok(())
    }

    /// Closes an order. The outcome of a holder that has lost the lease is rejected, because the
    /// next holder resumes the order.
    fn close_order(
        &mut self,
        claim: u64,
        envelope: &Envelope,
        order: u64,
    ) -> Result<(), Rejection> {
        let open_order = self.open_orders.get(&order).ok_or(Rejection::Unknown)?;
        self.check_holder(&orders_lease(&open_order.region), claim, envelope)?;
        self.open_orders.remove(&order);
        Ok(())
    }

    fn publish_version(
        &mut self,
        offset: u64,
        trainer: &Arc<str>,
        version: u64,
        bytes: u64,
    ) -> Result<(), Rejection> {
        let newest = self
            .versions
            .get(trainer)
            .map_or(0, |newest| newest.version);
        if version <= newest {
            return Err(Rejection::Stale);
        }
        let entry = NewestVersion {
            version,
            bytes,
            offset,
        };
        Arc::make_mut(&mut self.versions).insert(trainer.clone(), entry);
        Ok(())
    }

    fn count_usage(
        &mut self,
        sequence: u64,
        of_instance: &Arc<str>,
        of_incarnation: u64,
        figures: &Figures,
    ) -> Result<(), Rejection> {
        let offset = self.folded - 1;
        let is_new = self
            .usage_sequences
            .advance(of_instance, of_incarnation, sequence, offset);
        if !is_new {
            return Err(Rejection::Repeated);
        }
        for (organisation, counted) in figures {
            let pending = self.pending_usage.entry(organisation.clone()).or_default();
            pending.requests += counted.requests;
            pending.tokens += counted.tokens;
        }
        Ok(())
    }

    fn close_window(
        &mut self,
        claim: u64,
        envelope: &Envelope,
        region: &Arc<str>,
        window: u64,
        covers: u64,
        figures: &Figures,
    ) -> Result<(), Rejection> {
        self.check_holder(&usage_lease(region), claim, envelope)?;
        let usage = self.usage.entry(region.clone()).or_default();
        if usage.next_window != window || covers > self.folded {
            return Err(Rejection::Stale);
        }
        // Figures that are no longer pending are already part of another window.
        let pending = subtract(&self.pending_usage, figures).ok_or(Rejection::Stale)?;
        self.pending_usage = pending;
        usage.next_window += 1;
        usage.windows.retain(|_, closed| !closed.reported);
        let closed = ClosedWindow {
            figures: figures.clone(),
            reported: false,
        };
        usage.windows.insert(window, closed);
        Ok(())
    }

    fn mark_reported(&mut self, region: &str, window: u64) -> Result<(), Rejection> {
        let usage = self.usage.get_mut(region).ok_or(Rejection::Unknown)?;
        let closed = usage.windows.get_mut(&window).ok_or(Rejection::Unknown)?;
        closed.reported = true;
        Ok(())
    }
}

impl LeaseEntry {
    fn is_held_by(&self, envelope: &Envelope) -> bool {
        self.holder == envelope.writer && self.incarnation == envelope.incarnation
    }
}

/// Subtracts a window's figures from the pending ones. Returns `None` if they are not all pending.
fn subtract(pending: &Figures, window: &Figures) -> Option<Figures> {
    let mut remaining = pending.clone();
    for (organisation, figures) in window {
        let unclosed = remaining.get_mut(organisation)?;
        unclosed.requests = unclosed.requests.checked_sub(figures.requests)?;
        unclosed.tokens = unclosed.tokens.checked_sub(figures.tokens)?;
    }
    remaining.retain(|_, unclosed| unclosed.requests > 0 || unclosed.tokens > 0);
    Some(remaining)
}
