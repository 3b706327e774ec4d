//! Stand-ins of the users' platform and helpers for the cases 11 to 15, with the standard library only.
//!
//! The store follows the page PROTOCOL.md: rows with versions of one counter, conditions, feeds that wait,
//! and objects. It never fails by itself. Servers are functions that answer one request each.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{env, fs, process, thread};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// What happened, with the seconds since the start, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        Record { start: Instant::now(), lines: Arc::default(), path }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} s  {}", text.as_ref()));
    }

    /// Adds a line that is also shown on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    pub fn save(&self) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(err) = fs::write(&self.path, text) {
            eprintln!("{}: {err}", self.path.display());
        }
    }
}

/// Runs a case, saves its record and ends with 1 if the rule was broken, 0 if it held, and 2 if the case
/// could not run.
pub fn run_case(case: fn(&Record) -> bool) -> ! {
    let folder = env::args().nth(1).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let record = Record::new(folder.join("record.txt"));
    record.add(if has_trouble() { "with the disruption" } else { "without the disruption" });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record)));
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.say(["the rule held", "the rule is broken", "the case could not run"][code as usize]);
    record.save();
    process::exit(code)
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self) -> HashMap<String, String> {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.map(|(name, value)| (decode_url(name), decode_url(value))).collect()
    }
}

