//! Calls to endpoints: what is checked as one is written, and how each of its messages ended.
use crate::connections::{request, Connection, Fault, Pool};
use crate::deadline::Allowance;
use crate::figures::Figures;
use crate::inbox::Input;
use crate::pool::Reason;
use crate::wire::MAX_BODY;
use crate::wire::{Socket, MAX_HEADERS};
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::Request;
use journal::Taken;
use policy::api::{AttemptEnd, EndpointId, LimitReport, Ns, Outcome};
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, timeout, Instant};

/// How long an answer's head may take from its first byte, and the body of one that must be whole. Some never
/// end, and their calls would hold a slot until the time is up.
const HEAD: Duration = Duration::from_millis(500);
const WHOLE: Duration = Duration::from_secs(1);
/// Waits longer than this are kept as this one; no message lives so long.
const LONGEST_WAIT: f64 = 1e6;

/// Set once the module calls an attempt off.
#[derive(Default)]
pub struct Cancel {
    set: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    pub fn set(&self) {
        self.set.set(true);
        self.notify.notify_one();
    }
    async fn wait(&self) {
        while !self.set.get() {
            self.notify.notified().await;
        }
    }
}

/// A message's part in a call.
pub struct Member {
    pub attempt: u32,
    pub taken: Arc<Taken>,
    pub time: Allowance,
    /// When it began to be written, once it does.
    pub written: Rc<Cell<Option<Instant>>>,
}

/// When a call is given up that begins to be dialled or written now. A message that could go again is not left out on
/// an open connection, or its next attempt would be a second copy: the call is closed for all. One whose time is
/// up leaves alone.
fn close_at(members: &[Member], now: Instant) -> Option<Instant> {
    let again = members.iter().filter(|m| m.time.wait.is_some()).map(|m| m.time.until(now)).min();
    again.or(members.iter().map(|m| m.time.end.instant()).max())
}

/// What an answer said.
struct Answer {
    /// The first one on its connection.
    fresh: bool,
    status: u16,
    headers: HeaderMap,
    /// Of a call with several messages and 200: the whole answer. Else what is left to read.
    ends: Option<Bytes>,
    rest: Option<Incoming>,
}

/// What matters of a call once it is written.
struct Sent {
    several: bool,
    /// How long its connection had been idle, if it had carried calls before.
    idle: Option<Duration>,
    /// When it is given up.
    until: Instant,
}

impl Sent {
    /// A first line with 200 is true, whatever follows it; for several the whole answer counts.
    fn is_served(&self, link: &Connection) -> bool {
        !self.several && says_200(&link.socket.head())
    }
}

pub struct Client {
    pub core: mpsc::Sender<Input>,
    pub figures: Rc<Figures>,
    pub pool: Rc<Pool>,
}

impl Client {
    /// Carries out one call of the module and tells how each of its messages ended.
    pub async fn call(self: Rc<Self>, endpoint: EndpointId, members: Vec<Member>, cancel: Rc<Cancel>) {
        let started = Instant::now();
        // What the module puts into one call may be too much for one body; the parts go one by one.
        for part in parts(members) {
            self.exchange(endpoint, part, &cancel, started).await;
        }
    }

    async fn exchange(
        &self,
        endpoint: EndpointId,
        mut members: Vec<Member>,
        cancel: &Cancel,
        started: Instant,
    ) {
        let call = (endpoint, started);
        let (mut link, answer) = loop {
            let Some((mut link, wait, until)) = self.reach(call, &mut members, cancel).await else { return };
            let sent = Sent { several: members.len() > 1, idle: link.idle(), until };
            match self.ask(&mut link, call, &mut members, &sent, wait, cancel).await {
                Ok(Ok(answer)) => break (link, answer),
                // The pooled connection had ended: nothing was written, so another one may carry it.
                Ok(Err(Fault::Unsent)) => drop(link),
                Ok(Err(fault)) => return self.broke(link, call, members, &sent, fault).await,
                Err((left, outcome)) => return self.gave_up(link, call, left, &sent, outcome).await,
            }
        };
        let closes = says_close(&answer.headers);
        let ends = read_ends(&members, &answer, endpoint, started);
        tracing::debug!(endpoint, status = answer.status, closes, fresh = answer.fresh, "answer");
        let at_rest = link.finish(answer.rest).await;
        if at_rest && !closes {
            self.pool.give_back(endpoint, link);
        } else {
            self.pool.count_closed(if closes { Reason::ToldToClose } else { Reason::NotAtRest }, 1);
            link.close().await;
        }
        self.report(ends).await;
    }

