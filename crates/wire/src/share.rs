//! State that entries send to each other: commitments at engines, by datagram, and snapshots of
//! the platform's store, by TCP, for entries that do not receive its changes.

use std::{collections, fmt, net, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::{
    allowance, beginnings, cause, engine, ids, members, misdirected, quotas, reports, speeds,
    stages, stamp, suspects, urgency,
};

/// Maximum size of a datagram, in bytes; fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// State of one entry, which it sends to other entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Version of the format, [`FORMAT`].
    pub format: u8,
    /// Name of the sending instance.
    pub name: String,
    /// Random number that identifies the sender's process.
    pub incarnation: ids::Incarnation,
    /// Heartbeat number, which increases with each datagram.
    pub seq: u64,
    /// Availability zone of the sender.
    pub zone: ids::ZoneTag,
    /// Version of the config that the sender uses.
    pub config: ids::ListVersion,
    /// Store version of the newest change to a server that the sender has seen.
    pub servers: stamp::Stamp,
    /// When the store last told the sender all changes of its tables.
    pub answered: Answered,
    /// Rest of the sender's grace period for servers without rows, after an outage of the store, in
    /// milliseconds.
    pub grace_ms: u32,
    /// Whether the sender receives the changes of the platform's store.
    pub follows: bool,
    /// Whether the sender is ready for callers.
    pub is_ready: bool,
    /// Heartbeats that the sender relays.
    pub members: Vec<Heartbeat>,
    /// What the sender knows of requests that crash servers.
    pub evidence: Vec<Evidence>,
    /// What the sender knows of limits that servers have named.
    pub limits: Vec<Limit>,
    /// What the sender knows of servers at whose addresses others answer.
    pub misdirected: Vec<Misdirected>,
    /// Requests that the sender got in the last seconds, by service; empty without limits, and in
    /// datagrams to other cells.
    pub demand: collections::BTreeMap<ids::ServiceName, u32>,
    /// Commitments of the sender; absent in datagrams to entries that share no engines with it.
    pub committed: Option<Commitments>,
    /// Engine time used by the sender's requests, by service.
    pub usage: collections::BTreeMap<ids::ServiceName, stages::Usage>,
    /// Engines whose stage the sender has ordered to change.
    pub changing: Vec<ids::ServerTag>,
    /// Services whose requests wait for memory at the sender, with the urgency of the most urgent
    /// one.
    pub waiting: collections::BTreeMap<ids::ServiceName, urgency::Urgency>,
    /// Engines that have just refused memory to the sender.
    pub full: Vec<ids::ServerTag>,
    /// What the sender's requests have used of customers' limits; absent in datagrams to other cells and
    /// between heartbeats.
    pub used: Option<Used>,
    /// Times per token that the sender has measured since its last heartbeat.
    pub speeds: Vec<Speed>,
    /// Engines that keep beginnings of prompts which several requests have; at most
    /// [`beginnings::MAX_TOLD`].
    pub kept: Vec<beginnings::Place>,
    /// Commitments of all entries to the engines of the sender's cell, and the engine time that the
    /// cell's requests have used; absent in datagrams within the cell.
    pub digest: Option<Digest>,
}

/// Version of the format of [`Share`].
pub const FORMAT: u8 = 11;

/// Times in milliseconds since the answers of the store that showed that all changes of a table were
/// known; absent before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// Of the config.
    pub config: Option<u32>,
    /// Of the servers' rows.
    pub servers: Option<u32>,
}

/// Heartbeat of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address of the entry.
    pub ip: net::IpAddr,
    /// Its availability zone.
    pub zone: ids::ZoneTag,
    /// Its heartbeat number.
    pub seq: u64,
}

impl From<members::Heartbeat> for Heartbeat {
    fn from(heartbeat: members::Heartbeat) -> Heartbeat {
        let members::Heartbeat { ip, zone, seq } = heartbeat;
        Heartbeat { ip, zone, seq }
    }
}

