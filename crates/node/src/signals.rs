//! Unix signals that stop a process or reload its settings.

use tokio::signal::unix;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns the stream of SIGHUP signals, which ask for a reload of the settings.
///
/// # Errors
/// Returns an error if the signal handler cannot be installed.
pub fn hangups() -> anyhow::Result<unix::Signal> {
    Ok(unix::signal(unix::SignalKind::hangup())?)
}
