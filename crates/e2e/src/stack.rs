//! A whole deployment.

use std::{collections, env, fs, net, path, process as os, time};

use bytes::Bytes;
use hyper::Method;
use serde_json::json;

use rhubarb_node::client;

use crate::{caller, process, relay};

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Service list.
    pub list: String,
    /// Whether entries reach the agents through relays.
    pub relays: bool,
    /// Time between two usage records.
    pub flush_interval: String,
    /// Most bytes of answers that an agent keeps.
    pub answer_bytes: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 2,
            list: service_list("10m", "60s"),
            relays: false,
            flush_interval: "1s".to_string(),
            answer_bytes: 1 << 20,
        }
    }
}

/// The demo's list with another retry window and longest deadline.
pub fn service_list(window: &str, deadline: &str) -> String {
    include_str!("../../../examples/list.ini").replace("10m", window).replace("60s", deadline)
}

/// A running deployment; its processes are killed when this is dropped.
#[derive(Debug)]
pub struct Stack {
    /// Stand-ins.
    pub fakes: process::Process,
    /// Entries by number.
    pub entries: Vec<process::Process>,
    /// Agents by server.
    pub agents: collections::BTreeMap<String, process::Process>,
    /// Relays by server.
    pub relays: collections::BTreeMap<String, relay::Relay>,
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
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if a process does not start.
    pub async fn start(plan: Plan) -> anyhow::Result<Stack> {
        let stack = Stack::start_without_list(plan).await?;
        let list = stack.plan.list.clone();
        stack.apply(&list, 0)?;
        stack.wait_ready().await;
        Ok(stack)
    }

    /// Starts all processes, and applies no list.
    ///
    /// # Errors
    /// Returns an error if a process does not start.
    pub async fn start_without_list(plan: Plan) -> anyhow::Result<Stack> {
        let name = format!("rhubarb-{}-{:08x}", os::id(), rand::random::<u32>());
        let dir = env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let fakes = process::Process::start("rhubarb-fakes", &[], &dir.join("fakes.log"))?;
        let mut stack = Stack {
            fakes,
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
            self.wait_until("all are ready", async || self.is_ready(address).await).await;
        }
    }

    /// Waits until every agent is ready.
    pub async fn wait_agents(&self) {
        for address in self.agents.values().map(|process| process.http) {
            self.wait_until("all agents are ready", async || self.is_ready(address).await).await;
        }
    }

    /// Waits until every entry can use all servers.
    pub async fn wait_usable(&self) {
        let count = ENGINE_SERVERS.len() + PLAIN_SERVERS.len();
        for address in self.entries.iter().map(|entry| entry.http) {
            let usable = async || self.status(address).await["usable"] == count;
            self.wait_until("all servers are usable", usable).await;
        }
    }

    /// Stops the agent of `server` in order and waits for its end.
    pub async fn stop_agent(&mut self, server: &str) {
        self.agents[server].terminate();
        self.wait_agent_exit(server).await;
    }

    /// Exit code of the agent of `server`, once it has ended.
    pub async fn wait_agent_exit(&mut self, server: &str) -> i32 {
        wait_exit(self.agents.get_mut(server).expect("the agent was started")).await
    }

    /// Exit code of an entry, once it has ended.
    pub async fn wait_entry_exit(&mut self, entry: usize) -> i32 {
        wait_exit(&mut self.entries[entry]).await
    }

    async fn is_ready(&self, address: net::SocketAddr) -> bool {
        let url = format!("http://{address}/readyz");
        self.client.get(&url, REQUEST_TIMEOUT).await.is_ok_and(|reply| reply.status == 200)
    }