fn decode_url(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads one request with a length or in chunks; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_headers(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut request = Request {
        method: method.to_string(),
        target: target.to_string(),
        headers,
        body: Vec::new(),
    };
    if request.header("transfer-encoding").is_some() {
        while let Some(part) = read_chunk(reader)? {
            request.body.extend(part);
        }
    } else {
        let length = request.header("content-length").and_then(|text| text.parse().ok());
        request.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut part = vec![0; size + 2];
    reader.read_exact(&mut part)?;
    part.truncate(size);
    Ok((size > 0).then_some(part))
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// Serves a listener with one thread a connection; `handle` answers a request on its stream and returns
/// whether the connection is kept.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handle(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

#[derive(Default)]
struct Rows {
    version: u64,
    // By table and key: the version of the last change and the value, none if the row was removed.
    rows: BTreeMap<(String, String), (u64, Option<Vec<u8>>)>,
    blobs: BTreeMap<String, Vec<u8>>,
    // Whether all calls are refused.
    is_busy: bool,
}

impl Store {
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        let started = Instant::now();
        serve(listener, move |request, stream| {
            let (status, body) = store.handle(request, started);
            let kind = [("Content-Type", "application/json")];
            stream.write_all(&answer(status, &kind, &body)).is_ok()
        });
    }

    /// Writes a row as the operator or a server does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (rows, changed) = &*self.0;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(String::into_bytes);
        rows.rows.insert((table.to_string(), key.to_string()), (version, value));
        changed.notify_all();
        version
    }

    /// Sets whether the store refuses all calls of the system with 503.
    pub fn set_busy(&self, is_busy: bool) {
        self.0.0.lock().unwrap().is_busy = is_busy;
        self.0.1.notify_all();
    }

    /// Values of a table by key.
    pub fn table(&self, table: &str) -> BTreeMap<String, Vec<u8>> {
        let rows = self.0.0.lock().unwrap();
        let own = rows.rows.iter().filter(|((known, _), _)| known == table);
        own.filter_map(|((_, key), (_, value))| Some((key.clone(), value.clone()?))).collect()
    }

    fn handle(&self, request: &Request, started: Instant) -> (u16, Vec<u8>) {
        let (rows, changed) = &*self.0;
        let query = request.query();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let now_ms = started.elapsed().as_millis() as u64 + 1;
        if rows.lock().unwrap().is_busy {
            return (503, Vec::new());
        }
        match request.path() {
            "/v1/rows-get" => {
                let rows = rows.lock().unwrap();
                let (from, to, table) = (text("from"), text("to"), text("table"));
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                let all = rows.rows.iter().filter(|((known, key), (_, value))| {
                    *known == table
                        && *key >= from
                        && (to.is_empty() || *key < to)
                        && value.is_some()
                });
                let mut all: Vec<_> = all.map(row_json).collect();
                let has_more = all.len() > limit;
                all.truncate(limit);
                let (list, version) = (all.join(","), rows.version);
                let body = format!(
                    "{{\"rows\":[{list}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now_ms}}}"
                );
                (200, body.into_bytes())
            }
            "/v1/rows-feed" => {
                let (table, after) = (text("table"), number("after").unwrap_or(0));
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut rows = rows.lock().unwrap();
                loop {
                    let news = rows
                        .rows
                        .iter()
                        .filter(|((known, _), (version, _))| *known == table && *version > after);
                    let mut news: Vec<_> = news.collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !news.is_empty() || left.is_zero() {
                        news.sort_by_key(|(_, (version, _))| *version);
                        let list: Vec<_> = news.into_iter().map(row_json).collect();
                        let (list, version) = (list.join(","), rows.version);
                        let body =
                            format!("{{\"rows\":[{list}],\"ver\":{version},\"now_ms\":{now_ms}}}");
                        return (200, body.into_bytes());
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let mut rows = rows.lock().unwrap();
                let key = |row: &Json| (row.text("table"), row.text("key"));
                let known = |rows: &Rows, key: &(String, String)| {
                    rows.rows.get(key).filter(|(_, value)| value.is_some()).map_or(0, |row| row.0)
                };
                let expected = body.list("expected");
                if expected.iter().any(|row| known(&rows, &key(row)) != row.number("ver")) {
                    let current: Vec<_> = expected
                        .iter()
                        .filter_map(|row| rows.rows.get_key_value(&key(row)))
                        .filter(|(_, (_, value))| value.is_some())
                        .map(row_json)
                        .collect();
                    let (list, version) = (current.join(","), rows.version);
                    let body =
                        format!("{{\"rows\":[{list}],\"ver\":{version},\"now_ms\":{now_ms}}}");
                    return (412, body.into_bytes());
                }
                rows.version += 1;
                let version = rows.version;
                for row in body.list("writes") {
                    let value = Some(from_base64(&row.text("value")));
                    rows.rows.insert(key(row), (version, value));
                }
                for row in body.list("remove") {
                    rows.rows.insert(key(row), (version, None));
                }
                changed.notify_all();
                (200, format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}").into_bytes())
            }
            path => {
                let mut rows = rows.lock().unwrap();
                let (call, name) =
                    path.trim_start_matches("/v1/").split_once('/').unwrap_or(("", ""));
                let name = decode_url(name);
                match call {
                    "blob-put" => {
                        rows.blobs.insert(name, request.body.clone());
                        (200, Vec::new())
                    }
                    "blob-get" => match rows.blobs.get(&name) {
                        Some(blob) => (200, blob.clone()),
                        None => (404, Vec::new()),
                    },
                    "blob-drop" => {
                        rows.blobs.remove(&name);
                        (200, Vec::new())
                    }
                    _ if path == "/v1/blob-list" => {
                        (200, b"{\"names\":[],\"has_more\":false}".to_vec())
                    }
                    _ => (404, Vec::new()),
                }
            }
        }
    }
}

fn row_json(
    ((table, key), (version, value)): (&(String, String), &(u64, Option<Vec<u8>>)),
) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{}\"", to_base64(value)),
        None => "\"deleted\":true".to_string(),
    };
    let key = key.replace('\\', "\\\\").replace('"', "\\\"");
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{content}}}")
}

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .enumerate()
            .fold(0u32, |word, (at, byte)| word | u32::from(*byte) << (16 - 8 * at));
        for at in 0..4 {
            let index = (word >> (18 - 6 * at) & 63) as usize;
            out.push(if at <= part.len() { char::from(BASE64[index]) } else { '=' });
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(index) = BASE64.iter().position(|known| *known == byte) else { continue };
        word = word << 6 | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

/// A parsed JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        parse_json(&chars, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(known, _)| known == name).map_or(&Json::Null, |field| &field.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn parse_json(text: &[char], at: &mut usize) -> Json {
    let skip = |at: &mut usize| {
        while text.get(*at).is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
            *at += 1;
        }
    };
    skip(at);
    match text.get(*at) {
        Some('{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(at);
                if text.get(*at).is_none_or(|c| *c == '}') {
                    *at += 1;
                    return Json::Object(fields);
                }
                let Json::Text(name) = parse_json(text, at) else { return Json::Null };
                fields.push((name, parse_json(text, at)));
            }
        }
        Some('[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(at);
                if text.get(*at).is_none_or(|c| *c == ']') {
                    *at += 1;
                    return Json::List(items);
                }
                items.push(parse_json(text, at));
            }
        }
        Some('"') => {
            *at += 1;
            let mut out = String::new();
            while let Some(c) = text.get(*at).copied().filter(|c| *c != '"') {
                *at += 1;
                if c != '\\' {
                    out.push(c);
                    continue;
                }
                let escaped = text.get(*at).copied().unwrap_or_default();
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let code: String = text[*at..*at + 4].iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&code, 16).unwrap_or(0xfffd);
                        out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    other => out.push(other),
                }
            }
            *at += 1;
            Json::Text(out)
        }
        Some(_) => {
            let start = *at;
            while text.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            if *at == start {
                *at += 1;
            }
            match word.as_str() {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                word => word.parse().map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}

/// Loopback addresses of one run, `127.X.Y.0/24`, drawn so that runs beside each other do not meet.
#[derive(Clone, Copy)]
pub struct Subnet([u8; 2]);

impl Subnet {
    pub fn draw() -> Subnet {
        let mut seed = u64::from(process::id()) << 32 ^ unix_ms();
        loop {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let subnet = Subnet([64 + (seed >> 40 & 127) as u8, (seed >> 50 & 255) as u8]);
            // The port stays taken as long as this program runs.
            if let Ok(listener) = TcpListener::bind((subnet.ip(1), 7_000)) {
                std::mem::forget(listener);
                return subnet;
            }
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], host))
    }

    pub fn listen(&self, host: u8) -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind((self.ip(host), 0)).expect("a loopback port is free");
        let address = listener.local_addr().expect("it is bound");
        (listener, address)
    }
}

