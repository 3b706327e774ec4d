//! Event streams of the fake engines.

use std::{io, time};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::fault;

use fault::Fault;

/// Interval between two events.
pub(crate) const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Duration of [`Fault::Pauses`].
const PREEMPTION_PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// Sends the events from number `first` on, as `fault` allows; they name the version `software` unless
/// it is empty. `pace` tells how long work takes now that usually takes a time.
pub(crate) async fn send(
    sender: &mpsc::Sender<io::Result<Bytes>>,
    first: u64,
    fault: Fault,
    software: &str,
    pace: impl Fn(time::Duration) -> time::Duration,
) {
    let suffix = if software.is_empty() { String::new() } else { format!("@{software}") };
    for number in first..fault::EVENTS {
        tokio::time::sleep(pace(EVENT_INTERVAL)).await;
        let event = format!("id: {number}\ndata: token-{number}{suffix}\n\n");
        let chunk = match fault {
            Fault::Hangs => return tokio::time::sleep(fault::HANG_TIME).await,
            Fault::Resets => return drop(sender.send(Err(io::Error::other("reset"))).await),
            Fault::AbortsStream | Fault::TruncatesStream if number == 2 => event[..9].to_string(),
            Fault::Stalls if number == 2 => return tokio::time::sleep(fault::HANG_TIME).await,
            Fault::Pauses if number == 2 => {
                tokio::time::sleep(PREEMPTION_PAUSE).await;
                event
            }
            Fault::SkipsEvent if number == 2 => continue,
            _ => event,
        };
        if sender.send(Ok(chunk.into())).await.is_err() {
            return;
        }
        match fault {
            Fault::AbortsStream if number == 2 => {
                return drop(sender.send(Err(io::Error::other("crashed"))).await);
            }
            Fault::TruncatesStream if number == 2 => return,
            _ => {}
        }
    }
}
