//! What is known of the cold period of an endpoint, and whether the endpoint counts as cold.
//!
//! A cold endpoint crashes at a rate well above the one that it sustains, so whatever is not known
//! counts as cold. The list, the endpoint's responses, broken connections and evacuations that ended
//! are evidence; a record of the list may be older than the other evidence and then ends no cold
//! period. All times are in milliseconds of the steady wall clock. See `docs/design/warming.md`.

use super::configuration::ColdStart;

/// Length of the window in which the requests to a cold endpoint are bounded.
pub(crate) const WINDOW_MS: u64 = 1_000;

/// A record of the list may say what was true this long before it was read: it is up to 0.8 s old,
/// and the list is read every 0.4 s.
const MAX_RECORD_AGE_MS: u64 = 1_200;

/// A remaining time above this multiple of the service's cold period is malformed.
const MAX_PERIODS: u64 = 10;

/// What a record or a response says of the time for which an endpoint stays cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdReport {
    /// Nothing.
    #[default]
    NotStated,
    /// The endpoint stays cold for this many milliseconds; 0 if it is warm.
    LeftMs(u64),
    /// Something that is not a time.
    Malformed,
}

impl ColdReport {
    /// Returns the report of a number of milliseconds.
    pub fn of_ms(left_ms: f64) -> Self {
        match left_ms.is_finite() && left_ms >= 0.0 {
            true => Self::LeftMs(left_ms.ceil() as u64),
            false => Self::Malformed,
        }
    }

    /// Parses the text of a header.
    pub fn parse(text: &str) -> Self {
        text.trim().parse().map_or(Self::Malformed, Self::of_ms)
    }

    /// Returns this report, or [`Self::Malformed`] if the time exceeds all plausible ones.
    fn checked(self, cold_start: &ColdStart) -> Self {
        let max_ms = cold_start.duration_ms.saturating_mul(MAX_PERIODS);
        match self {
            Self::LeftMs(left_ms) if left_ms > max_ms => Self::Malformed,
            report => report,
        }
    }
}

/// How it is known that an endpoint is cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The time left in the endpoint's record.
    List,
    /// The start time in the endpoint's record.
    StartTime,
    /// A response of the endpoint.
    Response,
    /// A connection failed: the endpoint may have restarted.
    FailedConnection,
    /// The evacuation of the endpoint's failure domain has ended.
    DomainReturned,
}

/// A change that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint is cold. `left_ms` is `None` if the period ends some time after the endpoint's
    /// next response.
    Cold {
        /// Time left.
        left_ms: Option<u64>,
        /// How it is known.
        evidence: Evidence,
    },
    /// The endpoint is warm.
    Warm {
        /// How it is known.
        evidence: Evidence,
    },
    /// A stated time is ignored because it is malformed. Reported once for each endpoint.
    Malformed,
}

/// What the evidence says of the current start of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Belief {
    /// Nothing has been evaluated.
    #[default]
    Unknown,
    /// The cold period ends at this time.
    Until { end_ms: u64, evidence: Evidence },
    /// The cold period began at this time.
    Since { start_ms: u64, evidence: Evidence },
    /// A connection failed, and the endpoint has not answered since.
    Unanswered,
}

/// A report and the time to which it belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Dated {
    report: ColdReport,
    at_ms: u64,
}

/// What is known of the cold period of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Warming {
    belief: Belief,
    /// Records that were read before this time may be older than what the belief rests on.
    records_hold_from_ms: u64,
    /// What the newest record says, with the time when the read was sent; `None` once evaluated.
    listed: Option<Dated>,
    /// What the newest response says; `None` once evaluated.
    stated: Option<Dated>,
    /// Whether the endpoint was cold at the last evaluation; `None` before the first one.
    cold: Option<bool>,
    /// Whether requests were sent without a permit for a cold endpoint.
    sent_without_permit: bool,
    /// Whether a malformed time has been reported.
    malformed: bool,
}

impl Warming {
    /// Returns what is known of an endpoint that has started again under the same id.
    pub(crate) fn of_next_start(&self) -> Self {
        Self {
            sent_without_permit: self.may_have_been_unlimited(),
            malformed: self.malformed,
            ..Self::default()
        }
    }

    /// Records what a record of the list says. `read_ms` is when the read was sent.
    pub(crate) fn listed(&mut self, report: ColdReport, read_ms: u64) {
        let at_ms = read_ms;
        self.listed = Some(Dated { report, at_ms });
    }

    /// Records what a response says.
    pub(crate) fn stated(&mut self, report: ColdReport, wall_ms: u64) {
        if report != ColdReport::NotStated {
            let at_ms = wall_ms;
            self.stated = Some(Dated { report, at_ms });
        }
    }

    /// Records a connection that was refused, reset or broken. The endpoint counts as cold until it
    /// has answered, and for the cold period after that.
    pub(crate) fn connection_failed(&mut self) {
        self.belief = Belief::Unanswered;
        self.stated = None;
    }

