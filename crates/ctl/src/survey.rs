//! Commands that read the users' platform's store.

use std::{collections, net, time};

use serde_json::json;

use rhubarb_core::{fleet, ids, routing};
use rhubarb_node::{client, metrics};
use rhubarb_platform::{config, registration, store};

use crate::commands;

use commands::{CommandError, Output};

/// Time for one call to the store or to an instance.
const LIMIT: time::Duration = time::Duration::from_secs(2);
/// Metric of an entry that tells the version of the config in force there.
const VERSION_METRIC: &str = "rhubarb_edge_config_version ";

/// Reads what stands in the platform's store.
#[derive(Debug)]
pub struct Survey {
    client: client::Client,
    store: store::Store,
}

/// An instance of ours, and the version of the config in force there if it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Member {
    name: String,
    address: String,
    version: Option<ids::ListVersion>,
}

/// Servers of one service, stage and availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    service: ids::ServiceName,
    stage: &'static str,
    zone: ids::ZoneName,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    ready: usize,
    leaving: usize,
}

impl From<store::StoreError> for CommandError {
    fn from(err: store::StoreError) -> CommandError {
        CommandError::Away(format!("the store: {err}"))
    }
}

impl Survey {
    /// Makes the commands for the store at `address`.
    pub fn new(address: net::SocketAddr) -> Survey {
        let client = client::Client::new();
        Survey { store: store::Store::new(client.clone(), address), client }
    }

    /// Shows the config in the store, as the operator wrote it.
    ///
    /// # Errors
    /// Returns an error if there is none, and while the store is away.
    pub async fn show(&self) -> Result<Output, CommandError> {
        let text = self.config_text().await?;
        let json = serde_json::from_slice(&text)
            .map_err(|err| CommandError::Input(format!("the config cannot be read: {err}")))?;
        Ok(Output { text: format!("{json:#}"), json })
    }

    /// Shows the config's version, the servers, the leases, and what is in force at each instance.
    ///
    /// # Errors
    /// Returns an error if there is no valid config, and while the store is away.
    pub async fn status(&self) -> Result<Output, CommandError> {
        let config = config::read(&self.config_text().await?)
            .map_err(|err| CommandError::Input(err.to_string()))?;
        let (groups, unreadable) = self.servers().await?;
        let leases = self.rows(store::Table::Leases).await?;
        let members = self.members().await?;
        let text = write(&config, &groups, &unreadable, &leases, &members);
        let json = json!({
            "config": config.version,
            "routes": config.routes.len(),
            "servers": groups.iter().map(|(group, count)| json!({
                "service": group.service,
                "stage": group.stage,
                "zone": group.zone,
                "ready": count.ready,
                "leaving": count.leaving,
            })).collect::<Vec<_>>(),
            "unreadable": unreadable,
            "leases": leases.iter().map(|(key, value)| json!({"duty": key, "holder": value}))
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
        let rows = self.store.read_all(store::Table::Operator, LIMIT).await?;
        let row = rows.rows.into_iter().find(|row| row.key == store::CONFIG_KEY);
        row.and_then(|row| row.value).ok_or_else(|| {
            CommandError::Input("no config in the store; the operator has to write one".into())
        })
    }

    // Rows of a table of ours, as text.
    async fn rows(&self, table: store::Table) -> Result<Vec<(String, String)>, CommandError> {
        let rows = self.store.read_all(table, LIMIT).await?.rows.into_iter();
        let text = |value: Vec<u8>| String::from_utf8_lossy(&value).into_owned();
        Ok(rows.map(|row| (row.key, row.value.map(text).unwrap_or_default())).collect())
    }

    async fn servers(
        &self,
    ) -> Result<(collections::BTreeMap<Group, Count>, Vec<ids::ServerName>), CommandError> {
        let rows = self.store.read_all(store::Table::Servers, LIMIT).await?;
        let mut groups = collections::BTreeMap::new();
        let mut unreadable = Vec::new();
        for row in rows.rows {
            match registration::read(&row.value.unwrap_or_default()) {
                Ok(instance) => note(&mut groups, instance),
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

    async fn version_at(&self, ip: &str) -> Option<ids::ListVersion> {
        let url = format!("http://{ip}:{}/metrics", metrics::PLATFORM_PORT);
        let reply = self.client.get(&url, LIMIT).await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        text.lines().find_map(|line| line.strip_prefix(VERSION_METRIC))?.trim().parse().ok()
    }
}

fn note(groups: &mut collections::BTreeMap<Group, Count>, instance: fleet::Instance) {
    let stage = match instance.stage {
        Some(fleet::Stage::Prefill) => "prefill",
        Some(fleet::Stage::Decode) => "decode",
        None => "plain",
    };
    let group = Group { service: instance.service, stage, zone: instance.zone };
    let count: &mut Count = groups.entry(group).or_default();
    if instance.leaving {
        count.leaving += 1;
    } else {
        count.ready += 1;
    }
}

fn write(
    config: &routing::Config,
    groups: &collections::BTreeMap<Group, Count>,
    unreadable: &[ids::ServerName],
    leases: &[(String, String)],
    members: &[Member],
) -> String {
    let mut text = format!("config version {}, {} routes\n", config.version, config.routes.len());
    for (group, count) in groups {
        let Group { service, stage, zone } = group;
        let Count { ready, leaving } = count;
        text.push_str(&format!("{service} {stage} in {zone}: {ready} ready, {leaving} leaving\n"));
    }
    for server in unreadable {
        text.push_str(&format!("{server}: entry cannot be read, server not used\n"));
    }
    for (duty, holder) in leases {
        text.push_str(&format!("lease {duty}: {holder}\n"));
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
