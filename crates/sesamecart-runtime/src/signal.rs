//! A signal that is given once and seen by all who wait for it.

use async_channel::{Receiver, Sender};

/// The side that gives the signal.
#[derive(Clone, Debug)]
pub struct Trigger(Sender<()>);

/// The side that waits for the signal.
#[derive(Clone, Debug)]
pub struct Signal(Receiver<()>);

impl Signal {
    /// Makes a signal that hasn't been given.
    #[must_use]
    pub fn new() -> (Trigger, Self) {
        let (tx, rx) = async_channel::bounded(1);
        (Trigger(tx), Self(rx))
    }

    /// Returns when the signal has been given.
    pub async fn wait(&self) {
        // Nothing is ever sent: the receive ends when the channel is closed.
        let _closed = self.0.recv().await;
    }

    /// Returns whether the signal has been given.
    #[must_use]
    pub fn is_given(&self) -> bool {
        self.0.is_closed()
    }
}

impl Trigger {
    /// Gives the signal.
    pub fn give(&self) {
        self.0.close();
    }
}
