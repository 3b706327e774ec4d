//! The project's own entries, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use super::{http, random, record, sleep_ms, store};

/// Command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/rhubarb-edge";

/// An entry; its process ends when it is dropped.
pub struct Entry {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Settings beyond the usual ones, line by line, which go before these.
pub type Extra<'a> = &'a [(&'a str, &'a str)];

/// Starts `count` entries in three availability zones.
pub fn start(count: usize, folder: &Path, store: &store::Store, extra: Extra<'_>) -> Vec<Entry> {
    // Each entry has an address of its own, as machines have, since it serves its metrics at a
    // fixed port.
    let net = loop {
        let net = [127, (random() % 250 + 2) as u8, (random() % 250 + 2) as u8];
        let free = (1..=count).all(|host| {
            TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2], host as u8), 9464)).is_ok()
        });
        if free {
            break net;
        }
    };
    let ip = |index: usize| Ipv4Addr::new(net[0], net[1], net[2], index as u8 + 1);
    let free_port = || {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        probe.local_addr().unwrap().port()
    };
    let (front, ready, admin, peer) = (free_port(), free_port(), free_port(), free_port());
    let seeds: Vec<_> = (0..count.min(3)).map(|index| format!("{}:{admin}", ip(index))).collect();
    let zones = ["ens-a", "ens-b", "tij-c"];
    let mut entries = Vec::new();
    for index in 0..count {
        let (ip, zone) = (ip(index), zones[index % 3]);
        let name = format!("edge-{zone}-{}", index + 1);
        let mut lines = vec![
            format!("node_name={name}"),
            "role=entry".to_string(),
            "instance_class=edge".to_string(),
            "serves=edge,control".to_string(),
            format!("ip={ip}"),
            format!("zone={zone}"),
            "region=baja-norte".to_string(),
            format!("bind.frontend={ip}:{front}"),
            format!("bind.ready={ip}:{ready}"),
            format!("bind.admin={ip}:{admin}"),
            format!("port_range={peer},{}", peer.saturating_add(3)),
            format!("seed_nodes={}", seeds.join(",")),
            format!("platform.address={}", store.address),
        ];
        lines.extend(zones.iter().map(|zone| format!("zones.{zone}=baja-norte")));
        lines.extend(SETTINGS.lines().map(str::to_string));
        for (key, value) in extra {
            lines.retain(|line| !line.starts_with(&format!("{key}=")));
            lines.push(format!("{key}={value}"));
        }
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, lines.join("\n") + "\n").expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        let (frontend, ready) = (SocketAddr::from((ip, front)), SocketAddr::from((ip, ready)));
        record::line(&format!("entry {name} at {frontend}, pid {}", child.id()));
        entries.push(Entry { name, frontend, ready, settings, log, child });
    }
    entries
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let pids = settings.with_file_name("pids");
    let log = File::options().create(true).append(true).open(log).expect("a log can be written");
    let child = Command::new(PROGRAM)
        .env("RHUBARBLOOM_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the entry starts");
    // For `run.sh`, which ends what is left if this program is ended itself.
    let mut pids = File::options().create(true).append(true).open(pids).unwrap();
    let _ = writeln!(pids, "{}", child.id());
    child
}

impl Entry {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let headers = [("Host", "ready")];
        http::fetch(self.ready, "GET /v1/ready", &headers, b"", timeout)
            .is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Waits until it is ready; false if it is not within `timeout`.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        record::line(&format!("entry {}: SIG{name}", self.name));
        let kill = format!("kill -{name} {}", self.pid());
        let _ = Command::new("bash").args(["-c", &kill]).status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        // Only the first start of the whole system is a bootstrap.
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        fs::write(&self.settings, text).expect("the settings can be written");
        self.child = spawn(&self.settings, &self.log);
        record::line(&format!("entry {} started again, pid {}", self.name, self.pid()));
    }

    /// Resident memory of the process in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings that `fleetbench wire` prints for a small deployment.
const SETTINGS: &str = "bootstrap=true
loss_counts=false
limits.cpu_share=0.19
limits.cpu_cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
contract_params.seed_staleness_s=3
contract_params.reuse_delay_s=2
contract_params.contact_ms=3000
contract_params.ack_ms=4000
contract_params.sync_s=4
contract_params.drain_ms=2000
contract_params.grace_s=8
contract_params.loss_slack_ms=200
contract_params.config_deadline_ms=2000
contract_params.rollback_slack_ms=250
contract_params.skew_max_ms=5000
contract_params.retry_budget_ratio=0.2
contract_params.budget_window_s=10
contract_params.budget_slack=56
contract_params.recover_s=12
contract_params.transit_ms=120
contract_params.again_s=10
contract_params.require_fencing=true
contract_params.lease_ms=3000
contract_params.thaw_ms=300
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_s=80.0";
