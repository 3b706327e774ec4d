//! Servers by the tags of their processes.

use std::collections;

use rhubarb_core::ids;

/// Names of the servers whose processes are registered, one process for each server.
#[derive(Debug, Default)]
pub(crate) struct ProcessNames {
    servers: collections::BTreeMap<ids::ProcessTag, ids::ServerName>,
    processes: collections::BTreeMap<ids::ServerName, ids::ProcessTag>,
}

impl ProcessNames {
    /// Records the process of a server, which replaces its earlier one.
    pub(crate) fn set(&mut self, server: &str, process: ids::ProcessTag) {
        if self.servers.get(&process).is_some_and(|known| known == server) {
            return;
        }
        self.remove(server);
        if let Some(other) = self.servers.insert(process, server.to_string()) {
            self.processes.remove(&other);
        }
        self.processes.insert(server.to_string(), process);
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, server: &str) {
        if let Some(process) = self.processes.remove(server) {
            self.servers.remove(&process);
        }
    }

    /// Server of a process.
    pub(crate) fn server(&self, process: ids::ProcessTag) -> Option<&ids::ServerName> {
        self.servers.get(&process)
    }
}
