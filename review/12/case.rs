//! Case 12: a server fails a request that it has run with a 503 of its own, without `X-Not-Executed`, and
//! the entry passes that on as a promise that nothing ran.

#[path = "../stand-3/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Requests a second on the unsafe route, as on the sheet.
const RATE: f64 = 47.1;
const LENGTH: Duration = Duration::from_secs(12);
/// When the server begins to fail requests, and for how long: as `srv_grey` in the site file.
const FAILS_AT: Duration = Duration::from_secs(3);
const FAILS_FOR: Duration = Duration::from_millis(6_500);
/// Of a hundred requests of the failing server so many fail.
const FAILING: u64 = 45;
const WORK: Duration = Duration::from_millis(60);
const TIME_LIMIT: Duration = Duration::from_secs(3);

fn main() {
    run_case(case);
}

// One run of a request at a server.
struct Run {
    attempt: String,
    lot: String,
    server: usize,
    status: u16,
}

fn case(record: &Record) -> bool {
    let (folder, subnet, store) = (Folder::create(), Subnet::draw(), Store::default());
    let (listener, store_address) = subnet.listen(2);
    store.serve(listener);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let fails = Arc::new(AtomicBool::new(false));
    for server in 0..3 {
        let (listener, address) = subnet.listen(3 + server as u8);
        let id = format!("i-{server}");
        store.put("servers", &id, Some(plain_row("yard-app", address, unix_ms(), 1)));
        let (runs, fails, record, count) =
            (runs.clone(), fails.clone(), record.clone(), AtomicU64::new(0));
        serve(listener, move |request, stream| {
            if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
                return stream.write_all(&answer(421, &[], b"")).is_ok();
            }
            if request.path() == "/health" {
                let named = [("X-Instance-Id", id.as_str())];
                return stream.write_all(&answer(200, &named, b"")).is_ok();
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_string();
            thread::sleep(WORK);
            let number = count.fetch_add(1, Ordering::Relaxed);
            let is_failing = server == 0 && fails.load(Ordering::Relaxed);
            // The work is done; its result is not.
            let is_failed = is_failing && number * FAILING % 100 < FAILING;
            let (status, body): (u16, &[u8]) =
                if is_failed { (503, b"database unavailable\n") } else { (200, b"confirmed\n") };
            let lot = String::from_utf8_lossy(&request.body).into_owned();
            record.add(format!("server {id} ran {attempt} for {lot} and answers {status}"));
            runs.lock().unwrap().push(Run { attempt: attempt.clone(), lot, server, status });
            let seal = format!("{id}.{attempt}");
            let headers = [
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Response-Seal", seal.as_str()),
                ("X-Server-Load", "1,0,6"),
            ];
            stream.write_all(&answer(status, &headers, body)).is_ok()
        });
    }
    store.put("op", "config", Some(config()));
    let entries: Vec<_> = (0..2)
        .map(|number| {
            let text = settings(subnet, number, 2, store_address, &[]);
            start_entry(&folder.0, &format!("edge-{number}"), subnet.ip(10 + number), &text)
        })
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    thread::sleep(Duration::from_secs(1));

    // What each attempt was answered.
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let (started, mut clients) = (Instant::now(), Vec::new());
    for number in 0..(RATE * LENGTH.as_secs_f64()) as u64 {
        let due = started + Duration::from_secs_f64(number as f64 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let since = started.elapsed();
        let is_failing = has_trouble() && since >= FAILS_AT && since < FAILS_AT + FAILS_FOR;
        fails.store(is_failing, Ordering::Relaxed);
        let first = entries[number as usize % 2].frontend();
        let second = entries[(number as usize + 1) % 2].frontend();
        let (answers, record) = (answers.clone(), record.clone());
        clients.push(thread::spawn(move || confirm(number, [first, second], &answers, &record)));
    }
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));

    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let is_promise = |status: u16| [408, 421, 429, 503].contains(&status);
    let broken: Vec<_> = runs
        .iter()
        .filter(|run| answers.get(&run.attempt).copied().is_some_and(is_promise))
        .collect();
    let mut by_lot: BTreeMap<&str, u32> = BTreeMap::new();
    runs.iter().for_each(|run| *by_lot.entry(&run.lot).or_default() += 1);
    let doubled = by_lot.values().filter(|count| **count > 1).count();
    let failed = runs.iter().filter(|run| run.status == 503).count();
    record.say(format!(
        "{} requests, {} runs, {failed} of them failed by server i-0 with 503; {} were answered with a \
         promise that they have not run; {doubled} lots were confirmed more than once",
        answers.len(),
        runs.len(),
        broken.len()
    ));
    for run in broken.iter().take(3) {
        record.say(format!("REFUSED: {} ran at i-{} for {}", run.attempt, run.server, run.lot));
    }
    !broken.is_empty()
}

// Confirms one lot; after a promise that nothing ran it is sent once more, as clients do.
fn confirm(
    number: u64,
    entries: [std::net::SocketAddr; 2],
    answers: &Mutex<BTreeMap<String, u16>>,
    record: &Record,
) {
    let until = Instant::now() + TIME_LIMIT;
    for entry in entries {
        let attempt = next_attempt();
        let left = until.saturating_duration_since(Instant::now());
        let lot = format!("lot-{number}");
        record.add(format!("{attempt} is sent for {lot} to {entry}"));
        let call = Call::attempt("POST", "/lot-status/x", &attempt, left).body(lot.as_bytes());
        let reply = call.send(entry, left);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let seal = reply.as_ref().ok().and_then(|reply| reply.header("x-response-seal"));
        record.add(format!("{attempt} is answered {status}, seal {seal:?}"));
        answers.lock().unwrap().insert(attempt, status);
        if ![429, 503].contains(&status) {
            return;
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"lot-status\",\"host\":\"{HOST}\",\"prefix\":\"/lot-status/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"yard-app\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"yard-app\",\"health_path\":\"/health\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
