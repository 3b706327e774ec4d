//! Unix signals that stop a process or reload its settings.

use tokio::signal::unix;

/// SIGTERM and SIGINT, which stop a process. They are caught from its creation on.
#[derive(Debug)]
pub struct Stop {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Stop {
    /// Catches the signals. A process does so before others can reach it: they may stop it from then on.
    ///
    /// # Errors
    /// Returns an error if the signal handlers cannot be installed.
    pub fn catch() -> anyhow::Result<Stop> {
        let terminate = unix::signal(unix::SignalKind::terminate())?;
        let interrupt = unix::signal(unix::SignalKind::interrupt())?;
        Ok(Stop { terminate, interrupt })
    }

    /// Waits for one of them, which may have come before.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Returns the stream of SIGHUP signals, which ask for a reload of the settings.
///
/// # Errors
/// Returns an error if the signal handler cannot be installed.
pub fn hangups() -> anyhow::Result<unix::Signal> {
    Ok(unix::signal(unix::SignalKind::hangup())?)
}
