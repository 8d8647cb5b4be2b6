//! The links of one node to others.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use sesamecart_runtime::{ByteCount, Tasks};

use crate::channel::Channel;
use crate::feed::feed_client::FeedClient;
use crate::message::link_client::LinkClient;

/// The most links that are kept open.
///
/// A node talks to a few peers at a time; without a bound, random heartbeats would keep one
/// connection to every node that ever was.
const MAX_OPEN: usize = 64;

/// The largest reply of a feed, in bytes: a configuration of 1,600 routes and 700 endpoints take less
/// than 2 MB.
const MAX_FEED_BYTES: usize = 8 * 1024 * 1024;

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
        LinkClient::new(self.channel(peer))
    }

    /// Returns the typed client for the feed of the node at `peer`.
    #[must_use]
    pub fn feed_of(&self, peer: SocketAddr) -> FeedClient<Channel> {
        FeedClient::new(self.channel(peer)).max_decoding_message_size(MAX_FEED_BYTES)
    }

    fn channel(&self, peer: SocketAddr) -> Channel {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&peer) {
            return channel.clone();
        }
        if channels.len() >= MAX_OPEN {
            channels.shift_remove_index(0);
        }
        let channel = Channel::new(peer, self.tasks.clone(), self.count.clone());
        channels.insert(peer, channel.clone());
        channel
    }
}
