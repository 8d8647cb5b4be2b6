//! Connections of one node that fail on demand, as if the network cut the node off from some of its peers.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::Async;
use futures_lite::future::Boxed;
use futures_lite::{AsyncRead, AsyncWrite};
use sesamecart_edges::{Connection, Dialer};
use sesamecart_runtime::{connect, sleep};

/// How a link fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LinkFault {
    /// It works.
    #[default]
    None,
    /// Open connections transfer nothing, and new ones hang.
    Silent,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections work, and new ones are refused.
    Refused,
    /// Each connection ends after this number of bytes was read from it.
    EndsAfter(u64),
}

#[derive(Debug, Default)]
struct State {
    fault: LinkFault,
    peers: HashSet<SocketAddr>,
    /// A peer whose link fails in another way.
    other: Option<(SocketAddr, LinkFault)>,
    /// The number of bytes that were read from each peer.
    received: HashMap<SocketAddr, u64>,
    /// The tasks to wake when the fault changes.
    waiting: Vec<Waker>,
}

impl State {
    fn fault_of(&self, peer: SocketAddr) -> LinkFault {
        match self.other {
            Some((other, fault)) if other == peer => fault,
            _ if self.peers.contains(&peer) => self.fault,
            _ => LinkFault::None,
        }
    }
}

/// The links of one node, whose faults a test sets.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyLinks(Arc<Mutex<State>>);

impl FaultyLinks {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the links to `peers` fail, and no others.
    pub(crate) fn fail(&self, fault: LinkFault, peers: impl IntoIterator<Item = SocketAddr>) {
        let waiting = {
            let mut state = self.state();
            state.fault = fault;
            state.peers = peers.into_iter().collect();
            std::mem::take(&mut state.waiting)
        };
        for waker in waiting {
            waker.wake();
        }
    }

    /// Lets the links to `reset` be reset, and the one to another peer fail in another way.
    pub(crate) fn fail_both(&self, reset: &[SocketAddr], other: (SocketAddr, LinkFault)) {
        self.state().other = Some(other);
        self.fail(LinkFault::Reset, reset.iter().copied());
    }

    /// Lets all links work again.
    pub(crate) fn heal(&self) {
        self.fail(LinkFault::None, []);
    }

    /// Returns the number of bytes that the node has read from `peer`.
    pub(crate) fn received_from(&self, peer: SocketAddr) -> u64 {
        self.state().received.get(&peer).copied().unwrap_or(0)
    }

    fn count_received(&self, peer: SocketAddr, bytes: usize) {
        *self.state().received.entry(peer).or_default() += bytes as u64;
    }

    fn fault_of(&self, peer: SocketAddr) -> LinkFault {
        self.state().fault_of(peer)
    }

    /// Checks the link to `peer`, and wakes the task when the fault changes.
    fn poll_link(&self, peer: SocketAddr, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state();
        state.waiting.retain(|waker| !waker.will_wake(cx.waker()));
        state.waiting.push(cx.waker().clone());
        match state.fault_of(peer) {
            LinkFault::Silent => Poll::Pending,
            LinkFault::Reset => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            LinkFault::None | LinkFault::Refused | LinkFault::EndsAfter(_) => Poll::Ready(Ok(())),
        }
    }
}

impl Dialer for FaultyLinks {
    fn dial(&self, peer: SocketAddr, limit: Duration) -> Boxed<io::Result<Box<dyn Connection>>> {
        let links = self.clone();
        Box::pin(async move {
            match links.fault_of(peer) {
                LinkFault::None | LinkFault::EndsAfter(_) => {}
                LinkFault::Silent => {
                    sleep(limit).await;
                    return Err(io::ErrorKind::TimedOut.into());
                }
                LinkFault::Reset | LinkFault::Refused => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
            }
            let stream = connect(peer, limit).await?;
            let connection = FaultyConnection {
                links,
                peer,
                stream,
                received: 0,
            };
            Ok(Box::new(connection) as Box<dyn Connection>)
        })
    }
}

/// A connection over a link that may fail.
struct FaultyConnection {
    links: FaultyLinks,
    peer: SocketAddr,
    stream: Async<TcpStream>,
    /// The number of bytes that were read.
    received: u64,
}

impl AsyncRead for FaultyConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.links.poll_link(self.peer, cx) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        }
        let len = match self.links.fault_of(self.peer) {
            LinkFault::EndsAfter(limit) => limit.saturating_sub(self.received),
            _ => u64::MAX,
        };
        let len = usize::try_from(len).unwrap_or(usize::MAX).min(buf.len());
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(bytes)) = read {
            self.received += bytes as u64;
            self.links.count_received(self.peer, bytes);
        }
        read
    }
}

impl AsyncWrite for FaultyConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.links.poll_link(self.peer, cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_write(cx, buf),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            // The kernel accepts data for a peer that can't be reached.
            Poll::Pending => Poll::Ready(Ok(buf.len())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
