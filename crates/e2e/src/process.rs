//! A process of a deployment.

use std::{
    env, fs,
    io::{self, BufRead},
    net, path, process, thread, time,
};

use rustix::process as signals;

/// A running process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: process::Child,
    pid: signals::Pid,
    /// HTTP address.
    pub http: net::SocketAddr,
    /// Address at which an agent accepts connections of entries; `None` for other processes.
    pub peer: Option<net::SocketAddr>,
}

/// Longest time until all threads of a process have stopped, and interval between checks.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const STOP_POLL: time::Duration = time::Duration::from_millis(1);

/// Path of a binary of this workspace, in the build directory of the test binary.
pub fn program_path(name: &str) -> path::PathBuf {
    let mut dir = env::current_exe().expect("the test binary has a path");
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

impl Process {
    /// Starts the binary `name` and waits for the line on standard output that lists its
    /// addresses. Standard error is appended to `log`.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or ends before it prints its addresses.
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
        let find_address = |key: &str| {
            let value = line.split_whitespace().find_map(|word| word.strip_prefix(key));
            value.and_then(|address| address.parse().ok())
        };
        let Some(http) = find_address("http=") else {
            anyhow::bail!("{name} did not print its addresses: {}", fs::read_to_string(log)?);
        };
        let pid = signals::Pid::from_child(&child);
        Ok(Process { child, pid, http, peer: find_address("peer=") })
    }

    /// Process id.
    pub fn id(&self) -> String {
        self.child.id().to_string()
    }

    fn signal(&self, signal: signals::Signal) {
        signals::kill_process(self.pid, signal).expect("the process is running");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP`, and waits until all its threads have stopped: each of
    /// them runs on until it is next scheduled.
    pub fn freeze(&self) {
        self.signal(signals::Signal::STOP);
        let deadline = time::Instant::now() + STOP_TIMEOUT;
        while !self.is_stopped() {
            assert!(time::Instant::now() < deadline, "the process does not stop");
            thread::sleep(STOP_POLL);
        }
    }

    // Whether each thread is in the state `T` of proc(5).
    fn is_stopped(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.child.id());
        let Ok(threads) = fs::read_dir(tasks) else { return false };
        threads.flatten().all(|task| {
            let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn thaw(&self) {
        self.signal(signals::Signal::CONT);
    }

    /// Starts a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    /// Exit code, once the process has ended; -1 if a signal ended it.
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
