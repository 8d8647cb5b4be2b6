//! A stand-in for the platform's store: topics with records, and the consumer group that elects a node.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::http::{Message, read_message, respond};

/// One partition of a topic. All topics of these deployments have one.
type Records = Vec<(Option<String>, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Records>,
    members: BTreeMap<String, Instant>,
    holder: Option<String>,
    generation: u64,
    is_down: bool,
}

/// A running store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Self {
            address: listener.local_addr().expect("it has an address"),
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of the operator, which acknowledges it.
    pub fn put_operator(&self, key: &str, value: &str) {
        self.append("keyed.op", Some(key.to_owned()), value.as_bytes().to_vec());
    }

    /// Writes the registry entry of an endpoint. An empty value removes it.
    pub fn put_server(&self, id: &str, value: &str) {
        self.append(
            "keyed.servers",
            Some(id.to_owned()),
            value.as_bytes().to_vec(),
        );
    }

    /// Makes the store answer 503 to every call, or ends that.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
    }

    fn append(&self, topic: &str, key: Option<String>, value: Vec<u8>) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key, value));
        let end = records.len() as u64;
        self.shared.1.notify_all();
        end
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader).ok()? {
            self.answer(&call, &mut writer).ok()?;
        }
        Some(())
    }

    fn answer(&self, call: &Message, writer: &mut TcpStream) -> io::Result<()> {
        if self.shared.0.lock().unwrap().is_down {
            return respond(writer, "503 Service Unavailable", &[], b"");
        }
        let json = [("Content-Type", "application/json")];
        let path = call.target().split('?').next().unwrap_or_default();
        match path {
            "/log-newest" => respond(writer, "200 OK", &json, self.newest(call).as_bytes()),
            "/log-read" => match self.read(call) {
                Some(body) => respond(writer, "200 OK", &[], &body),
                None => respond(writer, "410 Gone", &json, b"{\"firstOffset\":0}"),
            },
            "/log-append" => match self.append_call(call) {
                Some(body) => respond(writer, "200 OK", &json, body.as_bytes()),
                None => respond(writer, "403 Forbidden", &[], b""),
            },
            "/log-join" => respond(writer, "200 OK", &json, self.join(call).as_bytes()),
            "/log-leave" => {
                self.leave(call);
                respond(writer, "200 OK", &json, b"{}")
            }
            _ => respond(writer, "404 Not Found", &[], b""),
        }
    }

    fn newest(&self, call: &Message) -> String {
        let state = self.shared.0.lock().unwrap();
        let topic = call.query("topic").unwrap_or_default();
        let empty = Records::new();
        let records = state.topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if let Some(key) = key {
                newest.insert(key, (offset, value));
            }
        }
        let present = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = present
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!(r#"{{"items":[{items}],"hasMore":false,"endOffset":{end}}}"#)
    }

    /// Returns the records from an offset on, after waiting for one, or nothing for an offset beyond the end.
    fn read(&self, call: &Message) -> Option<Vec<u8>> {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let topic = call.query("topic").unwrap_or_default();
        let is_keyed = topic.starts_with("keyed.");
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let records = state.topics.entry(topic.to_owned()).or_default();
            if from > records.len() {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend([0; 8]);
                for (key, value) in &records[from..] {
                    body.extend(encode(is_keyed, key.as_deref(), value));
                }
                return Some(body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn append_call(&self, call: &Message) -> Option<String> {
        let topic = call.query("topic").unwrap_or_default();
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return None;
        }
        let mut end = 0;
        let mut rest = call.body.as_slice();
        while let Some((len, after)) = rest.split_first_chunk::<4>() {
            let (record, after) = after.split_at_checked(u32::from_be_bytes(*len) as usize)?;
            rest = after;
            end = if topic.starts_with("keyed.") {
                let (len, content) = record.split_first()?;
                let (key, value) = content.split_at_checked(usize::from(*len))?;
                let key = String::from_utf8(key.to_vec()).ok()?;
                self.append(topic, Some(key), value.to_vec())
            } else {
                self.append(topic, None, record.to_vec())
            };
        }
        Some(format!(r#"{{"offset":{},"endOffset":{end}}}"#, end - 1))
    }

    fn join(&self, call: &Message) -> String {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let member = json_field(&text, "member").unwrap_or_default();
        let ttl = json_field(&text, "ttlMs").and_then(|ttl| ttl.parse().ok());
        let ttl = Duration::from_millis(ttl.unwrap_or(1_000));
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let before: Vec<String> = state.members.keys().cloned().collect();
        state.members.retain(|_, expires_at| *expires_at > now);
        state.members.insert(member.clone(), now + ttl);
        state.reassign(&before);
        let parts = match state.holder.as_ref() == Some(&member) {
            true => r#"[["control",0,0]]"#,
            false => "[]",
        };
        let generation = state.generation;
        format!(r#"{{"generation":{generation},"ttlMs":1000,"parts":{parts}}}"#)
    }

    fn leave(&self, call: &Message) {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let member = json_field(&text, "member").unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let before: Vec<String> = state.members.keys().cloned().collect();
        state.members.remove(&member);
        state.reassign(&before);
    }
}

impl State {
    /// Counts a change of the members, and gives the partition of one that is gone to another one.
    fn reassign(&mut self, before: &[String]) {
        if before.iter().ne(self.members.keys()) {
            self.generation += 1;
        }
        let is_held = self.holder.as_ref();
        let is_held = is_held.is_some_and(|holder| self.members.contains_key(holder));
        if !is_held {
            self.holder = self.members.keys().next().cloned();
        }
    }
}

fn encode(is_keyed: bool, key: Option<&str>, value: &[u8]) -> Vec<u8> {
    let mut content = Vec::new();
    if is_keyed {
        let key = key.unwrap_or_default();
        content.push(key.len() as u8);
        content.extend(key.as_bytes());
    }
    content.extend(value);
    [&(content.len() as u32).to_be_bytes(), content.as_slice()].concat()
}

/// Returns a field of a flat JSON object, as text.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let after = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let value = match after.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next()?,
        None => after.split([',', '}']).next()?,
    };
    Some(value.trim().to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            match index <= chunk.len() {
                true => text.push(char::from(ALPHABET[digit as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
