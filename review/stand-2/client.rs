//! A client with one connection that it keeps.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

pub struct Client {
    address: SocketAddr,
    connection: Option<(BufReader<TcpStream>, TcpStream)>,
    /// Whether the last request went on a connection that had carried others.
    pub was_kept: bool,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    Answered(http::Message),
    /// No new connection, or the connection ended before the whole request was written.
    Unsent(String),
    /// The whole request was written, and the connection ended without a complete answer.
    Lost(String),
    /// The whole request was written, and there was no complete answer within the limit.
    GivenUp,
}

pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub limit: Duration,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None, was_kept: false }
    }

    pub fn send(&mut self, request: &Request<'_>) -> Outcome {
        self.was_kept = self.connection.is_some();
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
            let stream = stream.and_then(|stream| {
                stream.set_nodelay(true)?;
                Ok((BufReader::new(stream.try_clone()?), stream))
            });
            match stream {
                Ok(pair) => self.connection = Some(pair),
                Err(err) => return Outcome::Unsent(err.to_string()),
            }
        }
        let Some((mut reader, mut stream)) = self.connection.take() else {
            return Outcome::Unsent("no connection".to_string());
        };
        // The caller waits a little longer than it says.
        let limit = request.limit + Duration::from_millis(500);
        let _ = stream.set_read_timeout(Some(limit));
        let _ = stream.set_write_timeout(Some(limit));
        let deadline = request.limit.as_millis().to_string();
        let mut headers = vec![
            ("Host", request.host),
            ("X-Attempt-Id", request.attempt),
            ("X-Deadline-Ms", &deadline),
        ];
        headers.extend_from_slice(request.headers);
        let first = format!("{} {} HTTP/1.1", request.method, request.path);
        let written = http::write(&mut stream, &first, &headers, request.body);
        if let Err(err) = written.and_then(|()| stream.flush()) {
            return Outcome::Unsent(err.to_string());
        }
        let reading = http::read_head(&mut reader).and_then(|head| {
            let mut answer = head.ok_or_else(|| std::io::Error::other("closed"))?;
            http::read_body(&mut reader, &mut answer, || ())?;
            Ok(answer)
        });
        match reading {
            Ok(answer) => {
                if answer.header("connection") != Some("close") {
                    self.connection = Some((reader, stream));
                }
                Outcome::Answered(answer)
            }
            Err(err) if is_timeout(&err) => Outcome::GivenUp,
            Err(err) => Outcome::Lost(err.to_string()),
        }
    }
}

fn is_timeout(err: &std::io::Error) -> bool {
    matches!(err.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