/// Open connections of one process of a server.
#[derive(Default)]
pub struct Connections(Mutex<(u64, BTreeMap<u64, TcpStream>)>);

impl Connections {
    /// Adds a connection and returns its number.
    pub fn add(&self, stream: &TcpStream) -> u64 {
        let mut open = self.0.lock().unwrap();
        open.0 += 1;
        let number = open.0;
        if let Ok(clone) = stream.try_clone() {
            open.1.insert(number, clone);
        }
        number
    }

    pub fn remove(&self, number: u64) {
        self.0.lock().unwrap().1.remove(&number);
    }

    /// Ends all of them, as the system does for a process that is killed.
    pub fn end(&self) {
        for connection in std::mem::take(&mut self.0.lock().unwrap().1).into_values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Fills the queue of connections that nobody accepts at an address, so that further ones are not answered.
pub fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(20)).ok();
    std::iter::from_fn(connect).collect()
}

/// A running entry, killed on drop.
pub struct Entry {
    pub child: Child,
    pub name: String,
    pub ip: IpAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
}

/// Root of the repository, from which the deploy file's command is started.
pub fn root() -> PathBuf {
    let own = env::current_exe().expect("the program has a path");
    let own = own.ancestors().find(|path| path.join("deploy/system.toml").exists());
    own.map_or_else(|| env::current_dir().expect("there is a folder"), Path::to_path_buf)
}

/// Settings of an entry of a small deployment; `more` replaces or adds lines.
pub fn settings(
    subnet: Subnet,
    number: u8,
    entries: u8,
    store: SocketAddr,
    more: &[(&str, &str)],
) -> String {
    let ip = subnet.ip(10 + number);
    let seeds: Vec<_> =
        (0..entries.min(3)).map(|seed| format!("{}:8146", subnet.ip(10 + seed))).collect();
    let mut lines = vec![
        ("node_name", format!("edge-sfax-hall-a-{}", number + 1)),
        ("role", "entry".to_string()),
        ("instance_class", "edge".to_string()),
        ("serves", "edge,control".to_string()),
        ("ip", ip.to_string()),
        ("zone", "sfax-hall-a".to_string()),
        ("region", "sfax".to_string()),
        ("zones.sfax-hall-a", "sfax".to_string()),
        ("bind.frontend", format!("{ip}:8144")),
        ("bind.ready", format!("{ip}:8140")),
        ("bind.admin", format!("{ip}:8146")),
        ("port_range", "7660,7675".to_string()),
        ("seed_nodes", seeds.join(",")),
        ("bootstrap", "true".to_string()),
        ("limits.memory_mb", "110".to_string()),
        ("limits.max_fds", "4100".to_string()),
        ("heartbeat_ms", "1200".to_string()),
        ("contract_params.contact_ms", "3000".to_string()),
        ("contract_params.drain_ms", "2000".to_string()),
        ("contract_params.grace_s", "8".to_string()),
        ("contract_params.loss_slack_ms", "200".to_string()),
        ("contract_params.config_deadline_ms", "2000".to_string()),
        ("contract_params.retry_budget_ratio", "0.2".to_string()),
        ("contract_params.budget_window_s", "10".to_string()),
        ("contract_params.budget_slack", "56".to_string()),
        ("contract_params.lease_ms", "3000".to_string()),
        ("contract_params.thaw_ms", "300".to_string()),
        ("platform.address", store.to_string()),
        ("platform.form", "table".to_string()),
    ];
    for (key, value) in more {
        lines.retain(|(known, _)| known != key);
        lines.push((key, value.to_string()));
    }
    lines.iter().map(|(key, value)| format!("{key}={value}\n")).collect()
}

