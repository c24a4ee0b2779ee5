//! The outside store: etcd v3 through its HTTP/JSON gateway, as far as duties need it.
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use machine::{Conn, Machine};
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// An answer longer than this is none.
const MOST: usize = 1 << 20;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Trouble {
    /// No endpoint could be reached: nothing was done.
    Unreached(String),
    /// It may have been done or not.
    Unknown(String),
    /// The store said no, so nothing was done.
    Refused(String),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Trouble::Unreached(why) => write!(f, "the store can't be reached: {why}"),
            Trouble::Unknown(why) => write!(f, "the store gives no answer that can be read: {why}"),
            Trouble::Refused(why) => write!(f, "the store says no: {why}"),
        }
    }
}

/// A key as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: String,
    pub created: i64,
    pub modified: i64,
}

/// On what condition a transaction is done.
pub enum If<'a> {
    /// The key was created at this revision; 0: it is not there.
    Created(&'a str, i64),
    Modified(&'a str, i64),
}

pub struct Store {
    machine: Rc<dyn Machine>,
    endpoints: Vec<SocketAddr>,
    /// Which is asked first: the one that answered last.
    first: Cell<usize>,
    patience: Duration,
}

/// An answer that is being read, with the task of its connection.
struct Exchange {
    response: Response<Incoming>,
    _task: Task,
}

struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn coded(text: &str) -> String {
    STANDARD.encode(text)
}

/// The first key behind all that begin with this.
fn range_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    while let Some(last) = bytes.pop() {
        if last < 0xff {
            bytes.push(last + 1);
            break;
        }
    }
    STANDARD.encode(if bytes.is_empty() { vec![0] } else { bytes })
}

/// Numbers of 64 bits are texts there, and noughts are left out.
fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn text(value: &Value) -> Option<String> {
    String::from_utf8(STANDARD.decode(value.as_str().unwrap_or_default()).ok()?).ok()
}

fn entry(value: &Value) -> Option<Entry> {
    let (key, text) = (text(&value["key"])?, text(&value["value"])?);
    let (created, modified) = (number(&value["create_revision"]), number(&value["mod_revision"]));
    Some(Entry { key, value: text, created, modified })
}

fn entries(value: &Value) -> Result<Vec<Entry>, Trouble> {
    let all = value["kvs"].as_array().map_or(&[][..], Vec::as_slice);
    let all: Option<Vec<Entry>> = all.iter().map(entry).collect();
    all.ok_or_else(|| Trouble::Unknown("a key or value is no text".to_string()))
}

impl Store {
    pub fn new(machine: Rc<dyn Machine>, endpoints: Vec<SocketAddr>, patience: Duration) -> Store {
        Store { machine, endpoints, first: Cell::new(0), patience }
    }

