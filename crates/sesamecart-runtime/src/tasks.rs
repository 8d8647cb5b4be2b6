//! A set of tasks that its owner can cancel and join.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use async_executor::Task;

use crate::worker::SharedExecutor;

/// The minimum number of handles at which finished ones are removed.
const MIN_CLEANUP_THRESHOLD: usize = 64;

/// A set of tasks on one executor.
///
/// The set keeps the handle of each task until the task ends, because a detached task would outlive its
/// parent and keep sockets open after a shutdown.
#[derive(Clone)]
pub struct Tasks {
    executor: SharedExecutor,
    handles: Arc<Mutex<Handles>>,
}

struct Handles {
    running: Vec<Task<()>>,
    cleanup_threshold: usize,
    is_cancelled: bool,
}

impl fmt::Debug for Tasks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tasks").finish_non_exhaustive()
    }
}

impl Tasks {
    /// Creates an empty set on an executor.
    #[must_use]
    pub fn new(executor: SharedExecutor) -> Self {
        let handles = Handles {
            running: Vec::new(),
            cleanup_threshold: MIN_CLEANUP_THRESHOLD,
            is_cancelled: false,
        };
        Self {
            executor,
            handles: Arc::new(Mutex::new(handles)),
        }
    }

    /// Returns the executor, for libraries that spawn tasks themselves.
    #[must_use]
    pub fn executor(&self) -> &SharedExecutor {
        &self.executor
    }

    /// Spawns a task. If the set has already been cancelled, the task is dropped without running.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        if handles.is_cancelled {
            return;
        }
        if handles.running.len() >= handles.cleanup_threshold {
            handles.running.retain(|handle| !handle.is_finished());
            handles.cleanup_threshold = MIN_CLEANUP_THRESHOLD.max(2 * handles.running.len());
        }
        handles.running.push(self.executor.spawn(task));
    }

    /// Cancels all tasks and waits until they have ended.
    pub async fn cancel(&self) {
        let running = {
            let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
            handles.is_cancelled = true;
            std::mem::take(&mut handles.running)
        };
        for task in running {
            task.cancel().await;
        }
    }
}

#[cfg(test)]
mod tests;