/// Starts the command of the deploy file.
pub fn start_entry(folder: &Path, name: &str, ip: IpAddr, settings: &str) -> Entry {
    let (file, log) = (folder.join(format!("{name}.conf")), folder.join(format!("{name}.log")));
    fs::write(&file, settings).expect("the settings can be written");
    let child = spawn_entry(&file, &log);
    Entry { child, name: name.to_string(), ip, settings: file, log }
}

fn spawn_entry(settings: &Path, log: &Path) -> Child {
    let root = root();
    let mut command = Command::new(root.join("target/release/rhubarb-edge"));
    let output = fs::OpenOptions::new().create(true).append(true).open(log);
    command.current_dir(&root).env_clear().env("RHUBARBLOOM_NODE_FILE", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = env::var(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(output.expect("the log can be written"));
    let child = command.spawn().unwrap_or_else(|err| panic!("target/release/rhubarb-edge: {err}"));
    // The script ends what is left when this program is interrupted.
    if let Ok(pids) = env::var("REVIEW_PIDS")
        && let Ok(mut file) = fs::OpenOptions::new().append(true).open(pids)
    {
        let _ = writeln!(file, "{}", child.id());
    }
    child
}

impl Entry {
    pub fn frontend(&self) -> SocketAddr {
        (self.ip, 8144).into()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let _ = fs::write(&self.settings, text.replace("bootstrap=true", "bootstrap=false"));
        self.child = spawn_entry(&self.settings, &self.log);
    }

    /// Sends a signal by its name, such as `STOP`, to this process.
    pub fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    pub fn is_ready(&self) -> bool {
        let call = Call::new("GET", "/v1/ready");
        call.send((self.ip, 8140).into(), Duration::from_secs(1))
            .is_ok_and(|reply| reply.status == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            let log = || fs::read_to_string(&self.log).unwrap_or_default();
            assert!(Instant::now() < until, "an entry is not ready: {}", log());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// A line of `/proc/PID/status` in kilobytes, such as `VmRSS`.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Call {
    pub fn new(method: &str, path: &str) -> Call {
        let headers = vec![("Host".to_string(), HOST.to_string())];
        Call { method: method.to_string(), path: path.to_string(), headers, body: Vec::new() }
    }

    /// A request with an id of its own and a time limit.
    pub fn attempt(method: &str, path: &str, attempt: &str, time_limit: Duration) -> Call {
        let limit = time_limit.as_millis().to_string();
        Call::new(method, path).with("X-Attempt-Id", attempt).with("X-Deadline-Ms", &limit)
    }

    pub fn with(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    pub fn body(mut self, body: &[u8]) -> Call {
        self.body = body.to_vec();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [text.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection and reads the whole answer.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> io::Result<Reply> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(&self.bytes())?;
        read_reply(&mut BufReader::new(stream))
    }
}

/// Reads one answer; one that breaks off after its head is not whole.
pub fn read_reply(reader: &mut impl BufRead) -> io::Result<Reply> {
    let head = read_headers(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (first, headers) = head;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut reply = Reply { status, headers, ..Reply::default() };
    if reply.header("transfer-encoding").is_some() {
        loop {
            match read_chunk(reader) {
                Ok(Some(part)) => reply.body.extend(part),
                Ok(None) => {
                    reply.is_whole = true;
                    return Ok(reply);
                }
                Err(_) => return Ok(reply),
            }
        }
    }
    match reply.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            reply.body = vec![0; length];
            reply.is_whole = reader.read_exact(&mut reply.body).is_ok();
        }
        None => reply.is_whole = reader.read_to_end(&mut reply.body).is_ok(),
    }
    Ok(reply)
}

/// Folder for the files of one run, removed by [`Folder::drop`].
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = env::temp_dir().join(format!("rhubarb-review-{}-{}", process::id(), unix_ms()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // The entries' logs are kept on demand.
        if env::var("REVIEW_KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// An attempt id that no other request of this run has.
pub fn next_attempt() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A row of a plain server.
pub fn plain_row(service: &str, address: SocketAddr, born: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"sfax-hall-a\",\"version\":\"v1\",\
         \"batch_slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}
