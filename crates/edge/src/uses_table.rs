//! Rows of the versions in use, as they were read last.

use std::{sync, time};

use rhubarb_core::{history, uses};

/// Rows of all instances.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) rows: Vec<uses::Row>,
    pub(crate) reading: history::Reading,
}

/// Result of the last read, none if it failed, and when it began.
pub(crate) type LastRead = Option<(time::Instant, Option<sync::Arc<Table>>)>;
