//! Server that answers with bytes as given: without a length, cut off, or without end.

use std::{io, net, ops, sync, sync::atomic, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tcp,
};

use rhubarb_node::locks;

/// How it answers requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A head that does not end.
    EndlessHead,
    /// Informational responses without end.
    EndlessInterim,
    /// A body of a successful answer that does not end, in chunks or until the connection closes.
    EndlessBody {
        /// Whether it comes in chunks.
        chunked: bool,
    },
    /// A rejection whose body does not end.
    EndlessRejection,
    /// An event that does not end.
    EndlessEvent,
    /// Events without data that do not end, each of this text and a blank line.
    EndlessEmpty(&'static str),
    /// This body without a length, which ends with the connection.
    Unframed(String),
    /// The same, but the connection is reset at its end.
    Reset(String),
    /// An answer with this status line that begins once the head of the request has arrived and has no
    /// length; the connection is reset after a pause, whatever arrives of the request's body.
    Early {
        /// Status and reason.
        status: &'static str,
        /// First part of the body.
        body: String,
        /// Time before the reset.
        pause: time::Duration,
    },
    /// Events with numbers, without a length, from the one after the last that the request names.
    Events {
        /// Number of events of the whole stream.
        count: u64,
        /// Time before each.
        interval: time::Duration,
    },
    /// The first bytes of an answer, after which the connection is closed.
    Cut {
        /// The whole answer; `{id}` stands for the header that echoes the attempt id.
        text: String,
        /// Number of bytes that are sent.
        at: usize,
        /// Whether the first answer on a connection is sent whole, and a later one is cut.
        kept: bool,
    },
}

/// A server on its own port; clones share their state.
#[derive(Clone, Debug)]
pub struct Raw {
    /// Its address.
    pub address: net::SocketAddr,
    answer: sync::Arc<sync::Mutex<Answer>>,
    // Number of holds granted.
    holds: sync::Arc<atomic::AtomicU64>,
    // Whether its reports do not tell when its process was started.
    hides_start: sync::Arc<atomic::AtomicBool>,
}

/// Report of an engine whose process was started at 1, and of one that does not tell that.
const REPORT: &str = r#"{"stage":"decode","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":0,"handles":0,"born":1}"#;
const SHORT_REPORT: &str = r#"{"stage":"decode","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":0,"handles":0}"#;
const BUFFER_BYTES: usize = 16 * 1024;
/// Size of the pieces of answers without end, in bytes, and the pause after each.
const PIECE_BYTES: usize = 64 * 1024;
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(1);

