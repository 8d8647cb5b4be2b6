//! Tasks that their owner can cancel and join.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use async_executor::Task;

use crate::worker::SharedExecutor;

/// How many handles are kept before finished ones are looked for.
const FIRST_SWEEP: usize = 64;

/// A set of tasks on one executor.
///
/// A detached task would outlive its parent and keep sockets open after a stop, so every handle is
/// kept until its task ends.
#[derive(Clone)]
pub struct Tasks {
    executor: SharedExecutor,
    handles: Arc<Mutex<Handles>>,
}

struct Handles {
    running: Vec<Task<()>>,
    sweep_at: usize,
    closed: bool,
}

impl fmt::Debug for Tasks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tasks").finish_non_exhaustive()
    }
}

impl Tasks {
    /// Makes an empty set on an executor.
    #[must_use]
    pub fn new(executor: SharedExecutor) -> Self {
        let handles = Handles {
            running: Vec::new(),
            sweep_at: FIRST_SWEEP,
            closed: false,
        };
        Self {
            executor,
            handles: Arc::new(Mutex::new(handles)),
        }
    }

    /// Returns the executor, for libraries that spawn by themselves.
    #[must_use]
    pub fn executor(&self) -> &SharedExecutor {
        &self.executor
    }

    /// Spawns a task; it is dropped at once when the set was cancelled before.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        if handles.closed {
            return;
        }
        if handles.running.len() >= handles.sweep_at {
            handles.running.retain(|handle| !handle.is_finished());
            handles.sweep_at = FIRST_SWEEP.max(2 * handles.running.len());
        }
        handles.running.push(self.executor.spawn(task));
    }

    /// Cancels all tasks and returns when each has ended.
    pub async fn cancel(&self) {
        let running = {
            let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
            handles.closed = true;
            std::mem::take(&mut handles.running)
        };
        for task in running {
            task.cancel().await;
        }
    }
}
