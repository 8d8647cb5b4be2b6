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

/// 1 March 2027, after the certificates in `testdata` begin.
const NOW: UnixTime = UnixTime::since_unix_epoch(Duration::from_secs(1_803_859_200));

/// A folder of one test, removed at its end.
struct Folder(PathBuf);

impl Folder {
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

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

/// An authority that signs certificates for the loopback address.
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

    fn sign(&self, folder: &Folder, years: [i32; 2]) -> TlsFiles {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.not_before = date_time_ymd(years[0], 1, 1);
        params.not_after = date_time_ymd(years[1], 1, 1);
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsFiles {
            certificate: folder.write("certificate.pem", certificate.pem()),
            key: folder.write("key.pem", key.serialize_pem()),
            authorities: Some(folder.write("authorities.pem", &self.pem)),
            client_certificates: false,
        }
    }
}

fn test_data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/tls/testdata")
        .join(name)
}

/// Each case changes a good set of files; the error must name the file and say why.
macro_rules! refused {
    ($($name:ident: $change:expr => $file:literal, $reason:literal;)*) => {$(
        #[test]
        fn $name() {
            let folder = Folder::new();
            let mut files = Authority::new().sign(&folder, [2026, 2030]);
            let change: fn(&Folder, &mut TlsFiles) = $change;
            change(&folder, &mut files);
            let error = server_config(&files, &[], NOW).unwrap_err().to_string();
            assert!(error.contains($file), "{error}");
            assert!(error.contains($reason), "{error}");
        }
    )*};
}

refused! {
    expired: |folder, files| *files = Authority::new().sign(folder, [2020, 2026])
        => "certificate.pem", "certificate 1: expired at Jan  1";
    not_yet_valid: |folder, files| *files = Authority::new().sign(folder, [2028, 2030])
        => "certificate.pem", "certificate 1: not valid before Jan  1";
    short_rsa_key: |_, files| files.certificate = test_data("rsa-1024.pem")
        => "rsa-1024.pem", "a key of 1024 bits, at least 2048 are needed";
    sha1_signature: |_, files| files.certificate = test_data("sha1.pem")
        => "sha1.pem", "signed with SHA-1";
    weak_certificate_in_chain: |folder, files| {
        let mut chain = std::fs::read(&files.certificate).unwrap();
        chain.extend(std::fs::read(test_data("sha1.pem")).unwrap());
        files.certificate = folder.write("chain.pem", chain);
    } => "chain.pem", "certificate 2: signed with SHA-1";
    no_such_file: |_, files| files.certificate = "missing.pem".into()
        => "missing.pem", "can't be read";
    no_certificate: |folder, files| files.certificate = folder.write("empty.pem", "")
        => "empty.pem", "holds no certificate";
    no_key: |folder, files| files.key = folder.write("empty.pem", "")
        => "empty.pem", "can't be read";
    key_of_another: |folder, files| {
        let key = KeyPair::generate().unwrap().serialize_pem();
        files.key = folder.write("other.pem", key);
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

/// Connects once over loopback and returns what the client reads.
fn talk(server: &TlsServer, client: &TlsFiles) -> std::io::Result<Vec<u8>> {
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
    let folder = Folder::new();
    let files = Authority::new().sign(&folder, [2026, 2100]);
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(talk(&server, &files).unwrap(), b"hello");
}

#[test]
fn server_of_an_unknown_authority_is_refused() {
    let (folder, other) = (Folder::new(), Folder::new());
    let files = Authority::new().sign(&folder, [2026, 2100]);
    let client = Authority::new().sign(&other, [2026, 2100]);
    let server = TlsServer::new(files, &[], NOW).unwrap();
    assert!(talk(&server, &client).is_err());
}

/// Links ask for certificates. Somebody else's process on the network must not be able to vote or
/// to take permits.
#[test]
fn client_of_an_unknown_authority_is_refused() {
    let (folder, other) = (Folder::new(), Folder::new());
    let authority = Authority::new();
    let mut files = authority.sign(&folder, [2026, 2100]);
    files.client_certificates = true;
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(talk(&server, &files).unwrap(), b"hello");
    let mut stranger = Authority::new().sign(&other, [2026, 2100]);
    stranger.authorities = files.authorities;
    assert!(talk(&server, &stranger).is_err());
}

/// Operators replace a certificate that is about to expire. Its key comes a moment later, and in
/// between the old pair must stay in use, or callers could not connect.
#[test]
fn new_files_are_used_without_restart() {
    let (folder, other) = (Folder::new(), Folder::new());
    let old = Authority::new();
    let files = old.sign(&folder, [2026, 2100]);
    let server = TlsServer::new(files.clone(), &[], NOW).unwrap();
    assert_eq!(server.reload(NOW).unwrap(), Reload::Unchanged);

    let old_key = std::fs::read(&files.key).unwrap();
    let new = Authority::new();
    let client = new.sign(&other, [2026, 2100]);
    let files = new.sign(&folder, [2026, 2100]);
    let new_key = std::fs::read(&files.key).unwrap();
    std::fs::write(&files.key, old_key).unwrap();
    touch(&files, 1);
    server.reload(NOW).unwrap_err();
    assert!(
        talk(&server, &client).is_err(),
        "the old certificate is still in use"
    );

    std::fs::write(&files.key, new_key).unwrap();
    touch(&files, 2);
    assert_eq!(server.reload(NOW).unwrap(), Reload::Replaced);
    assert_eq!(talk(&server, &client).unwrap(), b"hello");
}

/// Gives the files a time of change of their own, whatever the file system's resolution.
fn touch(files: &TlsFiles, seconds: u64) {
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    for file in [&files.certificate, &files.key] {
        let file = std::fs::File::options().write(true).open(file).unwrap();
        file.set_modified(time).unwrap();
    }
}
