//! The links of one node to others.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use sesamecart_runtime::{ByteCount, Tasks};

use crate::channel::Channel;
use crate::message::link_client::LinkClient;

/// The most links that are kept open.
///
/// A node talks to a few peers at a time; without a bound, random heartbeats would keep one
/// connection to every node that ever was.
const MAX_OPEN: usize = 64;

/// The links of one node, kept open between calls.
#[derive(Clone, Debug)]
pub struct Links {
    tasks: Tasks,
    count: ByteCount,
    channels: Arc<Mutex<IndexMap<SocketAddr, Channel>>>,
}

impl Links {
    /// Makes links whose connections run on `tasks`.
    #[must_use]
    pub fn new(tasks: Tasks, count: ByteCount) -> Self {
        Self {
            tasks,
            count,
            channels: Arc::default(),
        }
    }

    /// Returns the typed client for the node at `peer`.
    #[must_use]
    pub fn to(&self, peer: SocketAddr) -> LinkClient<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&peer) {
            return LinkClient::new(channel.clone());
        }
        if channels.len() >= MAX_OPEN {
            channels.shift_remove_index(0);
        }
        let channel = Channel::new(peer, self.tasks.clone(), self.count.clone());
        channels.insert(peer, channel.clone());
        LinkClient::new(channel)
    }
}
