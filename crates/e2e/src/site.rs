//! A deployment on the users' platform: entry processes with a fake store and fake backend
//! servers.

use std::{collections, env, fs, net, path, process, time};

use serde_json::json;

use rhubarb_fakes::{backend, handles, store};

use crate::{call, edge, relay, subnet};

/// A running deployment. Its entries are killed on drop.
#[derive(Debug)]
pub struct Site {
    /// Fake store of the platform.
    pub store: store::Store,
    /// Plain servers.
    pub plain: Vec<backend::Backend>,
    /// Prefill engines.
    pub prefill: Vec<backend::Backend>,
    /// Decode engines.
    pub decode: Vec<backend::Backend>,
    /// Relays in front of the servers, by server id.
    pub relays: collections::BTreeMap<String, relay::Relay>,
    /// Servers that others replaced.
    pub replaced: Vec<backend::Backend>,
    /// Entry processes.
    pub edges: Vec<edge::Edge>,
    /// Relays between the entries and the store, by number of the entry; empty without relays.
    pub store_relays: Vec<relay::Relay>,
    handles: handles::Handles,
    dir: path::PathBuf,
    subnet: subnet::Subnet,
}

/// Numbers of processes and servers of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Entry processes.
    pub edges: usize,
    /// Plain servers.
    pub plain: usize,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Whether entries reach the servers and the store through relays.
    pub relays: bool,
    /// Whether they reach decode engines without relays nevertheless: a relay accepts connections also
    /// while its engine refuses them.
    pub direct: bool,
    /// The same for plain servers.
    pub plain_direct: bool,
}

impl Default for Sizes {
    fn default() -> Sizes {
        Sizes {
            edges: 1,
            plain: 2,
            prefill: 1,
            decode: 2,
            relays: false,
            direct: false,
            plain_direct: false,
        }
    }
}

/// A customer in [`Site::config_with_customers`].
#[derive(Clone, Copy, Debug)]
pub struct Customer<'a> {
    /// Name.
    pub name: &'a str,
    /// Keys of its callers.
    pub keys: &'a [&'a str],
    /// Limit in requests a second, also the most at once; `None` without limit.
    pub rate: Option<u32>,
}

impl Customer<'_> {
    fn row(&self) -> serde_json::Value {
        let mut row = json!({"name": self.name, "api_keys": self.keys, "priority": 1});
        if let Some(rate) = self.rate {
            row["rate_per_s"] = json!(rate);
            row["burst"] = json!(rate);
            row["unit"] = json!("requests");
        }
        row
    }
}

/// Maximum number of servers that may run one request.
pub const MAX_ATTEMPTS: u32 = 2;
/// Timeout of a plain request.
pub const PLAIN_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Latency target of all requests.
pub const LATENCY_TARGET: time::Duration = time::Duration::from_millis(300);
/// Timeout of a streaming request.
pub const STREAM_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Path on the route in [`Site::config`] whose requests may be retried.
pub const SAFE: &str = "/safe/x";
/// Path on the route whose requests run at most once.
pub const UNSAFE: &str = "/unsafe/x";
/// Path on the route whose streams may be resumed.
pub const RESUMABLE: &str = "/resumable/x";
/// Path on the route whose streams run at most once.
pub const STREAM: &str = "/stream/x";

/// Path on the route of [`Site::config_with_customers`] whose requests need no key.
pub const PUBLIC: &str = "/public/x";

/// Time after which an engine releases an unused hold.
pub const HOLD_LIFETIME: time::Duration = time::Duration::from_secs(2);

const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Interval between checks whether servers have started again.
const REGISTER_INTERVAL: time::Duration = time::Duration::from_millis(50);

