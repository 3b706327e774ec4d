//! Reads a stream of events as a client does.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::common::*;

/// Status, `Retry-After`, events with their data, and whether the answer ended as its framing says.
pub type Received = (u16, Option<Duration>, Vec<(u64, String)>, bool);

/// Sends a request on a new connection and reads events as they arrive.
pub fn receive(call: &Call, entry: SocketAddr, left: Duration) -> Received {
    let nothing = (0, None, Vec::new(), false);
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(1)) else {
        return nothing;
    };
    let _ = stream.set_read_timeout(Some(left));
    if stream.write_all(&call.bytes()).is_err() {
        return nothing;
    }
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return nothing;
        }
    }
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let value = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut lines = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        lines.next().map(|(_, value)| value.trim().to_string())
    };
    let retry_after = value("retry-after").and_then(|text| text.parse::<f64>().ok());
    let retry_after = retry_after.map(Duration::from_secs_f64);
    if value("transfer-encoding").is_none() {
        let length = value("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let is_whole = reader.read_exact(&mut vec![0; length]).is_ok();
        return (status, retry_after, Vec::new(), is_whole);
    }
    let (mut text, mut is_whole) = (String::new(), false);
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            break;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let mut part = vec![0; size + 2];
        if reader.read_exact(&mut part).is_err() {
            break;
        }
        if size == 0 {
            is_whole = true;
            break;
        }
        text += &String::from_utf8_lossy(&part[..size]);
    }
    let whole_events = text.rsplit_once("\n\n").map_or("", |(events, _)| events);
    let read = |event: &str| {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        Some((field("id: ")?.parse().ok()?, field("data: ")?.to_string()))
    };
    let events = whole_events.split("\n\n").filter_map(read).collect();
    (status, retry_after, events, is_whole)
}
