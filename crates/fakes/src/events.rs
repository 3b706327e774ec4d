//! Event streams of the fake engines.

use std::{io, ops, time};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::fault;

use fault::Fault;

/// Interval between two events.
pub(crate) const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Duration of [`Fault::Pauses`].
const PREEMPTION_PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// Response that a faulty server sends in the body of another one.
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\
                       content-length: 15\r\n\r\nout of memory\n\n";

/// Sends the events with these numbers, as `fault` allows; they name the version `software` unless
/// it is empty. `pace` tells how long work takes now that usually takes a time.
pub(crate) async fn send(
    sender: &mpsc::Sender<io::Result<Bytes>>,
    numbers: ops::Range<u64>,
    fault: Fault,
    software: &str,
    pace: impl Fn(time::Duration) -> time::Duration,
) {
    let suffix = if software.is_empty() { String::new() } else { format!("@{software}") };
    for number in numbers {
        tokio::time::sleep(pace(EVENT_INTERVAL)).await;
        let mut event = format!("id: {number}\ndata: token-{number}{suffix}\n\n");
        if matches!(fault, Fault::OmitsIds | Fault::AbortsWithoutIds | Fault::StallsWithoutIds) {
            event = format!("data: token-{number}{suffix}\n\n");
        }
        let chunk = match fault {
            Fault::Hangs => return tokio::time::sleep(fault::HANG_TIME).await,
            Fault::Resets => return drop(sender.send(Err(io::Error::other("reset"))).await),
            Fault::AbortsStream | Fault::TruncatesStream if number == 2 => event[..9].to_string(),
            Fault::Stalls | Fault::StallsWithoutIds if number == 2 => {
                return tokio::time::sleep(fault::HANG_TIME).await;
            }
            Fault::Pauses if number == 2 => {
                tokio::time::sleep(PREEMPTION_PAUSE).await;
                event
            }
            Fault::SkipsEvent if number == 2 => continue,
            Fault::AbortsWithoutIds if number == 2 => event[..9].to_string(),
            Fault::AppendsResponse if number == 2 => FAILURE.to_string(),
            Fault::CutsIntoResponse if number == 2 => format!("{}{FAILURE}", &event[..14]),
            Fault::AppendsText if number == 2 => "out of memory\n\n".to_string(),
            Fault::AppendsError if number == 2 => {
                "event: error\ndata: out of memory\n\n".to_string()
            }
            _ => event,
        };
        if sender.send(Ok(chunk.into())).await.is_err() {
            return;
        }
        match fault {
            Fault::AbortsStream | Fault::AbortsWithoutIds if number == 2 => {
                return drop(sender.send(Err(io::Error::other("crashed"))).await);
            }
            Fault::TruncatesStream
            | Fault::AppendsResponse
            | Fault::CutsIntoResponse
            | Fault::AppendsText
            | Fault::AppendsError
                if number == 2 =>
            {
                return;
            }
            _ => {}
        }
    }
}
