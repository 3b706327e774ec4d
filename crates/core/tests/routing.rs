//! Routes: matching by host and longest prefix, and weighted splits.

use std::{collections, time};

use rhubarb_core::{customers, routing};

fn route(name: &str, host: &str, prefix: &str) -> routing::Route {
    routing::Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: routing::Kind::Safe,
        timeout: time::Duration::from_secs(1),
        target: time::Duration::from_millis(300),
        max_gap: None,
        rank: 1,
        is_public: false,
        splits: vec![routing::Split { service: "board".into(), weight: 1 }],
        attempts: 2,
    }
}

fn config() -> routing::Config {
    routing::Config {
        version: 1,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ],
        customers: customers::Customers::default(),
        services: collections::BTreeMap::new(),
        limits: routing::Limits { header_bytes: 1, body_bytes: 1 },
    }
}

#[test]
fn longest_prefix() {
    let config = config();
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("a.example", "/x/y", Some("short")),
        ("a.example", "/x/y/z/1", Some("long")),
        ("A.Example", "/x/1", Some("short")),
        ("b.example", "/x/1", None),
        ("a.example", "/xy/1", None),
        ("c.example", "/x/1", None),
    ];
    for (host, path, expected) in cases {
        let found = config.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn split_weights() {
    let mut split = route("split", "a.example", "/x/");
    split.splits = vec![
        routing::Split { service: "old".into(), weight: 90 },
        routing::Split { service: "none".into(), weight: 0 },
        routing::Split { service: "new".into(), weight: 10 },
    ];
    let drawn = (0..1000).map(|draw| split.service(draw).unwrap().clone());
    let new = drawn.filter(|service| service == "new").count();
    assert_eq!(new, 100);
    assert!((0..1000).all(|draw| split.service(draw).unwrap() != "none"));
    split.splits.clear();
    assert_eq!(split.service(7), None);
}
