//! A complete deployment of entries, agents and fakes.

use std::{collections, env, fs, net, path, process as os, time};

use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use rhubarb_fakes::stutter;
use rhubarb_node::client;

use crate::{caller, process, relay};

/// Processes of a stack and their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entry processes.
    pub entries: usize,
    /// Service list to apply.
    pub list: String,
    /// Whether entries reach the agents through relays.
    pub relays: bool,
    /// Whether agents reach their servers, and all processes the platform, through a proxy that can
    /// answer twice.
    pub stutters: bool,
    /// Interval between usage records, as a setting.
    pub flush_interval: String,
    /// Maximum total size in bytes of the responses that an agent stores.
    pub answer_bytes: usize,
    /// Longest drain of an agent, as a setting.
    pub drain: String,
    /// The same of an entry.
    pub entry_drain: String,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 2,
            list: service_list("10m", "60s"),
            relays: false,
            stutters: false,
            flush_interval: "1s".to_string(),
            answer_bytes: 1 << 20,
            drain: "120s".to_string(),
            entry_drain: "120s".to_string(),
        }
    }
}

/// The example service list with `window` as its retry window and `deadline` as its longest
/// deadline.
pub fn service_list(window: &str, deadline: &str) -> String {
    include_str!("../../../examples/list.ini").replace("10m", window).replace("60s", deadline)
}

/// A running deployment. Its processes are killed and its files removed on drop.
#[derive(Debug)]
pub struct Stack {
    /// Fake platform and backend servers, in one process.
    pub fakes: process::Process,
    /// Entries, in the order of their start.
    pub entries: Vec<process::Process>,
    /// Agents, by server name.
    pub agents: collections::BTreeMap<String, process::Process>,
    /// Relays in front of the agents, by server name.
    pub relays: collections::BTreeMap<String, relay::Relay>,
    /// Proxy in front of the fakes that can answer twice.
    pub stutter: stutter::Stutter,
    plan: Plan,
    dir: path::PathBuf,
    client: client::Client,
}

const CALLER_KEY: &str = "demo-caller-key";
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
const ZONES: [&str; 3] = ["sfax-hall-a", "sfax-hall-b", "sfax-port"];
const ENGINE_SERVERS: [&str; 4] = ["prefill-1", "prefill-2", "decode-1", "decode-2"];
const PLAIN_SERVERS: [&str; 3] = ["yard-1", "yard-2", "yard-3"];

impl Stack {
    /// Starts all processes, applies the list and waits until every process is ready.
    ///
    /// # Errors
    /// Returns an error if a process does not start or the list is rejected.
    pub async fn start(plan: Plan) -> anyhow::Result<Stack> {
        let stack = Stack::start_without_list(plan).await?;
        let list = stack.plan.list.clone();
        stack.apply(&list, 0)?;
        stack.wait_ready().await;
        Ok(stack)
    }

    /// Starts all processes without a service list.
    ///
    /// # Errors
    /// Returns an error if a process does not start.
    pub async fn start_without_list(plan: Plan) -> anyhow::Result<Stack> {
        let name = format!("rhubarb-{}-{:08x}", os::id(), rand::random::<u32>());
        let dir = env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let fakes = process::Process::start("rhubarb-fakes", &[], &dir.join("fakes.log"))?;
        let stutter = stutter::Stutter::start(fakes.http).await?;
        let mut stack = Stack {
            fakes,
            stutter,
            entries: Vec::new(),
            agents: collections::BTreeMap::new(),
            relays: collections::BTreeMap::new(),
            client: client::Client::new(),
            plan,
            dir,
        };
        for server in ENGINE_SERVERS.iter().chain(&PLAIN_SERVERS) {
            stack.start_agent(server).await?;
        }
        for _ in 0..stack.plan.entries {
            stack.start_entry().await?;
        }
        Ok(stack)
    }

    /// Waits until every process is ready.
    pub async fn wait_ready(&self) {
        let all = self.entries.iter().chain(self.agents.values());
        for address in all.map(|process| process.http) {
            self.wait_until("all processes are ready", async || self.is_ready(address).await).await;
        }
    }

    /// Waits until every agent is ready.
    pub async fn wait_agents(&self) {
        for address in self.agents.values().map(|process| process.http) {
            self.wait_until("all agents are ready", async || self.is_ready(address).await).await;
        }
    }

