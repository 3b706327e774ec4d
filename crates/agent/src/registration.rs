//! Registration of this process in the table, and handover between processes of one server.

use std::{sync, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::handover;
use rhubarb_node::{clock, platform, table};
use rhubarb_wire::offer;

use crate::{agent, output};

/// Value of the server's row in the table; the row's version is the fencing number.
#[derive(Debug, Serialize, Deserialize)]
struct RowValue {
    /// Name of the object with the key records of a process that shut down cleanly.
    handed_over: Option<String>,
}

/// Key records of a process that shut down cleanly, with the stored responses.
#[derive(Debug, Serialize, Deserialize)]
struct StoredHandover {
    handover: handover::Handover,
    answers: Vec<StoredResponse>,
    /// Time of the shutdown, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// Complete response of one run.
#[derive(Debug, Serialize, Deserialize)]
struct StoredResponse {
    run: rhubarb_core::ids::RunId,
    status: u16,
    headers: Vec<offer::Header>,
    bytes: Vec<u8>,
}

const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

fn row_key(agent: &agent::Agent) -> String {
    format!("slot/{}", agent.settings.server)
}

/// Registers this process in the table and imports the records of the previous process; retries
/// until it succeeds.
pub(crate) async fn register(agent: sync::Arc<agent::Agent>) {
    loop {
        match try_register(&agent).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(err) => tracing::warn!("agent: registration failed: {err}"),
        }
        tokio::time::sleep(clock::jitter(RETRY_DELAY)).await;
    }
}

// Returns false if another process wrote the row at the same time.
async fn try_register(agent: &agent::Agent) -> Result<bool, platform::PlatformError> {
    let key = row_key(agent);
    let row = agent.table.read(&key).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let handover = match &row {
        Some(row) => read_handover(agent, row).await?,
        None => None,
    };
    let write_id = format!("{:016x}", agent.incarnation);
    let value = serde_json::json!(RowValue { handed_over: None }).to_string();
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
    if let Some(handover) = handover {
        import(&mut state, handover);
    }
    // A complete history covers this server alone: after a recent join, other servers of the
    // service may have run keys, so unknown keys are still held back.
    let server = &agent.settings.server;
    let revision = state.revisions.current();
    let joined = state
        .service(server)
        .and_then(|service| revision.joined_ago(&service.name, server, clock::unix_ms()));
    if let Some(ago) = joined {
        state.gate.record_join(ago, clock::now());
    }
    let held_back = state.gate.held_back(clock::now());
    let wait = held_back.as_secs();
    tracing::info!("agent: registered with fence {fence}; unknown keys are held back for {wait} s");
    Ok(true)
}

async fn read_handover(
    agent: &agent::Agent,
    row: &table::Row,
) -> Result<Option<StoredHandover>, platform::PlatformError> {
    let value: Option<RowValue> = serde_json::from_str(&row.value).ok();
    let Some(name) = value.and_then(|value| value.handed_over) else { return Ok(None) };
    let object = agent.objects.get(&name).await?;
    Ok(object.and_then(|object| serde_json::from_str(&object).ok()))
}

fn import(state: &mut agent::State, handover: StoredHandover) {
    let downtime_ms = clock::unix_ms().saturating_sub(handover.at_ms);
    let downtime = time::Duration::from_millis(downtime_ms);
    state.gate.import(&handover.handover, downtime, clock::now());
    for response in handover.answers {
        let output =
            output::Output::from_handover(response.status, response.headers, response.bytes);
        state.outputs.insert(response.run, sync::Arc::new(output));
        state.keep_output(response.run);
    }
}

/// Stores the key records for the next process of this server; called after the drain.
pub(crate) async fn hand_over(agent: &agent::Agent) -> Result<(), platform::PlatformError> {
    let (handover, fence) = {
        let state = agent.lock();
        let Some(handover) = export(&state).filter(|_| state.registered) else { return Ok(()) };
        (handover, state.fence)
    };
    let name = format!("handover/{}/{fence}", agent.settings.server);
    // A `serde_json::Value` cannot hold run ids, which have 128 bits, so it is not used here.
    let content = serde_json::to_string(&handover)
        .map_err(|err| platform::PlatformError::Protocol(err.to_string()))?;
    agent.objects.put(&name, content).await?;
    let write_id = format!("{:016x}-end", agent.incarnation);
    let value = serde_json::json!(RowValue { handed_over: Some(name) }).to_string();
    agent.table.write(&row_key(agent), fence, &write_id, &value).await?;
    Ok(())
}

fn export(state: &agent::State) -> Option<StoredHandover> {
    let handover = state.gate.export(clock::now())?;
    let answers = handover.records.iter().filter_map(|record| {
        let (status, headers, bytes) = state.outputs.get(&record.run)?.complete_response()?;
        Some(StoredResponse { run: record.run, status, headers, bytes })
    });
    let answers = answers.collect();
    Some(StoredHandover { handover, answers, at_ms: clock::unix_ms() })
}
