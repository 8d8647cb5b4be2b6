//! A small deployment: the store, endpoints of a plain service, and nodes as processes of their own.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http::{Message, read_head, respond};
use super::store::Store;

/// How long endpoints keep idle connections open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The header that says so.
pub const KEEP_ALIVE: (&str, &str) = ("Keep-Alive", "timeout=10");

/// The lines of a node's log that are recorded when it doesn't start.
const LOGGED_LINES: usize = 10;

/// How long a deployment may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The record of what was sent, run and answered.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A line that can't be written changes nothing of the result.
        let _written = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }
}

/// What an endpoint does with a request whose head it has read.
pub type Handler = Arc<
    dyn Fn(&Message, &mut BufReader<TcpStream>, &mut TcpStream) -> std::io::Result<()>
        + Send
        + Sync,
>;

/// A running endpoint of a plain service.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
}

impl Endpoint {
    /// Starts an endpoint that answers requests for itself with `handler`. It isn't registered yet.
    pub fn start(id: &str, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let endpoint = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("it has an address"),
        };
        let id = id.to_owned();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, handler) = (id.clone(), Arc::clone(&handler));
                std::thread::spawn(move || serve(&id, stream, &handler));
            }
        });
        endpoint
    }

    /// Writes the endpoint's entry. Heartbeats don't change an entry, so none follow.
    pub fn register(&self, store: &Store, service: &str, zone: &str, slots: u32) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("the clock is set").as_millis();
        let address = self.address;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#
        );
        store.put_server(&self.id, &entry);
    }
}

fn serve(id: &str, stream: TcpStream, handler: &Handler) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        reader.get_ref().set_read_timeout(Some(IDLE_TIMEOUT)).ok()?;
        // An idle connection is closed.
        let req = read_head(&mut reader).ok()??;
        reader.get_ref().set_read_timeout(None).ok()?;
        if req.target() == "/health" {
            respond(&mut writer, "200 OK", &[("Instance-Id", id)], b"").ok()?;
            continue;
        }
        if req
            .header("Expect-Instance")
            .is_some_and(|other| other != id)
        {
            let headers = [("Instance-Id", id), ("Connection", "close")];
            return respond(&mut writer, "421 Misdirected Request", &headers, b"").ok();
        }
        handler(&req, &mut reader, &mut writer).ok()?;
    }
}

/// The settings that a test chooses for a node.
#[derive(Clone, Debug)]
pub struct NodeSetup {
    pub name: String,
    pub zone: String,
    /// The loopback address of its machine.
    pub ip: Ipv4Addr,
    pub memory_mb: u64,
    pub max_files: u64,
    /// The address at which this node reaches the store.
    pub store: SocketAddr,
    /// The share of a core; the node with the largest one in its zone reads the store for the others.
    pub processor_share: f64,
}

/// A node process.
pub struct Node {
    pub setup: NodeSetup,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Child,
}

impl Node {
    /// Writes a node's settings and starts its process with the command of the deploy file.
    pub fn start(setup: NodeSetup, folder: &Path) -> Self {
        let [callers, readiness, metrics, links] = free_addresses(setup.ip);
        let settings = folder.join(format!("{}.json", setup.name));
        let text = settings_text(&setup, [callers, readiness, metrics, links]);
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{}.log", setup.name));
        let child = spawn(&settings, &log);
        Self {
            setup,
            callers,
            readiness,
            settings,
            log,
            child,
        }
    }

    /// Starts the process again after it has ended, as the platform does.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings are there");
        let text = text.replace("\"first_start\": true", "\"first_start\": false");
        std::fs::write(&self.settings, text).expect("the settings can be written");
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        ask(
            self.readiness,
            "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n",
        ) == Some(200)
    }

    pub fn wait_until_ready(&self, record: &Record) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line(format!("{} didn't become ready", self.setup.name));
        self.record_log(record);
        false
    }

    /// Writes the last lines of the node's log to the record.
    pub fn record_log(&self, record: &Record) {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(LOGGED_LINES)..] {
            record.line(format!("log of {}: {line}", self.setup.name));
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.is_ok(), "the signal can be sent");
    }

    /// Returns the memory that the process takes now, in bytes, or nothing if it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("the log can be written");
    let errors = log.try_clone().expect("the log can be written");
    let mut command = Command::new("target/release/sesamecart-node");
    command
        .args(["--platform", "--log-format", "json"])
        .env("SESAMECART_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    // SAFETY: the call only sets a property of the new process.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn().expect("the node's program is built")
}

/// Has the system end this process when the thread that started it ends, also if that is killed.
fn end_with_parent() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes two numbers.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// The ports of nodes. The system gives none of them to outgoing connections, which could take a port between its
/// choice and its use.
const NODE_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Finds free ports, each of them once in this process. The port after each one stays free, as nodes listen also on the
/// one after that of their metrics.
fn free_addresses<const N: usize>(ip: Ipv4Addr) -> [SocketAddr; N] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(NODE_PORTS.end - NODE_PORTS.start);
    let first = std::process::id().wrapping_mul(97) % count;
    [(); N].map(|()| {
        let mut addresses = std::iter::repeat_with(|| {
            let step = first + NEXT.fetch_add(2, Ordering::Relaxed);
            SocketAddr::from((ip, NODE_PORTS.start + (step % count) as u16))
        });
        let free = addresses.find(|address| TcpListener::bind(address).is_ok());
        free.expect("a port is free")
    })
}

fn settings_text(setup: &NodeSetup, addresses: [SocketAddr; 4]) -> String {
    let NodeSetup {
        name,
        zone,
        memory_mb,
        max_files,
        store,
        processor_share,
        ..
    } = setup;
    let [callers, readiness, metrics, links] = addresses;
    format!(
        r#"{{
  "node": "{name}", "failure_domain": "{zone}", "region": "muscat",
  "callers": "{callers}", "readiness": "{readiness}", "metrics": "{metrics}", "links": "{links}",
  "processor_share": {processor_share}, "memory_mb": {memory_mb}, "max_files": {max_files},
  "store": "{store}", "first_start": true,
  "bounds": {{
    "key_revocation_ms": 5000, "configuration_ms": 2000, "group_stall_ms": 5000, "leave_s": 8,
    "retry_ratio": 0.2, "retry_burst": 132, "heartbeat_ms": 1200, "lease_least_ms": 1000,
    "contact_ms": 3000, "drain_ms": 2000
  }}
}}
"#
    )
}

/// Sends a request without a body on a new connection. Returns the status of the answer.
fn ask(address: SocketAddr, request: &str) -> Option<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let answer = read_head(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
