//! A thread that runs an executor and that its owner joins.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use futures_lite::future;

use crate::tasks::Tasks;
use crate::time::with_timeout;

/// The executor that the tasks of a worker share.
pub type SharedExecutor = Arc<Executor<'static>>;

/// The time that cancelled tasks have to end when a worker stops.
///
/// A task that takes longer is a bug. It is logged, so that it doesn't block the shutdown of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A named thread with its own executor.
///
/// The control plane and the traffic run on separate workers, so that a burst of traffic can't delay the
/// renewal of a lease.
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
    /// Returns the error of the operating system if the thread can't be started.
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

    /// Returns the task set of this thread, which can spawn further tasks.
    #[must_use]
    pub fn tasks(&self) -> &Tasks {
        &self.tasks
    }

    /// Cancels all tasks and waits until they and the thread have ended.
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
        // Nothing is ever sent; `recv` returns when the owner closes the channel.
        let _closed = executor.run(stopped.recv()).await;
        executor.run(tasks.cancel()).await;
        let finished = with_timeout(SHUTDOWN_TIMEOUT, async {
            while !executor.is_empty() {
                future::or(
                    executor.tick(),
                    crate::time::sleep(Duration::from_millis(1)),
                )
                .await;
            }
        });
        if finished.await.is_err() {
            log::warn!("runtime: thread {name} stopped with unfinished tasks.");
        }
    });
}