    /// A connection for a call, how long its endpoint is told that it will be waited for, and when it is given up. None
    /// once nothing of the call may be written; its messages are told how they ended.
    async fn reach(
        &self,
        (endpoint, started): (EndpointId, Instant),
        members: &mut Vec<Member>,
        cancel: &Cancel,
    ) -> Option<(Connection, u64, Instant)> {
        let tell = |outcome| move |m: &Member| end(m, endpoint, outcome, started);
        let dialled_by = close_at(members, started).unwrap_or(started);
        let found = tokio::select! {
            biased;
            () = cancel.wait() => Err(Outcome::NotSent),
            link = self.pool.connect(endpoint) => link,
            () = sleep_until(dialled_by) => Err(Outcome::NoConnection),
        };
        let link = match found {
            Ok(link) => link,
            Err(outcome) => {
                self.report(members.iter().map(tell(outcome)).collect()).await;
                return None;
            }
        };
        // A drain, a wait or the end of a window may have come while the connection was being made.
        let now = Instant::now();
        let may = self.pool.may_write(endpoint);
        let goes = |m: &Member| may && now < dialled_by && m.time.tell(now).is_some();
        let (go, stay): (Vec<_>, Vec<_>) = std::mem::take(members).into_iter().partition(goes);
        *members = go;
        self.report(stay.iter().map(tell(Outcome::NotSent)).collect()).await;
        // Told is the least that any of them may be waited for.
        let wait = members.iter().filter_map(|m| m.time.tell(now)).min();
        let (Some(wait), Some(until)) = (wait, close_at(members, now)) else {
            self.pool.give_back(endpoint, link);
            return None;
        };
        members.iter().for_each(|m| m.written.set(Some(now)));
        Some((link, wait, until))
    }

    /// Writes a call and waits for its answer; or, if it is given up first, which messages were left, and why. Those whose
    /// own time is up before are told so meanwhile.
    async fn ask(
        &self,
        link: &mut Connection,
        (endpoint, started): (EndpointId, Instant),
        members: &mut Vec<Member>,
        sent: &Sent,
        wait: u64,
        cancel: &Cancel,
    ) -> Result<Result<Answer, Fault>, (Vec<Member>, Outcome)> {
        let request = build(members, link.at, wait);
        let (bytes, count) = (least_length(&request), &self.figures.written);
        link.socket.count_when_written(bytes, count, members.len() as u64);
        let mut answer = pin!(self.answer(link, request, endpoint, sent.several));
        loop {
            let next = members.iter().map(|m| m.time.end.instant()).min();
            let next = next.unwrap_or(sent.until).min(sent.until);
            tokio::select! {
                biased;
                answer = &mut answer => return Ok(answer),
                () = cancel.wait() => return Err((std::mem::take(members), Outcome::CalledOff)),
                () = sleep_until(next) => {}
            }
            let now = Instant::now();
            let is_late = |m: &Member| m.time.end.is_over(now) || now >= sent.until;
            let (late, rest): (Vec<_>, Vec<_>) = std::mem::take(members).into_iter().partition(is_late);
            *members = rest;
            if members.is_empty() {
                return Err((late, Outcome::NoAnswer));
            }
            let tell = |m: &Member| end(m, endpoint, Outcome::NoAnswer, started);
            self.report(late.iter().map(tell).collect()).await;
        }
    }

