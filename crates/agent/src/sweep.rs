//! Periodic sweep: expires queued jobs, reservations and records, cancels orphans and grants slots.

use std::{sync, time};

use rhubarb_node::clock;

use crate::{agent, jobs};

const SWEEP_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Sweeps until the task is dropped.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>) {
    let mut ticks = tokio::time::interval(SWEEP_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sweep(&agent);
    }
}

fn sweep(agent: &sync::Arc<agent::Agent>) {
    let now = clock::now();
    agent.lock().gate.tick(now);
    loop {
        let expired = agent.lock().slots.next_expired(now);
        let Some((run, refusal)) = expired else { break };
        jobs::expire(agent, run, refusal);
    }
    loop {
        let orphan = agent.lock().gate.next_orphan(now);
        let Some(run) = orphan else { break };
        agent.metrics.orphans.inc();
        jobs::cancel_orphan(agent, run);
    }
    loop {
        let mut state = agent.lock();
        let Some(run) = state.gate.next_expired(now) else { break };
        state.drop_output(run);
    }
    jobs::grant_slots(agent);
    let state = agent.lock();
    agent.metrics.held.set(i64::from(state.slots.load(now).held));
    agent.metrics.keys.set(state.gate.key_count() as i64);
}
