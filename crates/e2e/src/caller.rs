//! An HTTP client that sends requests as a caller of a deployment.

use std::{net, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, body, header};

use rhubarb_node::client;

/// A client of one entry, with the key of one caller.
#[derive(Clone, Debug)]
pub struct Caller {
    address: net::SocketAddr,
    client: client::Client,
    key: String,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: String,
    /// Time from sending the request to the end of the response.
    pub elapsed: time::Duration,
}

/// A streamed response whose events are read one by one.
#[derive(Debug)]
pub struct Stream {
    body: body::Incoming,
    pending: String,
}

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(90);

impl Caller {
    /// Creates a client of the entry at `address` that authenticates with `key`.
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

    /// Sends a request and returns its response, whose body is not read yet.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<hyper::Response<body::Incoming>> {
        let request = self.request(method, path, headers, "")?;
        Ok(self.client.send(request, REQUEST_TIMEOUT).await?)
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Returns an error if the response is missing or cut off.
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
            elapsed: start.elapsed(),
        })
    }

    /// Requests a completion that is not streamed.
    ///
    /// # Errors
    /// Returns an error if the response is missing or cut off.
    pub async fn complete(&self, prompt: &str, max_tokens: u32) -> anyhow::Result<Reply> {
        self.complete_with(prompt, max_tokens, &[]).await
    }

    /// Requests a completion that is not streamed, with extra headers.
    ///
    /// # Errors
    /// Returns an error if the response is missing or cut off.
    pub async fn complete_with(
        &self,
        prompt: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Reply> {
        let body = request_body(prompt, max_tokens, false);
        self.call(Method::POST, "/v1/completions", headers, &body).await
    }

    /// Requests a streamed completion.
    ///
    /// # Errors
    /// Returns an error if no response head arrives, or its status is not 200.
    pub async fn stream(&self, prompt: &str, max_tokens: u32) -> anyhow::Result<Stream> {
        let body = request_body(prompt, max_tokens, true);
        let request = self.request(Method::POST, "/v1/completions", &[], &body)?;
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        if response.status() != 200 {
            let (status, body) = (response.status(), response.into_body());
            let body = rhubarb_node::response::read_body(body, 1 << 16).await.unwrap_or_default();
            anyhow::bail!("status {status}: {}", String::from_utf8_lossy(&body));
        }
        Ok(Stream { body: response.into_body(), pending: String::new() })
    }

    /// Sends `POST /yard-app/confirm` with an idempotency key.
    ///
    /// # Errors
    /// Returns an error if the response is missing or cut off.
    pub async fn confirm(&self, key: &str) -> anyhow::Result<Reply> {
        self.confirm_slowly(key, 0).await
    }

    /// Sends `POST /yard-app/confirm`, which the backend server answers after `millis`
    /// milliseconds.
    ///
    /// # Errors
    /// Returns an error if the response is missing or cut off.
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

    /// Outcome of the request, as the `rhubarb-outcome` header names it; `None` on a response
    /// of the backend server.
    pub fn outcome(&self) -> Option<&str> {
        self.header("rhubarb-outcome")
    }

    /// Response body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of the completion; empty if there is none.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["text"].as_str().unwrap_or_default().to_string()
    }

    /// Reason of a rejection; empty if there is none.
    pub fn reason(&self) -> String {
        self.json()["error"]["type"].as_str().unwrap_or_default().to_string()
    }
}

impl Stream {
    /// Reads the data of the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the response is cut off.
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

    /// Reads the remaining events and returns their text.
    ///
    /// # Errors
    /// Returns an error if the stream is cut off, has an error event or ends without `[DONE]`.
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
        anyhow::bail!("the stream ended without [DONE]")
    }
}