    /// Waits until every entry reports all servers as usable.
    pub async fn wait_usable(&self) {
        let count = ENGINE_SERVERS.len() + PLAIN_SERVERS.len();
        for address in self.entries.iter().map(|entry| entry.http) {
            let usable = async || self.status(address).await["usable"] == count;
            self.wait_until("all servers are usable", usable).await;
        }
    }

    /// Stops the agent of `server` gracefully and waits until it exits.
    pub async fn stop_agent(&mut self, server: &str) {
        self.agents[server].terminate();
        self.wait_agent_exit(server).await;
    }

    /// Waits until the agent of `server` exits and returns its exit code.
    pub async fn wait_agent_exit(&mut self, server: &str) -> i32 {
        wait_exit(self.agents.get_mut(server).expect("the agent was started")).await
    }

    /// Waits until an entry exits and returns its exit code.
    pub async fn wait_entry_exit(&mut self, entry: usize) -> i32 {
        wait_exit(&mut self.entries[entry]).await
    }

    async fn is_ready(&self, address: net::SocketAddr) -> bool {
        let url = format!("http://{address}/readyz");
        self.client.get(&url, REQUEST_TIMEOUT).await.is_ok_and(|reply| reply.status == 200)
    }

    /// Starts the agent of `server` and registers it. An earlier agent is killed first.
    ///
    /// # Errors
    /// Returns an error if the process does not start.
    pub async fn start_agent(&mut self, server: &str) -> anyhow::Result<()> {
        self.agents.remove(server);
        let kind = if server.starts_with("yard") { "plain" } else { "engine" };
        let zone = zone_of(server);
        let engine = format!("http://{}/{kind}/{server}", self.fakes_address());
        let answer_bytes = self.plan.answer_bytes.to_string();
        let settings = self.render_settings(
            include_str!("../../../examples/agent.ini"),
            &[
                ("server", server),
                ("zone", zone),
                ("listen", "127.0.0.1:0"),
                ("http", "127.0.0.1:0"),
                ("engine", &engine),
                ("notice", "300ms"),
                ("max_answers", &answer_bytes),
                ("drain", &self.plan.drain),
            ],
        );
        let path = self.write_file(&format!("{server}.ini"), &settings)?;
        let log = self.dir.join(format!("{server}.log"));
        let agent = process::Process::start("rhubarb-agent", &["--settings", &path], &log)?;
        let mut peer = agent.peer.unwrap_or(agent.http);
        if self.plan.relays {
            let relay = relay::Relay::start(peer).await?;
            peer = relay.address;
            self.relays.insert(server.to_string(), relay);
        }
        self.register(server, "server", zone, peer, agent.http).await?;
        self.agents.insert(server.to_string(), agent);
        Ok(())
    }

    /// Starts another entry and registers it.
    ///
    /// # Errors
    /// Returns an error if the process does not start.
    pub async fn start_entry(&mut self) -> anyhow::Result<()> {
        let name = format!("entry-{}", self.entries.len() + 1);
        let zone = ZONES[self.entries.len() % ZONES.len()];
        let seed = self.agents.get("yard-1").and_then(|agent| agent.peer);
        let seeds = seed.map(|seed| seed.to_string()).unwrap_or_default();
        let flush = self.plan.flush_interval.clone();
        let settings = self.render_settings(
            include_str!("../../../examples/entry.ini"),
            &[
                ("name", &name),
                ("zone", zone),
                ("listen", "127.0.0.1:0"),
                ("flush", &flush),
                ("notice", "300ms"),
                ("drain", &self.plan.entry_drain),
                ("seeds", &seeds),
            ],
        );
        let path = self.write_file(&format!("{name}.ini"), &settings)?;
        let log = self.dir.join(format!("{name}.log"));
        let entry = process::Process::start("rhubarb-entry", &["--settings", &path], &log)?;
        self.register(&name, "entry", zone, entry.http, entry.http).await?;
        self.entries.push(entry);
        Ok(())
    }

    // Address at which the processes reach the fakes.
    fn fakes_address(&self) -> net::SocketAddr {
        if self.plan.stutters { self.stutter.address } else { self.fakes.http }
    }

