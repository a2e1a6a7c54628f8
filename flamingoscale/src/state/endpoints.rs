//! Operations on the endpoint table.

use std::sync::Arc;

use crate::{
    view::{
        Endpoint,
        EndpointKey,
        EndpointTable, //
    },
    wire::PlatformEndpoint, //
};

impl EndpointTable {
    /// Adds an endpoint, or updates it if it is already in the table.
    pub fn upsert(&mut self, listed: &PlatformEndpoint) {
        let key = match self.find(&listed.endpoint) {
            Some(key) => key,
            None => self.new_key(&listed.endpoint),
        };
        let endpoint = Endpoint {
            key,
            platform: listed.clone(),
        };
        let previous = self.endpoints.insert(key, endpoint);
        let previous_service = previous.map(|previous| previous.platform.service);
        if previous_service.as_ref() == Some(&listed.service) {
            return;
        }
        if let Some(service) = previous_service {
            self.leave_service(&service, key);
        }
        let keys = self.by_service.entry(listed.service.clone()).or_default();
        keys.push(key);
    }

    /// Removes an endpoint that the platform no longer lists.
    pub fn remove(&mut self, endpoint: &str) {
        let Some(key) = self.by_id.remove(endpoint) else {
            return;
        };
        if let Some(removed) = self.endpoints.remove(&key) {
            self.leave_service(&removed.platform.service, key);
        }
    }

    /// Returns the key of the endpoint that the platform knows by this id.
    pub fn find(&self, endpoint: &str) -> Option<EndpointKey> {
        self.by_id.get(endpoint).copied()
    }

    /// Assigns the next unused key to an endpoint.
    fn new_key(&mut self, endpoint: &Arc<str>) -> EndpointKey {
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(endpoint.clone(), key);
        key
    }

    /// Removes the key from the list of a service, and the list itself once it is empty.
    fn leave_service(&mut self, service: &Arc<str>, key: EndpointKey) {
        let Some(keys) = self.by_service.get_mut(service) else {
            return;
        };
        keys.retain(|&kept| kept != key);
        if keys.is_empty() {
            self.by_service.remove(service);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(endpoint: &str, service: &str) -> PlatformEndpoint {
        PlatformEndpoint {
            endpoint: endpoint.into(),
            service: service.into(),
            failure_domain: "saiq".into(),
            address: "127.0.0.1:1".into(),
            tier: Default::default(),
            phase: Default::default(),
            order: 0,
        }
    }

    #[test]
    fn endpoint_moves_when_its_service_changes() {
        let mut table = EndpointTable::default();
        table.upsert(&listed("e1", "drafting"));
        table.upsert(&listed("e1", "portal"));
        assert!(!table.by_service.contains_key("drafting"));
        assert_eq!(table.by_service["portal"], [EndpointKey(0)]);
    }

    #[test]
    fn endpoint_keys_are_never_reused() {
        let mut table = EndpointTable::default();
        table.upsert(&listed("e1", "drafting"));
        table.remove("e1");
        assert!(table.by_service.is_empty() && table.endpoints.is_empty());
        table.upsert(&listed("e1", "drafting"));
        assert_eq!(table.find("e1"), Some(EndpointKey(1)));
    }
}
