//! Tests of tasks that fail.

use std::time::Duration;

use crate::Worker;

/// How long the test waits for a task on a thread that may have ended.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against one request that ends the thread of all others, and then that of the next node.
#[test]
fn a_task_that_panics_ends_alone() {
    let worker = Worker::start("test").expect("a thread starts");
    worker.tasks().spawn(async { panic!("a bug in one task") });
    let (tx, rx) = std::sync::mpsc::channel();
    worker.tasks().spawn(async move {
        tx.send(()).expect("the test is waiting");
    });
    assert_eq!(rx.recv_timeout(WAIT_TIMEOUT), Ok(()));
}
