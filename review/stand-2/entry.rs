//! Entries: real processes, with settings like those of a small deployment.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Addresses of one run: 127.A.B.x, of which nobody else uses any.
#[derive(Clone, Copy)]
pub struct Subnet(u8, u8);

impl Subnet {
    pub fn take() -> Subnet {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
        let mut draw = nanos ^ std::process::id().wrapping_mul(2_654_435_761);
        loop {
            draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let subnet = Subnet(64 + (draw >> 24) as u8 % 128, (draw >> 16) as u8);
            let ports = [7660, 8140, 8144, 9464];
            let mut all = (10..16).flat_map(|host| ports.map(|port| (host, port)));
            if all.all(|(host, port)| TcpListener::bind(subnet.at(host, port)).is_ok()) {
                return subnet;
            }
        }
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }
}

pub struct Entry {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub ip: Ipv4Addr,
}

/// What differs between the cases.
pub struct Settings<'a> {
    pub zone: &'a str,
    pub memory_mb: u64,
    pub store: SocketAddr,
    pub params: &'a [(&'a str, &'a str)],
}

impl Entry {
    pub fn start(dir: &Path, subnet: Subnet, number: u8, settings: &Settings<'_>) -> Entry {
        let ip = subnet.ip(10 + number);
        let Settings { zone, memory_mb, store, params } = settings;
        let seed = subnet.ip(10);
        let mut text = format!(
            "node_name=edge-{number}\nrole=entry\ninstance_class=edge\nserves=edge,control\n\
             ip={ip}\nzone={zone}\nregion=r\nzones.{zone}=r\nbind.frontend={ip}:8144\n\
             bind.ready={ip}:8140\nbind.admin={ip}:8146\nport_range=7660,7675\n\
             seed_nodes={seed}:8146\nbootstrap=true\nloss_counts=false\n\
             limits.cpu_share=0.2\nlimits.cpu_cores=1\nlimits.memory_mb={memory_mb}\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             platform.address={store}\nplatform.form=table\n"
        );
        for (key, value) in *params {
            text.push_str(&format!("contract_params.{key}={value}\n"));
        }
        let path = dir.join(format!("edge-{number}.conf"));
        fs::write(&path, text).expect("the folder can be written to");
        let log = dir.join(format!("edge-{number}.log"));
        let child = spawn(&path, &log);
        Entry { child, settings: path, log, ip }
    }

    /// Starts the process again, as the platform does after one has ended.
    pub fn restart(&mut self) {
        self.kill();
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        fs::write(&self.settings, text).expect("the settings can be written");
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop, and kills it after `grace` as the platform does.
    pub fn stop(&mut self, grace: Duration) {
        let pid = self.pid().to_string();
        let _ = Command::new("bash").args(["-c", &format!("kill -TERM {pid}")]).status();
        let end = Instant::now() + grace;
        while self.ended().is_none() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, 8144).into()
    }

    pub fn is_ready(&self) -> bool {
        let asking = || -> std::io::Result<bool> {
            let address = (self.ip, 8140).into();
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut reply = [0; 12];
            stream.read_exact(&mut reply)?;
            Ok(reply.ends_with(b"200"))
        };
        asking().unwrap_or(false)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory in bytes; 0 if the process has ended.
    pub fn memory(&self) -> u64 {
        memory(self.pid())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let out = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    // The command of the deploy file, in the root of the repository.
    Command::new("target/release/rhubarb-edge")
        .env("RHUBARBLOOM_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .spawn()
        .inspect(note_pid)
        .expect("target/release/rhubarb-edge starts; build it first")
}

// For the script, which ends what a driver that was stopped has left.
fn note_pid(child: &Child) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else { return };
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{}", child.id());
    }
}
