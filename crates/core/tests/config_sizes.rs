//! Processor time that configs of thousands of routes and customers cost: a change of one grows no faster
//! than its routes, and a request costs the same however many there are.

use std::{collections, hint, time};

use rustix::time as clock;

use rhubarb_core::{customers, routing, urgency};

/// Sizes whose costs are compared, and the largest number of routes.
const FEW: usize = 1_100;
const MANY: usize = 4_400;
const MOST: usize = 20_000;
/// Largest growth of the cost of a change from [`FEW`] to [`MANY`] routes, four times as many.
const LINEAR: f64 = 8.0;
/// Largest growth of the cost of a request.
const CONSTANT: f64 = 2.0;
/// Processor time of a change: a sixth of a deadline of 3 s on the smallest instance in use, which has
/// 0.068 of a core.
const CHANGE_LIMIT: time::Duration = time::Duration::from_millis(34);
/// Runs of which the fastest counts.
const RUNS: u32 = 5;

// Routes of `hosts` hosts in turn.
fn config(version: u64, routes: usize, hosts: usize) -> routing::Config {
    let route = |number: usize| routing::Route {
        name: format!("route-{number}"),
        host: format!("h{}.example", number % hosts),
        prefix: format!("/some/prefix-{number}/"),
        kind: routing::Kind::Stream { resumable: true },
        timeout: time::Duration::from_secs(1),
        target: time::Duration::from_millis(300),
        max_gap: None,
        rank: (number % 3) as u8,
        is_public: false,
        splits: vec![routing::Split { service: format!("s{}", number % 2), weight: 1 }],
        attempts: 2,
    };
    let routes = (0..routes).map(route).collect();
    routing::Config {
        version,
        routes,
        customers: customers::Customers::default(),
        services: collections::BTreeMap::new(),
        limits: routing::Limits { header_bytes: 1, body_bytes: 1 },
    }
}

fn processor_time() -> time::Duration {
    let at = clock::clock_gettime(clock::ClockId::ThreadCPUTime);
    time::Duration::new(at.tv_sec as u64, at.tv_nsec as u32)
}

// Least processor time of `count` calls of `work`.
fn cost<T>(count: u32, mut work: impl FnMut() -> T) -> time::Duration {
    let run = |_| {
        let start = processor_time();
        (0..count).for_each(|_| drop(hint::black_box(work())));
        processor_time() - start
    };
    (0..RUNS).map(run).min().unwrap_or_default()
}

fn check_growth(what: &str, most: f64, cost_of: impl Fn(usize) -> time::Duration) {
    let (few, many) = (cost_of(FEW), cost_of(MANY));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    assert!(growth <= most, "{what}: {few:?} for {FEW} routes, {many:?} for {MANY}");
}

// Guards against entries that run nothing else for up to 17 s while they compare two configs: the time
// grew with the square of the routes.
#[test]
fn change_grows_linearly() {
    for hosts in [1, 40] {
        check_growth("a route more", LINEAR, |routes| {
            let (old, new) = (config(1, routes, hosts), config(2, routes + 1, hosts));
            cost(1, || new.mingled(&old))
        });
    }
}

// Guards against the same at the size that one change may bring.
#[test]
fn change_in_time() {
    for (before, after) in [(MOST, MOST + 1), (MOST / 2, MOST), (MOST, MOST / 2)] {
        let (old, new) = (config(1, before, 1), config(2, after, 1));
        let start = processor_time();
        hint::black_box(new.mingled(&old));
        let taken = processor_time() - start;
        assert!(taken <= CHANGE_LIMIT, "{before} to {after} routes: {taken:?}");
    }
}

// Guards against requests that look through all routes.
#[test]
fn request_cost_constant() {
    check_growth("route", CONSTANT, |routes| {
        let config = config(1, routes, 1);
        cost(2_000, || config.route("H0.example", "/some/prefix-7/and/more").is_some())
    });
    check_growth("priority", CONSTANT, |routes| {
        let config = config(1, routes, 1);
        let urgency = urgency::Urgency { rank: 1, route: 1 };
        cost(2_000, || config.priority("s1", urgency))
    });
}
