//! Runs a plain request at the backend server.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, body, header};

use rhubarb_core::outcome;
use rhubarb_node::{client, clock};
use rhubarb_wire::offer;

use crate::{agent, engine, output};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Lowest number that is no status though the HTTP library takes it for one.
const FIRST_INVALID_STATUS: u16 = 600;
/// Header with the agent's fencing number.
const FENCE_HEADER: &str = "rhubarb-fence";

/// Sends a plain request and writes the response to `output`.
pub(crate) async fn call(
    agent: &agent::Agent,
    offer: offer::Offer,
    output: &output::Output,
) -> Result<(), Refusal> {
    let request = build(agent, &offer).map_err(|err| {
        tracing::warn!("agent: cannot build the request to the backend server: {err}");
        Refusal::permanent(Reason::BadRequest)
    })?;
    {
        let mut state = agent.lock();
        state.slots.claim(offer.run);
        state.gate.start(offer.run, clock::now())?;
    }
    agent.metrics.runs.inc();
    let limit = time::Duration::from_millis(offer.limit_ms);
    let exchange = async {
        let reply = agent.client.send(request, limit).await;
        let (head, body) = reply.map_err(|err| engine::to_refusal(&err))?.into_parts();
        if head.status.as_u16() >= FIRST_INVALID_STATUS {
            tracing::warn!(
                status = head.status.as_u16(),
                "agent: invalid status of the backend server"
            );
            return Err(Refusal::unknown(Reason::EngineFailed, RETRY_SOON));
        }
        output.set_head(head.status.as_u16(), copy_headers(&head.headers));
        copy_body(body, output).await
    };
    let timed_out = Refusal::unknown(Reason::EngineSilent, RETRY_SOON);
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(timed_out))
}

fn build(
    agent: &agent::Agent,
    offer: &offer::Offer,
) -> anyhow::Result<Request<http_body_util::Full<Bytes>>> {
    let url = format!("{}{}", agent.settings.engine, offer.target);
    let method = hyper::Method::from_bytes(offer.method.as_bytes())?;
    let mut request = client::request(method, &url, offer.body.clone().into())?;
    for header in &offer.headers {
        let name = header::HeaderName::from_bytes(header.name.as_bytes())?;
        let value = header::HeaderValue::from_bytes(&header.value)?;
        request.headers_mut().append(name, value);
    }
    let state = agent.lock();
    let is_fenced =
        state.assignment(&agent.settings.server).is_some_and(|(service, _)| service.fenced);
    if is_fenced {
        request.headers_mut().insert(FENCE_HEADER, header::HeaderValue::from(state.fence));
    }
    Ok(request)
}

fn copy_headers(headers: &hyper::HeaderMap) -> Vec<offer::Header> {
    let copies = headers.iter().map(|(name, value)| offer::Header {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    });
    copies.collect()
}

async fn copy_body(mut body: body::Incoming, output: &output::Output) -> Result<(), Refusal> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::unknown(Reason::EngineFailed, RETRY_SOON))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if !output.push(&bytes) {
            return Err(Refusal::unknown(Reason::TooLarge, RETRY_SOON));
        }
    }
    Ok(())
}
