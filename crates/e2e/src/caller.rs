//! A caller of a deployment.

use std::{net, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, body, header};

use rhubarb_node::client;

/// A caller that talks to one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    address: net::SocketAddr,
    client: client::Client,
    key: String,
}

/// Whole answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
    /// Time from the call to the whole answer.
    pub taken: time::Duration,
}

/// A streamed answer on its way.
#[derive(Debug)]
pub struct Stream {
    body: body::Incoming,
    pending: String,
}

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(90);

impl Caller {
    /// Makes a caller of the entry at `address`.
    pub fn new(address: net::SocketAddr, key: &str) -> Caller {
        Caller { address, client: client::Client::new(), key: key.to_string() }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<Request<http_body_util::Full<Bytes>>> {
        let url = format!("http://{}{path}", self.address);
        let mut request = client::request(method, &url, body.to_string().into())?;
        let bearer = format!("Bearer {}", self.key);
        request.headers_mut().insert(header::AUTHORIZATION, bearer.parse()?);
        for (name, value) in headers {
            let name: header::HeaderName = name.parse()?;
            request.headers_mut().append(name, value.parse()?);
        }
        Ok(request)
    }

    /// Makes a call.
    ///
    /// # Errors
    /// Returns an error if the answer is missing or broken off.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> anyhow::Result<Reply> {
        let start = time::Instant::now();
        let request = self.request(method, path, headers, body)?;
        let reply = self.client.fetch(request, REQUEST_TIMEOUT).await?;
        Ok(Reply {
            status: reply.status.as_u16(),
            headers: reply.headers,
            body: String::from_utf8_lossy(&reply.body).into_owned(),
            taken: start.elapsed(),
        })
    }

    /// Asks for a whole completion.
    ///
    /// # Errors
    /// Returns an error if the answer is missing or broken off.
    pub async fn complete(&self, prompt: &str, max_tokens: u32) -> anyhow::Result<Reply> {
        self.complete_with(prompt, max_tokens, &[]).await
    }

    /// Asks for a whole completion, with more headers.
    ///
    /// # Errors
    /// Returns an error if the answer is missing or broken off.
    pub async fn complete_with(
        &self,
        prompt: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Reply> {
        let body = request_body(prompt, max_tokens, false);
        self.call(Method::POST, "/v1/completions", headers, &body).await
    }

    /// Asks for a streamed completion.
    ///
    /// # Errors
    /// Returns an error if no answer begins, or one with another status than 200.
    pub async fn stream(&self, prompt: &str, max_tokens: u32) -> anyhow::Result<Stream> {
        let body = request_body(prompt, max_tokens, true);
        let request = self.request(Method::POST, "/v1/completions", &[], &body)?;
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        anyhow::ensure!(response.status() == 200, "status {}", response.status());
        Ok(Stream { body: response.into_body(), pending: String::new() })
    }

    /// Sends a lot confirmation with an idempotency key.
    ///
    /// # Errors
    /// Returns an error if the answer is missing or broken off.
    pub async fn confirm(&self, key: &str) -> anyhow::Result<Reply> {
        self.confirm_slowly(key, 0).await
    }

    /// Sends a lot confirmation that the server works on for `millis`.
    ///
    /// # Errors
    /// Returns an error if the answer is missing or broken off.
    pub async fn confirm_slowly(&self, key: &str, millis: u64) -> anyhow::Result<Reply> {
        let path = format!("/yard-app/confirm?{millis}");
        self.call(Method::POST, &path, &[("idempotency-key", key)], "{}").await
    }
}

fn request_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": "clip-models",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    });
    body.to_string()
}

impl Reply {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the request ran, for an answer that is not the backend's own.
    pub fn outcome(&self) -> Option<&str> {
        self.header("rhubarb-outcome")
    }

    /// Body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a completion.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["text"].as_str().unwrap_or_default().to_string()
    }

    /// Reason of a refusal.
    pub fn reason(&self) -> String {
        self.json()["error"]["type"].as_str().unwrap_or_default().to_string()
    }
}

impl Stream {
    /// Next event's data; `None` at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the answer breaks off.
    pub async fn next(&mut self) -> anyhow::Result<Option<String>> {
        loop {
            if let Some(end) = self.pending.find("\n\n") {
                let event: String = self.pending.drain(..end + 2).collect();
                return Ok(event.trim().strip_prefix("data: ").map(str::to_string));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(frame) => {
                    let Ok(bytes) = frame?.into_data() else { continue };
                    self.pending.push_str(&String::from_utf8_lossy(&bytes));
                }
            }
        }
    }

    /// Reads on to the end and returns the text; an error event or a missing end is an error.
    ///
    /// # Errors
    /// Returns an error if the answer is not whole.
    pub async fn read_to_end(&mut self) -> anyhow::Result<String> {
        let mut text = String::new();
        while let Some(event) = self.next().await? {
            if event == "[DONE]" {
                return Ok(text);
            }
            let event: serde_json::Value = serde_json::from_str(&event)?;
            anyhow::ensure!(event.get("error").is_none(), "{event}");
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
        anyhow::bail!("the stream ended without its end mark")
    }
}
