//! The second address, for the operators: one call to a connection, answered under any load.
use crate::drain::{Drain, Evacuation, Rest, Stage};
use crate::duties::Duties;
use crate::figures::{self, Figures};
use crate::fleet::{Fleet, STATES};
use crate::handover::Folder;
use crate::inbox::Input;
use crate::server::Server;
use crate::wire::MAX_BODY;
use crate::wire::{MAX_HEAD, MAX_HEADERS};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use machine::{Conn, Listener, Stream};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// Callers at a time; their descriptors are reserved. At the bound the one that came first makes room: a call
/// takes milliseconds, so it is one that holds its connection without a whole call.
pub const CALLERS: usize = 16;
/// How long a caller may take for its call and for reading the answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// The media type of the Prometheus text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4; charset=utf-8";

pub struct Control {
    pub drain: Rc<Drain>,
    pub figures: Rc<Figures>,
    pub core: mpsc::Sender<Input>,
    pub server: Rc<Server>,
    pub folder: Rc<Folder>,
    /// None where membership is off.
    pub fleet: Option<Rc<Fleet>>,
    /// The same of duties.
    pub duties: Option<Rc<Duties>>,
    /// The core was told to end all.
    pub evacuates: Cell<bool>,
}

/// How long the store may take where a caller waits.
const STORE: Duration = Duration::from_millis(900);
/// What an evacuation may take.
const MS: Duration = Duration::from_millis(1);
const DAY: Duration = Duration::from_secs(86_400);
/// How often the drain is looked after.
const STEP: Duration = Duration::from_millis(50);

/// A span with its unit, `1500ms` or `2m 30s` say, of a day at most.
fn span(text: &str) -> Option<Duration> {
    let span = humantime::parse_duration(text).ok()?;
    (MS..=DAY).contains(&span).then_some(span)
}

impl Control {
    /// What is left; None once the core has ended.
    async fn rest(&self) -> Option<Rest> {
        let (reply, rest) = oneshot::channel();
        let _ = self.core.send(Input::Rest(reply)).await;
        Some(Rest { clients: self.server.open.get(), ..rest.await.ok()? })
    }

    /// Leads a drain from stage to stage. Ends with the core.
    pub async fn lead(self: Rc<Self>) {
        let mut stage = self.drain.follow();
        loop {
            if self.drain.sends_away() && self.drain.stage() != Stage::Ending {
                let Some(rest) = self.rest().await else { return };
                let over = self.drain.go_on(Instant::now(), &rest);
                self.tell(over).await;
                sleep(STEP).await;
                continue;
            }
            tokio::select! {
                changed = stage.changed() => if changed.is_err() { return },
                () = self.core.closed() => return,
            }
        }
    }

    /// Tells the core whether all must end now, where it does not know.
    async fn tell(&self, evacuates: bool) {
        if self.evacuates.replace(evacuates) != evacuates {
            let _ = self.core.send(Input::Evacuate(evacuates)).await;
        }
    }

    /// A drain that begins is noted for the process that comes after this one, first.
    fn begin(&self, evacuation: Option<Evacuation>) -> Response<Full<Bytes>> {
        let now = Instant::now();
        if !matches!(self.drain.stage(), Stage::Starting | Stage::Ending) {
            let sooner = self.drain.evacuation().into_iter().chain(evacuation).min_by_key(|e| e.by);
            if let Err(error) = self.folder.note_drain(sooner, now) {
                tracing::error!(%error, "the drain can't be noted for a restart");
                return text(StatusCode::INTERNAL_SERVER_ERROR, "it can't be noted in the folder\n");
            }
        }
        yes_or_no(match evacuation {
            Some(evacuation) => self.drain.evacuate(now, evacuation),
            None => self.drain.drain(now),
        })
    }

    async fn activate(&self) -> Response<Full<Bytes>> {
        if self.drain.stage() != Stage::Ending {
            if let Err(error) = self.folder.forget_drain() {
                tracing::error!(%error, "the end of the drain can't be noted for a restart");
                return text(StatusCode::INTERNAL_SERVER_ERROR, "it can't be noted in the folder\n");
            }
        }
        let yes = self.drain.activate(Instant::now());
        if yes {
            // Before it is said: what comes after the answer is taken on.
            self.tell(false).await;
        }
        yes_or_no(yes)
    }

