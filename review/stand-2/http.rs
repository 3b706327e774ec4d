//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }
}

/// Reads the first line and the headers; `None` if the peer has closed before the first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first: line.trim_end().to_string(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("closed in the head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body that the head announces. `pause` is called before each piece of 16 KiB.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    mut pause: impl FnMut(),
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::Error::other("closed in a chunk"));
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(io::Error::other)?;
            let from = message.body.len();
            message.body.resize(from + size, 0);
            reader.read_exact(&mut message.body[from..])?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    let mut from = 0;
    while from < length {
        pause();
        let to = length.min(from + 16 * 1024);
        reader.read_exact(&mut message.body[from..to])?;
        from = to;
    }
    Ok(())
}

/// Writes a message with a length.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut whole = head.into_bytes();
    whole.extend_from_slice(body);
    stream.write_all(&whole)
}
