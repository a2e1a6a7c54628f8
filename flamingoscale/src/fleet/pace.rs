//! What the load report of an endpoint is worth: how long work takes there now and soon.
//!
//! Some endpoints share their machine with others and report how long work takes at this moment. The
//! figure changes many times a second, so a report counts by its age, and the mean of many reports says
//! what to expect otherwise. See `docs/design/pace.md`.

/// Largest plausible figure of a report.
const MAX_FIGURE: f64 = 100_000.0;

/// Figure for how long work takes that means "as usual".
const USUAL_PERCENT: f64 = 100.0;

/// Time after which a report says nothing about the present: slowdowns were observed to last some
/// 0.6 s.
const MAX_AGE_MS: u64 = 600;

/// Time constant of a report's worth. After half a second, 8% of it is left.
const DECAY_MS: f64 = 200.0;

/// Time constant of the mean over the reports, in which there are several slowdowns.
const MEAN_MS: f64 = 10_000.0;

/// A machine on which work takes longer than usual by more than this factor is slow.
const SLOW_FACTOR: f64 = 1.5;

/// A load report: numbers separated by commas, of which the first two are always there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// How long work takes at this moment, relative to the usual time; `None` if this is not
    /// reported.
    pub work_factor: Option<f64>,
    /// Whether a part of the report was ignored.
    pub partly_ignored: bool,
}

impl LoadReport {
    /// Parses the value of the header; `None` if it has no plausible number of requests.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(str::trim);
        let mut count = || parts.next()?.parse::<u32>().ok().filter(is_plausible);
        let (running, waiting) = (count()?, count()?);
        let slots = parts.next().map(|part| part.parse::<u32>().ok());
        let work = parts.next().map(|part| part.parse::<f64>().ok());
        let is_positive = |percent: &f64| *percent > 0.0 && *percent <= MAX_FIGURE;
        let work_percent = work.flatten().filter(is_positive);
        let slots = slots.map(|slots| slots.filter(|slots| *slots > 0 && is_plausible(slots)));
        Some(Self {
            running,
            waiting,
            work_factor: work_percent.map(|percent| percent / USUAL_PERCENT),
            partly_ignored: slots == Some(None)
                || (work.is_some() && work_percent.is_none())
                || parts.next().is_some(),
        })
    }
}

fn is_plausible(count: &u32) -> bool {
    f64::from(*count) <= MAX_FIGURE
}

/// How long work takes on the machine of an endpoint, relative to the usual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSpeed {
    /// The newest report.
    factor: f64,
    /// When it was received, in monotonic milliseconds.
    reported_ms: u64,
    /// Mean over the reports, weighted by the time for which they count.
    mean: f64,
}

impl MachineSpeed {
    /// Adds a report to what is known.
    pub fn reported(known: Option<Self>, factor: f64, now_ms: u64) -> Self {
        let (mean, age_ms) = match known {
            Some(known) => (known.mean, now_ms.saturating_sub(known.reported_ms)),
            None => (1.0, MAX_AGE_MS),
        };
        // A burst of reports in one slowdown counts no more than a single one.
        let weight = 1.0 - (-(age_ms.min(MAX_AGE_MS) as f64) / MEAN_MS).exp();
        Self {
            factor,
            reported_ms: now_ms,
            mean: mean + weight * (factor - mean),
        }
    }

    /// Returns how long work that starts now and takes about `duration_ms` is expected to take,
    /// relative to the usual time: the newest report and the mean, by the age of the report and by how
    /// much of the work is done while the report still counts.
    pub fn expected_factor(&self, duration_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_ms);
        if age_ms >= MAX_AGE_MS {
            return self.mean;
        }
        let duration = duration_ms.max(1.0) / DECAY_MS;
        let worth_at_start = (-(age_ms as f64) / DECAY_MS).exp();
        let worth = worth_at_start * (1.0 - (-duration).exp()) / duration;
        self.mean + worth * (self.factor - self.mean)
    }

    /// Returns the newest report if it is recent enough to describe the present.
    pub fn present_factor(&self, now_ms: u64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.reported_ms);
        (age_ms as f64 <= DECAY_MS).then_some(self.factor)
    }

    /// Returns whether the newest report is recent enough to tell, and says that the machine is slow
    /// (`true`) or is not (`false`).
    pub fn is_slow(&self, now_ms: u64) -> Option<bool> {
        Some(self.present_factor(now_ms)? > SLOW_FACTOR)
    }
}

#[cfg(test)]
mod tests;
