//! A stand-in for etcd v3 behind its HTTP/JSON gateway, written from the public description: leases, ranges, transactions
//! and watches, with faults that a test scripts.
use crate::peers::{read_message, Request};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Kv {
    value: Vec<u8>,
    created: i64,
    modified: i64,
    lease: i64,
}

#[derive(Default)]
pub struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Kv>,
    leases: BTreeMap<i64, (u64, Instant)>,
    next: i64,
    /// Keys that were deleted, with the revision.
    deleted: Vec<(i64, Vec<u8>)>,
    compacted: i64,
    /// Connections are closed without a word.
    pub down: bool,
    /// Every answer takes so long more.
    pub slow: Duration,
    /// So many answers to transactions are lost after they were done.
    pub lose: usize,
    /// So many questions are answered by a leader that has changed; they are done all the same.
    pub leaderless: usize,
    /// Answered in place of what is asked.
    pub garbage: Option<String>,
    pub asked: u64,
    /// Every change of a key, in order.
    pub changes: Vec<Change>,
}

/// A key was put, or (no value) is gone.
#[derive(Clone)]
pub struct Change {
    pub at: Instant,
    pub key: String,
    pub value: Option<String>,
    pub revision: i64,
}

#[derive(Clone)]
pub struct Etcd {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

impl State {
    fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision.to_string(), "raft_term": "2"})
    }

    fn delete_of(&mut self, lease: i64) {
        let gone: Vec<Vec<u8>> =
            self.keys.iter().filter(|(_, kv)| kv.lease == lease).map(|(k, _)| k.clone()).collect();
        if !gone.is_empty() {
            self.revision += 1;
        }
        for key in gone {
            self.keys.remove(&key);
            self.note(&key, None);
            self.deleted.push((self.revision, key));
        }
    }

    fn note(&mut self, key: &[u8], value: Option<&[u8]>) {
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        let (at, revision) = (Instant::now(), self.revision);
        self.changes.push(Change { at, key: text(key), value: value.map(text), revision });
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<i64> =
            self.leases.iter().filter(|(_, (_, at))| now >= *at).map(|(&id, _)| id).collect();
        for id in &over {
            self.leases.remove(id);
            self.delete_of(*id);
        }
        !over.is_empty()
    }

    fn kv(&self, key: &[u8], kv: &Kv) -> Value {
        json!({"key": STANDARD.encode(key), "value": STANDARD.encode(&kv.value), "version": "1",
            "create_revision": kv.created.to_string(), "mod_revision": kv.modified.to_string(),
            "lease": kv.lease.to_string()})
    }

    fn range(&self, ask: &Value) -> Value {
        let (from, to) = (bytes(&ask["key"]), bytes(&ask["range_end"]));
        let fits =
            |k: &[u8]| if to.is_empty() { k == from } else { k >= &from[..] && (to == [0] || k < &to[..]) };
        let kvs: Vec<Value> = self.keys.iter().filter(|(k, _)| fits(k)).map(|(k, v)| self.kv(k, v)).collect();
        // Noughts and empty lists are left out.
        match kvs.is_empty() {
            true => json!({"header": self.header()}),
            false => json!({"header": self.header(), "count": kvs.len().to_string(), "kvs": kvs}),
        }
    }

    fn put(&mut self, ask: &Value) -> Result<(), Value> {
        let (key, value, lease) = (bytes(&ask["key"]), bytes(&ask["value"]), number(&ask["lease"]));
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(json!({"error": "etcdserver: requested lease not found", "code": 5,
                "message": "etcdserver: requested lease not found"}));
        }
        let created = self.keys.get(&key).map_or(self.revision, |kv| kv.created);
        self.note(&key, Some(&value));
        self.keys.insert(key, Kv { value, created, modified: self.revision, lease });
        Ok(())
    }

    fn txn(&mut self, ask: &Value) -> Result<Value, Value> {
        let holds = |compare: &Value| {
            let kv = self.keys.get(&bytes(&compare["key"]));
            match compare["target"].as_str() {
                Some("CREATE") => kv.map_or(0, |kv| kv.created) == number(&compare["create_revision"]),
                Some("MOD") => kv.map_or(0, |kv| kv.modified) == number(&compare["mod_revision"]),
                _ => false,
            }
        };
        let succeeded = ask["compare"].as_array().is_none_or(|all| all.iter().all(holds));
        let steps =
            ask[if succeeded { "success" } else { "failure" }].as_array().cloned().unwrap_or_default();
        let puts = steps.iter().any(|s| !s["request_put"].is_null());
        self.revision += i64::from(puts);
        let mut responses = Vec::new();
        for step in &steps {
            if !step["request_put"].is_null() {
                self.put(&step["request_put"])?;
                responses.push(json!({"response_put": {"header": {"revision": self.revision.to_string()}}}));
            } else {
                responses.push(json!({"response_range": self.range(&step["request_range"])}));
            }
        }
        let mut answer = json!({"header": self.header(), "responses": responses});
        if succeeded {
            answer["succeeded"] = true.into();
        }
        Ok(answer)
    }

    fn answer(&mut self, path: &str, ask: &Value) -> Result<Value, Value> {
        self.expire();
        Ok(match path {
            "/v3/lease/grant" => {
                self.next += 1;
                let (id, ttl) = (7_000 + self.next, number(&ask["TTL"]).max(1) as u64);
                self.leases.insert(id, (ttl, Instant::now() + Duration::from_secs(ttl)));
                json!({"header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string()})
            }
            "/v3/lease/keepalive" => {
                let id = number(&ask["ID"]);
                let ttl = self.leases.get_mut(&id).map_or(0, |(ttl, at)| {
                    *at = Instant::now() + Duration::from_secs(*ttl);
                    *ttl
                });
                let mut result = json!({"header": self.header(), "ID": id.to_string()});
                if ttl > 0 {
                    result["TTL"] = ttl.to_string().into();
                }
                json!({"result": result})
            }
            "/v3/lease/timetolive" => {
                let left = self
                    .leases
                    .get(&number(&ask["ID"]))
                    .map_or(-1, |(_, at)| at.saturating_duration_since(Instant::now()).as_secs() as i64);
                json!({"header": self.header(), "ID": ask["ID"], "TTL": left.to_string()})
            }
            "/v3/lease/revoke" => {
                let id = number(&ask["ID"]);
                if self.leases.remove(&id).is_none() {
                    return Err(json!({"error": "etcdserver: requested lease not found", "code": 5}));
                }
                self.delete_of(id);
                json!({"header": self.header()})
            }
            "/v3/kv/range" => self.range(ask),
            "/v3/kv/txn" => self.txn(ask)?,
            _ => return Err(json!({"error": "Not Found", "code": 5})),
        })
    }
}

impl Default for Etcd {
    fn default() -> Etcd {
        Etcd::new()
    }
}

impl Etcd {
    pub fn new() -> Etcd {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let etcd = Etcd {
            address,
            shared: Arc::new((Mutex::new(State { revision: 1, ..State::default() }), Condvar::new())),
        };
        let ticking = etcd.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            if ticking.state(|s| s.expire()) {
                ticking.shared.1.notify_all();
            }
        });
        etcd.listen(listener);
        etcd
    }

    /// A further address of the same store.
    pub fn also(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        self.listen(listener);
        address
    }

    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let etcd = serving.clone();
                std::thread::spawn(move || etcd.serve(stream));
            }
        });
    }

    pub fn state<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.shared.0.lock().unwrap())
    }

    /// Keys that begin so, with their values.
    pub fn keys(&self, prefix: &str) -> Vec<(String, String)> {
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        self.state(|s| {
            let all = s.keys.iter().map(|(k, kv)| (text(k), text(&kv.value)));
            all.filter(|(k, _)| k.starts_with(prefix)).collect()
        })
    }

    /// The value of the key that begins so and was made first.
    pub fn first_created(&self, prefix: &str) -> Option<String> {
        self.state(|s| {
            let keys = s.keys.iter().filter(|(key, _)| key.starts_with(prefix.as_bytes()));
            let first = keys.min_by_key(|(_, kv)| kv.created)?;
            Some(String::from_utf8_lossy(&first.1.value).into_owned())
        })
    }

    /// Nothing older can be watched any more; watches that began there end.
    pub fn compact(&self) {
        self.state(|s| s.compacted = s.revision);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader, 0) {
            if self.reply(&mut stream, &request).is_none() {
                return;
            }
        }
    }

    fn reply(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let path = request.first.split(' ').nth(1).unwrap_or_default().to_string();
        let ask: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (down, slow, garbage) = self.state(|s| {
            s.asked += 1;
            (s.down, s.slow, s.garbage.clone())
        });
        if down {
            return None;
        }
        std::thread::sleep(slow);
        if let Some(garbage) = garbage {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{garbage}", garbage.len());
            return Some(());
        }
        if path == "/v3/watch" {
            self.watch(stream, &ask["create_request"]);
            return None;
        }
        let (answer, lost, leaderless) = self.state(|s| {
            let answer = s.answer(&path, &ask);
            let lost = path == "/v3/kv/txn" && s.lose > 0;
            s.lose -= usize::from(lost);
            let leaderless = s.leaderless > 0;
            s.leaderless -= usize::from(leaderless);
            (answer, lost, leaderless)
        });
        self.shared.1.notify_all();
        if lost {
            return None;
        }
        let (status, body) = match answer {
            _ if leaderless => {
                ("503 Service Unavailable", json!({"error": "etcdserver: leader changed", "code": 14}))
            }
            Ok(body) => ("200 OK", body),
            Err(body) => ("400 Bad Request", body),
        };
        let body = format!("{body}\n");
        write!(
            stream,
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()
    }

    fn watch(&self, stream: &mut TcpStream, ask: &Value) {
        let (key, start) = (bytes(&ask["key"]), number(&ask["start_revision"]));
        let chunk = |stream: &mut TcpStream, value: Value| {
            let line = format!("{value}\n");
            write!(stream, "{:x}\r\n{line}\r\n", line.len())
        };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(head.as_bytes());
        if chunk(stream, json!({"result": {"header": {"revision": "1"}, "created": true}})).is_err() {
            return;
        }
        let (lock, news) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            if state.down {
                return;
            }
            let compacted = start <= state.compacted;
            let gone = state.deleted.iter().find(|(at, k)| *at >= start && *k == key).cloned();
            if compacted || gone.is_some() {
                let result = match gone {
                    _ if compacted => {
                        json!({"canceled": true, "compact_revision": state.compacted.to_string()})
                    }
                    Some((at, _)) => json!({"events": [{"type": "DELETE",
                        "kv": {"key": STANDARD.encode(&key), "mod_revision": at.to_string()}}]}),
                    None => return,
                };
                drop(state);
                let _ = chunk(stream, json!({"result": result}));
                return;
            }
            state = news.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
    }
}
