//! The server's row in the table: fencing number, and what the process before left behind.

use std::{sync, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::handover;
use rhubarb_node::{clock, platform, table};
use rhubarb_wire::offer;

use crate::{agent, output};

/// Content of the row.
#[derive(Debug, Serialize, Deserialize)]
struct Slot {
    /// Object with the key records of a process that stopped in order.
    handed_over: Option<String>,
}

/// Key records of a process that stopped in order.
#[derive(Debug, Serialize, Deserialize)]
struct Parcel {
    handover: handover::Handover,
    answers: Vec<Answer>,
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    run: rhubarb_core::ids::RunId,
    status: u16,
    headers: Vec<offer::Header>,
    bytes: Vec<u8>,
}

const RETRY: time::Duration = time::Duration::from_millis(500);

fn row_key(agent: &agent::Agent) -> String {
    format!("slot/{}", agent.settings.server)
}

/// Enters this process in the table, and takes over what the one before left; retries for ever.
pub(crate) async fn register(agent: sync::Arc<agent::Agent>) {
    loop {
        match try_register(&agent).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(err) => tracing::warn!("agent: not registered: {err}"),
        }
        tokio::time::sleep(clock::jitter(RETRY)).await;
    }
}

async fn try_register(agent: &agent::Agent) -> Result<bool, platform::PlatformError> {
    let key = row_key(agent);
    let row = agent.table.read(&key).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let parcel = match &row {
        Some(row) => read_parcel(agent, row).await?,
        None => None,
    };
    let write_id = format!("{:016x}", agent.incarnation);
    let value = serde_json::json!(Slot { handed_over: None }).to_string();
    let table::WriteOutcome::Committed(fence) =
        agent.table.write(&key, version, &write_id, &value).await?
    else {
        return Ok(false);
    };
    let mut state = agent.lock();
    state.fence = fence;
    state.registered = true;
    state.first_process = row.is_none();
    state.mark_first_complete(&agent.settings.server);
    if let Some(parcel) = parcel {
        take_over(&mut state, parcel);
    }
    // The trust is in this server's own past; having joined lately still holds keys back.
    let server = &agent.settings.server;
    let revision = state.revisions.current();
    let joined = state
        .service(server)
        .and_then(|service| revision.joined_ago(&service.name, server, clock::unix_ms()));
    if let Some(ago) = joined {
        state.gate.record_join(ago, clock::now());
    }
    let held = state.gate.held_back(clock::now());
    tracing::info!("agent: registered with fence {fence}; unknown keys wait {} s", held.as_secs());
    Ok(true)
}

async fn read_parcel(
    agent: &agent::Agent,
    row: &table::Row,
) -> Result<Option<Parcel>, platform::PlatformError> {
    let slot: Option<Slot> = serde_json::from_str(&row.value).ok();
    let Some(name) = slot.and_then(|slot| slot.handed_over) else { return Ok(None) };
    let object = agent.objects.get(&name).await?;
    Ok(object.and_then(|object| serde_json::from_str(&object).ok()))
}

fn take_over(state: &mut agent::State, parcel: Parcel) {
    let away = clock::unix_ms().saturating_sub(parcel.at_ms);
    state.gate.import(&parcel.handover, time::Duration::from_millis(away), clock::now());
    for answer in parcel.answers {
        let output = output::Output::restored(answer.status, answer.headers, answer.bytes);
        state.outputs.insert(answer.run, sync::Arc::new(output));
        state.keep_output(answer.run);
    }
}

/// Leaves the key records for the next process; called when nothing runs any more.
pub(crate) async fn hand_over(agent: &agent::Agent) -> Result<(), platform::PlatformError> {
    let (parcel, fence) = {
        let state = agent.lock();
        let Some(parcel) = collect(&state).filter(|_| state.registered) else { return Ok(()) };
        (parcel, state.fence)
    };
    let name = format!("handover/{}/{fence}", agent.settings.server);
    // Run ids exceed what a `serde_json::Value` holds, so the parcel is written directly.
    let content = serde_json::to_string(&parcel)
        .map_err(|err| platform::PlatformError::Protocol(err.to_string()))?;
    agent.objects.put(&name, content).await?;
    let write_id = format!("{:016x}-end", agent.incarnation);
    let value = serde_json::json!(Slot { handed_over: Some(name) }).to_string();
    agent.table.write(&row_key(agent), fence, &write_id, &value).await?;
    Ok(())
}

fn collect(state: &agent::State) -> Option<Parcel> {
    let handover = state.gate.export(clock::now())?;
    let answers = handover.records.iter().filter_map(|record| {
        let (status, headers, bytes) = state.outputs.get(&record.run)?.whole()?;
        Some(Answer { run: record.run, status, headers, bytes })
    });
    let answers = answers.collect();
    Some(Parcel { handover, answers, at_ms: clock::unix_ms() })
}
