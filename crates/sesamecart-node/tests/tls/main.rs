//! A node whose callers connect by TLS.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rcgen::{CertificateParams, KeyPair, date_time_ymd};
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, StreamOwned};
use serde_json::{Value, json};
use sesamecart_config::{Settings, TlsFiles};
use sesamecart_edges::tls::{UnixTime, client_config};
use sesamecart_node::Node;

/// How long anything may take before a test fails.
const LIMIT: Duration = Duration::from_secs(30);

/// A folder with a certificate that signs itself, removed at the test's end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, last_year: i32) -> Self {
        let name = format!("sesamecart-node-tls-{}-{name}", std::process::id());
        let folder = Self(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).expect("make a folder");
        folder.sign(last_year);
        folder
    }

    /// Writes a new key and certificate.
    fn sign(&self, last_year: i32) {
        let key = KeyPair::generate().expect("make a key");
        let names = vec!["127.0.0.1".to_owned()];
        let mut params = CertificateParams::new(names).expect("name the certificate");
        params.not_before = date_time_ymd(2020, 1, 1);
        params.not_after = date_time_ymd(last_year, 1, 1);
        let certificate = params.self_signed(&key).expect("sign");
        self.write("key.pem", &key.serialize_pem());
        self.write("certificate.pem", &certificate.pem());
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("write a file");
    }

    fn path(&self, name: &str) -> PathBuf {
        Path::new(&self.0).join(name)
    }

    fn files(&self) -> TlsFiles {
        TlsFiles {
            certificate: self.path("certificate.pem"),
            key: self.path("key.pem"),
            authorities: Some(self.path("certificate.pem")),
            client_certificates: false,
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("remove the folder");
    }
}

fn settings(tls: &Value) -> Settings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = json!({
        "node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
        "callers": loopback, "administration": loopback, "links": loopback,
        "log": { "address": nobody }, "tls": tls,
    });
    serde_json::from_value(settings).expect("settings")
}

/// Asks the node whether it is ready and returns its answer.
fn ask(node: &Node, trusted: &TlsFiles) -> std::io::Result<String> {
    let config = client_config(trusted, &[], UnixTime::now()).map_err(std::io::Error::other)?;
    let name = ServerName::try_from("127.0.0.1").expect("a name");
    let connection =
        ClientConnection::new(Arc::new(config), name).map_err(std::io::Error::other)?;
    let socket = TcpStream::connect(node.callers())?;
    socket.set_read_timeout(Some(LIMIT))?;
    let mut stream = StreamOwned::new(connection, socket);
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    // The node closes without a last TLS message, which rustls calls an error.
    let _end = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[test]
fn callers_are_answered_by_tls_and_new_files_are_taken_up() {
    let folder = Folder::new("reload", 2100);
    let node = Node::start(settings(&json!({ "callers": { "tls": folder.files() } })));
    let node = node.expect("start the node");
    let answer = ask(&node, &folder.files()).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");

    folder.sign(2100);
    let begun = Instant::now();
    while !ask(&node, &folder.files()).is_ok_and(|answer| answer.starts_with("HTTP/1.1 ")) {
        assert!(begun.elapsed() < LIMIT, "the new certificate isn't in use");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Somebody speaks plain text to a side that takes TLS. It must get no answer, or keys would travel
/// readable without anyone noticing.
#[test]
fn plain_text_gets_no_answer_where_settings_say_tls() {
    let folder = Folder::new("plain", 2100);
    let node = Node::start(settings(&json!({ "callers": { "tls": folder.files() } })));
    let node = node.expect("start the node");
    let mut stream = TcpStream::connect(node.callers()).expect("connect");
    stream.set_read_timeout(Some(LIMIT)).expect("set a limit");
    stream
        .write_all(b"GET /v1/models HTTP/1.1\r\nhost: node\r\n\r\n")
        .expect("write");
    let mut answer = Vec::new();
    let _end = stream.read_to_end(&mut answer);
    assert!(!String::from_utf8_lossy(&answer).contains("HTTP/1.1"));
}

/// Each case names settings that a node must not start with, and what its error must say.
macro_rules! not_started {
    ($($name:ident: $tls:expr => $reason:literal;)*) => {$(
        #[test]
        fn $name() {
            let folder = Folder::new(stringify!($name), 2026);
            let tls: fn(&Folder) -> Value = $tls;
            let error = Node::start(settings(&tls(&folder))).expect_err("it must not start");
            let error = error.to_string();
            assert!(error.contains($reason), "{error}");
        }
    )*};
}

not_started! {
    expired_certificate: |folder| json!({ "callers": { "tls": folder.files() } })
        => "certificate.pem: certificate 1: expired at Jan  1";
    expired_for_operators: |folder| json!({ "administration": { "tls": folder.files() } })
        => "certificate.pem: certificate 1: expired at Jan  1";
    links_are_not_encrypted_yet: |folder| json!({ "links": { "tls": folder.files() } })
        => "tls.links: links can't be encrypted yet";
}
