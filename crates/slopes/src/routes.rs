//! Costs of configs, requests and servers at rising sizes.

use std::{collections, time};

use serde_json::json;

use rhubarb_core::{fleet, ids, pool, routing, urgency};
use rhubarb_platform::{config, registration};

use crate::meter;

/// Routes of a config.
const ROUTES: [usize; 4] = [200, 1_600, 4_400, 20_000];
/// Servers of one service.
const SERVERS: [u32; 3] = [200, 2_000, 12_000];
/// Customers, each with a key, of the config with customers.
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

// Text of a config with `routes` routes, all but a few of one host, as the operator writes it.
fn text(version: u64, routes: usize, customers: usize) -> String {
    let route = |number: usize| {
        json!({
            "name": format!("route-{number}"), "host": "some.example",
            "prefix": format!("/some/prefix-{number}/"), "kind": "streaming", "timeout_ms": 6_000,
            "target_latency_ms": 900, "priority": number % 3, "service": "models",
            "max_attempts": 2, "resumable": true, "sticky": true,
        })
    };
    let customer = |number: usize| {
        json!({
            "name": format!("customer-{number}"), "api_keys": [format!("key-{number}")],
            "rate_per_s": 10, "burst": 20, "unit": "requests",
        })
    };
    let config = json!({
        "version": version, "routes": (0..routes).map(route).collect::<Vec<_>>(),
        "services": [{"name": "models", "max_connections": 100}],
        "tenants": (0..customers).map(customer).collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536},
    });
    config.to_string()
}

fn read(text: &str) -> routing::Config {
    config::read(text.as_bytes()).expect("the text is a config")
}

fn measure_config(meter: &mut meter::Meter, routes: usize) {
    let (old_text, new_text) = (text(1, routes, 0), text(2, routes + 1, 0));
    meter.size(format!("config of {routes} routes"), old_text.len());
    meter.time(format!("read a config of {routes} routes"), 1, |_| read(&old_text));
    let (old, new) = (read(&old_text), read(&new_text));
    let label = format!("compare it with one of a route more, {routes} routes");
    meter.time(label, 1, |_| new.mingled(&old));
    let label = format!("route of a request, {routes} routes");
    meter.time(label, 10_000, |_| new.route("some.example", "/some/prefix-77/and/more").is_some());
    let urgency = urgency::Urgency { rank: 1, route: 1 };
    let label = format!("priority of a request, {routes} routes");
    meter.time(label, 10_000, |_| new.priority("models", urgency));
}

fn measure_customers(meter: &mut meter::Meter) {
    let text = text(1, 200, CUSTOMERS);
    meter.time(format!("read a config of {CUSTOMERS} customers"), 1, |_| read(&text));
    let config = read(&text);
    let urgency = urgency::Urgency { rank: 1, route: 1 };
    let label = format!("priority of a request, {CUSTOMERS} customers");
    meter.time(label, 10_000, |_| config.priority("models", urgency));
}

fn row(number: u32) -> String {
    let row = json!({
        "service": "models", "address": format!("10.1.{}.{}:8000", number / 250, number % 250),
        "zone": "hall-a", "version": "v1", "batch_slots": 32, "state": "ready", "sequence": 1, "cold_remaining_ms": 0,
        "born": 1_700_000_000_000_u64, "stage": "decode",
    });
    row.to_string()
}

fn measure_servers(meter: &mut meter::Meter, servers: u32) {
    let now = time::Instant::now();
    let rows: collections::BTreeMap<ids::ServerName, String> =
        (0..servers).map(|number| (format!("i-{number:08x}"), row(number))).collect();
    let instances: Vec<_> = rows
        .iter()
        .filter_map(|(id, row)| Some((id, registration::read(row.as_bytes()).ok()?)))
        .collect();
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
    rows.keys().for_each(|id| pool.add(id, "hall-a"));
    let label = format!("choose one of {servers} plain servers");
    meter.time(label, 100, |number| {
        let random = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let criteria = pool::Criteria { tried: &[], affinity: None, random, by_work: false };
        pool.pick(criteria, now)
    });
    assert_eq!(fleet.instances().len() as u32, servers, "all rows are read");
}
