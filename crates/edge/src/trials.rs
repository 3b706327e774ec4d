//! Claims of trials of rejected requests in the platform's store, so that one entry sends each.

use std::{collections, time};

use rhubarb_core::{cause, suspects};
use rhubarb_platform::store;

use crate::edge;

/// Timeout of a call to the store, which the request of the trial waits for.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Claims a trial for this entry; false if another entry has claimed it.
///
/// # Errors
/// Returns an error if the store does not answer; the trial may be claimed all the same, and is then
/// not sent by any entry.
pub(crate) async fn claim(
    edge: &edge::Edge,
    trial: suspects::Trial,
) -> Result<bool, store::StoreError> {
    let (key, settings) = (key(trial), edge.settings());
    let write = store::Write {
        table: store::Table::Trials,
        key: &key,
        expected: Some(store::Version::new(edge.store.era(), 0)),
        value: settings.name.as_bytes(),
    };
    let outcome = edge.store.write(write, STORE_TIMEOUT).await?;
    Ok(matches!(outcome, store::WriteOutcome::Committed(_)))
}

/// Removes the claims of trials of causes that are no longer rejected.
///
/// # Errors
/// Returns an error if a call to the store fails.
pub(crate) async fn remove(
    edge: &edge::Edge,
    over: &[cause::Cause],
) -> Result<(), store::StoreError> {
    let table = store::Table::Trials;
    let rows = edge.store.read_all(table, STORE_TIMEOUT).await?;
    let keys = |cause: &cause::Cause| {
        let cause = *cause;
        let numbers = 1..=suspects::max_trials(cause);
        numbers.map(move |number| key(suspects::Trial { cause, number }))
    };
    let keys: collections::BTreeSet<_> = over.iter().flat_map(keys).collect();
    for row in rows.rows.iter().filter(|row| keys.contains(&row.key)) {
        edge.store.remove(table, &row.key, row.version, STORE_TIMEOUT).await?;
    }
    Ok(())
}

fn key(trial: suspects::Trial) -> String {
    format!("{}-{}", trial.cause.key(), trial.number)
}
