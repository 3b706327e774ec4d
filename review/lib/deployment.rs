//! Parts of a small deployment: configs, servers and the requests of callers.

use std::{net::SocketAddr, thread, time::Duration};

use super::{client, server, store};

/// Availability zones, the same as those of the entries.
pub const ZONES: [&str; 3] = ["ens-a", "ens-b", "tij-c"];
/// Host of all routes.
pub const HOST: &str = "yard.example";
/// Time limit of callers that want a stream.
pub const STREAM_LIMIT: Duration = Duration::from_secs(14);
/// Gap after which they give up: four times the objective of 900 ms.
pub const STREAM_GAP: Duration = Duration::from_millis(3_600);

const LIMITS: &str = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;

/// A config with these routes and services.
pub fn config(version: u32, routes: &[String], services: &[String]) -> String {
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{LIMITS}}}"#
    )
}

/// A service of plain servers.
pub fn plain_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}"#
    )
}

/// A service of engines.
pub fn model_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{{"batch_slots":16,"kv_capacity":34446,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":1,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{{"name":"m"}}]}}}}"#
    )
}

/// A route to plain servers, whose prefix is its name.
pub fn plain_route(name: &str, kind: &str, service: &str, timeout_ms: u32, aim_ms: u32) -> String {
    let attempts = if kind == "safe" { 2 } else { 1 };
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":{aim_ms},"priority":2,"service":"{service}","max_attempts":{attempts},"sticky":false,"resumable":false}}"#
    )
}

/// The route of resumable streams, to services with these weights.
pub fn stream_route(services: &[(&str, u32)]) -> String {
    let target = match services {
        [(service, _)] => format!(r#""service":"{service}""#),
        _ => {
            let split = services
                .iter()
                .map(|(service, weight)| format!(r#"{{"service":"{service}","weight":{weight}}}"#));
            format!(r#""traffic_split":[{}]"#, split.collect::<Vec<_>>().join(","))
        }
    };
    format!(
        r#"{{"name":"r-brief","host":"{HOST}","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,{target},"max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}}"#
    )
}

/// Streams of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct Streams {
    /// Events of a whole stream.
    pub events: u64,
    /// Time between two of them.
    pub event_ms: u64,
}

/// Starts engines of `service`, the first `prefill` of them to read prompts.
pub fn start_engines(
    store: &store::Store,
    engines: &server::Engines,
    service: &str,
    count: usize,
    prefill: usize,
    streams: Streams,
) -> Vec<server::Server> {
    let start = |index: usize| {
        let spec = server::Spec {
            id: format!("i-{service}-{index}"),
            service: service.to_string(),
            zone: ZONES[index % ZONES.len()].to_string(),
            stage: Some(if index < prefill { "prefill" } else { "decode" }),
            slots: 16,
            event_ms: streams.event_ms,
            events: streams.events,
            work_ms: 0,
        };
        server::Server::start(store, engines, spec, "v1")
    };
    (0..count).map(start).collect()
}

/// Starts three plain servers of `service`, one in each zone.
pub fn start_plain(store: &store::Store, service: &str, work_ms: u64) -> Vec<server::Server> {
    let start = |(index, zone): (usize, &&str)| {
        let spec = server::Spec {
            id: format!("i-{service}-{index}"),
            service: service.to_string(),
            zone: zone.to_string(),
            stage: None,
            slots: 6,
            event_ms: 0,
            events: 0,
            work_ms,
        };
        server::Server::start(store, &server::Engines::default(), spec, "v1")
    };
    ZONES.iter().enumerate().map(start).collect()
}

/// Sends a request for a stream of `events` events, with its tries at `entries` one after the other.
pub fn start_stream(
    number: usize,
    events: u64,
    entries: Vec<SocketAddr>,
) -> thread::JoinHandle<Vec<client::Try>> {
    thread::spawn(move || {
        client::Stream {
            entries: &entries,
            first: "POST /brief/1",
            host: HOST,
            headers: &[
                ("X-Model", "m"),
                // Half of the longest answer is the usual one.
                ("X-Token-Usage", &format!("1460,{}", 2 * events)),
                ("X-Length-Hint", &events.to_string()),
                ("X-Prompt-Prefix", &format!("5c1e07a2:200,e4402b{number:02x}:1260")),
            ],
            body: b"{}",
            limit: STREAM_LIMIT,
            gap: STREAM_GAP,
        }
        .run()
    })
}

/// Streams that were taken up again, and those of them that went on: any later try that brought an
/// event counts.
pub fn count_taken_up(streams: &[Vec<client::Try>]) -> (u32, u32) {
    let was_taken_up = |tries: &&Vec<client::Try>| tries.len() > 1 && tries[0].answer.status == 200;
    let went_on = |tries: &&Vec<client::Try>| tries[1..].iter().any(|one| !one.events.is_empty());
    let taken_up = streams.iter().filter(was_taken_up);
    (taken_up.clone().count() as u32, taken_up.filter(went_on).count() as u32)
}
