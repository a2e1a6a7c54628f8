//! What the records of the log add up to.
//!
//! The fold is a pure function of the records in order. A change names the entry that it
//! replaces and is dropped when that entry is no longer in force, so races and repeated appends
//! are harmless. See `docs/design/state.md`.

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

/// Why a submitted record is not in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SubmitError {
    /// The fold dropped it: what it replaces is no longer in force.
    #[display("refused ({reason}): read the current state and submit against that")]
    Refused {
        /// Which rule dropped it.
        reason: Rejection,
    },
    /// The log can't be reached; the record was not appended.
    #[display("the log is away: nothing was changed; try again when it is back")]
    LogUnavailable,
    /// The record may be appended; its fate was not seen in time.
    #[display("not confirmed in time: read the current state before trying again")]
    Unknown,
}

/// The rule by which the fold drops a record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Rejection {
    /// The same submission was folded before.
    #[display("a repeated append")]
    Repeated,
    /// What it replaces is not in force any more.
    #[display("a newer entry is in force")]
    Stale,
    /// It names something that is not there.
    #[display("it names something unknown")]
    Unknown,
    /// It needs a lease that its writer does not hold.
    #[display("its writer does not hold the lease")]
    NotHolder,
    /// Entries are numbered by their offset, and 0 stands for none.
    #[display("the log's first offset can't number an entry: submit it again")]
    Reserved,
    /// It is too large for the log.
    #[display("too large for one record: shorten it")]
    TooLarge,
}

/// The region that stands for all of them: orders and usage reports have one holder each, so that
/// no change of the questionnaire can ever put two in charge of the same matter.
pub const ALL_REGIONS: &str = "everywhere";

/// The lease for endpoint orders of a region.
pub fn orders_lease(region: &str) -> Arc<str> {
    format!("orders/{region}").into()
}

/// The lease for usage reports of a region.
pub fn usage_lease(region: &str) -> Arc<str> {
    format!("usage/{region}").into()
}

/// A lease as the log knows it. Whether it has run out is for each instance's own clock to say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseEntry {
    /// Who claimed it.
    pub holder: Arc<str>,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The offset of the first claim of this term: the fencing number.
    pub fencing: u64,
    /// The offset of the last claim or renewal.
    pub claim: u64,
    /// How long it lasts from the last claim.
    pub lease_ms: u64,
    /// True once the holder gave it back.
    pub released: bool,
}

/// An order whose outcome is not yet in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenOrder {
    /// The region.
    pub region: Arc<str>,
    /// The claim under which it was given.
    pub claim: u64,
    /// What to do.
    pub action: PlatformAction,
}

/// A closed usage window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// The figures that it is reported with.
    pub figures: Figures,
    /// Whether the platform took the report.
    pub reported: bool,
}

/// Usage of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionUsage {
    /// The number that the next window gets.
    pub next_window: u64,
    /// Closed windows that the platform has not yet taken, and the last one that it has.
    pub windows: BTreeMap<u64, ClosedWindow>,
}

/// The state after the records before [`State::folded`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// All records before this offset are folded.
    pub folded: u64,
    /// The offset of the configuration in force; 0 for none.
    pub revision: u64,
    /// The questionnaire's text in force.
    pub text: Arc<str>,
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// All keys.
    pub keys: Arc<KeyTable>,
    /// All endpoints.
    pub endpoints: Arc<EndpointTable>,
    /// All leases by name.
    pub leases: BTreeMap<Arc<str>, LeaseEntry>,
    /// Orders without an outcome, by number.
    pub open_orders: BTreeMap<u64, OpenOrder>,
    /// Newest weights by trainer.
    pub versions: Arc<BTreeMap<Arc<str>, NewestVersion>>,
    /// Counts that no window covers yet.
    pub pending_usage: Figures,
    /// The last counts record of each incarnation.
    pub usage_sequences: Sequences,
    /// Windows by region.
    pub usage: BTreeMap<Arc<str>, RegionUsage>,
    /// The last serial folded of each writer's incarnation.
    pub serials: Sequences,
    /// Configurations that were accepted, the one in force included.
    pub history: Arc<History>,
}

impl State {
    /// Folds the record at `offset`, which must be [`State::folded`].
    ///
    /// # Errors
    ///
    /// The [`Rejection`] when the record has no effect; the state has moved past it all the same.
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
                gone,
            } => self.change_endpoints(*claim, envelope, changed, gone),
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

    /// Moves past a record that can't be read.
    pub fn skip(&mut self, offset: u64) {
        self.folded = offset + 1;
    }

    /// Drops a submission that was folded before. A writer appends a serial only after, or in one
    /// call with, all lower ones that it has not given up, so no other record is dropped.
    fn check_serial(&mut self, offset: u64, envelope: &Envelope) -> Result<(), Rejection> {
        let (writer, serial) = (&envelope.writer, envelope.serial);
        let is_new = self
            .serials
            .advance(writer, envelope.incarnation, serial, offset);
        is_new.then_some(()).ok_or(Rejection::Repeated)
    }

    /// Who claimed each lease last, without those that were given back.
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

    /// Whether the writer holds this lease under the term or renewal `claim`.
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
        gone: &[Arc<str>],
    ) -> Result<(), Rejection> {
        self.check_holder(&orders_lease(ALL_REGIONS), claim, envelope)?;
        let table = Arc::make_mut(&mut self.endpoints);
        for endpoint in changed {
            table.upsert(endpoint);
        }
        for endpoint in gone {
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

    /// An outcome of a holder that lost the lease is dropped: its successor goes on with the order.
    fn close_order(
        &mut self,
        claim: u64,
        envelope: &Envelope,
        order: u64,
    ) -> Result<(), Rejection> {
        let open = self.open_orders.get(&order).ok_or(Rejection::Unknown)?;
        self.check_holder(&orders_lease(&open.region), claim, envelope)?;
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
        // Figures that are no longer pending are in another window already.
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

/// What is pending without the figures of a window; none if they are not all pending.
fn subtract(pending: &Figures, window: &Figures) -> Option<Figures> {
    let mut remaining = pending.clone();
    for (organisation, figures) in window {
        let left = remaining.get_mut(organisation)?;
        left.requests = left.requests.checked_sub(figures.requests)?;
        left.tokens = left.tokens.checked_sub(figures.tokens)?;
    }
    remaining.retain(|_, left| left.requests > 0 || left.tokens > 0);
    Some(remaining)
}
