//! Clients of streams, which take them up again when they break.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

const LIMIT: Duration = Duration::from_secs(14);
/// Requests of a client for one stream, the first included.
const TRIES: usize = 5;

/// What differs between the cases.
#[derive(Clone, Copy)]
pub struct Traffic {
    /// Streams that begin a second, at all entries together.
    pub rate: f64,
    /// Events of a stream.
    pub events: u64,
    /// `contact_ms` of the site.
    pub contact: Duration,
}

pub struct Shared {
    traffic: Traffic,
    pub record: Mutex<Vec<String>>,
    begun: Instant,
    // Entries that take clients, with the start of their processes.
    entries: Mutex<Vec<(SocketAddr, Instant)>>,
    killed_at: Mutex<Option<Instant>>,
    pub is_over: AtomicBool,
    // Streams taken up at entries in touch, those of them that went on, the same of new streams.
    pub taken: AtomicU64,
    pub went_on: AtomicU64,
    pub new: AtomicU64,
    pub began: AtomicU64,
    pub mixed: AtomicU64,
}

impl Shared {
    pub fn new(traffic: Traffic) -> Arc<Shared> {
        Arc::new(Shared {
            traffic,
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
        })
    }

    /// Sets the entries that take clients, whose processes were started at these times.
    pub fn set_entries(&self, all: Vec<(SocketAddr, Instant)>) {
        *self.entries.lock().unwrap_or_else(|err| err.into_inner()) = all;
    }

    /// Records that entries are killed now.
    pub fn set_killed(&self) {
        *self.killed_at.lock().unwrap_or_else(|err| err.into_inner()) = Some(Instant::now());
    }

    pub fn add(&self, line: String) {
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

/// Begins streams until the run is over, and waits for their ends.
pub fn send_streams(shared: &Arc<Shared>) {
    let mut number = 0_u64;
    let mut callers = Vec::new();
    while !shared.is_over.load(Ordering::Relaxed) {
        number += 1;
        let caller = shared.clone();
        callers.push(thread::spawn(move || send_stream(&caller, number)));
        thread::sleep(Duration::from_secs_f64(1.0 / shared.traffic.rate));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

// One stream of a client, over all its tries.
fn send_stream(shared: &Shared, number: u64) {
    let begun = Instant::now();
    let first = format!("s-{number}-0");
    let mut origin = None;
    let mut versions = BTreeSet::new();
    let mut last = None;
    let (mut is_counted, mut is_on) = (false, false);
    for attempt in 0..TRIES {
        let entries = shared.entries();
        let place = (number as usize).wrapping_mul(7) + attempt;
        let (address, started) = entries[place % entries.len()];
        let id = format!("s-{number}-{attempt}");
        let sent = Instant::now();
        let is_in_touch = sent.duration_since(started) > shared.traffic.contact;
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
        if last == Some(shared.traffic.events - 1) {
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
        shared.add(format!("{first} has events of {versions:?}"));
        shared.mixed.fetch_add(1, Ordering::Relaxed);
    }
}

// Sends one request and reads its events. Returns what became of it and the `Retry-After`.
fn receive(
    address: SocketAddr,
    id: &str,
    resumes: Option<&str>,
    last: &mut Option<u64>,
    versions: &mut BTreeSet<String>,
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