impl Site {
    /// Starts the fakes and the entries, and waits until the entries are ready.
    ///
    /// # Errors
    /// Returns an error if a process or fake cannot be started.
    pub async fn start(sizes: Sizes) -> anyhow::Result<Site> {
        let mut site = Site::prepare(sizes).await?;
        for _ in 0..sizes.edges {
            site.add_edge().await?;
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts the fakes only.
    ///
    /// # Errors
    /// Returns an error if a fake cannot be started.
    pub async fn prepare(sizes: Sizes) -> anyhow::Result<Site> {
        let subnet = subnet::Subnet::take()?;
        let [first, second] = subnet.bytes();
        let dir = env::temp_dir().join(format!("rhubarb-site-{}-{first}-{second}", process::id()));
        fs::create_dir_all(&dir)?;
        let handles = handles::Handles::default();
        let backends = |name: &str, stage: &str, count: usize| {
            let ids = (0..count).map(|number| format!("i-{name}-{number}"));
            ids.map(|id| backend::Backend::new(&id, stage, &handles)).collect::<Vec<_>>()
        };
        let mut site = Site {
            store: store::Store::default(),
            plain: backends("plain", "", sizes.plain),
            prefill: backends("prefill", "prefill", sizes.prefill),
            decode: backends("decode", "decode", sizes.decode),
            relays: collections::BTreeMap::new(),
            replaced: Vec::new(),
            edges: Vec::new(),
            store_relays: Vec::new(),
            handles: handles.clone(),
            dir,
            subnet,
        };
        for backend in site.servers() {
            let address = backend.serve(site.ip(1)).await?;
            let is_direct = match backend.stage().0.as_str() {
                "decode" => sizes.direct,
                "" => sizes.plain_direct,
                _ => false,
            };
            if sizes.relays && !is_direct {
                let relay = relay::Relay::start(address).await?;
                site.relays.insert(backend.id.clone(), relay);
            }
            site.announce(&backend, "ready");
        }
        site.store.put("op", "config", site.config(1).to_string());
        Ok(site)
    }

    fn ip(&self, host: u8) -> net::IpAddr {
        self.subnet.ip(host)
    }

    /// All servers.
    pub fn servers(&self) -> Vec<backend::Backend> {
        self.plain.iter().chain(&self.prefill).chain(&self.decode).cloned().collect()
    }

    /// Writes the row of a server to the store, with `state`.
    pub fn announce(&self, backend: &backend::Backend, state: &str) {
        let Some(address) = backend.address() else { return };
        let relay = self.relays.get(&backend.id).map(|relay| relay.address);
        let mut row = server_row_at(backend, relay.unwrap_or(address));
        row["state"] = json!(state);
        self.store.put("servers", &backend.id, row.to_string());
    }

    /// Puts a relay with a new address in front of a server. The old relay closes its connections
    /// and forwards nothing on new ones.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn move_server(&mut self, backend: &backend::Backend) -> anyhow::Result<()> {
        let Some(address) = backend.address() else { return Ok(()) };
        let relay = relay::Relay::start(address).await?;
        if let Some(old) = self.relays.insert(backend.id.clone(), relay) {
            old.disconnect();
            old.set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
        }
        Ok(())
    }

    /// Starts a server with another id in place of `old`, whose row is removed and whose relay closes
    /// its connections and forwards nothing on new ones.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn replace_server(&mut self, old: &backend::Backend) -> anyhow::Result<()> {
        self.upgrade_server(old, &old.software()).await
    }

