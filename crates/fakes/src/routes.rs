//! Routes of the fakes' HTTP server.

use std::{collections, net, sync, time};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body};

use tokio::sync as lock;

use rhubarb_node::{client, locks, response};

use crate::{engine, instances, objects, plain, switch, table};

/// All fakes of a deployment.
#[derive(Debug)]
pub struct Fakes {
    base: String,
    table: table::Table,
    objects: objects::Objects,
    instances: instances::Instances,
    engines: sync::Mutex<collections::BTreeMap<String, sync::Arc<engine::Engine>>>,
    deps: engine::Deps,
}

/// Delays of the fakes.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Delay until a change shows in the instance list.
    pub list_lag: time::Duration,
    /// Duration of one fetch from the weight store.
    pub fetch_time: time::Duration,
}

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

type Reply = Response<response::Body>;

impl Fakes {
    /// Creates the fakes, whose engines reach each other through `address`.
    pub fn new(address: net::SocketAddr, delays: Delays) -> Fakes {
        Fakes {
            base: format!("http://{address}"),
            table: table::Table::default(),
            objects: objects::Objects::default(),
            instances: instances::Instances::new(delays.list_lag),
            engines: sync::Mutex::default(),
            deps: engine::Deps {
                switches: sync::Arc::default(),
                runs: sync::Arc::default(),
                fetch_time: sync::Arc::new(lock::Mutex::new(delays.fetch_time)),
                client: client::Client::new(),
            },
        }
    }

    /// Answers a request.
    pub async fn handle(self: sync::Arc<Self>, request: Request<body::Incoming>) -> Reply {
        let (head, content) = request.into_parts();
        let Ok(content) = response::read_body(content, MAX_BODY_BYTES).await else {
            return response::text(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        };
        let path = head.uri.path().to_string();
        let mut parts = path.trim_start_matches('/').splitn(3, '/');
        let service = parts.next().unwrap_or_default();
        let name = parts.next().unwrap_or_default();
        let rest = format!("/{}", parts.next().unwrap_or_default());
        match service {
            "healthz" => response::text(StatusCode::OK, "ok"),
            "held" => response::text(StatusCode::OK, self.held().to_string()),
            "runs" => response::text(StatusCode::OK, self.deps.runs.get(name).to_string()),
            "switch" => self.switch(&content),
            "engine" | "plain" => {
                self.with_mode(name, false, self.call_server(&head, name, &rest, content)).await
            }
            _ => {
                let key = path[1..].strip_prefix(service).unwrap_or_default();
                let key = key.trim_start_matches('/');
                let is_write = head.method != Method::GET;
                self.with_mode(service, is_write, self.call_platform(&head, service, key, content))
                    .await
            }
        }
    }

    // Awaits `call` to `target` as the mode of `target` allows.
    async fn with_mode(
        &self,
        target: &str,
        is_write: bool,
        call: impl Future<Output = Reply>,
    ) -> Reply {
        let switches = &self.deps.switches;
        switches.delay(target).await;
        match switches.mode(target) {
            switch::Mode::Down => response::text(StatusCode::SERVICE_UNAVAILABLE, "down"),
            switch::Mode::Failing => response::text(StatusCode::INTERNAL_SERVER_ERROR, "failing"),
            mode if mode == switch::Mode::Lost
                || (is_write && mode == switch::Mode::LostWrites) =>
            {
                call.await;
                response::text(StatusCode::GATEWAY_TIMEOUT, "the answer was lost")
            }
            _ => {
                let reply = call.await;
                switches.wait_while(target, &[switch::Mode::Silent]).await;
                reply
            }
        }
    }

    async fn call_platform(
        &self,
        head: &hyper::http::request::Parts,
        service: &str,
        key: &str,
        content: Bytes,
    ) -> Reply {
        match service {
            "table" => self.table.call(&head.method, key, &content),
            "objects" => {
                let query = head.uri.query().unwrap_or_default();
                self.objects.call(&head.method, key, query, content)
            }
            "instances" => self.instances.call(&head.method, key, &content),
            "weights" => {
                self.deps.fetch_weights().await;
                response::text(StatusCode::OK, "weights")
            }
            _ => response::text(StatusCode::NOT_FOUND, "no such stand-in"),
        }
    }

    async fn call_server(
        &self,
        head: &hyper::http::request::Parts,
        name: &str,
        rest: &str,
        content: Bytes,
    ) -> Reply {
        if head.uri.path().starts_with("/engine/") {
            return self.engine(name).call(&self.deps, rest, &content).await;
        }
        let call = plain::Call {
            server: name,
            method: &head.method,
            path: rest,
            query: head.uri.query().unwrap_or_default(),
            headers: &head.headers,
            body: &content,
        };
        plain::call(&self.deps.runs, call).await
    }

    fn engine(&self, name: &str) -> sync::Arc<engine::Engine> {
        let mut engines = locks::lock(&self.engines);
        let create = || {
            let url = format!("{}/engine/{name}", self.base);
            sync::Arc::new(engine::Engine::new(name, url))
        };
        engines.entry(name.to_string()).or_insert_with(create).clone()
    }

    // Number of requests and results in the memory of all engines.
    fn held(&self) -> u64 {
        let engines = locks::lock(&self.engines);
        engines.values().map(|engine| engine.held()).sum()
    }

    // Sets a mode; the body is `TARGET MODE`.
    fn switch(&self, content: &Bytes) -> Reply {
        let text = String::from_utf8_lossy(content).into_owned();
        let parsed = text.split_once(' ').and_then(|(target, mode)| {
            self.deps.switches.set(target, switch::parse_mode(mode.trim())?);
            Some(())
        });
        match parsed {
            Some(()) => response::text(StatusCode::OK, "set"),
            None => response::text(StatusCode::BAD_REQUEST, "give `TARGET MODE`"),
        }
    }
}
