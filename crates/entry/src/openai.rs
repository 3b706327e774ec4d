//! Requests and responses of the OpenAI-compatible API.

use serde::Deserialize;
use serde_json::json;

use rhubarb_node::clock;

/// Endpoint that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A parsed request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct Raw {
    model: Option<String>,
    prompt: Option<serde_json::Value>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    stream: Option<bool>,
    n: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Parses a request body.
///
/// # Errors
/// Returns an error message for the caller.
pub(crate) fn parse_request(endpoint: Endpoint, body: &[u8]) -> Result<Request, String> {
    let raw: Raw = serde_json::from_slice(body).map_err(|err| format!("not valid JSON: {err}"))?;
    if raw.n.is_some_and(|n| n != 1) {
        return Err("`n` must be 1".to_string());
    }
    let prompt = match endpoint {
        Endpoint::Text => read_prompt(raw.prompt)?,
        Endpoint::Chat => read_messages(raw.messages)?,
    };
    if raw.max_tokens == Some(0) || raw.max_completion_tokens == Some(0) {
        return Err("`max_tokens` must be positive".to_string());
    }
    Ok(Request {
        model: raw.model.ok_or("`model` is missing")?,
        prompt,
        max_tokens: raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS),
        stream: raw.stream.unwrap_or(false),
    })
}

fn read_prompt(prompt: Option<serde_json::Value>) -> Result<String, String> {
    match prompt {
        Some(serde_json::Value::String(prompt)) => Ok(prompt),
        Some(_) => Err("`prompt` must be one string".to_string()),
        None => Err("`prompt` is missing".to_string()),
    }
}

fn read_messages(messages: Option<Vec<Message>>) -> Result<String, String> {
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or("`messages` is missing or empty")?;
    let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
    Ok(lines.collect())
}

/// Encodes the responses to one request.
#[derive(Clone, Debug)]
pub(crate) struct Encoder {
    pub(crate) endpoint: Endpoint,
    pub(crate) id: String,
    pub(crate) model: String,
}

impl Encoder {
    /// Encodes the stream event of one token.
    pub(crate) fn token_event(&self, token: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Text => json!({ "index": 0, "text": token, "finish_reason": null }),
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
            }
        };
        self.sse_event(choice)
    }

    /// Encodes the last event of a complete stream, followed by the `[DONE]` terminator.
    pub(crate) fn last_event(&self, reason: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Text => json!({ "index": 0, "text": "", "finish_reason": reason }),
            Endpoint::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason }),
        };
        format!("{}data: [DONE]\n\n", self.sse_event(choice))
    }

    fn sse_event(&self, choice: serde_json::Value) -> String {
        let object = match self.endpoint {
            Endpoint::Text => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        };
        let event = json!({
            "id": self.id,
            "object": object,
            "created": clock::unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }

    /// Encodes a complete response as one JSON body.
    pub(crate) fn json_body(&self, text: &str, reason: &str, usage: Usage) -> serde_json::Value {
        let (object, choice) = match self.endpoint {
            Endpoint::Text => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
            }
            Endpoint::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": reason });
                ("chat.completion", choice)
            }
        };
        json!({
            "id": self.id,
            "object": object,
            "created": clock::unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.output,
                "total_tokens": usage.prompt + usage.output,
            },
        })
    }
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) prompt: u64,
    pub(crate) output: u64,
}
