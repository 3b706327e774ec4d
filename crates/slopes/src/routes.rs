//! Costs of configs, requests and servers at rising sizes. What it costs to read a config is measured where its
//! format stands, by `cargo bench -p rhubarb-platform`.

use std::{collections, time};

use rhubarb_core::{customers, fleet, ids, pool, routing, urgency};

use crate::meter;

/// Routes of a config.
const ROUTES: [usize; 4] = [200, 1_600, 4_400, 20_000];
/// Servers of one service.
const SERVERS: [u32; 3] = [200, 2_000, 12_000];
/// Customers of the config with customers.
const CUSTOMERS: usize = 14_000;

pub(crate) fn measure(meter: &mut meter::Meter) {
    for routes in ROUTES {
        measure_config(meter, routes);
    }
    measure_customers(meter);
    for servers in SERVERS {
        measure_servers(meter, servers);
    }
}

// A config with `routes` routes of one host.
fn config(version: u64, routes: usize, customers: usize) -> routing::Config {
    let route = |number: usize| routing::Route {
        name: format!("route-{number}"),
        host: "some.example".into(),
        prefix: format!("/some/prefix-{number}/"),
        kind: routing::Kind::Stream { resumable: true },
        timeout: time::Duration::from_secs(6),
        target: time::Duration::from_millis(900),
        max_gap: None,
        rank: (number % 3) as u8,
        is_public: false,
        splits: vec![routing::Split { service: "models".into(), weight: 1 }],
        attempts: 2,
    };
    let (mut all, mut taken) = (customers::Customers::default(), customers::Taken::default());
    for number in 0..customers {
        let name = format!("customer-{number}");
        all.add(customers::Customer { name, rank: None, limit: None }, &[], &mut taken);
    }
    routing::Config {
        version,
        routes: (0..routes).map(route).collect(),
        services: collections::BTreeMap::new(),
        customers: all,
        limits: routing::Limits { header_bytes: 16_384, body_bytes: 65_536 },
    }
}

fn measure_config(meter: &mut meter::Meter, routes: usize) {
    let (old, new) = (config(1, routes, 0), config(2, routes + 1, 0));
    let label = format!("compare a config with one of a route more, {routes} routes");
    meter.time(label, 1, |_| new.mingled(&old));
    let label = format!("route of a request, {routes} routes");
    meter.time(label, 10_000, |_| new.route("some.example", "/some/prefix-77/and/more").is_some());
    let urgency = urgency::Urgency { rank: 1, route: 1 };
    let label = format!("priority of a request, {routes} routes");
    meter.time(label, 10_000, |_| new.priority("models", urgency));
}

fn measure_customers(meter: &mut meter::Meter) {
    let config = config(1, 200, CUSTOMERS);
    let urgency = urgency::Urgency { rank: 1, route: 1 };
    let label = format!("priority of a request, {CUSTOMERS} customers");
    meter.time(label, 10_000, |_| config.priority("models", urgency));
}

fn instance(number: u32) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8000).into(),
        zone: "hall-a".into(),
        slots: 32,
        stage: Some(fleet::Stage::Decode),
        leaving: false,
        started_ms: Some(1_700_000_000_000),
        sequence: 1,
        software: "v1".into(),
    }
}

fn measure_servers(meter: &mut meter::Meter, servers: u32) {
    let now = time::Instant::now();
    let instances: collections::BTreeMap<ids::ServerName, fleet::Instance> =
        (0..servers).map(|number| (format!("i-{number:08x}"), instance(number))).collect();
    let registered = || {
        let mut fleet = fleet::Fleet::default();
        for (id, instance) in &instances {
            fleet.set(id, instance.clone());
        }
        fleet
    };
    meter.time(format!("register all of {servers} servers"), 1, |_| registered());
    let mut fleet = registered();
    let label = format!("look for expired servers, {servers} servers");
    meter.time(label, 100, |_| fleet.next_expired(now));
    let mut pool = pool::Pool::new("hall-a".into());
    instances.keys().for_each(|id| pool.add(id, "hall-a"));
    let label = format!("choose one of {servers} plain servers");
    meter.time(label, 100, |number| {
        let random = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let criteria = pool::Criteria { tried: &[], affinity: None, random, by_work: false };
        pool.pick(criteria, now)
    });
}
