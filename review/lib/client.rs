//! Stand-ins for callers.

use std::{
    io::{BufReader, ErrorKind, Result},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use super::{http, random, record};

/// What a caller got for one attempt.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub attempt: String,
    /// Status, or 0 without a whole head.
    pub status: u16,
    pub seal: Option<String>,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
    /// When the head had arrived.
    pub head_at: Option<Instant>,
    pub error: String,
}

pub fn new_attempt() -> String {
    format!("{:016x}", random())
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub entry: SocketAddr,
    /// Method and target.
    pub first: &'a str,
    pub host: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    /// Time limit.
    pub limit: Duration,
    /// Time without a byte after which the caller gives up.
    pub gap: Duration,
}

impl Request<'_> {
    /// Sends the request on a new connection and reads the answer.
    pub fn send(&self) -> Answer {
        let attempt = new_attempt();
        let mut answer = Answer { attempt: attempt.clone(), ..Answer::default() };
        if let Err(err) = self.exchange(&mut answer) {
            answer.error = err.to_string();
        }
        record::line(&format!(
            "answer {attempt} {} at {}: {} whole {} {}",
            self.first, self.entry, answer.status, answer.is_whole, answer.error
        ));
        answer
    }

    fn exchange(&self, answer: &mut Answer) -> Result<()> {
        let until = Instant::now() + self.limit;
        let mut stream = TcpStream::connect_timeout(&self.entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let limit = self.limit.as_millis().to_string();
        let mut headers = vec![
            ("Host", self.host),
            ("X-Attempt-Id", answer.attempt.as_str()),
            ("X-Deadline-Ms", limit.as_str()),
        ];
        headers.extend(self.headers);
        record::line(&format!("sent {} {} to {}", answer.attempt, self.first, self.entry));
        let first = format!("{} HTTP/1.1", self.first);
        http::write_message(&mut stream, &first, &headers, self.body)?;
        let mut reader = BufReader::new(stream);
        let set_timeout = |reader: &mut BufReader<TcpStream>| -> Result<()> {
            let left = until.saturating_duration_since(Instant::now()).min(self.gap);
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            reader.get_ref().set_read_timeout(Some(left))
        };
        set_timeout(&mut reader)?;
        let head = http::read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        answer.seal = head.get("x-response-seal").map(str::to_string);
        answer.retry_after = head.get("retry-after").and_then(|text| text.parse().ok());
        answer.head_at = Some(Instant::now());
        if head.get("transfer-encoding").is_none() {
            answer.body = http::read_body(&mut reader, &head)?;
            answer.is_whole = true;
            return Ok(());
        }
        loop {
            set_timeout(&mut reader)?;
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                answer.is_whole = true;
                return Ok(());
            }
            answer.body.extend(chunk);
        }
    }
}

/// One try of a stream.
#[derive(Clone, Debug)]
pub struct Try {
    pub entry: SocketAddr,
    pub sent_at: Instant,
    /// Id of the last event that the caller had when it sent the try.
    pub after: u64,
    pub answer: Answer,
    /// Ids of the events that it brought, each with the server and its software version.
    pub events: Vec<(u64, String, String)>,
}

/// A caller that wants a whole stream, and takes it up at another entry after a broken connection.
#[derive(Clone, Debug)]
pub struct Stream<'a> {
    /// Entries to which the tries go, one after the other.
    pub entries: &'a [SocketAddr],
    pub first: &'a str,
    pub host: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    /// Time limit of all tries together.
    pub limit: Duration,
    pub gap: Duration,
}

impl Stream<'_> {
    pub fn run(&self) -> Vec<Try> {
        let until = Instant::now() + self.limit;
        let mut tries: Vec<Try> = Vec::new();
        let mut first = String::new();
        for entry in self.entries {
            let after = tries.iter().flat_map(|done| &done.events).map(|(id, ..)| *id).max();
            let after = after.unwrap_or(0);
            let last = after.to_string();
            let mut headers = self.headers.to_vec();
            if after > 0 {
                headers.push(("Last-Event-Id", last.as_str()));
                headers.push(("Resumes", first.as_str()));
            }
            let sent_at = Instant::now();
            let limit = until.saturating_duration_since(sent_at);
            if limit < Duration::from_millis(50) {
                break;
            }
            let Stream { first: line, host, body, gap, .. } = *self;
            let request =
                Request { entry: *entry, first: line, host, headers: &headers, body, limit, gap };
            let answer = request.send();
            let events = read_events(&answer.body);
            if first.is_empty() && !events.is_empty() {
                first = answer.attempt.clone();
            }
            let wait = answer.retry_after;
            let is_done = answer.is_whole && answer.status == 200;
            let (status, entry) = (answer.status, *entry);
            tries.push(Try { entry, sent_at, after, answer, events });
            if is_done || (400..500).contains(&status) && status != 429 {
                break;
            }
            // Callers honour `Retry-After` up to a third of the time that they have left.
            let left = until.saturating_duration_since(Instant::now());
            let wait = wait.map_or(Duration::from_millis(50), Duration::from_secs_f64);
            std::thread::sleep(wait.min(left / 3));
        }
        tries
    }
}

fn read_events(body: &[u8]) -> Vec<(u64, String, String)> {
    let text = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        let id = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        if let (Some(id), Some(data)) = (id, data) {
            let mut words = data.split(' ').map(str::to_string);
            let (server, version) = (words.next(), words.next());
            events.push((id, server.unwrap_or_default(), version.unwrap_or_default()));
        }
    }
    events
}
