//! Retry budget of one service at one entry, independent of the other entries.

use crate::outcome;

use outcome::Reason;

/// Token bucket that allows retries in proportion to recent requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

// Amounts are in thousandths of a retry.
const DEPOSIT: u32 = 100;
const RETRY_COST: u32 = 1000;
const INITIAL_BALANCE: u32 = 5_000;
const MAX_BALANCE: u32 = 50_000;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: INITIAL_BALANCE }
    }
}

impl RetryBudget {
    /// Credits a first attempt, which earns a tenth of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry after a failure for `reason`; returns false if none is left.
    ///
    /// A retry after an attempt that cost no server any work is free.
    pub fn try_withdraw(&mut self, reason: Reason) -> bool {
        if is_free(reason) {
            return true;
        }
        let is_allowed = self.balance >= RETRY_COST;
        if is_allowed {
            self.balance -= RETRY_COST;
        }
        is_allowed
    }
}

fn is_free(reason: Reason) -> bool {
    matches!(reason, Reason::Leaving | Reason::NoServer | Reason::NotLoaded | Reason::NoList)
}
