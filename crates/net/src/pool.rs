//! Connections that are kept from one call to the next, and which of them a call may use.
use crate::runtime;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most unsettled ids on one connection; with more, it isn't kept.
const MAX_UNSETTLED: usize = 64;

/// A connection and what is to be known of it before it is used again.
pub(crate) struct Connection<S> {
    pub stream: S,
    /// Ids of requests that were answered on this connection and may be sent again. The peer may answer one of them a
    /// second time, and nothing in that answer tells which attempt it is for.
    unsettled: Vec<String>,
}

impl<S> Connection<S> {
    /// A connection that has carried nothing yet.
    pub fn new(stream: S) -> Connection<S> {
        Connection { stream, unsettled: Vec::new() }
    }

    /// Notes an id that may be sent again.
    pub fn note_unsettled(&mut self, id: &str) {
        self.unsettled.push(id.to_string());
    }

    fn may_carry(&self, id: &str) -> bool {
        !self.unsettled.iter().any(|unsettled| unsettled == id)
    }
}

struct Idle<S> {
    connection: Connection<S>,
    until: Instant,
}

/// Idle connections by peer.
pub(crate) struct Pool<S> {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle<S>>>>,
}

impl<S> Default for Pool<S> {
    fn default() -> Pool<S> {
        Pool { idle: RefCell::default() }
    }
}

impl<S> Pool<S> {
    /// The connection that was used last among those that may carry a request with this id. If there are only others,
    /// one of them is closed, since the caller opens a connection and peers accept a limited number.
    pub fn take(&self, to: SocketAddr, id: &str, is_quiet: impl Fn(&S) -> bool) -> Option<Connection<S>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&to)?;
        let now = runtime::now();
        let mut passed_over = Vec::new();
        let mut found = None;
        while let Some(candidate) = kept.pop() {
            if now >= candidate.until || !is_quiet(&candidate.connection.stream) {
                continue;
            }
            if candidate.connection.may_carry(id) {
                found = Some(candidate.connection);
                break;
            }
            passed_over.push(candidate);
        }
        if found.is_none() {
            passed_over.pop();
        }
        kept.extend(passed_over.into_iter().rev());
        found
    }

    /// Keeps a connection for the next call.
    pub fn keep(&self, to: SocketAddr, connection: Connection<S>, keep_for: Duration) {
        if connection.unsettled.len() <= MAX_UNSETTLED {
            let until = runtime::now() + keep_for;
            self.idle.borrow_mut().entry(to).or_default().push(Idle { connection, until });
        }
    }

    /// Closes all idle connections to a peer.
    pub fn close(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Closes connections that have been idle for too long, and those to peers that `is_known` doesn't name.
    pub fn sweep(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let now = runtime::now();
        self.idle.borrow_mut().retain(|address, kept| {
            kept.retain(|idle| now < idle.until);
            !kept.is_empty() && is_known(address)
        });
    }
}
