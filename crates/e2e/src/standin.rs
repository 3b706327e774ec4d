//! A deployment on the users' platform: its store and servers as stand-ins, entries as processes.

use std::{collections, env, fs, net, path, process, sync::atomic, time};

use serde_json::json;

use rhubarb_fakes::{backend, store};

use crate::{call, edge, relay};

/// A running deployment.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: store::Store,
    /// Plain servers.
    pub plain: Vec<backend::Backend>,
    /// Prefill engines.
    pub prefill: Vec<backend::Backend>,
    /// Decode engines.
    pub decode: Vec<backend::Backend>,
    /// Relays before the servers, by the servers' ids.
    pub relays: collections::BTreeMap<String, relay::Relay>,
    /// Entries.
    pub edges: Vec<edge::Edge>,
    handles: backend::Handles,
    dir: path::PathBuf,
    net: [u8; 2],
}

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Entries.
    pub edges: usize,
    /// Plain servers.
    pub plain: usize,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Whether entries reach the servers through relays.
    pub relays: bool,
}

impl Default for Sizes {
    fn default() -> Sizes {
        Sizes { edges: 1, plain: 2, prefill: 1, decode: 2, relays: false }
    }
}

/// Most servers at which one request may run.
pub const MAX_ATTEMPTS: u32 = 2;
/// Longest time of a plain call.
pub const PLAIN_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// Longest time of a stream.
pub const STREAM_LIMIT: time::Duration = time::Duration::from_secs(6);
/// Paths of the routes in [`Site::config`].
pub const SAFE: &str = "/safe/x";
/// Route whose requests run at most once.
pub const UNSAFE: &str = "/unsafe/x";
/// Route of streams that may be resumed.
pub const RESUMABLE: &str = "/resumable/x";
/// Route of streams that run at most once.
pub const STREAM: &str = "/stream/x";

/// Time for which an engine keeps memory that nobody takes up.
pub const KEPT_LIFE: time::Duration = time::Duration::from_secs(2);

const START_LIMIT: time::Duration = time::Duration::from_secs(20);
const STEP: time::Duration = time::Duration::from_millis(20);

impl Site {
    /// Starts the stand-ins and the entries, and waits until these are ready.
    ///
    /// # Errors
    /// Returns what could not be started.
    pub async fn start(sizes: Sizes) -> anyhow::Result<Site> {
        let mut site = Site::prepare(sizes).await?;
        for _ in 0..sizes.edges {
            site.add_edge().await?;
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts the stand-ins only.
    ///
    /// # Errors
    /// Returns what could not be started.
    pub async fn prepare(sizes: Sizes) -> anyhow::Result<Site> {
        static COUNT: atomic::AtomicU8 = atomic::AtomicU8::new(1);
        let net = [(process::id() % 120 + 2) as u8, COUNT.fetch_add(1, atomic::Ordering::Relaxed)];
        let dir = env::temp_dir().join(format!("rhubarb-site-{}-{}", process::id(), net[1]));
        fs::create_dir_all(&dir)?;
        let handles = backend::Handles::default();
        let group = |name: &str, stage: &str, count: usize| {
            let ids = (0..count).map(|number| format!("i-{name}-{number}"));
            ids.map(|id| backend::Backend::new(&id, stage, &handles)).collect::<Vec<_>>()
        };
        let mut site = Site {
            store: store::Store::default(),
            plain: group("plain", "", sizes.plain),
            prefill: group("prefill", "prefill", sizes.prefill),
            decode: group("decode", "decode", sizes.decode),
            relays: collections::BTreeMap::new(),
            edges: Vec::new(),
            handles: handles.clone(),
            dir,
            net,
        };
        for backend in site.servers() {
            let address = backend.serve(site.ip(1)).await?;
            if sizes.relays {
                let relay = relay::Relay::start(address).await?;
                site.relays.insert(backend.id.clone(), relay);
            }
            site.announce(&backend, "ready");
        }
        site.store.put("op", "config", site.config(1).to_string());
        Ok(site)
    }

    fn ip(&self, last: u8) -> net::IpAddr {
        [127, self.net[0], self.net[1], last].into()
    }

    /// All servers.
    pub fn servers(&self) -> Vec<backend::Backend> {
        self.plain.iter().chain(&self.prefill).chain(&self.decode).cloned().collect()
    }

    /// Writes the entry of a server with `state` in the store.
    pub fn announce(&self, backend: &backend::Backend, state: &str) {
        let Some(address) = backend.address() else { return };
        let relay = self.relays.get(&backend.id).map(|relay| relay.address);
        let mut entry = entry(backend, relay.unwrap_or(address));
        entry["state"] = json!(state);
        self.store.put("servers", &backend.id, entry.to_string());
    }

    /// Puts a relay with a new address before a server; the old one passes nothing any more.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn move_server(&mut self, backend: &backend::Backend) -> anyhow::Result<()> {
        let Some(address) = backend.address() else { return Ok(()) };
        let relay = relay::Relay::start(address).await?;
        if let Some(old) = self.relays.insert(backend.id.clone(), relay) {
            old.cut();
            old.set(relay::Mode::Hold, relay::Mode::Hold);
        }
        Ok(())
    }

    /// Starts an entry that has ended again, with its settings.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn restart_edge(&mut self, number: usize) -> anyhow::Result<()> {
        let edge = &mut self.edges[number];
        edge.kill();
        edge.child = edge::spawn(&edge.settings, &edge.log)?;
        Ok(())
    }

