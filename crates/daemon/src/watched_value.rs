//! A value that tasks wait for. Other than with [`tokio::sync::watch`], the waiting tasks are woken
//! in the order in which they began to wait, so that simulations can be repeated.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// A value that tasks wait for.
#[derive(Debug, Default)]
pub struct WatchedValue<T> {
    value: Mutex<T>,
    changed: Notify,
}

impl<T: Copy> WatchedValue<T> {
    /// Changes the value and wakes the waiting tasks.
    pub fn modify(&self, change: impl FnOnce(&mut T)) {
        change(&mut self.lock());
        self.changed.notify_waiters();
    }

    /// Replaces the value and wakes the waiting tasks.
    pub fn set(&self, value: T) {
        self.modify(|current| *current = value);
    }

    /// Waits until the value is set or modified after this call.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the value meets a condition, and returns it.
    pub async fn wait_for(&self, mut condition: impl FnMut(&T) -> bool) -> T {
        loop {
            // Created before the value is read, so that no change in between is missed.
            let changed = self.changed.notified();
            let value = *self.lock();
            if condition(&value) {
                return value;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "../tests/unit/watched_value.rs"]
mod tests;
