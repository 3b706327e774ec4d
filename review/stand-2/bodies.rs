//! Requests with bodies as long as the config allows, to servers that read slowly.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome, Request};
use crate::entry::{Entry, Settings, Subnet};
use crate::server::Server;
use crate::store::Store;

/// `max_body_bytes` in the config.
const BODY_BYTES: usize = 4_194_304;
/// Memory of the smallest entries of the site.
const MEMORY_MB: u64 = 96;
const ENTRIES: u8 = 2;
/// Requests a second at each entry.
const RATE: f64 = 16.0;
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_secs(4);
const LIMIT: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 32;
/// Time before the servers turn slow.
const CALM: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(30);
/// Rate at which slow servers read a body: one of that length takes 1.33 s.
const READ_RATE: u64 = 3 << 20;

struct Record {
    lines: Mutex<Vec<String>>,
    begun: Instant,
}

impl Record {
    fn add(&self, line: String) {
        let at = self.begun.elapsed().as_secs_f64();
        self.lines.lock().unwrap_or_else(|err| err.into_inner()).push(format!("{at:.3} {line}"));
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record { lines: Mutex::default(), begun: Instant::now() });
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let code = play(&dir, has_trouble, &record);
    let _ = fs::remove_dir_all(&dir);
    let mut file = fs::File::create(folder.join("record.txt")).expect("the record can be written");
    for line in record.lines.lock().unwrap_or_else(|err| err.into_inner()).iter() {
        let _ = writeln!(file, "{line}");
    }
    code
}

