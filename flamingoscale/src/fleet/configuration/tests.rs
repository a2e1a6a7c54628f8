//! Tests for route lookup, admission by API key and weighted selection of services.

use super::*;

fn route(host: &str, prefix: &str, public: bool) -> Arc<Route> {
    Arc::new(Route {
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 800,
        target_ms: 150,
        services: vec![("a".into(), 90), ("b".into(), 10)],
        max_attempts: 2,
        public,
        single_version: false,
        retention_ms: 40_000,
    })
}

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        routes: vec![
            route("x", "/a/", false),
            route("x", "/a/b/", false),
            route("x", "/open/", true),
        ],
        keys: Some(HashMap::from([("key-1".into(), "lodges".into())])),
        ..Configuration::default()
    }
}

#[test]
fn longest_path_prefix_wins() {
    let configuration = configuration();
    assert_eq!(
        &*configuration.route("x", "/a/b/c").unwrap().path_prefix,
        "/a/b/"
    );
    assert_eq!(
        &*configuration.route("x", "/a/c").unwrap().path_prefix,
        "/a/"
    );
    assert!(configuration.route("x", "/a").is_none());
    assert!(configuration.route("y", "/a/c").is_none());
}

#[test]
fn non_public_route_requires_a_known_key() {
    let configuration = configuration();
    let admit = |path: &str, key: Option<&str>| {
        configuration
            .admit("x", path, key)
            .map(|(_, organisation)| organisation)
    };
    assert_eq!(admit("/a/1", Some("key-1")), Ok(Some("lodges".into())));
    assert_eq!(admit("/a/1", Some("key-2")), Err(Denial::UnknownKey));
    assert_eq!(admit("/a/1", None), Err(Denial::UnknownKey));
    assert_eq!(admit("/open/1", None), Ok(None));
    assert_eq!(admit("/none/1", Some("key-1")), Err(Denial::NoRoute));
}

#[test]
fn services_get_requests_by_weight() {
    let route = route("x", "/a/", false);
    let to_b = (0..1_000)
        .filter(|draw| route.service(*draw).is_some_and(|s| &**s == "b"))
        .count();
    assert_eq!(to_b, 100);
}

/// Guards against LOST: what was accepted was judged by the routes and keys of the configuration of now. See
/// docs/incidents/removed-routes.md.
#[test]
fn what_was_accepted_can_be_used_under_any_later_configuration() {
    let with_keys = configuration();
    let without_routes = Configuration {
        routes: Vec::new(),
        ..with_keys.clone()
    };
    let without_keys = Configuration {
        keys: None,
        ..with_keys.clone()
    };
    for configuration in [&with_keys, &without_routes] {
        let may_use = |key, owner| configuration.caller(key).may_use(owner);
        assert!(may_use(Some("key-1"), "lodges"));
        assert!(!may_use(Some("key-1"), "rescue"));
        assert!(!may_use(Some("key-2"), "lodges"));
        assert!(!may_use(None, "lodges"));
        // It was accepted while there were no keys, or on a public route.
        assert!(may_use(Some("key-1"), "") && may_use(None, ""));
    }
    for owner in ["lodges", "rescue", ""] {
        assert!(without_keys.caller(None).may_use(owner));
    }
    assert_eq!(without_keys.caller(Some("key-1")), Caller::Anyone);
    assert_eq!(with_keys.caller(None), Caller::Unknown);
}