    /// One that is listed but dead is passed over. What was written to one is not written to another: whether it was
    /// done is not known.
    async fn open(&self, path: &str, body: &Value) -> Result<Exchange, Trouble> {
        let mut why = "none is named".to_string();
        for i in 0..self.endpoints.len() {
            let at = (self.first.get() + i) % self.endpoints.len();
            let endpoint = self.endpoints[at];
            let stream = match timeout(self.patience, self.machine.dial(endpoint)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => {
                    why = format!("{endpoint}: {error}");
                    continue;
                }
                Err(_) => {
                    why = format!("{endpoint}: no connection in time");
                    continue;
                }
            };
            let made = http1::handshake(TokioIo::new(Conn(stream))).await;
            let (mut sender, connection) = made.map_err(|e| Trouble::Unreached(e.to_string()))?;
            let task = Task(tokio::task::spawn_local(connection).abort_handle());
            let request = Request::post(path)
                .header("host", endpoint.to_string())
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_string())))
                .map_err(|e| Trouble::Refused(e.to_string()))?;
            let answer = timeout(self.patience, sender.send_request(request)).await;
            // The next question goes to another first, if this one did not answer.
            self.first.set(at + usize::from(!matches!(answer, Ok(Ok(_)))));
            return match answer {
                Ok(Ok(response)) => Ok(Exchange { response, _task: task }),
                Ok(Err(error)) => Err(Trouble::Unknown(format!("{endpoint}: {error}"))),
                Err(_) => Err(Trouble::Unknown(format!("{endpoint}: no answer in time"))),
            };
        }
        Err(Trouble::Unreached(why))
    }

    /// One answer: the first JSON object that comes; a stream may stay open behind it.
    async fn ask(&self, path: &str, body: Value) -> Result<Value, Trouble> {
        let mut exchange = self.open(path, &body).await?;
        let status = exchange.response.status();
        let mut bytes = Vec::new();
        let read = async {
            while let Some(frame) = exchange.response.body_mut().frame().await {
                let frame = frame.map_err(|e| Trouble::Unknown(e.to_string()))?;
                bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                if bytes.len() > MOST {
                    return Err(Trouble::Unknown("its answer is too long".to_string()));
                }
                if let Ok(value) = serde_json::from_slice::<Value>(&bytes) {
                    return Ok(value);
                }
            }
            Err(Trouble::Unknown("its answer is no JSON, or cut short".to_string()))
        };
        let answer = timeout(self.patience, read).await;
        let value =
            answer.unwrap_or_else(|_| Err(Trouble::Unknown("its answer does not end".to_string())))?;
        let value = value.get("result").cloned().unwrap_or(value);
        if status.is_success() && value.is_object() {
            return Ok(value);
        }
        let said = value["message"].as_str().or(value["error"].as_str()).unwrap_or("no reason").to_string();
        // 14, unavailable, and 4, a deadline: a leader that changed may have done it all the same.
        let may_be_done = matches!(number(&value["code"]), 4 | 14) || status.is_server_error();
        Err(if may_be_done { Trouble::Unknown(said) } else { Trouble::Refused(said) })
    }

    pub async fn grant(&self, seconds: u64) -> Result<(i64, u64), Trouble> {
        let value = self.ask("/v3/lease/grant", json!({"TTL": seconds, "ID": 0})).await?;
        match (number(&value["ID"]), number(&value["TTL"])) {
            (id, ttl) if id != 0 && ttl > 0 => Ok((id, ttl as u64)),
            _ => Err(Trouble::Unknown("a grant without a lease".to_string())),
        }
    }

    /// For how many seconds more; 0 if it is no more.
    pub async fn keep_alive(&self, lease: i64) -> Result<u64, Trouble> {
        let value = self.ask("/v3/lease/keepalive", json!({"ID": lease.to_string()})).await?;
        Ok(number(&value["TTL"]).max(0) as u64)
    }

    pub async fn revoke(&self, lease: i64) -> Result<(), Trouble> {
        match self.ask("/v3/lease/revoke", json!({"ID": lease.to_string()})).await {
            // It is no more, which is what was wanted.
            Ok(_) | Err(Trouble::Refused(_)) => Ok(()),
            Err(trouble) => Err(trouble),
        }
    }

    pub async fn seconds_left(&self, lease: i64) -> Result<i64, Trouble> {
        let value = self.ask("/v3/lease/timetolive", json!({"ID": lease.to_string()})).await?;
        Ok(number(&value["TTL"]))
    }

    /// All keys that begin so, and the store's revision.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Entry>, i64), Trouble> {
        let body = json!({"key": coded(prefix), "range_end": range_end(prefix)});
        let value = self.ask("/v3/kv/range", body).await?;
        Ok((entries(&value)?, number(&value["header"]["revision"])))
    }

    /// Puts, each under a lease (0: none), if all conditions hold; whether they did.
    pub async fn put_if(&self, conditions: &[If<'_>], puts: &[(&str, &str, i64)]) -> Result<bool, Trouble> {
        let compare = |condition: &If| match condition {
            If::Created(key, at) => {
                json!({"key": coded(key), "target": "CREATE", "result": "EQUAL", "create_revision": at.to_string()})
            }
            If::Modified(key, at) => {
                json!({"key": coded(key), "target": "MOD", "result": "EQUAL", "mod_revision": at.to_string()})
            }
        };
        let put = |(key, value, lease): &(&str, &str, i64)| json!({"request_put": {"key": coded(key), "value": coded(value), "lease": lease.to_string()}});
        let compare: Vec<Value> = conditions.iter().map(compare).collect();
        let success: Vec<Value> = puts.iter().map(put).collect();
        let value = self.ask("/v3/kv/txn", json!({"compare": compare, "success": success})).await?;
        Ok(value["succeeded"] == json!(true))
    }

    /// Puts a key that is not there; its create revision in either case.
    pub async fn enter(&self, key: &str, value: &str, lease: i64) -> Result<i64, Trouble> {
        let body = json!({
            "compare": [{"key": coded(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"}],
            "success": [{"request_put": {"key": coded(key), "value": coded(value), "lease": lease.to_string()}}],
            "failure": [{"request_range": {"key": coded(key)}}],
        });
        let answer = self.ask("/v3/kv/txn", body).await?;
        if answer["succeeded"] == json!(true) {
            return Ok(number(&answer["header"]["revision"]));
        }
        match entries(&answer["responses"][0]["response_range"])?.first() {
            Some(entry) => Ok(entry.created),
            None => Err(Trouble::Unknown("it is neither there nor not there".to_string())),
        }
    }

    /// Until the key is deleted after that revision, or can't be watched from there any more.
    pub async fn watch_gone(&self, key: &str, after: i64) -> Result<(), Trouble> {
        let body = json!({"create_request": {"key": coded(key), "start_revision": (after + 1).to_string()}});
        let mut exchange = self.open("/v3/watch", &body).await?;
        let mut bytes = Vec::new();
        while let Some(frame) = exchange.response.body_mut().frame().await {
            let frame = frame.map_err(|e| Trouble::Unknown(e.to_string()))?;
            bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
            if bytes.len() > MOST {
                return Err(Trouble::Unknown("its answer is too long".to_string()));
            }
            while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = bytes.drain(..=end).collect();
                let value: Value = serde_json::from_slice(&line)
                    .map_err(|_| Trouble::Unknown("its answer is no JSON".to_string()))?;
                let result = &value["result"];
                let gone = |e: &Value| e["type"] == json!("DELETE");
                let is_gone = result["events"].as_array().is_some_and(|events| events.iter().any(gone));
                // Compacted: what has become of it is read anew.
                if is_gone || result["canceled"] == json!(true) {
                    return Ok(());
                }
                if !value["error"].is_null() {
                    return Err(Trouble::Unknown(value["error"].to_string()));
                }
            }
        }
        Err(Trouble::Unknown("the watch has ended".to_string()))
    }
}
