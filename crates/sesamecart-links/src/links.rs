//! The pool of client channels from this node to its peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use sesamecart_runtime::{ByteCounters, Tasks};

use crate::channel::Channel;
use crate::feed::feed_client::FeedClient;
use crate::message::link_client::LinkClient;

/// The maximum number of channels that are kept; the oldest one is evicted.
///
/// A node calls few peers at a time. Without a limit, heartbeats to random peers would keep a connection
/// to every node that ever existed.
const MAX_CHANNELS: usize = 64;

/// The maximum size of a feed's reply. A configuration of 1,600 routes and 700 endpoints takes less than
/// 2 MB.
const MAX_FEED_BYTES: usize = 8 * 1024 * 1024;

/// A pool of channels to peers, kept open between calls.
#[derive(Clone, Debug)]
pub struct Links {
    tasks: Tasks,
    byte_count: ByteCounters,
    channels: Arc<Mutex<IndexMap<SocketAddr, Channel>>>,
}

impl Links {
    /// Creates a pool whose connections run on `tasks` and add their traffic to `byte_count`.
    #[must_use]
    pub fn new(tasks: Tasks, byte_count: ByteCounters) -> Self {
        Self {
            tasks,
            byte_count,
            channels: Arc::default(),
        }
    }

    /// Returns a client for the link service of the node at `peer`.
    #[must_use]
    pub fn to(&self, peer: SocketAddr) -> LinkClient<Channel> {
        LinkClient::new(self.channel(peer))
    }

    /// Returns a client for the feed service of the node at `peer`.
    #[must_use]
    pub fn feed_client(&self, peer: SocketAddr) -> FeedClient<Channel> {
        FeedClient::new(self.channel(peer)).max_decoding_message_size(MAX_FEED_BYTES)
    }

    fn channel(&self, peer: SocketAddr) -> Channel {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&peer) {
            return channel.clone();
        }
        if channels.len() >= MAX_CHANNELS {
            channels.shift_remove_index(0);
        }
        let channel = Channel::new(peer, self.tasks.clone(), self.byte_count.clone());
        channels.insert(peer, channel.clone());
        channel
    }
}