impl From<Heartbeat> for members::Heartbeat {
    fn from(heartbeat: Heartbeat) -> members::Heartbeat {
        let Heartbeat { ip, zone, seq } = heartbeat;
        members::Heartbeat { ip, zone, seq }
    }
}

/// A crash of a server with a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The crash.
    pub tag: suspects::CrashTag,
    /// Time since it was noticed in milliseconds.
    pub ago_ms: u64,
    /// Time for which the request had been at the server in milliseconds.
    pub held_ms: u64,
}

/// What the sender knows of one suspected cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The cause.
    pub cause: cause::Cause,
    /// Number of answers to requests with it.
    pub answers: u32,
    /// Time since the last of them began in milliseconds, if it is known.
    pub answered_ms: Option<u64>,
    /// Servers that crashed with such a request since then.
    pub crashes: Vec<Crash>,
    /// Time since a request with it was last sent as a trial in milliseconds.
    pub tried_ms: Option<u64>,
    /// Number of trials.
    pub trials: u32,
}

/// Pieces of evidence in one datagram; with the commitments they fit into one packet.
pub const MAX_EVIDENCE: usize = 8;

impl Evidence {
    /// Evidence for the datagram with number `seq`.
    pub fn collect(known: &suspects::Suspects, seq: u64, now: time::Instant) -> Vec<Evidence> {
        let evidence = known.evidence(MAX_EVIDENCE, seq, now);
        evidence.into_iter().map(Into::into).collect()
    }
}

impl From<suspects::Evidence> for Evidence {
    fn from(evidence: suspects::Evidence) -> Evidence {
        let millis = |age: time::Duration| age.as_millis() as u64;
        let suspects::Evidence { cause, answers, answered_ago, crashes, tried_ago, trials } =
            evidence;
        Evidence {
            cause,
            answers,
            trials,
            answered_ms: answered_ago.map(millis),
            tried_ms: tried_ago.map(millis),
            crashes: crashes
                .into_iter()
                .map(|crash| Crash {
                    tag: crash.tag,
                    ago_ms: millis(crash.ago),
                    held_ms: millis(crash.held),
                })
                .collect(),
        }
    }
}

impl From<&Evidence> for suspects::Evidence {
    fn from(evidence: &Evidence) -> suspects::Evidence {
        let crashes = evidence.crashes.iter();
        suspects::Evidence {
            cause: evidence.cause,
            answers: evidence.answers,
            trials: evidence.trials,
            answered_ago: evidence.answered_ms.map(time::Duration::from_millis),
            tried_ago: evidence.tried_ms.map(time::Duration::from_millis),
            crashes: crashes
                .map(|crash| suspects::ToldCrash {
                    tag: crash.tag,
                    ago: time::Duration::from_millis(crash.ago_ms),
                    held: time::Duration::from_millis(crash.held_ms),
                })
                .collect(),
        }
    }
}

/// What a server said last of its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Process of the server.
    pub process: ids::ProcessTag,
    /// Requests a thousand seconds from all entries; none if there is no limit any more.
    pub milli_rate: Option<u64>,
    /// Time since the server said so, in milliseconds.
    pub ago_ms: u64,
}

/// Limits in one datagram.
pub const MAX_LIMITS: usize = 8;

impl Limit {
    /// Limits for the datagram with number `seq`.
    pub fn collect(known: &quotas::Quotas, seq: u64, now: time::Instant) -> Vec<Limit> {
        known.statements(MAX_LIMITS, seq, now).into_iter().map(Into::into).collect()
    }
}

impl From<quotas::Statement> for Limit {
    fn from(said: quotas::Statement) -> Limit {
        let quotas::Statement { process, rate, ago } = said;
        let milli_rate = rate.map(|rate| (rate * 1e3).round() as u64);
        Limit { process, milli_rate, ago_ms: ago.as_millis() as u64 }
    }
}

impl From<&Limit> for quotas::Statement {
    fn from(limit: &Limit) -> quotas::Statement {
        quotas::Statement {
            process: limit.process,
            rate: limit.milli_rate.map(|rate| rate as f64 / 1e3),
            ago: time::Duration::from_millis(limit.ago_ms),
        }
    }
}

