//! Streams that clients take up again after all entries have ended at once.

use std::fs;
use std::io::Write;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::entry::{Entry, Settings, Subnet};
use crate::http;
use crate::store::Store;

/// Engines of the version that serves from the start, and of the one that is added.
const ENGINES: u8 = 6;
/// Streams that begin a second, at all entries together.
const RATE: f64 = 18.0;
const ENTRIES: u8 = 4;
const EVENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(250);
const LIMIT: Duration = Duration::from_secs(14);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests of a client for one stream, the first included.
const TRIES: usize = 5;
/// Time before the removal, between the removal and the kill, and after it.
const CALM: Duration = Duration::from_secs(10);
const BETWEEN: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(20);
const DOWN: Duration = Duration::from_secs(1);

struct Shared {
    record: Mutex<Vec<String>>,
    begun: Instant,
    // Entries that take clients, with the start of their processes.
    entries: Mutex<Vec<(SocketAddr, Instant)>>,
    killed_at: Mutex<Option<Instant>>,
    is_over: AtomicBool,
    // Streams taken up at entries in touch, those of them that went on, the same of new streams.
    taken: AtomicU64,
    went_on: AtomicU64,
    new: AtomicU64,
    began: AtomicU64,
    mixed: AtomicU64,
}

impl Shared {
    fn add(&self, line: String) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap_or_else(|err| err.into_inner());
        record.push(format!("{at:.3} {line}"));
    }

    fn entries(&self) -> Vec<(SocketAddr, Instant)> {
        self.entries.lock().unwrap_or_else(|err| err.into_inner()).clone()
    }

    fn killed_at(&self) -> Option<Instant> {
        *self.killed_at.lock().unwrap_or_else(|err| err.into_inner())
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let shared = Arc::new(Shared {
        record: Mutex::default(),
        begun: Instant::now(),
        entries: Mutex::default(),
        killed_at: Mutex::default(),
        is_over: AtomicBool::new(false),
        taken: AtomicU64::new(0),
        went_on: AtomicU64::new(0),
        new: AtomicU64::new(0),
        began: AtomicU64::new(0),
        mixed: AtomicU64::new(0),
    });
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let code = play(&dir, has_trouble, &shared);
    let _ = fs::remove_dir_all(&dir);
    let mut file = fs::File::create(folder.join("record.txt")).expect("the record can be written");
    for line in shared.record.lock().unwrap_or_else(|err| err.into_inner()).iter() {
        let _ = writeln!(file, "{line}");
    }
    code
}

fn play(dir: &Path, has_trouble: bool, shared: &Arc<Shared>) -> i32 {
    let subnet = Subnet::take();
    let store = Store::start(subnet.at(2, 8142));
    let add = |number: u8, version: &str| {
        let (id, at) = (format!("i-{number}"), subnet.at(20 + number, 8080));
        let engine = Engine::start(&id, version, at, EVENTS, PAUSE);
        store.put("servers", &id, Some(&engine.row("clip", "z-a", at, 16)));
        engine
    };
    let mut engines: Vec<_> = (0..ENGINES).map(|number| add(number, "v1")).collect();
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: 110, store: subnet.at(2, 8142), params: PARAMS };
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    let start = Instant::now();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        shared.add("an entry is not ready".to_string());
        return 2;
    }
    let set_entries = |entries: &[Entry], at: Instant| {
        let all = entries.iter().map(|entry| (entry.frontend(), at)).collect();
        *shared.entries.lock().unwrap_or_else(|err| err.into_inner()) = all;
    };
    set_entries(&entries, start);
    let callers = {
        let shared = shared.clone();
        thread::spawn(move || send_streams(&shared))
    };
    thread::sleep(CALM);
    if has_trouble && let Some(mut entry) = entries.pop() {
        set_entries(&entries, start);
        entry.stop(Duration::from_secs(9));
        shared.add("an entry is removed for good, after SIGTERM".to_string());
    }
    thread::sleep(BETWEEN);
    // Nobody is in touch while they are down.
    set_entries(&entries, Instant::now());
    *shared.killed_at.lock().unwrap_or_else(|err| err.into_inner()) = Some(Instant::now());
    entries.iter_mut().for_each(Entry::kill);
    shared.add("all entries are killed".to_string());
    engines.push(add(ENGINES, "v2"));
    shared.add("an engine with version v2 is added".to_string());
    thread::sleep(DOWN);
    entries.iter_mut().for_each(Entry::restart);
    set_entries(&entries, Instant::now());
    shared.add("the entries are started again".to_string());
    thread::sleep(AFTER);
    shared.is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    thread::sleep(Duration::from_secs(1));
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (taken, went_on) = (read(&shared.taken), read(&shared.went_on));
    let (new, began, mixed) = (read(&shared.new), read(&shared.began), read(&shared.mixed));
    let is_broken =
        taken >= 12 && went_on as f64 / taken as f64 * 2.0 < began as f64 / new.max(1) as f64;
    let text = format!(
        "of {taken} streams taken up at entries in touch {went_on} went on, of {new} new ones {began} began; {mixed} streams have events of two versions; LOST broken: {is_broken}"
    );
    shared.add(text.clone());
    println!("{text}");
    i32::from(is_broken)
}

