use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime};

use async_io::Async;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use futures_rustls::TlsConnector;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, date_time_ymd};
use rustls_pki_types::{ServerName, UnixTime};
use sesamecart_config::TlsFiles;

use super::{Reload, TlsServer, client_config, server_config};

/// 1 March 2027, when the certificates in `testdata` are already valid.
const NOW: UnixTime = UnixTime::since_unix_epoch(Duration::from_secs(1_803_859_200));

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sesamecart-tls-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

/// A certificate authority that signs certificates for the loopback address.
struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.not_before = date_time_ymd(2026, 1, 1);
        params.not_after = date_time_ymd(2100, 1, 1);
        let pem = params.self_signed(&key).unwrap().pem();
        let issuer = Issuer::new(params, key);
        Self { pem, issuer }
    }

    fn sign(&self, dir: &TempDir, years: [i32; 2]) -> TlsFiles {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.not_before = date_time_ymd(years[0], 1, 1);
        params.not_after = date_time_ymd(years[1], 1, 1);
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsFiles {
            certificate: dir.write("certificate.pem", certificate.pem()),
            key: dir.write("key.pem", key.serialize_pem()),
            authorities: Some(dir.write("authorities.pem", &self.pem)),
            client_certificates: false,
        }
    }
}

fn test_data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/tls/testdata")
        .join(name)
}

/// Each case modifies a valid set of files. The error must contain the file and the reason.
macro_rules! rejected_files {
    ($($name:ident: $change:expr => $file:literal, $reason:literal;)*) => {$(
        #[test]
        fn $name() {
            let dir = TempDir::new();
            let mut files = Authority::new().sign(&dir, [2026, 2030]);
            let change: fn(&TempDir, &mut TlsFiles) = $change;
            change(&dir, &mut files);
            let error = server_config(&files, &[], NOW).unwrap_err().to_string();
            assert!(error.contains($file), "{error}");
            assert!(error.contains($reason), "{error}");
        }
    )*};
}

rejected_files! {
    expired: |dir, files| *files = Authority::new().sign(dir, [2020, 2026])
        => "certificate.pem", "certificate 1: expired at Jan  1";
    not_yet_valid: |dir, files| *files = Authority::new().sign(dir, [2028, 2030])
        => "certificate.pem", "certificate 1: not valid before Jan  1";
    short_rsa_key: |_, files| files.certificate = test_data("rsa-1024.pem")
        => "rsa-1024.pem", "a key of 1024 bits, at least 2048 are needed";
    sha1_signature: |_, files| files.certificate = test_data("sha1.pem")
        => "sha1.pem", "signed with SHA-1";
    weak_certificate_in_chain: |dir, files| {
        let mut chain = std::fs::read(&files.certificate).unwrap();
        chain.extend(std::fs::read(test_data("sha1.pem")).unwrap());
        files.certificate = dir.write("chain.pem", chain);
    } => "chain.pem", "certificate 2: signed with SHA-1";
    missing_file: |_, files| files.certificate = "missing.pem".into()
        => "missing.pem", "can't be read";
    file_without_a_certificate: |dir, files| files.certificate = dir.write("empty.pem", "")
        => "empty.pem", "holds no certificate";
    file_without_a_key: |dir, files| files.key = dir.write("empty.pem", "")
        => "empty.pem", "can't be read";
    key_of_another_certificate: |dir, files| {
        let key = KeyPair::generate().unwrap().serialize_pem();
        files.key = dir.write("other.pem", key);
    } => "other.pem", "KeyMismatch";
    clients_without_authorities: |_, files| {
        files.authorities = None;
        files.client_certificates = true;
    } => "certificate.pem", "client_certificates needs authorities";
    weak_authority: |_, files| {
        files.authorities = Some(test_data("sha1.pem"));
        files.client_certificates = true;
    } => "sha1.pem", "signed with SHA-1";
}

/// Connects once over loopback and returns the bytes that the client reads.
fn connect_and_read(server: &TlsServer, client: &TlsFiles) -> std::io::Result<Vec<u8>> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let listener = Async::new(listener)?;
    let config = client_config(client, &[], NOW).unwrap();
    let connector = TlsConnector::from(Arc::new(config));
    async_io::block_on(async {
        let serve = async {
            let (stream, _) = listener.accept().await?;
            let mut stream = server.acceptor().accept(stream).await?;
            stream.write_all(b"hello").await?;
            stream.close().await
        };
        let connect = async {
            let stream = Async::<TcpStream>::connect(address).await?;
            let name = ServerName::try_from("127.0.0.1").unwrap();
            let mut stream = connector.connect(name, stream).await?;
            let mut text = Vec::new();
            stream.read_to_end(&mut text).await?;
            Ok(text)
        };
        let (served, read) = future::zip(serve, connect).await;
        served.and(read)
    })
}

#[test]
fn client_reads_what_server_writes() {
    let dir = TempDir::new();
    let files = Authority::new().sign(&dir, [2026, 2100]);
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(connect_and_read(&server, &files).unwrap(), b"hello");
}

#[test]
fn server_signed_by_an_unknown_authority_is_rejected() {
    let (dir, other) = (TempDir::new(), TempDir::new());
    let files = Authority::new().sign(&dir, [2026, 2100]);
    let client = Authority::new().sign(&other, [2026, 2100]);
    let server = TlsServer::new(files, &[], NOW).unwrap();
    assert!(connect_and_read(&server, &client).is_err());
}

/// Links require client certificates, so that a foreign process on the network can neither vote nor take
/// permits.
#[test]
fn client_signed_by_an_unknown_authority_is_rejected() {
    let (dir, other) = (TempDir::new(), TempDir::new());
    let authority = Authority::new();
    let mut files = authority.sign(&dir, [2026, 2100]);
    files.client_certificates = true;
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(connect_and_read(&server, &files).unwrap(), b"hello");
    let mut untrusted = Authority::new().sign(&other, [2026, 2100]);
    untrusted.authorities = files.authorities;
    assert!(connect_and_read(&server, &untrusted).is_err());
}

/// An operator replaces a certificate that is about to expire, and its key a moment later. Until both are
/// replaced, the old pair must stay in use, or callers could not connect.
#[test]
fn replaced_files_are_used_without_a_restart() {
    let (dir, other) = (TempDir::new(), TempDir::new());
    let old = Authority::new();
    let files = old.sign(&dir, [2026, 2100]);
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(server.reload(NOW).unwrap(), Reload::Unchanged);

    let old_key = std::fs::read(&files.key).unwrap();
    let new = Authority::new();
    let client = new.sign(&other, [2026, 2100]);
    let files = new.sign(&dir, [2026, 2100]);
    let new_key = std::fs::read(&files.key).unwrap();
    std::fs::write(&files.key, old_key).unwrap();
    touch(&files, 1);
    server.reload(NOW).unwrap_err();
    assert!(
        connect_and_read(&server, &client).is_err(),
        "the old certificate is still in use"
    );

    std::fs::write(&files.key, new_key).unwrap();
    touch(&files, 2);
    assert_eq!(server.reload(NOW).unwrap(), Reload::Replaced);
    assert_eq!(connect_and_read(&server, &client).unwrap(), b"hello");
}

/// Sets a distinct modification time, so that the test doesn't depend on the file system's resolution.
fn touch(files: &TlsFiles, seconds: u64) {
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    for file in [&files.certificate, &files.key] {
        let file = std::fs::File::options().write(true).open(file).unwrap();
        file.set_modified(time).unwrap();
    }
}