    /// Like [`Site::replace_server`]; the new server has the version `software` of its software.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn upgrade_server(
        &mut self,
        old: &backend::Backend,
        software: &str,
    ) -> anyhow::Result<()> {
        let id = format!("{}-{}", old.id, self.replaced.len());
        let backend = backend::Backend::new(&id, &old.stage().0, &self.handles);
        backend.set_software(software);
        backend.set_pace(old.pace());
        let address = backend.serve(self.ip(1)).await?;
        if let Some(relay) = self.relays.get(&old.id) {
            relay.disconnect();
            relay.set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
            self.relays.insert(id, relay::Relay::start(address).await?);
        }
        self.store.remove("servers", &old.id);
        self.announce(&backend, "ready");
        let all = self.plain.iter_mut().chain(&mut self.prefill).chain(&mut self.decode);
        all.filter(|server| server.id == old.id).for_each(|server| *server = backend.clone());
        self.replaced.push(old.clone());
        Ok(())
    }

    /// Kills an entry that still runs and starts it again. Its settings say that the system has run
    /// before.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn restart_edge(&mut self, number: usize) -> anyhow::Result<()> {
        let edge = &mut self.edges[number];
        edge.kill();
        edge.edit_settings("bootstrap=true", "bootstrap=false")?;
        edge.child = edge::spawn(&edge.settings, &edge.log)?;
        Ok(())
    }

    /// Routes and services of config version `version`. Each version adds a route for
    /// [`version_host`].
    pub fn config(&self, version: u64) -> serde_json::Value {
        let route = |name: &str, kind: &str, service: &str, resumable: bool| {
            let is_stream = kind == "streaming";
            let timeout = if is_stream { STREAM_TIMEOUT } else { PLAIN_TIMEOUT };
            json!({
                "name": name, "host": call::HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": timeout.as_millis() as u64, "target_latency_ms": LATENCY_TARGET.as_millis() as u64,
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
                    "role_switch_s": 1.0, "hold_ms": HOLD_LIFETIME.as_secs_f64() * 1e3,
                }},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536},
        })
    }

    /// Adds `routes` routes of one other host to a config.
    pub fn add_routes(config: &mut serde_json::Value, routes: usize) {
        let first = config["routes"][0].clone();
        let added = (0..routes).map(|number| {
            let mut route = first.clone();
            route["name"] = json!(format!("added-{number}"));
            route["host"] = json!("added.example");
            route["prefix"] = json!(format!("/added/{number}/"));
            route
        });
        config["routes"].as_array_mut().expect("routes are a list").extend(added);
    }

    /// The same with customers, and a route for [`PUBLIC`] whose requests need no key.
    pub fn config_with_customers(
        &self,
        version: u64,
        customers: &[Customer<'_>],
    ) -> serde_json::Value {
        let mut config = self.config(version);
        let mut route = config["routes"][0].clone();
        route["name"] = json!("public");
        route["prefix"] = json!("/public/");
        route["public"] = json!(true);
        config["routes"].as_array_mut().expect("routes are a list").push(route);
        config["tenants"] = customers.iter().map(Customer::row).collect();
        config
    }

    /// Puts a relay between the store and the entries started from now on.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn relay_store(&mut self) -> anyhow::Result<relay::Relay> {
        let store = self.serve_store().await?;
        let relay = relay::Relay::start(store).await?;
        fs::write(self.dir.join("store"), relay.address.to_string())?;
        Ok(relay)
    }

    /// Address at which entries reach the store.
    ///
    /// # Errors
    /// Returns an error if the store is not served before the first entry starts.
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

    /// Starts another entry.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub async fn add_edge(&mut self) -> anyhow::Result<()> {
        let number = self.edges.len();
        let ip = self.ip(10 + number as u8);
        let mut store = self.serve_store().await?;
        if !self.relays.is_empty() {
            let relay = relay::Relay::start(store).await?;
            store = relay.address;
            self.store_relays.push(relay);
        }
        let settings = self.dir.join(format!("edge-{number}.conf"));
        fs::write(&settings, self.settings(number, ip, store))?;
        let log = self.dir.join(format!("edge-{number}.log"));
        let child = edge::spawn(&settings, &log)?;
        let (frontend, ready) = ((ip, 8144).into(), (ip, 8140).into());
        self.edges.push(edge::Edge { child, frontend, ready, settings, log });
        Ok(())
    }

    fn settings(&self, number: usize, ip: net::IpAddr, store: net::SocketAddr) -> String {
        let seed = self.ip(10);
        format!(
            "node_name=edge-{number}\nzone=hall-a\nip={ip}\nbind.frontend={ip}:8144\n\
             bind.ready={ip}:8140\nport_range=7660,7675\nbootstrap=true\nseed_nodes={seed}:8146\n\
             contract_params.grace_s=8\ncontract_params.lease_ms=1000\n\
             contract_params.contact_ms=3000\ncontract_params.config_deadline_ms=3000\n\
             contract_params.drain_ms=3000\n\
             contract_params.retry_budget_ratio=0.2\ncontract_params.budget_window_s=10\n\
             contract_params.budget_slack=560\nplatform.address={store}\n"
        )
    }

    /// Waits until all entries are ready.
    ///
    /// # Errors
    /// Returns an error if an entry is not ready within the start timeout.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = time::Instant::now() + START_TIMEOUT;
        for edge in &self.edges {
            while !edge.is_ready().await {
                let log = fs::read_to_string(&edge.log).unwrap_or_default();
                anyhow::ensure!(time::Instant::now() < deadline, "an entry is not ready: {log}");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Number of times that the request with the attempt id `attempt` ran, over all servers.
    pub fn runs(&self, attempt: &str) -> u32 {
        let all = self.plain.iter().chain(&self.prefill).chain(&self.decode);
        all.map(|backend| backend.runs().get(attempt).copied().unwrap_or(0)).sum()
    }

    /// Number of requests that run on engines, and of holds and prefill results not released.
    pub fn outstanding(&self) -> usize {
        self.outstanding_since(None)
    }

    /// Like [`Site::outstanding`], without holds and prefill results older than
    /// [`HOLD_LIFETIME`], which the platform's engines release by themselves.
    pub fn outstanding_unexpired(&self) -> usize {
        self.outstanding_since(time::Instant::now().checked_sub(HOLD_LIFETIME))
    }

    fn outstanding_since(&self, oldest: Option<time::Instant>) -> usize {
        let engines = self.prefill.iter().chain(&self.decode);
        let on_engines =
            engines.map(|engine| engine.hold_count(oldest) + engine.running() as usize);
        on_engines.sum::<usize>() + self.handles.count(oldest)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.edges.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Row of a server that is ready in the `servers` table of the store, at its own address.
pub fn server_row(backend: &backend::Backend) -> serde_json::Value {
    backend.address().map_or(serde_json::Value::Null, |address| server_row_at(backend, address))
}

fn server_row_at(backend: &backend::Backend, address: net::SocketAddr) -> serde_json::Value {
    let (stage, _) = backend.stage();
    let service = if stage.is_empty() { "plain" } else { "models" };
    let mut row = json!({
        "service": service, "address": address, "zone": "hall-a", "version": backend.software(),
        "batch_slots": 6, "state": "ready", "cold_remaining_ms": 0,
        "sequence": 1, "born": backend.born(),
    });
    if !stage.is_empty() {
        row["stage"] = json!(stage);
    }
    row
}

/// Writes the row of each server again once it has started again after a crash; does not return.
pub async fn register_again(store: store::Store, servers: Vec<backend::Backend>) {
    let mut starts: Vec<_> = servers.iter().map(backend::Backend::born).collect();
    loop {
        tokio::time::sleep(REGISTER_INTERVAL).await;
        for (server, born) in servers.iter().zip(&mut starts) {
            if server.born() != *born {
                *born = server.born();
                store.put("servers", &server.id, server_row(server).to_string());
            }
        }
    }
}

/// Host of the route that config version `version` adds.
pub fn version_host(version: u64) -> String {
    format!("v{version}.example")
}

/// Body of a complete stream, as the fake engines send it.
pub fn full_stream() -> String {
    (0..backend::EVENTS).map(|number| format!("id: {number}\ndata: token-{number}\n\n")).collect()
}
