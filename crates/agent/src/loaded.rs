//! The model of an engine.

/// A model that an engine runs, or is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loaded {
    pub(crate) weights: String,
    pub(crate) version: u64,
    pub(crate) adapters: Vec<String>,
}
