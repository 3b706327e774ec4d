//! Messages on the TCP connection from an entry to an agent.

use serde::{Deserialize, Serialize};

use rhubarb_core::{ids, load, outcome};

use crate::{auth, chunk, offer};

/// Message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Response to the challenge; the first message that an entry sends.
    Hello(Hello),
    /// Runs a plain request.
    Offer(offer::Offer),
    /// Reserves a decode slot.
    Reserve(Reserve),
    /// Prefills a prompt.
    Prefill(Prefill),
    /// Decodes a prefilled prompt in the reserved slot.
    Decode(Decode),
    /// Cancels a run whose caller no longer waits, and frees its resources.
    Cancel(ids::RunId),
    /// Resumes a run on a new connection; a run that never started is refused and stays refused.
    Resume(Resume),
    /// Checks that the agent responds.
    Ping(Ping),
    /// Requests the changes in the agent's service list since a version.
    WantList(ids::ListVersion),
    /// Sends a service list.
    List(ListCopy),
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// First message on a connection.
    Challenge(Challenge),
    /// Accepts the entry after its hello.
    Welcome(Welcome),
    /// The slot is reserved.
    Reserved(ids::RunId),
    /// The prefill completed.
    Prefilled(Prefilled),
    /// The run was refused or failed.
    Refused(Refused),
    /// Status and headers of the response.
    Head(Head),
    /// Part of the response body.
    Chunk(chunk::Chunk),
    /// End of the response.
    End(End),
    /// Response to a ping.
    Pong(Pong),
    /// Requests the changes in the entry's service list since a version.
    WantList(ids::ListVersion),
    /// Sends a service list.
    List(ListCopy),
}

/// First message of an agent on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Challenge {
    /// Server beside which the agent runs.
    pub server: ids::ServerName,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Nonce that the entry signs.
    pub nonce: auth::Nonce,
}

/// Response to a challenge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the entry instance.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: ids::Incarnation,
    /// Nonce that the agent signs.
    pub nonce: auth::Nonce,
    /// Proof over the challenge and this message.
    pub proof: auth::Proof,
}

/// Accepts an entry and proves that the agent holds a shared key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// Proof over the nonce and the proof of the entry's hello.
    pub proof: auth::Proof,
    /// State of the agent.
    pub pong: Pong,
}

/// Checks that the agent responds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Sequence number, returned in the pong.
    pub seq: u64,
    /// Version of the service list that the entry uses.
    pub version: ids::ListVersion,
}

/// Response to a ping.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pong {
    /// Sequence number of the ping.
    pub seq: u64,
    /// Milliseconds since the agent started.
    pub clock_ms: u64,
    /// Version of the service list that the agent uses.
    pub version: ids::ListVersion,
    /// Load of the server.
    pub load: load::Load,
}

/// Reserves a decode slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Id of the run.
    pub run: ids::RunId,
    /// Idempotency key, if the request has one.
    pub key: Option<ids::KeyHash>,
    /// Deadline for the reservation, in milliseconds of the agent's clock.
    pub wait_by_ms: u64,
    /// Latest start of the decode, in milliseconds of the agent's clock.
    pub start_by_ms: u64,
    /// Whether the caller is above its fair share.
    pub excess: bool,
}

/// Prefills a prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefill {
    /// Id of the run.
    pub run: ids::RunId,
    /// Latest start of the prefill, in milliseconds of the agent's clock.
    pub start_by_ms: u64,
    /// When the first token is due, in milliseconds of the agent's clock.
    pub due_ms: u64,
    /// Longest wait in the agent's queue for a prompt that cannot meet `due_ms`, in milliseconds.
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
    /// Id of the run that reserved the slot.
    pub run: ids::RunId,
    /// Time allowed for the whole response, in milliseconds.
    pub limit_ms: u64,
    /// URL of the engine that holds the prefill result.
    pub source: String,
    /// Handle of the prefill result at that engine.
    pub handle: String,
    /// Prompt.
    pub prompt: String,
    /// Number of prompt tokens, which the agent stores with the response.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Number of tokens that the caller has already received.
    pub skip: u32,
    /// Idempotency key as the caller sent it, for the engine's own records.
    pub key: Option<String>,
}