fn play(dir: &Path, has_trouble: bool, record: &Arc<Record>) -> i32 {
    let subnet = Subnet::take();
    let store = Store::start(subnet.at(2, 8142));
    let mut servers = Vec::new();
    for number in 0..3_u8 {
        let id = format!("i-{number}");
        let at = subnet.at(20 + number, 8080);
        let (server, address) = Server::start(&id, at, 6, Duration::from_millis(30));
        store.put("servers", &id, Some(&format!(
            r#"{{"service":"pantry","address":"{address}","zone":"z-a","version":"v1","batch_slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{number}}}"#
        )));
        servers.push(server);
    }
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: MEMORY_MB, store: subnet.at(2, 8142), params: PARAMS };
    let entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.add("an entry is not ready".to_string());
        return 2;
    }
    record.add("the entries are ready".to_string());
    let begun = Instant::now();
    let (is_over, is_ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let frontends: Vec<_> = entries.iter().map(Entry::frontend).collect();
    let watchers: Vec<_> = entries
        .into_iter()
        .enumerate()
        .map(|(number, entry)| {
            let (is_ended, record) = (is_ended.clone(), record.clone());
            thread::spawn(move || watch(number, entry, &is_ended, &record))
        })
        .collect();
    let lost = Arc::new(Mutex::new(BTreeMap::<usize, Vec<String>>::new()));
    let count = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = frontends
        .into_iter()
        .enumerate()
        .flat_map(|(number, frontend)| (0..CLIENTS).map(move |client| (number, client, frontend)))
        .map(|(number, client, frontend)| {
            let (is_over, record) = (is_over.clone(), record.clone());
            let (lost, count) = (lost.clone(), count.clone());
            thread::spawn(move || {
                let mut connection = Client::new(frontend);
                let body = vec![b'b'; BODY_BYTES];
                let gap = Duration::from_secs_f64(CLIENTS as f64 / RATE);
                let mut next = Instant::now() + gap.mul_f64(client as f64 / CLIENTS as f64);
                let mut seq = 0;
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + gap).max(Instant::now());
                    seq += 1;
                    let attempt = format!("a-{number}-{client}-{seq}");
                    let is_safe = client % 7 < 2;
                    let path = if is_safe { "/box/x" } else { "/plan/x" };
                    let request = Request {
                        method: "POST",
                        host: "pantry.example",
                        path,
                        attempt: &attempt,
                        headers: &[],
                        body: &body,
                        limit: LIMIT,
                    };
                    let sent = Instant::now();
                    let outcome = connection.send(&request);
                    let took = sent.elapsed().as_millis();
                    count.fetch_add(1, Ordering::Relaxed);
                    let kept = connection.was_kept;
                    match outcome {
                        Outcome::Answered(answer) => {
                            record.add(format!("{attempt} {path} answered {} in {took} ms", answer.status()));
                        }
                        Outcome::Unsent(err) => record.add(format!("{attempt} {path} not sent whole: {err}")),
                        Outcome::GivenUp => record.add(format!("{attempt} {path} given up by the client after {took} ms")),
                        Outcome::Lost(err) => {
                            record.add(format!("{attempt} {path} lost after {took} ms, kept connection: {kept}: {err}"));
                            if kept && begun.elapsed() > CONTACT {
                                let mut lost = lost.lock().unwrap_or_else(|err| err.into_inner());
                                lost.entry(number).or_default().push(attempt);
                            }
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    if has_trouble {
        record.add("the servers read slowly from now on".to_string());
        servers.iter().for_each(|server| server.set_read_rate(Some(READ_RATE)));
    }
    thread::sleep(LENGTH);
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    is_ended.store(true, Ordering::Relaxed);
    let ends: Vec<usize> =
        watchers.into_iter().map(|watcher| watcher.join().unwrap_or(0)).collect();
    let mut runs = BTreeMap::<String, u32>::new();
    for server in &servers {
        for (attempt, count) in server.runs() {
            *runs.entry(attempt).or_default() += count;
        }
    }
    let lost = lost.lock().unwrap_or_else(|err| err.into_inner()).clone();
    let mut most_lost = 0;
    for number in 0..usize::from(ENTRIES) {
        let lost = lost.get(&number).cloned().unwrap_or_default();
        let passed_on = lost.iter().filter(|attempt| runs.contains_key(*attempt)).count();
        let ran = lost
            .iter()
            .filter(|attempt| runs.get(*attempt).is_some_and(|count| *count > 0))
            .count();
        most_lost = most_lost.max(passed_on);
        let lost = lost.len();
        record.add(format!(
            "entry {number}: {lost} whole requests lost on kept connections, {passed_on} of them passed on to a server, {ran} run"
        ));
    }
    let is_lost = most_lost > 3;
    let is_fault = ends.iter().filter(|count| **count >= 3).count() >= 2;
    let (count, runs) = (count.load(Ordering::Relaxed), runs.values().sum::<u32>());
    record.add(format!("{count} requests, {runs} runs; ends by entry {ends:?}"));
    record.add(format!("LOST broken: {is_lost}; fault (two entries end three times): {is_fault}"));
    println!(
        "LOST broken: {is_lost} (most lost at one entry: {most_lost}); ends by entry {ends:?}"
    );
    i32::from(is_lost)
}

// Ends a process that exceeds its memory and starts it again, as the platform does. Returns how often.
fn watch(number: usize, mut entry: Entry, is_ended: &AtomicBool, record: &Record) -> usize {
    let (mut ends, mut peak) = (0, 0);
    while !is_ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(10));
        let memory = entry.memory();
        peak = peak.max(memory);
        let ended = entry.ended();
        if ended.is_none() && memory <= MEMORY_MB << 20 {
            continue;
        }
        ends += 1;
        record
            .add(format!("entry {number} ended: {} MB of {MEMORY_MB} MB, {ended:?}", memory >> 20));
        entry.kill();
        thread::sleep(Duration::from_secs(1));
        entry.restart();
        entry.wait_ready(Duration::from_secs(10));
    }
    record.add(format!("entry {number}: most memory {} MB, {ends} ends", peak >> 20));
    ends
}

const PARAMS: &[(&str, &str)] = &[
    ("contact_ms", "4000"),
    ("drain_ms", "3000"),
    ("grace_s", "8"),
    ("config_deadline_ms", "3000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "90"),
    ("lease_ms", "3000"),
    ("require_fencing", "true"),
];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"plan-save","host":"pantry.example","prefix":"/plan/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":200,"priority":1,"service":"pantry","max_attempts":2},
{"name":"box-read","host":"pantry.example","prefix":"/box/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"pantry","max_attempts":2}],
"services":[{"name":"pantry","health_path":"/health","max_connections":210,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
