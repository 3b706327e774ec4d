//! Limits of servers, and which servers are not chosen because of them.

use std::{collections, time};

use rhubarb_core::{ids, quotas};

use crate::directory;

/// Known limits, and the servers that they belong to.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(crate) quotas: quotas::Quotas,
    pub(crate) servers: collections::BTreeMap<ids::ServerName, ids::ProcessTag>,
}

impl Limits {
    /// Brings up to date which servers may be chosen.
    pub(crate) fn refresh(&mut self, directory: &mut directory::Directory, now: time::Instant) {
        for (id, process) in std::mem::take(&mut self.servers) {
            let target = directory.target(&id).filter(|target| target.process_tag() == process);
            let Some(target) = target else { continue };
            self.close(directory, &target, now);
            if self.quotas.rate(process).is_some() {
                self.servers.insert(id, process);
            }
        }
    }

    /// Tells the services in which time a server is not chosen.
    pub(crate) fn close(
        &mut self,
        directory: &mut directory::Directory,
        target: &directory::Target,
        now: time::Instant,
    ) {
        let part = directory.quota_part(&target.id, now);
        let closed = self.quotas.closed(target.process_tag(), part, now);
        for service in directory.services() {
            service.pool.set_limited(&target.id, closed);
            service.engines.set_limited(&target.id, closed);
        }
    }
}
