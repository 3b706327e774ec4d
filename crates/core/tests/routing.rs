//! Routes: matching by host and longest prefix, and weighted splits.

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::{customers, ids, routes, routing};

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
        routes: routes::Routes::from(vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ]),
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

// Guards against streams that are taken up at another service than began them: a route that moved, a split
// that began or ended, and a route that took paths from another one or left them to it (related to review
// case 5).
#[test]
fn mingled_services() {
    let stream = |prefix: &str, weights: &[(&str, u32)]| {
        let splits = weights.iter().map(|(service, weight)| routing::Split {
            service: service.to_string(),
            weight: *weight,
        });
        routing::Route {
            kind: routing::Kind::Stream { resumable: true },
            splits: splits.collect(),
            ..route(prefix, "a.example", prefix)
        }
    };
    let with = |routes: &[&routing::Route]| {
        let routes = routes.iter().copied().cloned().collect();
        routing::Config { routes, ..config() }
    };
    let check = |old: &[&routing::Route], new: &[&routing::Route], expected: &[&str]| {
        let found: Vec<_> = with(new).mingled(&with(old)).into_iter().collect();
        assert_eq!(found, expected, "{old:?} -> {new:?}");
    };
    let (a, b) = (stream("/x/", &[("a", 1)]), stream("/x/", &[("b", 1)]));
    check(&[&a], &[&a], &[]);
    check(&[&a], &[&b], &["b"]);
    let some = stream("/x/", &[("a", 95), ("b", 5)]);
    check(&[&some], &[&stream("/x/", &[("a", 5), ("b", 95)])], &[]);
    check(&[&some], &[&stream("/x/", &[("a", 1), ("b", 0)])], &["a"]);
    check(&[&a], &[&some], &["a", "b"]);
    let inner = stream("/x/y/", &[("b", 1)]);
    check(&[&a], &[&a, &inner], &["b"]);
    check(&[&a, &inner], &[&a], &["a"]);
    check(&[], &[&a], &[]);
    check(&[&route("/x/", "a.example", "/x/")], &[&a], &[]);
}

// Route that a look through all of them finds.
fn scan<'a>(config: &'a routing::Config, host: &str, path: &str) -> Option<&'a routing::Route> {
    let matches = |route: &&routing::Route| {
        route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
    };
    config.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
}

// Services that a look at all pairs of routes finds.
fn scan_mingled(
    new: &routing::Config,
    old: &routing::Config,
) -> collections::BTreeSet<ids::ServiceName> {
    let services = |route: &routing::Route| -> collections::BTreeSet<_> {
        route.services().cloned().collect()
    };
    let added =
        new.routes.iter().filter_map(|route| Some((scan(old, &route.host, &route.prefix)?, route)));
    let removed =
        old.routes.iter().filter_map(|route| Some((route, scan(new, &route.host, &route.prefix)?)));
    let pairs = added.chain(removed).map(|(old, new)| (services(old), services(new)));
    pairs.filter(|(old, new)| old != new).flat_map(|(_, new)| new).collect()
}

// Routes of one or two hosts with short prefixes, so that many of them nest, each once.
fn routes() -> impl Strategy<Value = Vec<routing::Route>> {
    let one = ("[aA]\\.example|b\\.example", "(/[xyé]{0,2}){0,4}/", 0..4_usize);
    prop::collection::vec(one, 0..12).prop_map(|all| {
        let mut seen = collections::BTreeSet::new();
        let is_new = |(host, prefix, _): &(String, String, usize)| {
            seen.insert((host.to_ascii_lowercase(), prefix.clone()))
        };
        let all = all.into_iter().filter(is_new);
        let convert = |(host, prefix, service): (String, String, usize)| routing::Route {
            kind: routing::Kind::Stream { resumable: true },
            splits: vec![routing::Split { service: format!("s{service}"), weight: 1 }],
            ..route(&prefix, &host, &prefix)
        };
        all.map(convert).collect()
    })
}

proptest! {
    // The index finds what a look through all routes finds.
    #[test]
    fn found_by_index(old in routes(), new in routes(), path in "(/[xyzé]{0,2}){0,5}") {
        let with = |routes: Vec<_>| routing::Config { routes: routes.into(), ..config() };
        let (old, new) = (with(old), with(new));
        for host in ["a.example", "A.Example", "b.example", "c.example"] {
            let name = |route: &routing::Route| (route.host.clone(), route.prefix.clone());
            prop_assert_eq!(new.route(host, &path).map(name), scan(&new, host, &path).map(name));
        }
        prop_assert_eq!(new.mingled(&old), scan_mingled(&new, &old));
    }
}