    fn render_settings(&self, example: &str, fields: &[(&str, &str)]) -> String {
        let platform = self.fakes_address().to_string();
        let mut text = String::new();
        for line in example.replace("127.0.0.1:9000", &platform).lines() {
            let key = line.split(" = ").next().unwrap_or_default();
            match fields.iter().find(|(name, _)| *name == key) {
                Some((_, value)) => text.push_str(&format!("{key} = {value}\n")),
                None => text.push_str(&format!("{line}\n")),
            }
        }
        text
    }

    fn write_file(&self, name: &str, text: &str) -> anyhow::Result<String> {
        let path = self.dir.join(name);
        fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Adds an instance to the instance list of the platform.
    ///
    /// # Errors
    /// Returns an error if the fake platform does not respond.
    pub async fn register(
        &self,
        name: &str,
        kind: &str,
        zone: &str,
        address: net::SocketAddr,
        http: net::SocketAddr,
    ) -> anyhow::Result<()> {
        let row = json!({
            "name": name,
            "kind": kind,
            "zone": zone,
            "address": address,
            "http": http,
            "state": "live",
        });
        self.control(Method::PUT, &format!("/instances/{name}"), &row.to_string()).await?;
        Ok(())
    }

    /// Marks a server as leaving in the instance list of the platform.
    ///
    /// # Errors
    /// Returns an error if the fake platform does not respond.
    pub async fn mark_leaving(&self, server: &str) -> anyhow::Result<()> {
        let agent = &self.agents[server];
        let row = json!({
            "name": server,
            "kind": "server",
            "zone": zone_of(server),
            "address": self.relays.get(server).map_or(agent.peer, |relay| Some(relay.address)),
            "http": agent.http,
            "state": "leaving",
        });
        self.control(Method::PUT, &format!("/instances/{server}"), &row.to_string()).await?;
        Ok(())
    }

    /// Removes an instance from the instance list of the platform.
    ///
    /// # Errors
    /// Returns an error if the fake platform does not respond.
    pub async fn unregister(&self, name: &str) -> anyhow::Result<()> {
        self.control(Method::DELETE, &format!("/instances/{name}"), "").await?;
        Ok(())
    }

    /// Sets the fault mode of a fake, such as `down` for `table`.
    ///
    /// # Errors
    /// Returns an error if the fake platform does not respond.
    pub async fn switch(&self, target: &str, mode: &str) -> anyhow::Result<()> {
        self.control(Method::POST, "/switch", &format!("{target} {mode}")).await?;
        Ok(())
    }

    /// Number of times that the backend servers ran an idempotency key.
    pub async fn runs(&self, key: &str) -> u64 {
        self.control_count(&format!("/runs/{key}")).await
    }

    /// Number of requests that occupy engine memory.
    pub async fn requests_in_memory(&self) -> u64 {
        self.control_count("/held").await
    }

    async fn control_count(&self, path: &str) -> u64 {
        let reply = self.control(Method::GET, path, "").await.expect("the fakes respond");
        reply.parse().expect("the response is a number")
    }

    async fn control(&self, method: Method, path: &str, body: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.fakes.http);
        let request = client::request(method, &url, Bytes::from(body.to_string()))?;
        let reply = self.client.fetch(request, REQUEST_TIMEOUT).await?;
        Ok(String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// Response of `/status` of a process; null if it does not respond.
    pub async fn status(&self, address: net::SocketAddr) -> serde_json::Value {
        let reply = self.client.get(&format!("http://{address}/status"), REQUEST_TIMEOUT).await;
        reply
            .map(|reply| serde_json::from_slice(&reply.body).unwrap_or_default())
            .unwrap_or_default()
    }

    /// Metrics of a process; empty if it does not respond.
    pub async fn metrics(&self, address: net::SocketAddr) -> String {
        let reply = self.client.get(&format!("http://{address}/metrics"), REQUEST_TIMEOUT).await;
        reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned()).unwrap_or_default()
    }

    /// Applies a service list with `rhubarb-ctl apply`; `expect` is the version in force.
    ///
    /// # Errors
    /// Returns the exit code and standard error of the command if it failed.
    pub fn apply(&self, text: &str, expect: u64) -> anyhow::Result<String> {
        let list = self.write_file("list.ini", text)?;
        self.ctl(&["apply", "--expect", &expect.to_string(), &list])
    }

    /// Runs `rhubarb-ctl`, with `--settings` inserted after the first argument.
    ///
    /// # Errors
    /// Returns the exit code and standard error of the command if it failed.
    pub fn ctl(&self, args: &[&str]) -> anyhow::Result<String> {
        let settings = self.render_settings(include_str!("../../../examples/ctl.ini"), &[]);
        let path = self.write_file("ctl.ini", &settings)?;
        let output = os::Command::new(process::program_path("rhubarb-ctl"))
            .arg(args[0])
            .args(["--settings", &path])
            .args(&args[1..])
            .output()?;
        checked_stdout(&output)
    }

    /// Usage report from one hour ago to one hour ahead.
    ///
    /// # Errors
    /// Returns the exit code and standard error of the command if it failed.
    pub fn report(&self) -> anyhow::Result<serde_json::Value> {
        let settings = self.render_settings(include_str!("../../../examples/ctl.ini"), &[]);
        let path = self.write_file("report.ini", &settings)?;
        let now = rhubarb_node::clock::unix_ms();
        let (from, to) = (now - 3_600_000, now + 3_600_000);
        let output = os::Command::new(process::program_path("rhubarb-report"))
            .args(["--settings", &path, "--format", "json"])
            .args(["--from", &from.to_string(), "--to", &to.to_string()])
            .output()?;
        Ok(serde_json::from_str(&checked_stdout(&output)?)?)
    }

    /// Client of an entry with the key of the example caller.
    pub fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(self.entries[entry].http, CALLER_KEY)
    }