    /// Routes and services as version `version`.
    pub fn config(&self, version: u64) -> serde_json::Value {
        let route = |name: &str, kind: &str, service: &str, resumable: bool| {
            let is_stream = kind == "streaming";
            let limit = if is_stream { STREAM_LIMIT } else { PLAIN_LIMIT };
            json!({
                "name": name, "host": call::HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": limit.as_millis() as u64, "target_latency_ms": 300,
                "priority": 1, "service": service, "max_attempts": MAX_ATTEMPTS, "resumable": resumable,
                "sticky": is_stream,
            })
        };
        let mut routes = vec![
            route("safe", "safe", "plain", false),
            route("unsafe", "unsafe", "plain", false),
            route("resumable", "streaming", "models", true),
            route("stream", "streaming", "models", false),
        ];
        for version in 1..=version {
            let mut added = route(&format!("v{version}"), "safe", "plain", false);
            added["host"] = json!(version_host(version));
            added["prefix"] = json!("/");
            routes.push(added);
        }
        json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "plain", "health_path": "/health", "max_connections": 100},
                {"name": "models", "health_path": "/health", "max_connections": 100, "engine": {
                    "batch_slots": 6, "kv_capacity": 20_000, "kv_hold_s": 0.5,
                    "role_switch_s": 1.0, "hold_ms": KEPT_LIFE.as_secs_f64() * 1e3,
                }},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536},
        })
    }

    /// Puts a relay between the store and the entries that are added from now on.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn relay_store(&mut self) -> anyhow::Result<relay::Relay> {
        let store = self.serve_store().await?;
        let relay = relay::Relay::start(store).await?;
        fs::write(self.dir.join("store"), relay.address.to_string())?;
        Ok(relay)
    }

    /// Address of the store, once an entry was started.
    ///
    /// # Errors
    /// Returns an error if it is not served yet.
    pub fn store_address(&self) -> anyhow::Result<net::SocketAddr> {
        Ok(fs::read_to_string(self.dir.join("store"))?.parse()?)
    }

    async fn serve_store(&self) -> anyhow::Result<net::SocketAddr> {
        if let Ok(address) = self.store_address() {
            return Ok(address);
        }
        let file = self.dir.join("store");
        let address = self.store.serve(self.ip(2)).await?;
        fs::write(&file, address.to_string())?;
        Ok(address)
    }

    /// Starts one more entry.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub async fn add_edge(&mut self) -> anyhow::Result<()> {
        let number = self.edges.len();
        let ip = self.ip(10 + number as u8);
        let store = self.serve_store().await?;
        let settings = self.dir.join(format!("edge-{number}.conf"));
        fs::write(&settings, self.settings(number, ip, store))?;
        let log = self.dir.join(format!("edge-{number}.log"));
        let child = edge::spawn(&settings, &log)?;
        let (callers, ready) = ((ip, 8144).into(), (ip, 8140).into());
        self.edges.push(edge::Edge { child, callers, ready, settings, log });
        Ok(())
    }

    fn settings(&self, number: usize, ip: net::IpAddr, store: net::SocketAddr) -> String {
        let seed = self.ip(10);
        format!(
            "node_name=edge-{number}\nzone=hall-a\nip={ip}\nbind.frontend={ip}:8144\n\
             bind.ready={ip}:8140\nport_range=7660,7675\nseed_nodes={seed}:8146\n\
             contract_params.grace_s=8\ncontract_params.lease_ms=1000\n\
             contract_params.retry_budget_ratio=0.2\ncontract_params.budget_window_s=10\n\
             contract_params.budget_slack=560\nplatform.address={store}\n"
        )
    }

    /// Waits until all entries are ready.
    ///
    /// # Errors
    /// Returns an error if one does not become ready in time.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let until = time::Instant::now() + START_LIMIT;
        for edge in &self.edges {
            while !edge.is_ready().await {
                let log = fs::read_to_string(&edge.log).unwrap_or_default();
                anyhow::ensure!(time::Instant::now() < until, "an entry is not ready: {log}");
                tokio::time::sleep(STEP).await;
            }
        }
        Ok(())
    }

    /// All attempts that ran at any server, with how often.
    pub fn runs(&self, attempt: &str) -> u32 {
        let all = self.plain.iter().chain(&self.prefill).chain(&self.decode);
        all.map(|backend| backend.runs().get(attempt).copied().unwrap_or(0)).sum()
    }

    /// Requests that run at any server now, and what engines keep for others.
    pub fn kept(&self) -> usize {
        self.kept_since(None)
    }

    /// The same without what the platform's engines have dropped by themselves, as they do after
    /// [`KEPT_LIFE`].
    pub fn kept_lastingly(&self) -> usize {
        self.kept_since(time::Instant::now().checked_sub(KEPT_LIFE))
    }

    fn kept_since(&self, oldest: Option<time::Instant>) -> usize {
        let engines = self.prefill.iter().chain(&self.decode);
        let held = engines.map(|engine| engine.hold_count(oldest) + engine.running() as usize);
        let handles = rhubarb_node::locks::lock(&self.handles);
        held.sum::<usize>() + backend::count_since(&handles, oldest)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.edges.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

// The entry of a server in the store.
fn entry(backend: &backend::Backend, address: net::SocketAddr) -> serde_json::Value {
    let (stage, _) = backend.stage();
    let service = if stage.is_empty() { "plain" } else { "models" };
    let mut entry = json!({
        "service": service, "address": address, "zone": "hall-a", "version": "v1",
        "batch_slots": 6, "state": "ready", "cold_remaining_ms": 0,
        "sequence": 1, "born": backend.born(),
    });
    if !stage.is_empty() {
        entry["stage"] = json!(stage);
    }
    entry
}

/// Host whose route came with version `version` of the config.
pub fn version_host(version: u64) -> String {
    format!("v{version}.example")
}

/// The whole stream that engines send.
pub fn whole_stream() -> String {
    (0..backend::EVENTS).map(|number| format!("id: {number}\ndata: token-{number}\n\n")).collect()
}