    /// A call that was given up.
    async fn gave_up(
        &self,
        link: Connection,
        (endpoint, started): (EndpointId, Instant),
        left: Vec<Member>,
        sent: &Sent,
        outcome: Outcome,
    ) {
        // An answer that is here is true, though nobody has looked at it yet; above all a wait binds from when it was
        // written.
        let came = self.hear_rest(&link, endpoint);
        let whole = came.filter(|heard| heard.whole && !sent.several);
        let ends = if let Some(Heard { status, headers, .. }) = whole {
            tracing::debug!(endpoint, status, "answer as the call was given up");
            let answer = Answer { fresh: sent.idle.is_none(), status, headers, ends: None, rest: None };
            read_ends(&left, &answer, endpoint, started)
        } else {
            let outcome = if sent.is_served(&link) { Outcome::Served } else { outcome };
            left.iter().map(|m| end(m, endpoint, outcome, started)).collect()
        };
        // Closed before it is told: the next attempt of a message that is still out on an open connection would be a
        // second copy, and the call would still hold its slot.
        link.close().await;
        self.pool.count_closed(Reason::Spoilt, 1);
        self.report(ends).await;
    }

    /// A call whose answer can't be read.
    async fn broke(
        &self,
        link: Connection,
        (endpoint, started): (EndpointId, Instant),
        members: Vec<Member>,
        sent: &Sent,
        fault: Fault,
    ) {
        // Its body or the connection may be spoilt: the wait in its head is true.
        let came = self.hear_rest(&link, endpoint);
        let wait = came.and_then(|heard| wait_told(&heard.headers)).map_or(0, |w| w.as_nanos() as Ns);
        let served = sent.is_served(&link);
        let kept = sent.idle.filter(|_| link.socket.head().is_empty());
        link.close().await;
        self.pool.count_closed(Reason::Spoilt, 1);
        tracing::debug!(%fault, served, "no answer that can be read");
        let outcome = match fault {
            _ if served => Outcome::Served,
            Fault::Broken(_) => Outcome::ConnectionLost,
            _ => Outcome::NoConnection,
        };
        if let Some(idle) = kept.filter(|_| outcome == Outcome::ConnectionLost) {
            self.pool.distrust(endpoint, idle);
        }
        let lost =
            |m| AttemptEnd { wait, reused_connection: kept.is_some(), ..end(m, endpoint, outcome, started) };
        self.report(members.iter().map(lost).collect()).await;
    }

