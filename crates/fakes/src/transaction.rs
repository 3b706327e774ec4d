//! Body of a row transaction of the fake store.

use serde::Deserialize;

#[derive(Deserialize)]
pub(crate) struct Transaction {
    #[serde(default)]
    pub(crate) expected: Vec<Expected>,
    #[serde(default)]
    pub(crate) writes: Vec<Write>,
    #[serde(default)]
    pub(crate) remove: Vec<Removal>,
}

#[derive(Deserialize)]
pub(crate) struct Removal {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
}

#[derive(Deserialize)]
pub(crate) struct Expected {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    pub(crate) ver: u64,
}

#[derive(Deserialize)]
pub(crate) struct Write {
    pub(crate) table: String,
    #[serde(default)]
    pub(crate) part: String,
    pub(crate) key: String,
    pub(crate) value: String,
}
