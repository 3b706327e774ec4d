//! One process of a deployment.

use std::{
    env, fs,
    io::{self, BufRead},
    net, path, process,
};

use rustix::process as signals;

/// A running process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: process::Child,
    pid: signals::Pid,
    /// Address for HTTP.
    pub http: net::SocketAddr,
    /// Address for entries, of an agent.
    pub peer: Option<net::SocketAddr>,
}

/// Path of a program of this workspace.
pub fn program_path(name: &str) -> path::PathBuf {
    let mut dir = env::current_exe().expect("a test has a path");
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

impl Process {
    /// Starts `name` and waits for the line that tells its addresses.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or ends early.
    pub fn start(name: &str, args: &[&str], log: &path::Path) -> anyhow::Result<Process> {
        let mut child = process::Command::new(program_path(name))
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(fs::OpenOptions::new().create(true).append(true).open(log)?)
            .spawn()
            .map_err(|err| anyhow::anyhow!("{name}: {err}; run `cargo build --workspace`"))?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        io::BufReader::new(stdout).read_line(&mut line)?;
        let find = |key: &str| {
            let word = line.split_whitespace().find_map(|word| word.strip_prefix(key));
            word.and_then(|address| address.parse().ok())
        };
        let Some(http) = find("http=") else {
            anyhow::bail!("{name} ended early: {}", fs::read_to_string(log)?);
        };
        let pid = signals::Pid::from_child(&child);
        Ok(Process { child, pid, http, peer: find("peer=") })
    }

    fn signal(&self, signal: signals::Signal) {
        signals::kill_process(self.pid, signal).expect("the process is there");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(signals::Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(signals::Signal::CONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    /// Whether the process has ended, and its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = signals::kill_process(self.pid, signals::Signal::CONT);
        self.kill();
    }
}