/// What the sender knows of one process of a server at its registered address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misdirected {
    /// Process of the server.
    pub process: ids::ProcessTag,
    /// Its registered address.
    pub address: net::SocketAddr,
    /// Whether another server answers there.
    pub is_other: bool,
    /// Time since that was found, in milliseconds.
    pub ago_ms: u64,
}

/// Misdirected servers in one datagram.
pub const MAX_MISDIRECTED: usize = 8;

impl Misdirected {
    /// Misdirected servers for the datagram with number `seq`.
    pub fn collect(
        known: &misdirected::Misdirected,
        seq: u64,
        now: time::Instant,
    ) -> Vec<Misdirected> {
        known.statements(MAX_MISDIRECTED, seq, now).into_iter().map(Into::into).collect()
    }
}

impl From<misdirected::Statement> for Misdirected {
    fn from(said: misdirected::Statement) -> Misdirected {
        let misdirected::Statement { place, is_other, ago } = said;
        let misdirected::Place { process, address } = place;
        Misdirected { process, address, is_other, ago_ms: ago.as_millis() as u64 }
    }
}

impl From<&Misdirected> for misdirected::Statement {
    fn from(said: &Misdirected) -> misdirected::Statement {
        let Misdirected { process, address, is_other, ago_ms } = *said;
        let place = misdirected::Place { process, address };
        misdirected::Statement { place, is_other, ago: time::Duration::from_millis(ago_ms) }
    }
}

/// What an entry's requests have used of the limits of customers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// Use by customer.
    pub customers: Vec<CustomerUse>,
    /// Whether requests of other customers have used nothing.
    pub is_complete: bool,
}

/// What requests have used of the limit of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// Tag of the customer.
    pub customer: ids::CustomerTag,
    /// Units asked for in the last window.
    pub asked: u32,
    /// Units used beyond the sender's part.
    pub debt: u32,
}

/// Customers in one datagram: about a sixth of a packet.
pub const MAX_CUSTOMERS: usize = 16;

impl Used {
    /// Use for the next datagram; `None` without limits.
    pub fn collect(known: &mut allowance::Allowances, now: time::Instant) -> Option<Used> {
        if known.is_empty() {
            return None;
        }
        let (said, is_complete) = known.statements(MAX_CUSTOMERS, now);
        Some(Used::new(&said, is_complete))
    }

    /// Demand of the own cell for a digest; `None` without limits, or while it is not known.
    pub fn collect_cell(known: &allowance::Allowances, now: time::Instant) -> Option<Used> {
        if known.is_empty() {
            return None;
        }
        let (said, is_complete) = known.cell_statements(MAX_CELL_CUSTOMERS, now)?;
        Some(Used::new(&said, is_complete))
    }

    fn new(said: &[allowance::Statement], is_complete: bool) -> Used {
        let customers = said.iter().map(|said| CustomerUse {
            customer: said.customer,
            asked: said.asked,
            debt: said.debt,
        });
        Used { customers: customers.collect(), is_complete }
    }

    /// Converts what was received.
    pub fn statements(&self) -> Vec<allowance::Statement> {
        let convert = |used: &CustomerUse| allowance::Statement {
            customer: used.customer,
            asked: used.asked,
            debt: used.debt,
        };
        self.customers.iter().map(convert).collect()
    }

    // Removes the customer with the least use; false if there is none.
    fn reduce(&mut self) -> bool {
        let is_reduced = self.customers.pop().is_some();
        self.is_complete &= !is_reduced;
        is_reduced
    }
}

/// Time per token that the sender has measured at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Tag of the server that runs the engine.
    pub server: ids::ServerTag,
    /// Whether it generated an answer; it read a prompt otherwise.
    pub is_answer: bool,
    /// Time per token, in nanoseconds.
    pub nanos: u32,
}

/// Speeds in one datagram.
pub const MAX_SPEEDS: usize = 12;

