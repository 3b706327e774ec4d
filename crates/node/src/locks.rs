//! Mutex locking that ignores poisoning.

use std::sync;

/// Locks `mutex`, even if a thread panicked while holding it: critical sections are short and leave
/// the data consistent.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
