//! Home regions: where requests of a route or an organisation may run, and which instances may carry
//! their bodies.
//!
//! No configuration carries home regions yet, so all tables are empty on every deployment. See
//! `docs/design/evacuation.md`.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::configuration::Route;

/// Host and path prefix of a route.
type RouteKey = (Arc<str>, Arc<str>);

/// Home regions of routes and organisations, and the regions of failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions {
    /// Region of each failure domain.
    pub domains: HashMap<Arc<str>, Arc<str>>,
    /// Home regions of routes.
    pub routes: HashMap<RouteKey, Vec<Arc<str>>>,
    /// Home regions of organisations.
    pub organisations: HashMap<Arc<str>, Vec<Arc<str>>>,
}

/// Home regions that apply to one request. An empty list allows every region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestHomes<'a> {
    /// Those of its route.
    pub route: &'a [Arc<str>],
    /// Those of its organisation.
    pub organisation: &'a [Arc<str>],
}

/// Returns whether a request may run in a region. Where both its route and its organisation have home
/// regions, both have to allow it. A region that is not known is no home.
pub fn may_run_in(
    route_homes: &[Arc<str>],
    organisation_homes: &[Arc<str>],
    region: Option<&str>,
) -> bool {
    let allows = |homes: &[Arc<str>]| {
        homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| **home == *region))
    };
    allows(route_homes) && allows(organisation_homes)
}

impl RequestHomes<'_> {
    /// Returns whether the request may run anywhere.
    pub fn is_empty(&self) -> bool {
        self.route.is_empty() && self.organisation.is_empty()
    }

    /// Returns whether the request may run in a region.
    pub fn may_run_in(&self, region: Option<&str>) -> bool {
        may_run_in(self.route, self.organisation, region)
    }

    /// Returns whether the body of the request may go to an instance in a region: a home region, or that
    /// of the caller.
    pub fn may_carry(&self, region: Option<&str>, caller_region: Option<&str>) -> bool {
        self.may_run_in(region) || (region.is_some() && region == caller_region)
    }
}

impl HomeRegions {
    /// Returns the region of a failure domain, if it is known.
    pub fn region(&self, failure_domain: &str) -> Option<&str> {
        self.domains.get(failure_domain).map(|region| &**region)
    }

    /// Returns the home regions of a request.
    pub fn of_request(&self, route: &Route, organisation: Option<&str>) -> RequestHomes<'_> {
        let key = (route.host.clone(), route.path_prefix.clone());
        let organisation = organisation.and_then(|name| self.organisations.get(name));
        RequestHomes {
            route: self.routes.get(&key).map_or(&[], |homes| homes),
            organisation: organisation.map_or(&[], |homes| homes),
        }
    }

    /// Returns whether the directory may send callers in `caller_domain` to an instance in
    /// `instance_domain`. It does not know which routes a caller will use, so each route with home
    /// regions has to allow the instance, and each organisation.
    pub fn may_send_callers(&self, instance_domain: &str, caller_domain: &str) -> bool {
        let region = self.region(instance_domain);
        let caller_region = self.region(caller_domain);
        let mut homes = self.routes.values().chain(self.organisations.values());
        homes.all(|homes| {
            let homes = RequestHomes {
                route: homes,
                organisation: &[],
            };
            homes.may_carry(region, caller_region)
        })
    }
}

#[cfg(test)]
mod tests;