fn send_streams(shared: &Arc<Shared>) {
    let mut number = 0_u64;
    let mut callers = Vec::new();
    while !shared.is_over.load(Ordering::Relaxed) {
        let shared = shared.clone();
        number += 1;
        callers.push(thread::spawn(move || send_stream(&shared, number)));
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

// One stream of a client, over all its tries.
fn send_stream(shared: &Shared, number: u64) {
    let begun = Instant::now();
    let first = format!("s-{number}-0");
    let mut origin = None;
    let mut versions = std::collections::BTreeSet::new();
    let mut last = None;
    let (mut is_counted, mut is_on) = (false, false);
    for attempt in 0..TRIES {
        let entries = shared.entries();
        let place = (number as usize).wrapping_mul(7) + attempt;
        let (address, started) = entries[place % entries.len()];
        let id = format!("s-{number}-{attempt}");
        let sent = Instant::now();
        let is_in_touch = sent.duration_since(started) > CONTACT;
        let is_after = shared.killed_at().is_some_and(|at| sent > at);
        let Some(left) = LIMIT.checked_sub(begun.elapsed()) else { break };
        let before = last;
        let (end, retry) = receive(address, &id, origin.as_deref(), &mut last, &mut versions, left);
        let has_event = last != before;
        if origin.is_none() && has_event {
            origin = Some(id.clone());
        }
        if is_after && before.is_none() && attempt == 0 && is_in_touch {
            shared.new.fetch_add(1, Ordering::Relaxed);
            shared.began.fetch_add(u64::from(has_event), Ordering::Relaxed);
        }
        if is_after && before.is_some() {
            shared.add(format!("{id} at {address} takes {first} up after event {before:?}: {end}, now {last:?}, in touch: {is_in_touch}"));
            if is_in_touch {
                is_counted = true;
                is_on |= has_event;
            }
        } else {
            shared.add(format!("{id} at {address}: {end}, events to {last:?}"));
        }
        if last == Some(EVENTS - 1) {
            break;
        }
        // Within a third of the time that is left, no sooner than the answer asks.
        let left = LIMIT.saturating_sub(begun.elapsed());
        let draw = (number.wrapping_mul(2_654_435_761) >> 8) % 100;
        let wait = (left / 3).mul_f64(0.5 + draw as f64 / 200.0);
        thread::sleep(wait.max(retry.unwrap_or_default().min(left / 3)));
    }
    if is_counted {
        shared.taken.fetch_add(1, Ordering::Relaxed);
        shared.went_on.fetch_add(u64::from(is_on), Ordering::Relaxed);
    }
    if versions.len() > 1 {
        shared.mixed.fetch_add(1, Ordering::Relaxed);
    }
}

// Sends one request and reads its events. Returns what became of it and the `Retry-After`.
fn receive(
    address: SocketAddr,
    id: &str,
    resumes: Option<&str>,
    last: &mut Option<u64>,
    versions: &mut std::collections::BTreeSet<String>,
    left: Duration,
) -> (String, Option<Duration>) {
    let connecting = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let Ok(mut stream) = connecting else { return ("not connected".to_string(), None) };
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let _ = stream.set_nodelay(true);
    let deadline = left.as_millis().to_string();
    let (prefix, after) = (format!("5c1e07a2:200,{id}:3000"), last.map(|last| last.to_string()));
    let mut headers = vec![
        ("Host", "clip.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", &deadline),
        ("X-Model", "m"),
        ("X-Token-Usage", "3200,70"),
        ("X-Prompt-Prefix", &prefix),
    ];
    if let (Some(after), Some(resumes)) = (&after, resumes) {
        headers.extend([("Last-Event-Id", after.as_str()), ("Resumes", resumes)]);
    }
    let Ok(shared) = stream.try_clone() else { return ("no socket".to_string(), None) };
    let mut reader = BufReader::new(shared);
    if http::write(&mut stream, "POST /brief/x HTTP/1.1", &headers, b"prompt").is_err() {
        return ("not sent".to_string(), None);
    }
    let head = match http::read_head(&mut reader) {
        Ok(Some(head)) => head,
        Ok(None) => return ("closed without an answer".to_string(), None),
        Err(err) => return (format!("no answer: {err}"), None),
    };
    if head.status() != 200 {
        let mut head = head;
        let _ = http::read_body(&mut reader, &mut head, || ());
        let retry = head.header("retry-after").and_then(|text| text.parse().ok());
        let reason = String::from_utf8_lossy(&head.body);
        let reason = reason.split(':').next().unwrap_or_default().trim().to_string();
        return (format!("{} {reason}", head.status()), retry.map(Duration::from_secs_f64));
    }
    let mut event = None;
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => return ("cut off".to_string(), None),
            Err(err) => return (format!("cut off: {err}"), None),
            Ok(_) => {}
        }
        // Lines with the sizes of chunks are ignored, but for that of the last one.
        match line.trim_end() {
            "0" => return ("complete".to_string(), None),
            text if text.starts_with("id: ") => event = text[4..].parse().ok(),
            text if text.starts_with("data: ") => {
                if let Some(id) = event.take() {
                    *last = Some(id);
                    versions.insert(text[6..].split(' ').next().unwrap_or_default().to_string());
                }
            }
            _ => {}
        }
    }
}

const PARAMS: &[(&str, &str)] = &[
    ("contact_ms", "3000"),
    ("drain_ms", "2000"),
    ("grace_s", "8"),
    ("config_deadline_ms", "2000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "56"),
    ("lease_ms", "3000"),
    ("require_fencing", "true"),
];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"brief","host":"clip.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"clip","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"clip","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{"batch_slots":16,"kv_capacity":34446,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":9,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