    /// Starts the agent of `server`, in place of an earlier one, and registers it.
    ///
    /// # Errors
    /// Returns an error if the process does not start.
    pub async fn start_agent(&mut self, server: &str) -> anyhow::Result<()> {
        self.agents.remove(server);
        let kind = if server.starts_with("yard") { "plain" } else { "engine" };
        let zone = zone_of(server);
        let engine = format!("http://{}/{kind}/{server}", self.fakes.http);
        let answers = self.plan.answer_bytes.to_string();
        let settings = self.render_settings(
            include_str!("../../../examples/agent.ini"),
            &[
                ("server", server),
                ("zone", zone),
                ("listen", "127.0.0.1:0"),
                ("http", "127.0.0.1:0"),
                ("engine", &engine),
                ("notice", "300ms"),
                ("max_answers", &answers),
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

    /// Starts one more entry and registers it.
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

    fn render_settings(&self, example: &str, fields: &[(&str, &str)]) -> String {
        let platform = self.fakes.http.to_string();
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

    /// Enters an instance in the platform's list.
    ///
    /// # Errors
    /// Returns an error if the stand-in does not answer.
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

    /// Lets the platform's list say that a server is leaving.
    ///
    /// # Errors
    /// Returns an error if the stand-in does not answer.
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

    /// Takes an instance out of the platform's list.
    ///
    /// # Errors
    /// Returns an error if the stand-in does not answer.
    pub async fn unregister(&self, name: &str) -> anyhow::Result<()> {
        self.control(Method::DELETE, &format!("/instances/{name}"), "").await?;
        Ok(())
    }

    /// Sets the mode of a stand-in.
    ///
    /// # Errors
    /// Returns an error if the stand-in does not answer.
    pub async fn switch(&self, target: &str, mode: &str) -> anyhow::Result<()> {
        self.control(Method::POST, "/switch", &format!("{target} {mode}")).await?;
        Ok(())
    }

    /// Runs of an idempotency key at the backend servers.
    pub async fn runs(&self, key: &str) -> u64 {
        self.control_count(&format!("/runs/{key}")).await
    }

    /// Requests that engine memory holds.
    pub async fn requests_in_memory(&self) -> u64 {
        self.control_count("/held").await
    }

    async fn control_count(&self, path: &str) -> u64 {
        let reply = self.control(Method::GET, path, "").await.expect("the stand-ins answer");
        reply.parse().expect("a bare number")
    }

    async fn control(&self, method: Method, path: &str, content: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.fakes.http);
        let request = client::request(method, &url, Bytes::from(content.to_string()))?;
        let reply = self.client.fetch(request, REQUEST_TIMEOUT).await?;
        Ok(String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// State of a process, as its `/status` shows it.
    pub async fn status(&self, address: net::SocketAddr) -> serde_json::Value {
        let reply = self.client.get(&format!("http://{address}/status"), REQUEST_TIMEOUT).await;
        reply
            .map(|reply| serde_json::from_slice(&reply.body).unwrap_or_default())
            .unwrap_or_default()
    }

    /// Metrics of a process.
    pub async fn metrics(&self, address: net::SocketAddr) -> String {
        let reply = self.client.get(&format!("http://{address}/metrics"), REQUEST_TIMEOUT).await;
        reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned()).unwrap_or_default()
    }

    /// Applies a list with the operator's command.
    ///
    /// # Errors
    /// Returns what the command printed if it failed.
    pub fn apply(&self, text: &str, expect: u64) -> anyhow::Result<String> {
        let list = self.write_file("list.ini", text)?;
        self.ctl(&["apply", "--expect", &expect.to_string(), &list])
    }

    /// Runs the operator's command; the settings are added after its first word.
    ///
    /// # Errors
    /// Returns the exit code and what the command printed if it failed.
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

    /// Report of the last and the next hour.
    ///
    /// # Errors
    /// Returns what the command printed if it failed.
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

    /// Caller of an entry.
    pub fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(self.entries[entry].http, CALLER_KEY)
    }

    /// Server that is the home of a key of the demo's caller at a service.
    pub fn owner(&self, service: &str, key: &str) -> String {
        let servers = if service == "yard-app" { &PLAIN_SERVERS[..] } else { &ENGINE_SERVERS[2..] };
        let names: Vec<String> = servers.iter().map(|name| name.to_string()).collect();
        let hash = rhubarb_core::ids::key_hash(service, "broker-south", key);
        rhubarb_core::home::rank(hash, &names)[0].clone()
    }

    /// A key whose home is `server`; `salt` tells apart the keys of one test.
    pub fn key_owned_by(&self, server: &str, salt: &str) -> String {
        let keys = (0..).map(|number| format!("{salt}-{number}"));
        let mut keys = keys.filter(|key| self.owner("yard-app", key) == server);
        keys.next().expect("every server is the home of some key")
    }

    /// Waits until `check` holds.
    ///
    /// # Panics
    /// Panics with `what` and the processes' logs if it does not hold in time.
    pub async fn wait_until(&self, what: &str, check: impl AsyncFn() -> bool) {
        self.wait_within(WAIT_TIMEOUT, what, check).await;
    }

    /// Waits at most `limit` until `check` holds.
    ///
    /// # Panics
    /// Panics with `what` and the processes' logs if it does not hold in time.
    pub async fn wait_within(
        &self,
        limit: time::Duration,
        what: &str,
        check: impl AsyncFn() -> bool,
    ) {
        let start = time::Instant::now();
        while !check().await {
            assert!(start.elapsed() < limit, "not in {limit:?}: {what}\n{}", self.logs());
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
        assert!(start.elapsed() < WAIT_TIMEOUT, "the process does not end");
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
