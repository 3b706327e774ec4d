//! What the other cells of the fleet ask for, by which the cells divide the limits of customers.

use std::{collections, time};

use crate::{cells, demand, ids};

/// The other cells, as their entries told them last.
#[derive(Clone, Debug, Default)]
pub struct CellVoices {
    cells: collections::BTreeMap<cells::CellId, Voice>,
}

#[derive(Clone, Debug, Default)]
struct Voice {
    // Entries of the cell.
    entries: u32,
    // When an entry last told all that there is to tell of the cell.
    complete_at: Option<time::Instant>,
    // Demand by customer, and when it was told.
    demands: collections::BTreeMap<ids::CustomerTag, (u32, time::Instant)>,
}

/// Time for which what a cell told counts. Each entry of a cell tells it to a few others at random, so
/// that in a fleet of 25 cells a cell is not heard for this long once in some hundred times.
const TTL: time::Duration = time::Duration::from_secs(12);
/// Part of a limit that the cells divide by their sizes, so that each can begin.
const SIZE_SHARE: f64 = 0.2;

impl CellVoices {
    /// Records what an entry of another cell with `entries` tells of its cell's demand. If it
    /// `is_complete`, the cell has no demand of other customers.
    pub fn record(
        &mut self,
        cell: cells::CellId,
        entries: u32,
        demands: impl Iterator<Item = (ids::CustomerTag, u32)>,
        is_complete: bool,
        now: time::Instant,
    ) {
        let voice = self.cells.entry(cell).or_default();
        voice.entries = entries;
        if is_complete {
            voice.complete_at = Some(now);
            voice.demands.clear();
        }
        voice.demands.retain(|_, (_, at)| now < *at + TTL);
        voice.demands.extend(demands.map(|(customer, demand)| (customer, (demand, now))));
    }

    /// Whether another cell has demand of a customer.
    pub fn names(&self, customer: ids::CustomerTag, now: time::Instant) -> bool {
        let mut said = self.cells.values().filter_map(|voice| voice.demands.get(&customer));
        said.any(|(_, at)| now < *at + TTL)
    }

    /// Part of the own cell, with the demand `own`, of a customer's limit, of which a usual request takes
    /// `usual`. A cell of which nothing is known counts like this one.
    pub fn part(
        &self,
        customer: ids::CustomerTag,
        own: u64,
        usual: f64,
        sizes: demand::Sizes,
        now: time::Instant,
    ) -> f64 {
        let entries = f64::from(sizes.peers + 1);
        let fleet = f64::from(sizes.fleet.max(sizes.peers + 1));
        // One request for each entry beside the demand, so that a few requests move no part.
        let usual = usual.max(1.0);
        let weight = own as f64 + entries * usual;
        let (mut known, mut sum) = (entries, weight);
        for voice in self.cells.values() {
            let said = voice.demands.get(&customer).copied();
            let idle = voice.complete_at.map(|at| (0, at));
            let told = said.or(idle).filter(|(_, at)| now < *at + TTL);
            if let Some((demand, _)) = told {
                known += f64::from(voice.entries);
                sum += f64::from(demand) + f64::from(voice.entries) * usual;
            }
        }
        sum += weight / entries * (fleet - known).max(0.0);
        SIZE_SHARE * entries / fleet + (1.0 - SIZE_SHARE) * weight / sum
    }
}
