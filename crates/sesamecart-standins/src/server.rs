//! The listener that every stand-in runs on a thread of its own.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use derive_more::{Display, Error};
use futures_lite::{AsyncRead, AsyncWrite, future};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body::Body;

/// The connection is to be closed without a word more.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stand-in cuts the connection")]
pub(crate) struct Cut;

/// What answers a stand-in's requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; `Err` closes the connection without an answer.
    fn answer(
        &self,
        req: Request<Incoming>,
        connection: Connection,
    ) -> impl Future<Output = Result<Response<Body>, Cut>> + Send;
}

/// No limit on the bytes that a connection still writes.
const UNLIMITED: i64 = -1;

/// What a handler may know of and do to the connection that its request came on.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    budget: Arc<AtomicI64>,
    requests: Arc<AtomicU32>,
}

impl Connection {
    fn new() -> Self {
        Self {
            budget: Arc::new(AtomicI64::new(UNLIMITED)),
            requests: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Lets only `bytes` more be written, after which the connection is cut.
    pub(crate) fn cut_after(&self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.budget.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of requests that came on this connection, this one included.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }
}

enum Command {
    /// Close every connection and the listener, as a process that dies.
    Crash,
    /// Close every connection, but go on listening.
    Disconnect,
    /// Listen again at the same address.
    Listen(Sender<()>),
    Stop,
}

/// A listening stand-in; dropping it ends its thread and all its connections.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    pub(crate) fn start(name: &str, handler: Arc<impl Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (commands, receiver) = async_channel::unbounded();
        let thread = std::thread::Builder::new()
            .name(format!("standin-{name}"))
            .spawn(move || {
                let ex = Executor::new();
                let serving = serve(&ex, address, listener, handler, receiver);
                if let Err(error) = async_io::block_on(ex.run(serving)) {
                    log::error!("standins: {address}: {error}");
                }
            })?;
        Ok(Self {
            address,
            commands,
            thread: Some(thread),
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones.
    pub(crate) fn crash(&self) {
        self.send(Command::Crash);
    }

    /// Closes every connection, but takes new ones.
    pub(crate) fn disconnect(&self) {
        self.send(Command::Disconnect);
    }

    /// Takes connections again after a crash; returns once it does.
    pub(crate) fn listen(&self) {
        let (tx, rx) = async_channel::bounded(1);
        self.send(Command::Listen(tx));
        // The thread has ended if nobody answers.
        let _ = rx.recv_blocking();
    }

    fn send(&self, command: Command) {
        // The thread has ended if nobody receives, and then there is nothing left to command.
        drop(self.commands.try_send(command));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

enum Event {
    Command(Command),
    Accepted(io::Result<(Async<TcpStream>, SocketAddr)>),
}

async fn serve(
    ex: &Executor<'static>,
    address: SocketAddr,
    listener: TcpListener,
    handler: Arc<impl Handler>,
    commands: Receiver<Command>,
) -> io::Result<()> {
    let mut listener = Some(Async::new(listener)?);
    let (mut alive, mut closed) = async_channel::bounded::<Infallible>(1);
    loop {
        match next_event(listener.as_ref(), &commands).await {
            Event::Accepted(Ok((stream, _))) => {
                let task = connection(stream, Arc::clone(&handler), closed.clone());
                ex.spawn(task).detach();
            }
            // Out of file descriptors, or the peer left at once: wait rather than spin.
            Event::Accepted(Err(_)) => drop(Timer::after(Duration::from_millis(5)).await),
            Event::Command(Command::Stop) => return Ok(()),
            Event::Command(Command::Listen(done)) => {
                if listener.is_none() {
                    listener = Some(bind_again(address).await?);
                }
                let _ = done.try_send(());
            }
            Event::Command(command) => {
                alive.close();
                (alive, closed) = async_channel::bounded(1);
                if matches!(command, Command::Crash) {
                    listener = None;
                }
            }
        }
    }
}

async fn next_event(listener: Option<&Async<TcpListener>>, commands: &Receiver<Command>) -> Event {
    let command = async { Event::Command(commands.recv().await.unwrap_or(Command::Stop)) };
    let accepted = async {
        match listener {
            Some(listener) => Event::Accepted(listener.accept().await),
            None => future::pending().await,
        }
    };
    future::or(command, accepted).await
}

/// Binds the address that was let go at a crash, which another socket may hold for a moment.
async fn bind_again(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    const TRIES: u32 = 200;
    for _ in 0..TRIES {
        if let Ok(listener) = Async::<TcpListener>::bind(address) {
            return Ok(listener);
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    Async::<TcpListener>::bind(address)
}

async fn connection(
    stream: Async<TcpStream>,
    handler: Arc<impl Handler>,
    closed: Receiver<Infallible>,
) {
    drop(stream.get_ref().set_nodelay(true));
    let connection = Connection::new();
    let io = FuturesIo::new(CutStream {
        stream,
        budget: Arc::clone(&connection.budget),
    });
    let service = service_fn(|req| {
        connection.requests.fetch_add(1, Ordering::Relaxed);
        handler.answer(req, connection.clone())
    });
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(io, service);
    let killed = async {
        let _ = closed.recv().await;
    };
    // An error here is a caller that left or a cut that a fault asked for.
    future::or(async { drop(serving.await) }, killed).await;
}

/// A stream that is cut after a number of written bytes, if a fault asked for it.
struct CutStream {
    stream: Async<TcpStream>,
    budget: Arc<AtomicI64>,
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let budget = self.budget.load(Ordering::Relaxed);
        let Ok(left) = usize::try_from(budget) else {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        };
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let part = &buf[..left.min(buf.len())];
        let written = futures_lite::ready!(Pin::new(&mut self.stream).poll_write(cx, part))?;
        let used = i64::try_from(written).unwrap_or(i64::MAX);
        self.budget.fetch_sub(used, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.budget.load(Ordering::Relaxed) == UNLIMITED {
            return Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        }
        let first = bufs.iter().find(|buf| !buf.is_empty());
        let buf: &[u8] = first.map_or(&[], |buf| buf);
        self.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
