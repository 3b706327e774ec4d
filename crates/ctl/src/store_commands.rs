//! Operator commands that read the store of the users' platform.

use std::{collections, net, time};

use serde_json::json;

use rhubarb_core::{fleet, ids, routing};
use rhubarb_node::{client, metrics};
use rhubarb_platform::{config, registration, store};

use crate::commands;

use commands::{CommandError, Output};

/// Timeout of one call to the store or to an instance.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Start of the line with the version of the config in force, in the metrics of an entry.
const VERSION_METRIC: &str = "rhubarb_edge_config_version ";

/// Runs the commands against the store of the platform.
#[derive(Debug)]
pub struct StoreCommands {
    client: client::Client,
    store: store::Store,
}

/// An entry instance, and the version of the config in force there if it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Member {
    name: String,
    address: String,
    version: Option<ids::ListVersion>,
}

/// Servers of one service, stage and availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerGroup {
    service: ids::ServiceName,
    stage: &'static str,
    zone: ids::ZoneName,
}

/// Numbers of servers of a group.
#[derive(Clone, Copy, Debug, Default)]
struct ServerCounts {
    ready: usize,
    leaving: usize,
}

impl From<store::StoreError> for CommandError {
    fn from(err: store::StoreError) -> CommandError {
        CommandError::Unavailable(format!("the store: {err}"))
    }
}

impl StoreCommands {
    /// Makes the commands for the store at `address`.
    pub fn new(address: net::SocketAddr) -> StoreCommands {
        let client = client::Client::single_use();
        StoreCommands { store: store::Store::new(client.clone(), address), client }
    }

    /// Shows the config in the store, as the operator wrote it.
    ///
    /// # Errors
    /// Returns an error if there is none, and while the store is unavailable.
    pub async fn show(&self) -> Result<Output, CommandError> {
        let text = self.config_text().await?;
        let json = serde_json::from_slice(&text)
            .map_err(|err| CommandError::Input(format!("the config cannot be read: {err}")))?;
        Ok(Output { text: format!("{json:#}"), json })
    }

    /// Shows the version of the config, the servers, the leases, and the config version in force at
    /// each instance.
    ///
    /// # Errors
    /// Returns an error if there is no valid config, and while the store is unavailable.
    pub async fn status(&self) -> Result<Output, CommandError> {
        let config = config::read(&self.config_text().await?)
            .map_err(|err| CommandError::Input(err.to_string()))?;
        let (groups, unreadable) = self.servers().await?;
        let leases = self.rows(store::Table::Leases).await?;
        let members = self.members().await?;
        let text = status_text(&config, &groups, &unreadable, &leases, &members);
        let json = json!({
            "config": config.version,
            "routes": config.routes.len(),
            "servers": groups.iter().map(|(group, counts)| json!({
                "service": group.service,
                "stage": group.stage,
                "zone": group.zone,
                "ready": counts.ready,
                "leaving": counts.leaving,
            })).collect::<Vec<_>>(),
            "unreadable": unreadable,
            "leases": leases.iter().map(|(task, holder)| json!({"duty": task, "holder": holder}))
                .collect::<Vec<_>>(),
            "instances": members.iter().map(|member| json!({
                "name": member.name,
                "address": member.address,
                "config": member.version,
            })).collect::<Vec<_>>(),
        });
        Ok(Output { text, json })
    }

    async fn config_text(&self) -> Result<Vec<u8>, CommandError> {
        let rows = self.store.read_all(store::Table::Operator, REQUEST_TIMEOUT).await?;
        let row = rows.rows.into_iter().find(|row| row.key == store::CONFIG_KEY);
        row.and_then(|row| row.value).ok_or_else(|| {
            CommandError::Input("no config in the store; the operator has to write one".into())
        })
    }

    // Keys and values of a table that entries write, as text.
    async fn rows(&self, table: store::Table) -> Result<Vec<(String, String)>, CommandError> {
        let rows = self.store.read_all(table, REQUEST_TIMEOUT).await?.rows.into_iter();
        let text = |value: Vec<u8>| String::from_utf8_lossy(&value).into_owned();
        Ok(rows.map(|row| (row.key, row.value.map(text).unwrap_or_default())).collect())
    }

    // Counts of servers by group, and the names of those whose registration cannot be read.
    async fn servers(
        &self,
    ) -> Result<
        (collections::BTreeMap<ServerGroup, ServerCounts>, Vec<ids::ServerName>),
        CommandError,
    > {
        let rows = self.store.read_all(store::Table::Servers, REQUEST_TIMEOUT).await?;
        let mut groups = collections::BTreeMap::new();
        let mut unreadable = Vec::new();
        for row in rows.rows {
            match registration::read(&row.value.unwrap_or_default()) {
                Ok(instance) => count_server(&mut groups, instance),
                Err(_) => unreadable.push(row.key),
            }
        }
        Ok((groups, unreadable))
    }

    async fn members(&self) -> Result<Vec<Member>, CommandError> {
        let mut members = Vec::new();
        for (name, address) in self.rows(store::Table::Members).await? {
            let version = self.version_at(&address).await;
            members.push(Member { name, address, version });
        }
        Ok(members)
    }

    // Config version that the instance at `ip` exports in its metrics.
    async fn version_at(&self, ip: &str) -> Option<ids::ListVersion> {
        let url = format!("http://{ip}:{}/metrics", metrics::PLATFORM_PORT);
        let reply = self.client.get(&url, REQUEST_TIMEOUT).await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines().find_map(|line| line.strip_prefix(VERSION_METRIC))?.trim().parse().ok()
    }
}

fn count_server(
    groups: &mut collections::BTreeMap<ServerGroup, ServerCounts>,
    instance: fleet::Instance,
) {
    let stage = match instance.stage {
        Some(fleet::Stage::Prefill) => "prefill",
        Some(fleet::Stage::Decode) => "decode",
        None => "plain",
    };
    let group = ServerGroup { service: instance.service, stage, zone: instance.zone };
    let counts: &mut ServerCounts = groups.entry(group).or_default();
    if instance.leaving {
        counts.leaving += 1;
    } else {
        counts.ready += 1;
    }
}

fn status_text(
    config: &routing::Config,
    groups: &collections::BTreeMap<ServerGroup, ServerCounts>,
    unreadable: &[ids::ServerName],
    leases: &[(String, String)],
    members: &[Member],
) -> String {
    let mut text = format!("config version {}, {} routes\n", config.version, config.routes.len());
    for (group, counts) in groups {
        let ServerGroup { service, stage, zone } = group;
        let ServerCounts { ready, leaving } = counts;
        text.push_str(&format!("{service} {stage} in {zone}: {ready} ready, {leaving} leaving\n"));
    }
    for server in unreadable {
        text.push_str(&format!("{server}: entry cannot be read, server not used\n"));
    }
    for (task, holder) in leases {
        text.push_str(&format!("lease {task}: {holder}\n"));
    }
    for Member { name, address, version } in members {
        let state = match version {
            Some(version) if *version == config.version => format!("version {version}"),
            Some(version) => format!("version {version}, not yet {}", config.version),
            None => "no answer; gone, or its port for metrics is closed to you".to_string(),
        };
        text.push_str(&format!("{name} at {address}: {state}\n"));
    }
    text
}