/// Token in an event of an engine, and in a line of the response body of a decode.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Its number in the answer, from 0, if the engine tells it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u64>,
    /// Text.
    pub token: String,
}

/// Resumes a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// Id of the run.
    pub run: ids::RunId,
    /// Number of response bytes received so far.
    pub offset: u64,
}

/// Result of a prefill.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Id of the run.
    pub run: ids::RunId,
    /// URL of the engine that holds the result.
    pub source: String,
    /// Handle of the result.
    pub handle: String,
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Prefill work done, in microseconds.
    pub work_us: u64,
}

/// Refusal or failure of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Id of the run.
    pub run: ids::RunId,
    /// Reason and outcome.
    pub refusal: outcome::Refusal,
}

/// Status and headers of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the run.
    pub run: ids::RunId,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<offer::Header>,
}

/// Header of a decode response that holds the number of prompt tokens.
const PROMPT_TOKENS: &str = "prompt-tokens";

/// Creates the header that holds the number of prompt tokens.
pub fn prompt_tokens_header(tokens: u32) -> offer::Header {
    offer::Header { name: PROMPT_TOKENS.to_string(), value: tokens.to_string().into_bytes() }
}

impl Head {
    /// Number of prompt tokens in the head of a decode response.
    pub fn prompt_tokens(&self) -> Option<u32> {
        let header = self.headers.iter().find(|header| header.name == PROMPT_TOKENS)?;
        std::str::from_utf8(&header.value).ok()?.parse().ok()
    }
}

/// End of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Id of the run.
    pub run: ids::RunId,
    /// Length of the whole response body in bytes.
    pub length: u64,
}

/// Service list, or changes to it, sent between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListCopy {
    /// Version of the row, or the version that the first change produces.
    pub version: ids::ListVersion,
    /// List or changes.
    pub body: ListBody,
    /// Latest instance list that the sender has read, in JSON.
    pub instances: String,
}

/// A complete service list or changes to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListBody {
    /// Content of the list's row in the table store.
    Row(String),
    /// Changes in version order.
    Changes(Vec<String>),
}

impl Hello {
    /// Creates a signed hello for `challenge`.
    pub fn sign(
        keys: &auth::Keys,
        challenge: &Challenge,
        entry: &str,
        incarnation: ids::Incarnation,
        nonce: auth::Nonce,
    ) -> Hello {
        let mut hello = Hello { entry: entry.to_string(), incarnation, nonce, proof: [0; 16] };
        hello.proof = keys.sign(&hello.signed_parts(challenge, &incarnation.to_be_bytes()));
        hello
    }

    /// Whether the hello is signed with a shared key and belongs to `challenge`.
    pub fn is_signed(&self, keys: &auth::Keys, challenge: &Challenge) -> bool {
        keys.verify(&self.signed_parts(challenge, &self.incarnation.to_be_bytes()), &self.proof)
    }

    fn signed_parts<'a>(
        &'a self,
        challenge: &'a Challenge,
        incarnation: &'a [u8],
    ) -> [&'a [u8]; 6] {
        let server = challenge.server.as_bytes();
        [b"hello", &challenge.nonce, server, self.entry.as_bytes(), incarnation, &self.nonce]
    }
}

impl Welcome {
    /// Creates a signed welcome for `hello`.
    pub fn sign(keys: &auth::Keys, hello: &Hello, pong: Pong) -> Welcome {
        Welcome { proof: keys.sign(&[b"welcome", &hello.nonce, &hello.proof]), pong }
    }

    /// Whether the welcome is signed with a shared key and belongs to `hello`.
    pub fn is_signed(&self, keys: &auth::Keys, hello: &Hello) -> bool {
        keys.verify(&[b"welcome", &hello.nonce, &hello.proof], &self.proof)
    }
}