    /// Server that owns an idempotency key of the example caller at a service.
    pub fn owner(&self, service: &str, key: &str) -> String {
        let servers = if service == "yard-app" { &PLAIN_SERVERS[..] } else { &ENGINE_SERVERS[2..] };
        let names: Vec<String> = servers.iter().map(|name| name.to_string()).collect();
        let hash = rhubarb_core::ids::key_hash(service, "broker-south", key);
        rhubarb_core::owner::rank(hash, &names)[0].clone()
    }

    /// An idempotency key owned by `server`; `salt` distinguishes the keys of one test.
    pub fn key_owned_by(&self, server: &str, salt: &str) -> String {
        let keys = (0..).map(|number| format!("{salt}-{number}"));
        let mut keys = keys.filter(|key| self.owner("yard-app", key) == server);
        keys.next().expect("every server owns some key")
    }

    /// Waits until `check` returns true.
    ///
    /// # Panics
    /// Panics with `what` and the logs of all processes on a timeout.
    pub async fn wait_until(&self, what: &str, check: impl AsyncFn() -> bool) {
        self.wait_within(WAIT_TIMEOUT, what, check).await;
    }

    /// Waits at most `limit` until `check` returns true.
    ///
    /// # Panics
    /// Panics with `what` and the logs of all processes on a timeout.
    pub async fn wait_within(
        &self,
        limit: time::Duration,
        what: &str,
        check: impl AsyncFn() -> bool,
    ) {
        let start = time::Instant::now();
        while !check().await {
            assert!(start.elapsed() < limit, "timed out after {limit:?}: {what}\n{}", self.logs());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Logs of all processes.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let Ok(files) = fs::read_dir(&self.dir) else { return text };
        for file in files.flatten() {
            if file.path().extension().is_some_and(|kind| kind == "log") {
                let log = fs::read_to_string(file.path()).unwrap_or_default();
                text.push_str(&format!("--- {}\n{log}", file.file_name().to_string_lossy()));
            }
        }
        text
    }
}

async fn wait_exit(process: &mut process::Process) -> i32 {
    let start = time::Instant::now();
    loop {
        if let Some(code) = process.exit_code() {
            return code;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not exit");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn checked_stdout(output: &os::Output) -> anyhow::Result<String> {
    let code = output.status.code().unwrap_or(-1);
    anyhow::ensure!(code == 0, "exit {code}: {}", String::from_utf8_lossy(&output.stderr));
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

fn zone_of(server: &str) -> &'static str {
    let number = server.bytes().last().unwrap_or_default() as usize;
    ZONES[number % ZONES.len()]
}

impl Drop for Stack {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}
