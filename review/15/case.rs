//! Case 15: all entries are killed at once while servers of two software versions serve, and streams that had
//! begun just before are refused wherever their callers take them up.

#[path = "../stand-3/common.rs"]
mod common;
#[path = "../stand-3/engine.rs"]
mod engine;
#[path = "../stand-3/stream.rs"]
mod stream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const ENTRIES: u8 = 3;
/// Model servers, of each of the two versions.
const DECODE: usize = 8;
const PREFILL: usize = 2;
/// New streams a second, as on the sheet and in a burst.
const RATE: f64 = 18.2;
const BURST: f64 = 1.9;
/// Rounds of a calm time and a burst, in which the entries are killed.
const ROUNDS: u32 = 4;
const ROUND: Duration = Duration::from_secs(14);
const BURST_AT: Duration = Duration::from_secs(4);
const KILL_AT: Duration = Duration::from_secs(8);
/// Time until the platform has started the entries again.
const DOWN: Duration = Duration::from_millis(600);
/// Time after its start from which an entry is in touch.
const CONTACT: Duration = Duration::from_secs(3);
const TIME_LIMIT: Duration = Duration::from_secs(14);
/// Shortest time until a caller comes back, and how often it does.
const PAUSE: Duration = Duration::from_millis(1_000);
const RETRIES: u32 = 5;

fn main() {
    run_case(case);
}

// What the callers saw.
#[derive(Default)]
struct Seen {
    new: usize,
    begun: usize,
    taken_up: BTreeSet<u64>,
    went_on: BTreeSet<u64>,
    whole: usize,
    mixed: BTreeSet<u64>,
    statuses: BTreeMap<u16, usize>,
}

fn case(record: &Record) -> bool {
    let (folder, subnet, store) = (Folder::create(), Subnet::draw(), Store::default());
    let (listener, store_address) = subnet.listen(2);
    store.serve(listener);
    let start = |host: u8, name: &str, count: usize, stage: &'static str| {
        let servers = (0..2 * count).map(|number| {
            let (id, version) = (format!("i-{name}{number}"), ["v1", "v2"][number % 2]);
            engine::Engine::start(subnet, host + number as u8, &id, stage, version, &store, record)
        });
        servers.collect::<Vec<_>>()
    };
    let _servers = [start(30, "d", DECODE, "decode"), start(60, "p", PREFILL, "prefill")];
    store.put("op", "config", Some(config()));
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|number| {
            let text = settings(subnet, number, ENTRIES, store_address, &[]);
            start_entry(&folder.0, &format!("edge-{number}"), subnet.ip(10 + number), &text)
        })
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    thread::sleep(CONTACT + Duration::from_secs(1));

    let frontends: Vec<_> = entries.iter().map(Entry::frontend).collect();
    let (started, seen) = (Instant::now(), Arc::new(Mutex::new(Seen::default())));
    // Since when the entries are in touch.
    let in_touch = Arc::new(Mutex::new(started));
    let mut threads = Vec::new();
    if has_trouble() {
        let (in_touch, record) = (in_touch.clone(), record.clone());
        threads.push(thread::spawn(move || {
            for round in 0..ROUNDS {
                let due = started + ROUND * round + KILL_AT;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                *in_touch.lock().unwrap() = due + ROUND;
                record.add("all entries are killed");
                entries.iter_mut().for_each(Entry::kill);
                thread::sleep(DOWN);
                entries.iter_mut().for_each(Entry::restart);
                record.add("all entries have been started again");
                *in_touch.lock().unwrap() = Instant::now() + CONTACT;
            }
            thread::sleep(ROUND + TIME_LIMIT);
        }));
    }
    let mut due = started;
    let mut number = 0;
    while due < started + ROUND * ROUNDS {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (frontends, seen, record) = (frontends.clone(), seen.clone(), record.clone());
        let (own, in_touch) = (number, in_touch.clone());
        threads.push(thread::spawn(move || call(own, &frontends, &in_touch, &seen, &record)));
        let since = (due - started).as_secs_f64() % ROUND.as_secs_f64();
        let is_burst = since >= BURST_AT.as_secs_f64();
        due += Duration::from_secs_f64(1.0 / if is_burst { RATE * BURST } else { RATE });
        number += 1;
    }
    threads.into_iter().for_each(|thread| thread.join().expect("a thread ends"));

    let seen = seen.lock().unwrap();
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let went_on = share(seen.went_on.len(), seen.taken_up.len());
    let begun = share(seen.begun, seen.new);
    record.say(format!(
        "{} of {} new streams began ({begun:.2}); {} streams were taken up again and {} of them went on \
         ({went_on:.2}), at entries in touch; {} streams whole; {} with events of two versions; answers by \
         status: {:?}",
        seen.begun,
        seen.new,
        seen.taken_up.len(),
        seen.went_on.len(),
        seen.whole,
        seen.mixed.len(),
        seen.statuses
    ));
    seen.taken_up.len() >= 12 && went_on < begun / 2.0
}

