//! Retry budget of one service.

use crate::outcome;

use outcome::Reason;

/// Allows retries in proportion to the requests of the recent past.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    // In thousandths of a retry.
    balance: u32,
}

const DEPOSIT: u32 = 100;
const COST: u32 = 1000;
const FLOOR: u32 = 5_000;
const CEILING: u32 = 50_000;

impl Default for Budget {
    fn default() -> Budget {
        Budget { balance: FLOOR }
    }
}

impl Budget {
    /// Notes a first attempt, which earns a tenth of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(CEILING);
    }

    /// Takes one retry after a failure for `reason`; false if none is left.
    ///
    /// A retry after an attempt that cost no server any work is free.
    pub fn take(&mut self, reason: Reason) -> bool {
        if is_free(reason) {
            return true;
        }
        let has = self.balance >= COST;
        if has {
            self.balance -= COST;
        }
        has
    }
}

fn is_free(reason: Reason) -> bool {
    matches!(reason, Reason::Leaving | Reason::NoServer | Reason::NotLoaded | Reason::NoList)
}
