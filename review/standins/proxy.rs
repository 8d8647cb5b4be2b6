//! A proxy in front of the store, which can reset connections.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often held-up bytes look for the end of a cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One connection through the proxy.
struct Link {
    client: TcpStream,
    server: TcpStream,
    /// The start of the last call on it.
    last_call: Arc<Mutex<String>>,
}

/// A running proxy. Clones share their connections.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Link>>>,
    /// Whether nothing passes, in either direction and on new connections.
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it has an address"),
            links: Arc::default(),
            is_cut: Arc::default(),
        };
        let (links, is_cut) = (Arc::clone(&proxy.links), Arc::clone(&proxy.is_cut));
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // Without its server, the client's connection is closed.
                if let Ok(server) = TcpStream::connect(server) {
                    links.lock().unwrap().push(connect(client, server, &is_cut));
                }
            }
        });
        proxy
    }

    /// Begins or ends a cut, during which nothing passes and nobody is told.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Release);
    }

    /// Resets the connections whose last call contains `text`. Returns their number.
    pub fn reset(&self, text: &str) -> usize {
        let mut links = self.links.lock().unwrap();
        let before = links.len();
        links.retain(|link| {
            let is_hit = link.last_call.lock().unwrap().contains(text);
            if is_hit {
                reset_on_close(&link.client);
                // Ends the threads of the connection; the last of them closes it.
                let _closed = link.server.shutdown(Shutdown::Both);
                let _closed = link.client.shutdown(Shutdown::Read);
            }
            !is_hit
        });
        before - links.len()
    }
}

/// Passes bytes on in both directions until one side ends.
fn connect(client: TcpStream, server: TcpStream, is_cut: &Arc<AtomicBool>) -> Link {
    let last_call = Arc::new(Mutex::new(String::new()));
    let link = Link {
        client: client.try_clone().expect("the socket can be shared"),
        server: server.try_clone().expect("the socket can be shared"),
        last_call: Arc::clone(&last_call),
    };
    let [client_out, server_out] =
        [&client, &server].map(|stream| stream.try_clone().expect("the socket can be shared"));
    let [from_client, from_server] = [is_cut, is_cut].map(Arc::clone);
    std::thread::spawn(move || pass(client, server_out, &from_client, Some(last_call)));
    std::thread::spawn(move || pass(server, client_out, &from_server, None));
    link
}

fn pass(
    from: TcpStream,
    mut to: TcpStream,
    is_cut: &AtomicBool,
    last_call: Option<Arc<Mutex<String>>>,
) -> Option<()> {
    let mut from = BufReader::new(from);
    let mut buf = [0; 16 * 1024];
    loop {
        let len = from.read(&mut buf).ok()?;
        while is_cut.load(Ordering::Acquire) {
            std::thread::sleep(CUT_CHECK_INTERVAL);
        }
        if len == 0 {
            return to.shutdown(Shutdown::Write).ok();
        }
        if let Some(last_call) = &last_call {
            let text = String::from_utf8_lossy(&buf[..len.min(200)]);
            *last_call.lock().unwrap() = text.into_owned();
        }
        to.write_all(&buf[..len]).ok()?;
    }
}

/// Has the system reset a connection when its socket is closed.
fn reset_on_close(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        is_on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    let len = size_of::<Linger>() as u32;
    // SAFETY: the socket is open, and the value has the length that is passed.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, len) };
    assert_eq!(result, 0, "the option can be set");
}