// One caller: sends a stream's request and takes the stream up where it breaks off.
fn call(
    number: u64,
    frontends: &[SocketAddr],
    in_touch: &Mutex<Instant>,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let until = Instant::now() + TIME_LIMIT;
    // The attempt that brought the first event, the last event, and the versions of all of them.
    let (mut first, mut last, mut versions) = (None::<String>, None::<u64>, BTreeSet::new());
    for retry in 0..=RETRIES {
        let attempt = next_attempt();
        let entry = frontends[(number + u64::from(retry)) as usize % frontends.len()];
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        let prompt = format!("5c1e07a2:200,{number:08x}:1260");
        let mut call = Call::attempt("POST", "/buyer-brief/x", &attempt, left)
            .with("X-Model", "m")
            .with("X-Token-Usage", "1460,80")
            .with("X-Prompt-Prefix", &prompt)
            .body(b"a shearing lot");
        if let (Some(first), Some(last)) = (&first, last) {
            call = call.with("Resumes", first).with("Last-Event-Id", &last.to_string());
        }
        let is_counted = Instant::now() >= *in_touch.lock().unwrap();
        let (status, retry_after, events, is_whole) = stream::receive(&call, entry, left);
        record.add(format!(
            "stream {number}: {attempt} at {entry}, after event {last:?}: {status}, {} events, whole \
             {is_whole}",
            events.len()
        ));
        let mut seen = seen.lock().unwrap();
        *seen.statuses.entry(status).or_default() += 1;
        match last {
            Some(_) if is_counted => _ = seen.taken_up.insert(number),
            None if is_counted => seen.new += 1,
            _ => {}
        }
        match last {
            Some(_) if is_counted && !events.is_empty() => _ = seen.went_on.insert(number),
            None if is_counted && !events.is_empty() => seen.begun += 1,
            _ => {}
        }
        if last.is_none() && !events.is_empty() {
            first = Some(attempt);
        }
        for (id, version) in events {
            last = Some(id);
            versions.insert(version);
        }
        if versions.len() > 1 {
            seen.mixed.insert(number);
        }
        if is_whole && status == 200 {
            seen.whole += 1;
            return;
        }
        drop(seen);
        let third = until.saturating_duration_since(Instant::now()) / 3;
        thread::sleep(retry_after.map_or(PAUSE, |wait| wait.max(PAUSE).min(third)));
    }
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"buyer-brief\",\"host\":\"{HOST}\",\
         \"prefix\":\"/buyer-brief/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
         \"target_latency_ms\":900,\"priority\":1,\"service\":\"clip-models\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"clip-models\",\"health_path\":\"/health\",\"max_connections\":180,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"batch_slots\":16,\"kv_capacity\":34446,\
         \"kv_bytes\":163840,\"link_mbps\":1600000.0,\"moves\":true,\"backups\":true,\"stride\":1,\
         \"most\":12,\"kv_hold_s\":0.5,\"role_switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
