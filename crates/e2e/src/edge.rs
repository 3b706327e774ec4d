//! An entry process of a platform deployment.

use std::{fs, net, os::unix::process::ExitStatusExt, path, process, time};

use hyper::Method;
use rustix::process as signals;

use rhubarb_node::{client, metrics};

use crate::{call, process as programs};

/// A running entry process, killed on drop.
#[derive(Debug)]
pub struct Edge {
    pub(crate) child: process::Child,
    /// Address for callers.
    pub frontend: net::SocketAddr,
    /// Address of the readiness check.
    pub ready: net::SocketAddr,
    pub(crate) settings: path::PathBuf,
    pub(crate) log: path::PathBuf,
}

impl Edge {
    /// Whether the entry reports to the load balancer that it accepts connections.
    pub async fn is_ready(&self) -> bool {
        is_ready(self.ready).await
    }

    /// User and system CPU time of the process.
    ///
    /// # Errors
    /// Returns an error if `/proc` has no entry for the process.
    pub fn cpu_time(&self) -> anyhow::Result<time::Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // Fields are counted after the process name, which may contain spaces. User and system time
        // are fields 14 and 15 in proc(5), in ticks of 10 ms.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11);
        let ticks: u64 = fields.take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(time::Duration::from_millis(ticks * 10))
    }

    /// Largest resident memory of the process so far, in bytes.
    ///
    /// # Errors
    /// Returns an error if `/proc` has no entry for the process, for example because it has ended.
    pub fn peak_memory(&self) -> anyhow::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes = kilobytes.ok_or_else(|| anyhow::anyhow!("the process has ended"))?;
        Ok(kilobytes.parse::<u64>()? << 10)
    }

    /// Reads the value of a counter from the metrics endpoint.
    ///
    /// # Errors
    /// Returns an error if the entry does not respond or has no such counter.
    pub async fn counter(&self, name: &str) -> anyhow::Result<u64> {
        let url = format!("http://{}:{}/metrics", self.frontend.ip(), metrics::PLATFORM_PORT);
        let reply = client::Client::new().get(&url, call::CALL_TIMEOUT).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
        let value = values.find_map(|rest| rest.strip_prefix(' '));
        value
            .ok_or_else(|| anyhow::anyhow!("no counter {name}"))?
            .trim()
            .parse()
            .map_err(Into::into)
    }

    /// Log written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Line of the settings file that starts with `key`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has no such line.
    pub fn setting(&self, key: &str) -> anyhow::Result<String> {
        let text = fs::read_to_string(&self.settings)?;
        let line = text.lines().find(|line| line.starts_with(key));
        line.map(str::to_string).ok_or_else(|| anyhow::anyhow!("no setting {key}"))
    }

    /// Replaces `from` with `to` in the settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or written.
    pub fn edit_settings(&self, from: &str, to: &str) -> anyhow::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        Ok(fs::write(&self.settings, text.replace(from, to))?)
    }

    /// Sends a signal to the process, which must not have ended.
    pub fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("the process is running");
    }

    /// Whether the process has a handler for a signal. Until it has started, a signal that ends it by
    /// default does so.
    pub fn catches(&self, signal: signals::Signal) -> bool {
        let status = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(status).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask >> (signal.as_raw() - 1) & 1 == 1)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, once the process has ended; the negative number of the signal if one ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        let signal = || status.signal().map(|signal| -signal);
        status.code().or_else(signal)
    }

    /// Sends a request with the attempt id `attempt`.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        attempt: &str,
        body: &str,
    ) -> anyhow::Result<call::Reply> {
        self.call_with(method, path, attempt, body, &[]).await
    }

    /// Sends a request with extra headers and reads the response, also one that is cut off.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn receive(
        &self,
        method: Method,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<call::Received> {
        let call = call::Call { path, attempt, body: "b", headers };
        Ok(call.receive(&client::Client::new(), method, self.frontend).await?)
    }

    /// Sends a request with extra headers.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        attempt: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<call::Reply> {
        let call = call::Call { path, attempt, body, headers };
        Ok(call.send(&client::Client::new(), method, self.frontend).await?)
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether an entry says at its address for readiness checks that it accepts connections.
pub async fn is_ready(address: net::SocketAddr) -> bool {
    let url = format!("http://{address}/v1/ready");
    let reply = client::Client::new().get(&url, time::Duration::from_secs(1)).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

/// Starts an entry process with a settings file and appends its standard output to `log`.
pub(crate) fn spawn(settings: &path::Path, log: &path::Path) -> anyhow::Result<process::Child> {
    process::Command::new(programs::program_path("rhubarb-edge"))
        .env("RHUBARBLOOM_NODE_FILE", settings)
        .stdin(process::Stdio::null())
        .stdout(fs::OpenOptions::new().create(true).append(true).open(log)?)
        .spawn()
        .map_err(|err| anyhow::anyhow!("rhubarb-edge: {err}; run `cargo build --workspace`"))
}
