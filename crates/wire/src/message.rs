//! Messages on the TCP connection from an entry to an agent.

use serde::{Deserialize, Serialize};

use rhubarb_core::{ids, load, outcome};

use crate::{auth, chunk, offer};

/// Message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Answers the challenge; the first message of an entry.
    Hello(Hello),
    /// Runs a plain call.
    Offer(offer::Offer),
    /// Reserves decode room.
    Reserve(Reserve),
    /// Prefills a prompt.
    Prefill(Prefill),
    /// Decodes a prefilled prompt in the reserved room.
    Decode(Decode),
    /// Frees whatever the run holds; nobody waits for its answer any more.
    Cancel(ids::RunId),
    /// Takes up a run again on a new connection; one that did not start is refused for good.
    Resume(Resume),
    /// Asks for a sign of life.
    Ping(Ping),
    /// Asks for what the agent's service list has beyond a version.
    WantList(ids::ListVersion),
    /// Passes a service list on.
    List(ListCopy),
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Opens the connection.
    Challenge(Challenge),
    /// Accepts the entry.
    Welcome(Welcome),
    /// The room is reserved.
    Reserved(ids::RunId),
    /// The prefill ended.
    Prefilled(Prefilled),
    /// The run is refused or has failed.
    Refused(Refused),
    /// Start of the answer.
    Head(Head),
    /// Piece of the answer.
    Chunk(chunk::Chunk),
    /// End of the answer.
    End(End),
    /// Answers a ping.
    Pong(Pong),
    /// Asks for what the entry's service list has beyond a version.
    WantList(ids::ListVersion),
    /// Passes a service list on.
    List(ListCopy),
}

/// Opens a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Challenge {
    /// Server beside which the agent runs.
    pub server: ids::ServerName,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// To be signed by the entry.
    pub nonce: auth::Nonce,
}

/// Answers a challenge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the entry instance.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: ids::Incarnation,
    /// To be signed by the agent.
    pub nonce: auth::Nonce,
    /// Proof over the challenge and this message.
    pub proof: auth::Proof,
}

/// Accepts an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Proof over the entry's nonce.
    pub proof: auth::Proof,
    /// State of the agent.
    pub pong: Pong,
}

/// Asks for a sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Returned in the pong.
    pub seq: u64,
    /// List version in force at the entry.
    pub version: ids::ListVersion,
}

/// Sign of life.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Number of the ping.
    pub seq: u64,
    /// Milliseconds since the agent started.
    pub clock_ms: u64,
    /// List version in force at the agent.
    pub version: ids::ListVersion,
    /// Load of the server.
    pub load: load::Load,
}

/// Reserves decode room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Idempotency key, if the request has one.
    pub key: Option<ids::KeyHash>,
    /// Last moment at which the room is of use, in milliseconds of the agent's clock.
    pub wait_by_ms: u64,
    /// Last moment to start, in milliseconds of the agent's clock.
    pub start_by_ms: u64,
    /// Whether the caller is above its fair share.
    pub excess: bool,
}

/// Prefills a prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Last moment to start, in milliseconds of the agent's clock.
    pub start_by_ms: u64,
    /// When the first token is due, in milliseconds of the agent's clock.
    pub due_ms: u64,
    /// Longest wait in the agent's queue of a prompt that cannot be in time, in milliseconds.
    pub max_wait_ms: u64,
    /// Time allowed after the start, in milliseconds.
    pub limit_ms: u64,
    /// Whether the caller is above its fair share.
    pub excess: bool,
    /// Prompt.
    pub prompt: String,
}

/// Decodes a prefilled prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decode {
    /// Id of the attempt that reserved the room.
    pub run: ids::RunId,
    /// Time allowed for the whole answer, in milliseconds.
    pub limit_ms: u64,
    /// URL of the engine that holds the prefill result.
    pub source: String,
    /// Name of the prefill result at that engine.
    pub handle: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the prompt, which the agent keeps with the answer.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Tokens that the caller already has.
    pub skip: u32,
    /// Idempotency key as the caller wrote it, for the engine's own records.
    pub key: Option<String>,
}

/// Takes up a run again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Bytes of the answer received so far.
    pub offset: u64,
}

/// Result of a prefill.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// URL of the engine that holds the result.
    pub source: String,
    /// Name of the result.
    pub handle: String,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Work that the prefill was, in microseconds.
    pub work_us: u64,
}

/// Refusal or failure of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Reason and outcome.
    pub refusal: outcome::Refusal,
}

/// Start of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<offer::Header>,
}

/// Header of a decode's answer that tells the tokens of its prompt.
const PROMPT_TOKENS: &str = "prompt-tokens";

/// Writes the header with the tokens of a prompt.
pub fn prompt_tokens_header(tokens: u32) -> offer::Header {
    offer::Header { name: PROMPT_TOKENS.to_string(), value: tokens.to_string().into_bytes() }
}

impl Head {
    /// Tokens of the prompt of a decode's answer.
    pub fn prompt_tokens(&self) -> Option<u32> {
        let header = self.headers.iter().find(|header| header.name == PROMPT_TOKENS)?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }
}

/// End of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Length of the whole answer in bytes.
    pub length: u64,
}

/// A service list on its way between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListCopy {
    /// Version of the row, or the one that the first change makes.
    pub version: ids::ListVersion,
    /// What is passed on.
    pub body: ListBody,
    /// Last instance list that the sender read, in JSON.
    pub instances: String,
}

/// A whole list, or what changed in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListBody {
    /// Content of the list's row in the table.
    Row(String),
    /// Changes in order.
    Changes(Vec<String>),
}

impl Hello {
    /// Signs a hello in answer to `challenge`.
    pub fn sign(
        keys: &auth::Keys,
        challenge: &Challenge,
        entry: &str,
        incarnation: ids::Incarnation,
        nonce: auth::Nonce,
    ) -> Hello {
        let mut hello = Hello { entry: entry.to_string(), incarnation, nonce, proof: [0; 16] };
        hello.proof = keys.sign(&hello.parts(challenge, &incarnation.to_be_bytes()));
        hello
    }

    /// Whether the sender holds a shared key and answers `challenge`.
    pub fn is_signed(&self, keys: &auth::Keys, challenge: &Challenge) -> bool {
        keys.verify(&self.parts(challenge, &self.incarnation.to_be_bytes()), &self.proof)
    }

    fn parts<'a>(&'a self, challenge: &'a Challenge, incarnation: &'a [u8]) -> [&'a [u8]; 6] {
        let server = challenge.server.as_bytes();
        [b"hello", &challenge.nonce, server, self.entry.as_bytes(), incarnation, &self.nonce]
    }
}

impl Welcome {
    /// Signs a welcome for `hello`.
    pub fn sign(keys: &auth::Keys, hello: &Hello, pong: Pong) -> Welcome {
        Welcome { proof: keys.sign(&[b"welcome", &hello.nonce, &hello.proof]), pong }
    }

    /// Whether the sender holds a shared key and answers `hello`.
    pub fn is_signed(&self, keys: &auth::Keys, hello: &Hello) -> bool {
        keys.verify(&[b"welcome", &hello.nonce, &hello.proof], &self.proof)
    }
}
