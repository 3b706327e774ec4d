//! Model of an engine.

/// A model that an engine runs or has to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Model {
    pub(crate) weights: String,
    pub(crate) version: u64,
    pub(crate) adapters: Vec<String>,
}