impl Raw {
    /// Starts a server on `ip`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(ip: net::IpAddr, answer: Answer) -> io::Result<Raw> {
        Raw::start_at((ip, 0).into(), answer).await
    }

    /// Starts a server at `address`.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub async fn start_at(address: net::SocketAddr, answer: Answer) -> io::Result<Raw> {
        let listener = tcp::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let answer = sync::Arc::new(sync::Mutex::new(answer));
        let (holds, hides_start) = (sync::Arc::default(), sync::Arc::default());
        let raw = Raw { address, answer, holds, hides_start };
        let shared = raw.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let raw = shared.clone();
                // A connection that fails is closed, which its client sees.
                tokio::spawn(async move { raw.serve(client).await });
            }
        });
        Ok(raw)
    }

    /// Sets how it answers from now on.
    pub fn set_answer(&self, answer: Answer) {
        *locks::lock(&self.answer) = answer;
    }

    /// Leaves the start of its process out of its reports from now on.
    pub fn hide_start(&self) {
        self.hides_start.store(true, atomic::Ordering::Relaxed);
    }

    async fn serve(&self, mut client: tcp::TcpStream) -> io::Result<()> {
        let mut pending = Vec::new();
        let mut answered = 0;
        loop {
            // The answer may be set while a connection waits for its request.
            let is_early = || matches!(*locks::lock(&self.answer), Answer::Early { .. });
            let Some(head) = read_head(&mut client, &mut pending, is_early).await? else {
                return Ok(());
            };
            let line = head.lines().next().unwrap_or_default();
            if line.contains(" /v1/") {
                let number = self.holds.fetch_add(1, atomic::Ordering::Relaxed);
                let body = match line.contains(" /v1/report") {
                    true if self.hides_start.load(atomic::Ordering::Relaxed) => {
                        SHORT_REPORT.to_string()
                    }
                    true => REPORT.to_string(),
                    false => format!("{{\"hold\":\"raw-{number}\"}}"),
                };
                let length = body.len();
                let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
                client.write_all(reply.as_bytes()).await?;
                continue;
            }
            let id = head.lines().find(|line| line.starts_with("x-attempt-id:"));
            let id = id.unwrap_or("x-none: 1");
            let answer = locks::lock(&self.answer).clone();
            if let Answer::Early { status, body, pause } = &answer {
                let head = format!(
                    "HTTP/1.1 {status}\r\n{id}\r\nx-response-seal: raw\r\ncontent-type: text/event-stream\r\n\r\n"
                );
                client.write_all(format!("{head}{body}").as_bytes()).await?;
                tokio::time::sleep(*pause).await;
                return client.set_zero_linger();
            }
            if let Answer::Cut { text, at, kept } = &answer {
                let text = text.replace("{id}", id);
                if *kept && answered == 0 {
                    client.write_all(text.as_bytes()).await?;
                    answered += 1;
                    continue;
                }
                let end = (*at).min(text.len());
                return client.write_all(&text.as_bytes()[..end]).await;
            }
            if let Answer::Events { count, interval } = answer {
                let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:"));
                let last: Option<u64> = last.and_then(|last| last.trim().parse().ok());
                let first = last.map_or(0, |last| last + 1);
                return send_events(&mut client, id, first..count, interval).await;
            }
            return self.answer(&mut client, &answer, id).await;
        }
    }

    async fn answer(
        &self,
        client: &mut tcp::TcpStream,
        answer: &Answer,
        id: &str,
    ) -> io::Result<()> {
        let sealed = format!("HTTP/1.1 200 OK\r\n{id}\r\nx-response-seal: raw\r\n");
        let (head, piece) = match answer {
            Answer::EndlessHead => (sealed, "x-pad: pad\r\n".repeat(PIECE_BYTES / 12)),
            Answer::EndlessInterim => {
                (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PIECE_BYTES / 28))
            }
            Answer::EndlessBody { chunked: false } => {
                (format!("{sealed}\r\n"), "x".repeat(PIECE_BYTES))
            }
            Answer::EndlessBody { chunked: true } => (
                format!("{sealed}transfer-encoding: chunked\r\n\r\n"),
                format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES)),
            ),
            Answer::EndlessRejection => (
                format!("HTTP/1.1 503 Busy\r\n{id}\r\nx-not-executed: 1\r\n\r\n"),
                "x".repeat(PIECE_BYTES),
            ),
            Answer::EndlessEvent => (
                format!("{sealed}content-type: text/event-stream\r\n\r\nid: 0\ndata: "),
                "x".repeat(PIECE_BYTES),
            ),
            Answer::EndlessEmpty(text) => {
                let event = format!("{text}\n\n");
                let head = format!("{sealed}content-type: text/event-stream\r\n\r\n");
                (head, event.repeat(PIECE_BYTES / event.len()))
            }
            Answer::Unframed(body) | Answer::Reset(body) => {
                client.write_all(format!("{sealed}\r\n{body}").as_bytes()).await?;
                tokio::time::sleep(PIECE_PAUSE * 50).await;
                if matches!(answer, Answer::Reset(_)) {
                    client.set_zero_linger()?;
                }
                return Ok(());
            }
            Answer::Events { .. } | Answer::Cut { .. } | Answer::Early { .. } => return Ok(()),
        };
        client.write_all(head.as_bytes()).await?;
        loop {
            client.write_all(piece.as_bytes()).await?;
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    }
}

/// Text of the events with these numbers.
pub fn events(numbers: ops::Range<u64>) -> String {
    numbers.map(|number| format!("id: {number}\ndata: token-{number}\n\n")).collect()
}

async fn send_events(
    client: &mut tcp::TcpStream,
    id: &str,
    numbers: ops::Range<u64>,
    interval: time::Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{id}\r\nx-response-seal: raw\r\ncontent-type: text/event-stream\r\n\r\n"
    );
    client.write_all(head.as_bytes()).await?;
    for number in numbers {
        tokio::time::sleep(interval).await;
        client.write_all(events(number..number + 1).as_bytes()).await?;
    }
    Ok(())
}

// Reads one request with its body, if that has a length, or its head only if the answer `is_early`;
// `None` at the end of the connection. Returns the head in lower case.
async fn read_head(
    client: &mut tcp::TcpStream,
    pending: &mut Vec<u8>,
    is_early: impl Fn() -> bool,
) -> io::Result<Option<String>> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let text = String::from_utf8_lossy(pending).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
            // Only calls without a body come before an early answer on a connection.
            let length = if is_early() { length.min(body.len()) } else { length };
            if body.len() >= length {
                pending.drain(..head.len() + 4 + length);
                return Ok(Some(head.to_string()));
            }
        }
        let read = client.read(&mut buffer).await?;
        if read == 0 {
            return Ok(None);
        }
        pending.extend_from_slice(&buffer[..read]);
    }
}