    async fn answer(
        &self,
        link: &mut Connection,
        request: Request<Full<Bytes>>,
        endpoint: EndpointId,
        several: bool,
    ) -> Result<Answer, Fault> {
        let (socket, fresh) = (link.socket.clone(), link.idle().is_none());
        let (head, body) = tokio::select! {
            biased;
            answer = link.send(request) => answer?.into_parts(),
            () = head_is_late(&socket) => return Err(Fault::Broken("the head does not end".into())),
        };
        socket.rest();
        // At once: calls to other endpoints of the destination may be about to be written.
        if let Some(wait) = wait_told(&head.headers) {
            self.pool.heed_wait(endpoint, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && several {
            let whole = timeout(WHOLE, Limited::new(body, MAX_BODY).collect()).await;
            let whole = whole.map_err(|_| Fault::Broken("the answer does not end".into()))?;
            let whole = whole.map_err(|e| Fault::Broken(format!("the answer can't be read: {e}")))?;
            return Ok(Answer { fresh, status, headers, ends: Some(whole.to_bytes()), rest: None });
        }
        Ok(Answer { fresh, status, headers, ends: None, rest: Some(body) })
    }

    /// Looks at what of an answer is here though the library has not told of it. A wait in it binds.
    fn hear_rest(&self, link: &Connection, endpoint: EndpointId) -> Option<Heard> {
        link.socket.hear_rest();
        let came = heard(&link.socket.head());
        let wait = came.as_ref().and_then(|heard| wait_told(&heard.headers));
        wait.into_iter().for_each(|wait| self.pool.heed_wait(endpoint, wait));
        came
    }

    async fn report(&self, ends: Vec<AttemptEnd>) {
        if !ends.is_empty() {
            let _ = self.core.send(Input::Ended(ends)).await;
        }
    }
}

fn parts(members: Vec<Member>) -> Vec<Vec<Member>> {
    let mut parts: Vec<Vec<Member>> = Vec::new();
    let mut size = 0;
    for member in members {
        let t = &member.taken;
        let texts = t.trace.len() + t.key.as_ref().map_or(0, String::len);
        let own = t.body.len().div_ceil(3) * 4 + 2 * texts + 40;
        match parts.last_mut().filter(|_| size + own < MAX_BODY) {
            Some(part) => part.push(member),
            None => {
                parts.push(vec![member]);
                size = 2;
            }
        }
        size += own;
    }
    parts
}

fn build(members: &[Member], to: SocketAddr, wait: u64) -> Request<Full<Bytes>> {
    let wait = wait.to_string();
    let mut headers = vec![("x-expires-in-ms", wait.as_str())];
    let [only] = members else {
        let list: Vec<Value> = members
            .iter()
            .map(|m| {
                let body = base64::engine::general_purpose::STANDARD.encode(&m.taken.body);
                match &m.taken.key {
                    Some(key) => json!({"id": m.taken.trace, "key": key, "body": body}),
                    None => json!({"id": m.taken.trace, "body": body}),
                }
            })
            .collect();
        headers.push(("content-type", "application/json"));
        return request("POST", "/v1/messages:batch", to, &headers, Value::from(list).to_string().into());
    };
    let taken = &only.taken;
    headers.push(("x-trace-id", &taken.trace));
    if let Some(key) = &taken.key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/v1/messages", to, &headers, taken.body.clone())
}

/// Bytes of a request on the wire, but for the few that the library adds itself.
fn least_length(request: &Request<Full<Bytes>>) -> u64 {
    let lines = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    lines.sum::<usize>() as u64 + request.body().size_hint().lower()
}

pub fn end(m: &Member, endpoint: EndpointId, outcome: Outcome, started: Instant) -> AttemptEnd {
    let done = outcome == Outcome::Served;
    let took = started.elapsed().as_nanos() as Ns;
    let (id, attempt) = (m.taken.id, m.attempt);
    AttemptEnd { id, attempt, endpoint, outcome, took, done, wait: 0, report: None, reused_connection: false }
}

/// The protocol's table: outcome, and whether the message is over. What it does not name may have run.
fn outcome(status: u16, headers: &HeaderMap, fresh: bool) -> (Outcome, bool) {
    match status {
        200 => (Outcome::Served, true),
        429 => (Outcome::TurnedAway, false),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => (Outcome::NotSent, false),
        // A limit, a queue and a shut door are told on a connection that stays; one that the endpoint has no room
        // for is turned away as a whole.
        503 if fresh && says_close(headers) && wait_told(headers).is_none() => (Outcome::Crowded, false),
        503 => (Outcome::TurnedAway, false),
        410 => (Outcome::NotSent, true),
        400 | 413 | 504 => (Outcome::NotSent, false),
        _ => (Outcome::ServerError, false),
    }
}

fn read_ends(members: &[Member], answer: &Answer, endpoint: EndpointId, started: Instant) -> Vec<AttemptEnd> {
    let wait = wait_told(&answer.headers).map_or(0, |w| w.as_nanos() as Ns);
    let report = load_report(&answer.headers);
    let list: Option<Vec<Value>> =
        answer.ends.as_ref().map(|b| serde_json::from_slice(b).unwrap_or_default());
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let states: Option<HashMap<String, String>> =
        list.map(|l| l.iter().filter_map(|v| Some((text(v, "id")?, text(v, "state")?))).collect());
    let state = |m: &Member| {
        let Some(states) = &states else { return outcome(answer.status, &answer.headers, answer.fresh) };
        match states.get(&m.taken.trace).map(String::as_str) {
            Some("done") => (Outcome::Served, true),
            Some("busy") => (Outcome::TurnedAway, false),
            Some("void") => (Outcome::NotSent, true),
            Some("used_up") => (Outcome::NotSent, false),
            // `failed`, or an answer that leaves it out: it may have run.
            _ => (Outcome::ServerError, false),
        }
    };
    let tell = |m: &Member| {
        let (outcome, done) = state(m);
        AttemptEnd { done, wait, report, ..end(m, endpoint, outcome, started) }
    };
    members.iter().map(tell).collect()
}

/// What has come of an answer behind the interim ones (1xx) before it.
fn final_head(mut bytes: &[u8]) -> &[u8] {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(n)) if matches!(head.code, Some(100..=199)) => bytes = &bytes[n..],
            _ => return bytes,
        }
    }
}

