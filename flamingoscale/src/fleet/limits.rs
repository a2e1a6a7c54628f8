//! The request limits that endpoints name in their answers.

/// The number of requests that an endpoint takes from all instances together in a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    requests_per_1000_s: u64,
}

/// Smallest limit, one request in 4 s. An endpoint that names less still gets a request now and then,
/// because only an answer shows that its limit has ended.
const MIN_REQUESTS_PER_1000_S: u64 = 250;

/// Largest limit; a greater one has no effect on any load.
const MAX_REQUESTS_PER_1000_S: f64 = 1e9;

impl RateLimit {
    /// Parses a decimal number of requests per second. Returns `None` if it is not a number, or
    /// negative.
    pub fn parse(text: &str) -> Option<Self> {
        let requests_per_s: f64 = text.trim().parse().ok()?;
        if requests_per_s.is_nan() || requests_per_s < 0.0 {
            return None;
        }
        let requests_per_1000_s = (requests_per_s * 1_000.0).min(MAX_REQUESTS_PER_1000_S) as u64;
        Some(Self {
            requests_per_1000_s: requests_per_1000_s.max(MIN_REQUESTS_PER_1000_S),
        })
    }

    /// Returns the limit in requests per second.
    pub fn requests_per_s(self) -> f64 {
        self.requests_per_1000_s as f64 / 1_000.0
    }
}

#[cfg(test)]
mod tests;
