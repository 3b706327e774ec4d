//! Servers that come back under their ids with another version, and the end of entries soon after.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Pace};
use crate::entry::{Entry, Settings, Subnet};
use crate::store::Store;
use crate::streams::{self, Shared, Traffic};

const ENTRIES: u8 = 4;
const ENGINES: u8 = 12;
/// Entries that are killed at once.
const KILLED: usize = 2;
/// Engines that are replaced in place.
const REPLACED: u8 = 3;
const EVENTS: u64 = 8;
/// The first event meets its objective of 900 ms, and the pauses are allowed.
const FIRST: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(250);
const CALM: Duration = Duration::from_secs(12);
/// Time for which a replaced engine is down.
const ENGINE_DOWN: Duration = Duration::from_millis(800);
/// Time after which it has written its entry: less than `heartbeat_ms`.
const REGISTER: Duration = Duration::from_millis(600);
/// Time from then to the end of the entries.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(15);

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let traffic = Traffic { rate: 48.0, events: EVENTS, contact: Duration::from_secs(4) };
    let shared = Shared::new(traffic);
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
    let place = |number: u8| (format!("i-{number}"), subnet.at(20 + number, 8080));
    let start = |number: u8, version: &str| {
        let (id, at) = place(number);
        Engine::start(&id, version, at, Pace { events: EVENTS, first: FIRST, pause: PAUSE })
    };
    let register = |number: u8, engine: &Engine| {
        let (id, at) = place(number);
        store.put("servers", &id, Some(&engine.row("clip", "z-a", at, 32)));
    };
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = start(number, "v1");
        register(number, &engine);
        engines.push(engine);
    }
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: 110, store: subnet.at(2, 8142), params: PARAMS };
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    let at = Instant::now();
    let mut all: Vec<_> = entries.iter().map(|entry| (entry.frontend(), at)).collect();
    shared.set_entries(all.clone());
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        shared.add("an entry is not ready".to_string());
        return 2;
    }
    let callers = {
        let shared = shared.clone();
        thread::spawn(move || streams::send_streams(&shared))
    };
    thread::sleep(CALM);
    engines[..usize::from(REPLACED)].iter().for_each(Engine::crash);
    shared.add(format!("{REPLACED} of {ENGINES} engines end"));
    thread::sleep(ENGINE_DOWN);
    for number in 0..REPLACED {
        engines[usize::from(number)] = start(number, "v2");
    }
    shared.add("they are back under their ids with version v2".to_string());
    thread::sleep(REGISTER);
    for number in 0..REPLACED {
        register(number, &engines[usize::from(number)]);
    }
    shared.add("they have written their entries".to_string());
    thread::sleep(BEFORE_KILL);
    if has_trouble {
        shared.set_killed();
        shared.set_entries(all[KILLED..].to_vec());
        entries[..KILLED].iter_mut().for_each(Entry::kill);
        shared.add(format!("{KILLED} of {ENTRIES} entries are killed"));
        thread::sleep(DOWN);
        entries[..KILLED].iter_mut().for_each(Entry::restart);
        all[..KILLED].iter_mut().for_each(|(_, started)| *started = Instant::now());
        shared.set_entries(all);
        shared.add("they are started again".to_string());
    }
    thread::sleep(AFTER);
    shared.is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    let mixed = shared.mixed.load(Ordering::Relaxed);
    let is_broken = mixed > 2;
    let text = format!("{mixed} streams have events of two versions; ORDER broken: {is_broken}");
    shared.add(text.clone());
    println!("{text}");
    i32::from(is_broken)
}

const PARAMS: &[(&str, &str)] = &[
    ("contact_ms", "4000"),
    ("drain_ms", "3000"),
    ("grace_s", "8"),
    ("config_deadline_ms", "3000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "88"),
    ("lease_ms", "3000"),
    ("require_fencing", "true"),
];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"brief","host":"clip.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"clip","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"clip","health_path":"/health","max_connections":340,"protocol":"h1","tls":false,"engine":{"batch_slots":32,"kv_capacity":25385,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":9,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
