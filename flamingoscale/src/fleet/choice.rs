//! Chooses the endpoint for a direct request, and the delay before a hedged second request.

use super::endpoints::{
    Endpoint,
    EndpointKey,
    Endpoints, //
};

/// Cost of an endpoint in another failure domain, relative to the cost of a full endpoint. Traffic
/// between failure domains is charged. The same amount is added to every load, so that a slow
/// endpoint costs more than a fast one even when both are idle.
const CROSS_DOMAIN_COST: f64 = 0.15;

/// Cost of an endpoint in backoff after a failure; higher than the cost of any load, so that
/// the endpoint is chosen last.
const BACKOFF_COST: f64 = 100.0;

/// Response time up to which an endpoint counts as fast. A longer response time increases the cost
/// of the endpoint's load in proportion; an unknown response time does not. A lookup, which is a
/// short direct request, takes 25 ms on average.
const TYPICAL_RESPONSE_MS: f64 = 30.0;

/// Duration of a lookup at usual speed.
const LOOKUP_MS: f64 = 25.0;

/// Returns the endpoint of a service that is expected to respond first, or `None` if no endpoint that
/// `is_candidate` admits accepts work within its request limit.
pub fn choose(
    endpoints: &Endpoints,
    service: &str,
    failure_domain: &str,
    is_candidate: &dyn Fn(EndpointKey, &Endpoint) -> bool,
    now_ms: u64,
) -> Option<EndpointKey> {
    endpoints
        .of_service(service)
        .filter(|(_, endpoint)| endpoint.accepts_work() && endpoint.permits_requests(1))
        .filter(|(key, endpoint)| is_candidate(*key, endpoint))
        .map(|(key, endpoint)| {
            let listing = &endpoint.listing;
            let load = f64::from(endpoint.load(now_ms)) / f64::from(listing.slots.max(1));
            let slowdown = match endpoint.response_ms {
                0.0 => 1.0,
                response_ms => (response_ms / TYPICAL_RESPONSE_MS).max(1.0),
            };
            let slowdown = slowdown * endpoint.work_factor(LOOKUP_MS, now_ms);
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

/// Returns whether a hedged attempt may go to the endpoint: not if it is cold or names a request
/// limit, and not while it reports that its machine is slow, since the first attempt is likely to end before.
pub fn fits_hedge(endpoint: &Endpoint, now_ms: u64) -> bool {
    !endpoint.is_limited() && endpoint.is_machine_slow(now_ms) != Some(true)
}

/// Returns the delay, in milliseconds, after which an unanswered request is also sent to a second
/// endpoint: half of the target time, but at least 20 ms. The other half of the target time is left
/// for the second attempt.
pub fn hedge_delay_ms(target_ms: u64) -> u64 {
    (target_ms / 2).max(20)
}

#[cfg(test)]
mod tests;
