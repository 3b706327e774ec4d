//! Links: connections from entries.

use std::{collections, sync, time};

use tokio::{
    io::{self, AsyncWriteExt},
    net::{self, tcp},
    sync::mpsc,
};

use rhubarb_core::ids;
use rhubarb_node::clock;
use rhubarb_wire::{frame, message};

use crate::{agent, job, jobs, lists};

/// An entry with open runs that sends nothing for this long has lost contact.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// A link without open runs is closed after this time without a message.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum number of messages queued from one entry.
const INBOUND_QUEUE: usize = 256;
/// Ended runs are removed from a link's set when the set has grown to twice its size after the last
/// removal plus this margin.
const PRUNE_MARGIN: usize = 64;
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum number of messages queued to one entry.
const OUTBOUND_QUEUE: usize = 1024;
const MAX_LINKS: usize = 2048;
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

type Shared = sync::Arc<agent::Agent>;

/// Accepts entries until the task is dropped.
pub(crate) async fn serve(agent: Shared, listener: net::TcpListener) {
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(MAX_LINKS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                let agent = agent.clone();
                tokio::spawn(async move {
                    let _permit = permit;
                    if let Err(err) = serve_link(&agent, stream).await {
                        tracing::info!("agent: link to {peer} ended: {err}");
                    }
                });
            }
            Err(err) => {
                tracing::warn!("agent: accept failed: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link(agent: &Shared, stream: net::TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let handshake = handshake(agent, &mut reader, &mut writer);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => {
            agent.metrics.bad_peers.inc();
            return Err(err);
        }
        Err(_) => {
            agent.metrics.bad_peers.inc();
            anyhow::bail!("no hello before the timeout; check that the peer is an entry");
        }
    }
    let (sender, receiver) = mpsc::channel(OUTBOUND_QUEUE);
    let write = tokio::spawn(write_loop(writer, receiver));
    let (inbound_sender, inbound) = mpsc::channel(INBOUND_QUEUE);
    let read = tokio::spawn(read_loop(reader, inbound_sender));
    let link = rand::random();
    agent.lock().links.insert(link, sender.clone());
    let mut runs = collections::BTreeSet::new();
    let result = handle_messages(agent, inbound, &sender, &mut runs).await;
    read.abort();
    write.abort();
    let now = clock::now();
    let mut state = agent.lock();
    state.links.remove(&link);
    for run in runs {
        state.gate.lose_contact(run, now);
    }
    result
}

async fn handshake(
    agent: &agent::Agent,
    reader: &mut tcp::OwnedReadHalf,
    writer: &mut tcp::OwnedWriteHalf,
) -> anyhow::Result<()> {
    let keys = &agent.settings.keys;
    let challenge = message::Challenge {
        server: agent.settings.server.clone(),
        incarnation: agent.incarnation,
        nonce: rand::random(),
    };
    frame::write(writer, &message::ToEntry::Challenge(challenge.clone())).await?;
    let message = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToAgent::Hello(hello) = message else {
        anyhow::bail!("the first message is not a hello; check that the peer is an entry");
    };
    if !hello.is_signed(keys, &challenge) {
        anyhow::bail!("invalid signature in the hello; give all processes the same shared keys");
    }
    let welcome = message::Welcome::sign(keys, &hello, agent.pong(0));
    frame::write(writer, &message::ToEntry::Welcome(welcome)).await?;
    Ok(())
}

async fn write_loop(
    writer: tcp::OwnedWriteHalf,
    mut receiver: mpsc::Receiver<message::ToEntry>,
) -> io::Result<()> {
    let mut writer = io::BufWriter::new(writer);
    while let Some(message) = receiver.recv().await {
        writer.write_all(&frame::encode(&message)).await?;
        while let Ok(message) = receiver.try_recv() {
            writer.write_all(&frame::encode(&message)).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}

async fn read_loop(
    mut reader: tcp::OwnedReadHalf,
    inbound_sender: mpsc::Sender<Result<message::ToAgent, frame::FrameError>>,
) {
    loop {
        let message = frame::read(&mut reader, frame::MAX_FRAME_BYTES).await;
        let is_last = message.is_err();
        if inbound_sender.send(message).await.is_err() || is_last {
            return;
        }
    }
}

// Handles messages until the link closes or times out: after `CONTACT_TIMEOUT` if the entry has
// open runs, otherwise after `IDLE_TIMEOUT`.
async fn handle_messages(
    agent: &Shared,
    mut inbound: mpsc::Receiver<Result<message::ToAgent, frame::FrameError>>,
    sender: &job::Sender,
    runs: &mut collections::BTreeSet<ids::RunId>,
) -> anyhow::Result<()> {
    let mut received_at = clock::now();
    let mut pruned_len = 0;
    loop {
        if let Ok(message) = tokio::time::timeout(CONTACT_TIMEOUT, inbound.recv()).await {
            let Some(message) = message else { return Ok(()) };
            received_at = clock::now();
            handle_message(agent, message?, sender, runs).await;
            if runs.len() < 2 * pruned_len + PRUNE_MARGIN {
                continue;
            }
        }
        prune(agent, runs);
        pruned_len = runs.len();
        let idle = clock::now() - received_at;
        if idle >= IDLE_TIMEOUT || (idle >= CONTACT_TIMEOUT && !runs.is_empty()) {
            anyhow::bail!("the entry timed out; its runs are cancelled unless it reconnects");
        }
    }
}

// Removes ended runs, so that the set does not grow with the age of the link.
fn prune(agent: &agent::Agent, runs: &mut collections::BTreeSet<ids::RunId>) {
    let state = agent.lock();
    runs.retain(|run| state.gate.is_open(*run));
}

async fn handle_message(
    agent: &Shared,
    message: message::ToAgent,
    sender: &job::Sender,
    runs: &mut collections::BTreeSet<ids::RunId>,
) {
    match message {
        message::ToAgent::Hello(_) => {}
        message::ToAgent::Offer(offer) => {
            runs.insert(offer.run);
            jobs::accept(agent, job::Job::Plain(offer), sender);
        }
        message::ToAgent::Reserve(reserve) => {
            runs.insert(reserve.run);
            jobs::accept(agent, job::Job::Reserve(reserve), sender);
        }
        message::ToAgent::Prefill(prefill) => {
            runs.insert(prefill.run);
            jobs::accept(agent, job::Job::Prefill(prefill), sender);
        }
        message::ToAgent::Decode(decode) => jobs::start_decode(agent, decode, sender),
        message::ToAgent::Cancel(run) => {
            runs.remove(&run);
            jobs::cancel(agent, run);
        }
        message::ToAgent::Resume(resume) => {
            runs.insert(resume.run);
            jobs::resume(agent, resume, sender);
        }
        message::ToAgent::Ping(ping) => {
            let pong = agent.pong(ping.seq);
            let is_behind = lists::is_behind(agent, ping.version);
            let _ = sender.send(message::ToEntry::Pong(pong)).await;
            if is_behind {
                let version = agent.lock().revisions.version();
                let _ = sender.send(message::ToEntry::WantList(version)).await;
            }
        }
        message::ToAgent::WantList(version) => {
            if let Some(copy) = lists::copy_since(agent, version) {
                let _ = sender.send(message::ToEntry::List(copy)).await;
            }
        }
        message::ToAgent::List(copy) => lists::apply_copy(agent, &copy),
    }
}