impl From<speeds::Sample> for Speed {
    fn from(sample: speeds::Sample) -> Speed {
        let speeds::Sample { server, work, nanos } = sample;
        Speed { server, is_answer: work == speeds::Work::Answer, nanos }
    }
}

impl From<Speed> for speeds::Sample {
    fn from(speed: Speed) -> speeds::Sample {
        let Speed { server, is_answer, nanos } = speed;
        let work = if is_answer { speeds::Work::Answer } else { speeds::Work::Prompt };
        speeds::Sample { server, work, nanos }
    }
}

/// Commitments to the engines whose tags are in a range; one that is not listed has none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commitments {
    /// First and last tag of the range.
    pub range: (ids::ServerTag, ids::ServerTag),
    /// Commitments by tag.
    pub engines: Vec<EngineCommitment>,
}

/// Commitment to one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommitment {
    /// Tag of the server that runs the engine.
    pub server: ids::ServerTag,
    /// Expected memory use, in tokens.
    pub tokens: u32,
    /// Number of runs.
    pub runs: u32,
    /// Remaining prefill work, in milliseconds.
    pub prefill_ms: u32,
}

/// State of one cell, for entries of other cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Commitments of all entries to the cell's engines.
    pub committed: Commitments,
    /// Engine time used by the requests of the cell's entries, by service; empty unless the sender
    /// speaks for its cell.
    pub usage: collections::BTreeMap<ids::ServiceName, stages::Usage>,
    /// Entries of the cell.
    pub entries: u32,
    /// What the requests of the whole cell have asked for; absent without limits of customers.
    pub used: Option<Used>,
}

/// Customers in one digest: about a sixteenth of a packet.
pub const MAX_CELL_CUSTOMERS: usize = 8;

/// Number of engines whose commitments are sent in one datagram; with the heartbeats that it relays
/// it fits into one packet.
const MAX_ENGINES: usize = 40;

impl Commitments {
    /// Converts part number `part` of the commitments for sending. Parts have up to
    /// `MAX_ENGINES` engines; the numbers of later parts begin again with the first part.
    pub fn new(all: &reports::Commitments, part: u64) -> Commitments {
        let tags: Vec<_> = all.keys().copied().collect();
        let parts: Vec<_> = tags.chunks(MAX_ENGINES).collect();
        let index = (part % parts.len().max(1) as u64) as usize;
        let first = if index == 0 { 0 } else { parts[index][0] };
        let last = parts.get(index + 1).map_or(ids::ServerTag::MAX, |next| next[0] - 1);
        let engines = all.range(first..=last).map(|(server, commitment)| EngineCommitment {
            server: *server,
            tokens: commitment.tokens,
            runs: commitment.runs,
            prefill_ms: commitment.prefill.as_millis() as u32,
        });
        Commitments { range: (first, last), engines: engines.collect() }
    }

    /// Converts received commitments.
    pub fn report(&self) -> reports::Report {
        let commitments = self.engines.iter().map(|engine| {
            let prefill = time::Duration::from_millis(u64::from(engine.prefill_ms));
            let (tokens, runs) = (engine.tokens, engine.runs);
            (engine.server, engine::Commitment { tokens, runs, prefill })
        });
        reports::Report { range: self.range, commitments: commitments.collect() }
    }
}

impl Share {
    /// Encodes the datagram. Places of beginnings, speeds, the use of customers, relayed heartbeats, then
    /// the demand of the cell, evidence, limits and misdirected servers are removed until it fits into a
    /// packet.
    ///
    /// # Errors
    /// Returns an error if the state cannot be encoded, or does not fit without them.
    pub fn encode(&mut self) -> Result<Vec<u8>, EncodeError> {
        loop {
            let bytes = postcard::to_allocvec(self).map_err(EncodeError::Invalid)?;
            let excess = bytes.len().saturating_sub(MAX_DATAGRAM_BYTES);
            if excess == 0 {
                return Ok(bytes);
            }
            let is_reduced = self.kept.pop().is_some()
                || self.speeds.pop().is_some()
                || self.used.as_mut().is_some_and(Used::reduce);
            if is_reduced {
                continue;
            }
            let is_reduced = self.members.is_empty()
                && (self.reduce_digest()
                    || self.evidence.pop().is_some()
                    || self.limits.pop().is_some()
                    || self.misdirected.pop().is_some());
            if is_reduced {
                continue;
            }
            if self.members.is_empty() {
                return Err(EncodeError::TooLarge(bytes.len()));
            }
            let removed = excess.div_ceil(HEARTBEAT_BYTES);
            self.members.truncate(self.members.len().saturating_sub(removed));
        }
    }

