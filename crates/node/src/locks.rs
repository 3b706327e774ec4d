//! Locks that stay usable after a holder panicked.

use std::sync;

/// Locks `mutex`; what it guards is kept consistent by short critical sections, so a panic
/// elsewhere does not spoil it.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
