//! Connections from entries.

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

/// An entry with open runs that sends nothing for this long is out of contact.
const SILENCE: time::Duration = time::Duration::from_secs(2);
/// A link without open runs is closed after this silence.
const IDLE: time::Duration = time::Duration::from_secs(60);
const ORDERS: usize = 256;
const PRUNE_ABOVE: usize = 64;
const HELLO_LIMIT: time::Duration = time::Duration::from_secs(2);
const QUEUE: usize = 1024;
const MAX_LINKS: usize = 2048;
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

type Shared = sync::Arc<agent::Agent>;

/// Accepts entries until the task is dropped.
pub(crate) async fn serve(agent: Shared, listener: net::TcpListener) {
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(MAX_LINKS));
    loop {
        let slot = slots.clone().acquire_owned().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                let agent = agent.clone();
                tokio::spawn(async move {
                    let _slot = slot;
                    if let Err(err) = serve_link(&agent, stream).await {
                        tracing::info!("agent: link to {peer} ended: {err}");
                    }
                });
            }
            Err(err) => {
                tracing::warn!("agent: accept failed: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(agent: &Shared, stream: net::TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let greeting = greet(agent, &mut reader, &mut writer);
    match tokio::time::timeout(HELLO_LIMIT, greeting).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => {
            agent.metrics.bad_peers.inc();
            return Err(err);
        }
        Err(_) => {
            agent.metrics.bad_peers.inc();
            anyhow::bail!("no hello in time; check that the peer is an entry");
        }
    }
    let (sender, receiver) = mpsc::channel(QUEUE);
    let write = tokio::spawn(write_loop(writer, receiver));
    let (forward, orders) = mpsc::channel(ORDERS);
    let read = tokio::spawn(read_loop(reader, forward));
    let link = rand::random();
    agent.lock().links.insert(link, sender.clone());
    let mut runs = collections::BTreeSet::new();
    let ended = obey_all(agent, orders, &sender, &mut runs).await;
    read.abort();
    write.abort();
    let now = clock::now();
    let mut state = agent.lock();
    state.links.remove(&link);
    for run in runs {
        state.gate.lose_contact(run, now);
    }
    ended
}

async fn greet(
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
    let order = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToAgent::Hello(hello) = order else {
        anyhow::bail!("the first message is not a hello; check that the peer is an entry");
    };
    if !hello.is_signed(keys, &challenge) {
        anyhow::bail!("the hello is not signed; give all processes the same shared keys");
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
    while let Some(notice) = receiver.recv().await {
        writer.write_all(&frame::encode(&notice)).await?;
        while let Ok(notice) = receiver.try_recv() {
            writer.write_all(&frame::encode(&notice)).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}

async fn read_loop(
    mut reader: tcp::OwnedReadHalf,
    forward: mpsc::Sender<Result<message::ToAgent, frame::FrameError>>,
) {
    loop {
        let order = frame::read(&mut reader, frame::MAX_FRAME_BYTES).await;
        let is_last = order.is_err();
        if forward.send(order).await.is_err() || is_last {
            return;
        }
    }
}

// An entry with open runs must be heard of often; one without only now and then.
async fn obey_all(
    agent: &Shared,
    mut orders: mpsc::Receiver<Result<message::ToAgent, frame::FrameError>>,
    sender: &job::Sender,
    runs: &mut collections::BTreeSet<ids::RunId>,
) -> anyhow::Result<()> {
    let mut heard_at = clock::now();
    let mut kept = 0;
    loop {
        if let Ok(order) = tokio::time::timeout(SILENCE, orders.recv()).await {
            let Some(order) = order else { return Ok(()) };
            heard_at = clock::now();
            obey(agent, order?, sender, runs).await;
            if runs.len() < 2 * kept + PRUNE_ABOVE {
                continue;
            }
        }
        prune(agent, runs);
        kept = runs.len();
        let silence = clock::now() - heard_at;
        if silence >= IDLE || (silence >= SILENCE && !runs.is_empty()) {
            anyhow::bail!("the entry is silent; its runs are cancelled unless it returns");
        }
    }
}

fn prune(agent: &agent::Agent, runs: &mut collections::BTreeSet<ids::RunId>) {
    let state = agent.lock();
    runs.retain(|run| state.gate.is_open(*run));
}

async fn obey(
    agent: &Shared,
    order: message::ToAgent,
    sender: &job::Sender,
    runs: &mut collections::BTreeSet<ids::RunId>,
) {
    match order {
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
            let wants = lists::is_behind(agent, ping.version);
            let _ = sender.send(message::ToEntry::Pong(pong)).await;
            if wants {
                let version = agent.lock().revisions.version();
                let _ = sender.send(message::ToEntry::WantList(version)).await;
            }
        }
        message::ToAgent::WantList(version) => {
            if let Some(copy) = lists::copy_for(agent, version) {
                let _ = sender.send(message::ToEntry::List(copy)).await;
            }
        }
        message::ToAgent::List(copy) => lists::apply_copy(agent, &copy),
    }
}
