//! A one-shot signal that any number of tasks can wait for.

use async_channel::{Receiver, Sender};

/// The sending side of a signal.
#[derive(Clone, Debug)]
pub struct Trigger(Sender<()>);

/// The receiving side of a signal.
#[derive(Clone, Debug)]
pub struct Signal(Receiver<()>);

impl Signal {
    /// Creates a signal that isn't set.
    #[must_use]
    pub fn new() -> (Trigger, Self) {
        let (tx, rx) = async_channel::bounded(1);
        (Trigger(tx), Self(rx))
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        // Nothing is ever sent; `recv` returns when the channel is closed.
        let _closed = self.0.recv().await;
    }

    /// Returns whether the signal is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.is_closed()
    }
}

impl Trigger {
    /// Sets the signal and wakes all waiting tasks.
    pub fn set(&self) {
        self.0.close();
    }
}
