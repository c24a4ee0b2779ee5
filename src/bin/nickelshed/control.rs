//! The second address, for the operators: one call to a connection, answered under any load.
use crate::core::Input;
use crate::drain::Drain;
use crate::figures::Figures;
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
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

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
}

impl Control {
    /// Never ends. No caller waits for another: each is served by a task of its own.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let callers: RefCell<VecDeque<AbortHandle>> = RefCell::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
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

    async fn caller(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let mut http = Builder::new();
        http.keep_alive(false).max_buf_size(MAX_HEAD).max_headers(MAX_HEADERS);
        let _ = timeout(PATIENCE, http.serve_connection(TokioIo::new(stream), service)).await;
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
            "/v1/readyz" | "/v1/metrics" => wrong_method("GET, HEAD"),
            "/v1/sender/drain" if method == Method::PUT => yes_or_no(self.drain.drain()),
            "/v1/sender/activate" if method == Method::PUT => yes_or_no(self.drain.activate()),
            "/v1/sender/drain" | "/v1/sender/activate" => wrong_method("PUT"),
            _ => text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn figures(&self) -> Response<Full<Bytes>> {
        let (reply, gauges) = oneshot::channel();
        // Where the core has ended the question is dropped, and its answer with it.
        let _ = self.core.send(Input::Gauges(reply)).await;
        let Ok(gauges) = gauges.await else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the core has ended\n");
        };
        let mut response = Response::new(Full::new(self.figures.text(&gauges).into()));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(TEXT_FORMAT));
        response
    }
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
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}
