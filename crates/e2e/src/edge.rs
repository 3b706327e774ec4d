//! One entry of a stand-in deployment, as a process.

use std::{fs, net, path, process, time};

use hyper::Method;
use rustix::process as signals;

use rhubarb_node::{client, metrics};

use crate::{call, process as programs};

/// One entry; it is killed when this is dropped.
#[derive(Debug)]
pub struct Edge {
    pub(crate) child: process::Child,
    /// Where callers connect.
    pub frontend: net::SocketAddr,
    pub(crate) ready: net::SocketAddr,
    pub(crate) settings: path::PathBuf,
    pub(crate) log: path::PathBuf,
}

impl Edge {
    /// Whether the balancer may send new connections.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/v1/ready", self.ready);
        let reply = client::Client::new().get(&url, time::Duration::from_secs(1)).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Processor time that the process has used.
    ///
    /// # Errors
    /// Returns an error if the system does not tell.
    pub fn cpu_time(&self) -> anyhow::Result<time::Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The fields behind the name, which may hold spaces: user and system time are the 14th
        // and 15th of proc(5), in ticks of 10 ms.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11);
        let ticks: u64 = fields.take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(time::Duration::from_millis(ticks * 10))
    }

    /// Value of a counter on the metrics address.
    ///
    /// # Errors
    /// Returns an error if the entry does not answer or has no such counter.
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

    /// Log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Changes a line of the settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn edit_settings(&self, from: &str, to: &str) -> anyhow::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        Ok(fs::write(&self.settings, text.replace(from, to))?)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("the process is there");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code, once the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Sends a request with the id `attempt`.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        attempt: &str,
        body: &str,
    ) -> anyhow::Result<call::Reply> {
        self.call_with(method, path, attempt, body, &[]).await
    }

    /// Sends a request with more headers.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
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

/// Starts the process of an entry with its settings file; what it writes is added to `log`.
pub(crate) fn spawn(settings: &path::Path, log: &path::Path) -> anyhow::Result<process::Child> {
    process::Command::new(programs::program_path("rhubarb-edge"))
        .env("RHUBARBLOOM_NODE_FILE", settings)
        .stdin(process::Stdio::null())
        .stdout(fs::OpenOptions::new().create(true).append(true).open(log)?)
        .spawn()
        .map_err(|err| anyhow::anyhow!("rhubarb-edge: {err}; run `cargo build --workspace`"))
}