/// What of an answer's head has come, line by line.
struct Heard {
    status: u16,
    headers: HeaderMap,
    whole: bool,
}

fn heard(bytes: &[u8]) -> Option<Heard> {
    let bytes = final_head(bytes);
    let read = |bytes: &[u8]| {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let whole = head.parse(bytes).is_ok_and(|status| status.is_complete());
        let status = head.code.filter(|_| whole)?;
        let line = |h: &httparse::Header| {
            Some((HeaderName::from_bytes(h.name.as_bytes()).ok()?, HeaderValue::from_bytes(h.value).ok()?))
        };
        Some((status, head.headers.iter().filter_map(line).collect()))
    };
    if let Some((status, headers)) = read(bytes) {
        return Some(Heard { status, headers, whole: true });
    }
    // A line that has come to its end is true, whatever was to follow.
    let lines = bytes.iter().rposition(|&b| b == b'\n')? + 1;
    let (status, headers) = read(&[&bytes[..lines], b"\r\n"].concat())?;
    Some(Heard { status, headers, whole: false })
}

/// Whether the first line of an answer has come whole and says 200.
fn says_200(bytes: &[u8]) -> bool {
    let head = final_head(bytes);
    let line = head.split(|&b| b == b'\n').next().filter(|line| line.len() < head.len());
    let mut words = line.unwrap_or_default().trim_ascii_end().splitn(3, |&b| b == b' ');
    words.next().is_some_and(|version| version.starts_with(b"HTTP/1.")) && words.next() == Some(b"200")
}

/// Returns once an answer's head has begun and does not end in time; interim answers are none.
async fn head_is_late(socket: &Socket) {
    loop {
        match socket.heard() {
            None => socket.news.notified().await,
            Some(heard) => {
                sleep_until(heard + HEAD).await;
                if !final_head(&socket.head()).is_empty() {
                    return;
                }
                socket.hear_on();
            }
        }
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// `Retry-After` in seconds, whole or with decimals.
fn wait_told(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Duration::from_secs_f64(seconds.min(LONGEST_WAIT)))
}

/// `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`. What can't be read, or makes no sense, is no report: half of one
/// would pass for a limit that is used up, or for none.
fn load_report(headers: &HeaderMap) -> Option<LimitReport> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok());
        value.filter(|v| v.is_finite() && *v >= 0.0)
    };
    Some(LimitReport { remaining: value("x0")?, limit: value("x1")? })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_is_heard_line_by_line_whatever_comes_before_and_after() {
        let answer =
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Wait\r\nRetry-After: 1.5\r\nX-More: y\r\n\r\nrest";
        let (told, end) = (answer.len() - 4 - 2 - 11, answer.len() - 4);
        for cut in 0..=answer.len() {
            let heard = heard(&answer[..cut]);
            let wait = heard.as_ref().and_then(|h| wait_told(&h.headers));
            assert_eq!(wait, (cut >= told).then_some(Duration::from_millis(1_500)), "cut at {cut}");
            assert_eq!(heard.is_some_and(|h| h.whole && h.status == 429), cut >= end, "cut at {cut}");
        }
        assert!(heard(b"garbage\r\n\r\n").is_none());
    }

    #[test]
    fn a_connection_that_is_turned_away_as_a_whole_is_no_word_of_the_limit() {
        let headers = |pairs: &[(&'static str, &str)]| -> HeaderMap {
            pairs.iter().map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap())).collect()
        };
        let close = headers(&[("connection", "close")]);
        assert_eq!(outcome(503, &close, true), (Outcome::Crowded, false));
        assert_eq!(outcome(503, &close, false), (Outcome::TurnedAway, false));
        assert_eq!(outcome(503, &headers(&[]), true), (Outcome::TurnedAway, false));
        let told = headers(&[("connection", "close"), ("retry-after", "0.4")]);
        assert_eq!(outcome(503, &told, true), (Outcome::TurnedAway, false));
        assert_eq!(outcome(429, &close, true), (Outcome::TurnedAway, false));
    }
}
