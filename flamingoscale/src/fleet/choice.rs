//! Which endpoint a direct request goes to, and when a second one is tried beside the first.

use super::endpoints::{
    EndpointKey,
    Endpoints, //
};

/// Cost of crossing failure domains, in shares of a full endpoint: bytes between them are priced.
const CROSS_DOMAIN_COST: f64 = 0.15;

/// Cost of an endpoint that failed lately: above any load.
const BACKOFF_COST: f64 = 100.0;

/// Time to an answer that is taken for normal where none was seen, in milliseconds: the order of
/// a lookup's mean work (25 ms).
const TYPICAL_ANSWER_MS: f64 = 30.0;

/// Picks the endpoint of a service that should answer soonest; `None` where none takes work.
pub fn choose(
    endpoints: &Endpoints,
    service: &str,
    failure_domain: &str,
    tried: &[EndpointKey],
    now_ms: u64,
) -> Option<EndpointKey> {
    endpoints
        .of_service(service)
        .filter(|(key, endpoint)| endpoint.accepts_work() && !tried.contains(key))
        .map(|(key, endpoint)| {
            let listing = &endpoint.listing;
            let load = f64::from(endpoint.load(now_ms)) / f64::from(listing.slots.max(1));
            let slowdown = match endpoint.answer_ms {
                0.0 => 1.0,
                known => (known / TYPICAL_ANSWER_MS).max(1.0),
            };
            let domain_cost = if *listing.failure_domain == *failure_domain {
                0.0
            } else {
                CROSS_DOMAIN_COST
            };
            let backoff_cost = if endpoint.in_backoff(now_ms) {
                BACKOFF_COST
            } else {
                0.0
            };
            (
                key,
                (load + CROSS_DOMAIN_COST) * slowdown + domain_cost + backoff_cost,
            )
        })
        .min_by(|(a_key, a), (b_key, b)| a.total_cmp(b).then(a_key.cmp(b_key)))
        .map(|(key, _)| key)
}

/// Returns after how many milliseconds without an answer a second endpoint is tried beside the
/// first: half of the target, which leaves the second try the other half.
pub fn hedge_delay_ms(target_ms: u64) -> u64 {
    (target_ms / 2).max(20)
}

#[cfg(test)]
mod tests;
