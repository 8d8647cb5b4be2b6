//! A thread that runs an executor and is joined by its owner.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use futures_lite::future;

use crate::tasks::Tasks;
use crate::time::within;

/// An executor that tasks of one worker share.
pub type SharedExecutor = Arc<Executor<'static>>;

/// How long a stopping worker lets its cancelled tasks unwind.
///
/// A task that doesn't end within it is a fault, which is logged instead of hanging the process.
const UNWIND_LIMIT: Duration = Duration::from_secs(2);

/// A named thread with an executor of its own.
///
/// Control state has one and traffic has others, so that a burst of traffic can't delay a lease.
pub struct Worker {
    name: String,
    tasks: Tasks,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for Worker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Worker")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Worker {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub fn start(name: impl Into<String>) -> io::Result<Self> {
        let name = name.into();
        let executor: SharedExecutor = Arc::new(Executor::new());
        let tasks = Tasks::new(Arc::clone(&executor));
        let (stop, stopped) = async_channel::bounded(1);
        let thread = Builder::new().name(name.clone()).spawn({
            let tasks = tasks.clone();
            let name = name.clone();
            move || run(&name, &executor, &tasks, &stopped)
        })?;
        Ok(Self {
            name,
            tasks,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the tasks of this thread, with which more can be spawned.
    #[must_use]
    pub fn tasks(&self) -> &Tasks {
        &self.tasks
    }

    /// Cancels all tasks and returns when they and the thread have ended.
    pub fn stop(&mut self) {
        self.stop.close();
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            log::error!("runtime: thread {} panicked.", self.name);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run(name: &str, executor: &SharedExecutor, tasks: &Tasks, stopped: &Receiver<()>) {
    async_io::block_on(async {
        // The channel is never sent to; it ends when the owner closes it.
        let _closed = executor.run(stopped.recv()).await;
        executor.run(tasks.cancel()).await;
        let unwound = within(UNWIND_LIMIT, async {
            while !executor.is_empty() {
                future::or(
                    executor.tick(),
                    crate::time::sleep(Duration::from_millis(1)),
                )
                .await;
            }
        });
        if unwound.await.is_err() {
            log::warn!("runtime: thread {name} left tasks behind.");
        }
    });
}
