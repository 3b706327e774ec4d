//! Stop and reload signals.

use tokio::signal::unix;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the signals cannot be caught.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Signals that the settings have changed.
///
/// # Errors
/// Returns an error if the signal cannot be caught.
pub fn hangups() -> anyhow::Result<unix::Signal> {
    Ok(unix::signal(unix::SignalKind::hangup())?)
}