    async fn status(&self) -> Response<Full<Bytes>> {
        let Some(rest) = self.rest().await else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the core has ended\n");
        };
        let now = Instant::now();
        let ms = |span: Duration| span.as_millis() as u64;
        let stage = self.drain.stage();
        let status = json!({
            "stage": stage,
            "for_ms": ms(now.saturating_duration_since(self.drain.since())),
            "evacuates_within_ms": self.drain.evacuation().map(|e| ms(e.by.saturating_duration_since(now))),
            "left": rest,
            "safe_to_switch_off": stage == Stage::Empty,
        });
        json_text(&status)
    }

    /// Never ends. No caller waits for another: each is served by a task of its own.
    pub async fn serve(self: Rc<Self>, listener: Box<dyn Listener>) {
        let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            let stream = match listener.accept().await {
                Ok(stream) => stream,
                Err(error) => {
                    tracing::warn!(%error, "cannot accept on the control address");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let mut callers = callers.borrow_mut();
            callers.retain(|c| !c.is_finished());
            if callers.len() >= CALLERS {
                callers.pop_front().into_iter().for_each(|c| c.abort());
            }
            let control = self.clone();
            callers.push_back(tokio::task::spawn_local(control.caller(stream)).abort_handle());
        }
    }

    async fn caller(self: Rc<Self>, stream: Box<dyn Stream>) {
        let service = service_fn(|request| {
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let mut http = Builder::new();
        http.keep_alive(false).max_buf_size(MAX_HEAD).max_headers(MAX_HEADERS);
        let _ = timeout(PATIENCE, http.serve_connection(TokioIo::new(Conn(stream)), service)).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        // No call needs a body, but closing with a part of one unread would reset the answer away.
        if Limited::new(body, MAX_BODY).collect().await.is_err() {
            return text(StatusCode::BAD_REQUEST, "the body can't be read\n");
        }
        let method = &head.method;
        match head.uri.path() {
            "/v1/readyz" if is_read(method) => yes_or_no(self.drain.is_ready()),
            "/v1/metrics" if is_read(method) => self.figures().await,
            "/v1/members" if is_read(method) => match &self.fleet {
                Some(fleet) => json_text(&fleet.json()),
                None => text(StatusCode::NOT_FOUND, "membership is off\n"),
            },
            "/v1/duties" if is_read(method) => match &self.duties {
                // The store is asked; the caller is owed an answer in a second.
                Some(duties) => match timeout(STORE, duties.json()).await {
                    Ok(Ok(value)) => json_text(&value),
                    Ok(Err(trouble)) => {
                        tracing::debug!(%trouble, "duties can't be told");
                        text(StatusCode::SERVICE_UNAVAILABLE, "the store does not answer\n")
                    }
                    Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "the store does not answer in time\n"),
                },
                None => text(StatusCode::NOT_FOUND, "duties are off\n"),
            },
            "/v1/members/strike" if method == Method::PUT => {
                self.strike(head.uri.query().unwrap_or_default())
            }
            "/v1/readyz" | "/v1/metrics" | "/v1/members" | "/v1/duties" => wrong_method("GET, HEAD"),
            "/v1/members/strike" => wrong_method("PUT"),
            "/v1/sender/drain" if method == Method::PUT => self.begin(None),
            "/v1/sender/drain" if is_read(method) => self.status().await,
            "/v1/sender/evacuate" if method == Method::PUT => {
                let within =
                    head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("within=")));
                match within.and_then(span) {
                    Some(within) => self.begin(Some(Evacuation::new(Instant::now(), within))),
                    None => {
                        text(StatusCode::BAD_REQUEST, "within=30s (ms, s or m, a day at most) is needed\n")
                    }
                }
            }
            "/v1/sender/activate" if method == Method::PUT => self.activate().await,
            "/v1/sender/drain" => wrong_method("GET, HEAD, PUT"),
            "/v1/sender/evacuate" | "/v1/sender/activate" => wrong_method("PUT"),
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    /// Takes a member that is gone for good out of the roster.
    fn strike(&self, query: &str) -> Response<Full<Bytes>> {
        let of = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let (Some(fleet), Some(name)) = (&self.fleet, of("name")) else {
            let off = self.fleet.is_none();
            return match off {
                true => text(StatusCode::NOT_FOUND, "membership is off\n"),
                false => text(StatusCode::BAD_REQUEST, "name=NAME is needed\n"),
            };
        };
        match fleet.strike(name, of("vouched") == Some("yes")) {
            Some(Ok(())) => yes_or_no(true),
            Some(Err(refused)) => owned_text(StatusCode::CONFLICT, format!("{refused}\n")),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "membership has no address yet\n"),
        }
    }

    async fn figures(&self) -> Response<Full<Bytes>> {
        let (reply, gauges) = oneshot::channel();
        // Where the core has ended the question is dropped, and its answer with it.
        let _ = self.core.send(Input::Gauges(reply)).await;
        let Ok(mut gauges) = gauges.await else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the core has ended\n");
        };
        gauges.process = figures::Process::now();
        gauges.fleet = self.fleet.as_ref().map(|fleet| {
            let members = fleet.members();
            let count = |state| members.iter().filter(|m| m.state == state).count();
            let dropped = fleet.dropped();
            figures::Fleet {
                states: STATES.iter().map(|&(state, name)| (name, count(state))).collect(),
                conflicts: members.iter().filter(|m| m.conflicts).count(),
                disagreeing: members.iter().filter(|m| m.differs_ms.is_some()).count(),
                impaired: members.iter().filter(|m| m.impairment.is_some()).count(),
                counts: fleet.counts(),
                standing: fleet.standing().map(|(standing, changes)| (standing.name(), changes)),
                dropped: vec![
                    ("too_long", dropped.too_long),
                    ("other_version", dropped.other_version),
                    ("other_fleet", dropped.other_fleet),
                    ("malformed", dropped.malformed),
                ],
            }
        });
        let mut response = Response::new(Full::new(self.figures.text(&gauges).into()));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(TEXT_FORMAT));
        response
    }
}

fn json_text(value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(format!("{value}\n").into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn is_read(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}

fn yes_or_no(yes: bool) -> Response<Full<Bytes>> {
    match yes {
        true => text(StatusCode::OK, "yes\n"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "no\n"),
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    owned_text(status, text)
}

fn owned_text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}