    /// Records a response of the endpoint.
    pub(crate) fn answered(&mut self, wall_ms: u64) {
        if self.belief == Belief::Unanswered {
            self.began(wall_ms, Evidence::FailedConnection);
        }
    }

    /// Records that the evacuation of the endpoint's failure domain has ended.
    pub(crate) fn domain_returned(&mut self, wall_ms: u64) {
        if self.belief != Belief::Unanswered {
            self.began(wall_ms, Evidence::DomainReturned);
        }
    }

    /// Records that a request was sent without a permit for a cold endpoint.
    pub(crate) fn sent_without_permit(&mut self) {
        self.sent_without_permit = true;
    }

    /// Returns whether this instance, or another one, may have sent any number of requests in the last
    /// second.
    pub(crate) fn may_have_been_unlimited(&self) -> bool {
        self.cold == Some(false) || (self.cold.is_none() && self.sent_without_permit)
    }

    /// Returns whether the endpoint was cold at the last evaluation.
    pub fn is_cold(&self) -> bool {
        self.cold == Some(true)
    }

    /// Works out whether the endpoint is cold now. `started_unix_ms` is its start time, 0 if unknown.
    /// Returns what has changed.
    pub(crate) fn evaluate(
        &mut self,
        cold_start: &ColdStart,
        started_unix_ms: u64,
        wall_ms: u64,
    ) -> Option<Change> {
        let listed = self.listed.take();
        let stated = self.stated.take();
        let mut is_malformed = false;
        if let Some(listed) = listed {
            let report = listed.report.checked(cold_start);
            is_malformed |= report == ColdReport::Malformed;
            if let ColdReport::LeftMs(left_ms) = report {
                self.apply_record(cold_start, left_ms, listed.at_ms, wall_ms);
            }
        }
        if self.belief == Belief::Unknown {
            let start_ms = match started_unix_ms {
                0 => wall_ms,
                started_ms => started_ms.min(wall_ms),
            };
            let evidence = Evidence::StartTime;
            self.belief = Belief::Since { start_ms, evidence };
        }
        if let Some(stated) = stated {
            let report = stated.report.checked(cold_start);
            is_malformed |= report == ColdReport::Malformed;
            if let ColdReport::LeftMs(left_ms) = report {
                let (end_ms, evidence) = (stated.at_ms + left_ms, Evidence::Response);
                self.belief = Belief::Until { end_ms, evidence };
                self.records_hold_from_ms = stated.at_ms + MAX_RECORD_AGE_MS;
            }
        }
        let changed = self.change(cold_start, wall_ms);
        let is_new = is_malformed && !std::mem::replace(&mut self.malformed, is_malformed);
        changed.or(is_new.then_some(Change::Malformed))
    }

    fn began(&mut self, start_ms: u64, evidence: Evidence) {
        self.belief = Belief::Since { start_ms, evidence };
        self.records_hold_from_ms = start_ms + MAX_RECORD_AGE_MS;
        self.stated = None;
    }

    /// Applies the time left in a record, which counts from now on. A record that may be older than
    /// other evidence only lengthens the cold period, and changes nothing after a response said how
    /// long it lasts.
    fn apply_record(&mut self, cold_start: &ColdStart, left_ms: u64, read_ms: u64, wall_ms: u64) {
        if self.belief == Belief::Unanswered {
            return;
        }
        let end_ms = match left_ms {
            0 => 0,
            left_ms => wall_ms + left_ms,
        };
        let is_newer = read_ms >= self.records_hold_from_ms;
        let is_stated = matches!(
            self.belief,
            Belief::Until {
                evidence: Evidence::Response,
                ..
            }
        );
        if is_newer || (!is_stated && self.end_ms(cold_start) < Some(end_ms)) {
            let evidence = Evidence::List;
            self.belief = Belief::Until { end_ms, evidence };
        }
    }

    /// Returns when the cold period ends; `None` if that is not known.
    fn end_ms(&self, cold_start: &ColdStart) -> Option<u64> {
        match self.belief {
            Belief::Unknown => Some(0),
            Belief::Until { end_ms, .. } => Some(end_ms),
            Belief::Since { start_ms, .. } => Some(start_ms + cold_start.duration_ms),
            Belief::Unanswered => None,
        }
    }

    /// Returns whether the endpoint has become cold or warm, and remembers it. An endpoint that was
    /// warm when it was found has not changed.
    fn change(&mut self, cold_start: &ColdStart, wall_ms: u64) -> Option<Change> {
        let end_ms = self.end_ms(cold_start);
        let is_cold = end_ms.is_none_or(|end_ms| end_ms > wall_ms);
        let was_cold = self.cold.replace(is_cold).unwrap_or(false);
        let evidence = match self.belief {
            Belief::Until { evidence, .. } | Belief::Since { evidence, .. } => evidence,
            Belief::Unknown | Belief::Unanswered => Evidence::FailedConnection,
        };
        match (was_cold, is_cold) {
            (false, true) => Some(Change::Cold {
                left_ms: end_ms.map(|end_ms| end_ms - wall_ms),
                evidence,
            }),
            (true, false) => Some(Change::Warm { evidence }),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
