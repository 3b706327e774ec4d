//! Startup and graceful shutdown of the agent's process.

use std::{sync, time};

use rhubarb_node::{clock, server, signals};

use crate::{agent, heartbeats, http, link, lists, model_loader, registration, settings, sweep};

const DRAIN_POLL_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Runs an agent until it receives a stop signal, then drains it.
///
/// # Errors
/// Returns an error if an address cannot be bound or signals cannot be caught.
pub async fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let mut stopped = signals::Stop::catch()?;
    let (listener, udp) = server::bind_tcp_and_udp(settings.listen).await?;
    let http_listener = server::bind(settings.http).await?;
    println!("listening http={} peer={}", http_listener.local_addr()?, listener.local_addr()?);
    let agent = sync::Arc::new(agent::Agent::new(settings));
    tracing::info!("agent: started for server {}", agent.settings.server);
    tokio::spawn(registration::register(agent.clone()));
    tokio::spawn(lists::follow(agent.clone()));
    tokio::spawn(model_loader::run(agent.clone()));
    tokio::spawn(heartbeats::serve(agent.clone(), udp));
    tokio::spawn(sweep::run(agent.clone()));
    tokio::spawn(link::serve(agent.clone(), listener));
    let shared = agent.clone();
    tokio::spawn(server::serve(http_listener, server::Limits::default(), move |request| {
        http::handle(shared.clone(), request)
    }));
    stopped.received().await;
    drain(&agent).await;
    Ok(())
}

// Refuses new runs and waits for open ones, then hands the key records over.
async fn drain(agent: &agent::Agent) {
    tracing::info!("agent: draining; waiting for open runs");
    agent.lock().gate.leave();
    let start = clock::now();
    let limit = agent.settings.drain;
    loop {
        let elapsed = clock::now() - start;
        if elapsed >= limit || (elapsed >= agent.settings.notice && agent.lock().is_idle()) {
            break;
        }
        tokio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
    if let Err(err) = registration::hand_over(agent).await {
        tracing::warn!("agent: handover of key records failed: {err}");
    }
    tracing::info!("agent: stopped");
}