    // Removes the customer with the least demand in the cell; false if there is none.
    fn reduce_digest(&mut self) -> bool {
        let used = self.digest.as_mut().and_then(|digest| digest.used.as_mut());
        used.is_some_and(Used::reduce)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid datagram of this format.
    pub fn decode(bytes: &[u8]) -> Result<Share, postcard::Error> {
        let share: Share = postcard::from_bytes(bytes)?;
        if share.format == FORMAT { Ok(share) } else { Err(postcard::Error::WontImplement) }
    }
}

/// Typical size of an encoded heartbeat, in bytes.
const HEARTBEAT_BYTES: usize = 14;

/// Reason why a datagram was not encoded.
#[derive(Debug)]
pub enum EncodeError {
    /// The state cannot be encoded.
    Invalid(postcard::Error),
    /// The state has this number of bytes without heartbeats and evidence, which is more than a
    /// packet.
    TooLarge(usize),
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EncodeError::Invalid(err) => write!(f, "{err}"),
            EncodeError::TooLarge(bytes) => write!(
                f,
                "{bytes} bytes exceed a packet of {MAX_DATAGRAM_BYTES}; \
                 use shorter names of instances and services"
            ),
        }
    }
}

impl std::error::Error for EncodeError {}

/// One row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version.
    pub version: stamp::Stamp,
    /// Content.
    pub value: Vec<u8>,
}

/// Versions that an entry has, to which a snapshot adds what is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// Version of the config in use; 0 without a config.
    pub config: ids::ListVersion,
    /// Store version as of which the servers' rows are known; 0 for all rows.
    pub servers: stamp::Stamp,
}

impl SnapshotRequest {
    /// Size of an encoded request, in bytes.
    pub const BYTES: usize = 24;

    /// Encodes the request.
    pub fn encode(&self) -> [u8; SnapshotRequest::BYTES] {
        let mut bytes = [0; SnapshotRequest::BYTES];
        let numbers = [self.config, self.servers.era, self.servers.version];
        for (number, target) in numbers.iter().zip(bytes.chunks_mut(8)) {
            target.copy_from_slice(&number.to_be_bytes());
        }
        bytes
    }

    /// Decodes a request.
    pub fn decode(bytes: [u8; SnapshotRequest::BYTES]) -> SnapshotRequest {
        let number = |from: usize| {
            bytes[from..from + 8].iter().fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
        };
        SnapshotRequest { config: number(0), servers: stamp::Stamp::new(number(8), number(16)) }
    }
}

/// Rows of the store, for a peer that does not receive its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Row of the operator's config, if it is newer than the peer's.
    pub config: Option<Row>,
    /// Rows of servers: all, or those that changed since `after`.
    pub servers: Vec<Row>,
    /// Keys of servers that were removed since `after`, with the versions of the removals.
    pub removed: Vec<(ids::ServerName, stamp::Stamp)>,
    /// Store version that the rows of servers continue from; 0 if they are all.
    pub after: stamp::Stamp,
    /// Servers without a row that the sender still keeps for a grace period.
    pub awaited: Vec<AwaitedServer>,
    /// Store version of the rows of servers.
    pub version: stamp::Stamp,
}

/// A server whose row disappeared around an outage of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedServer {
    /// Key of its row.
    pub key: ids::ServerName,
    /// Time until the server counts as removed.
    #[serde(rename = "left")]
    pub remaining: time::Duration,
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
