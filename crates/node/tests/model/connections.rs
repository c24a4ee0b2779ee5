//! A connection to an endpoint that handles one request at a time: answers come in the order in which they were sent, and
//! one that nobody asked for stands before the next.
use net::http::Response;
use net::wake::Watched;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Default)]
pub struct Connection {
    answers: RefCell<VecDeque<Response>>,
    /// Number of requests that came, and of those that are done.
    came: Cell<u64>,
    done: Cell<u64>,
    closed: Cell<bool>,
    changes: Watched,
}

/// The endpoint works on a request; the next one on the connection waits.
pub struct Turn(Rc<Connection>);

impl Turn {
    pub fn end(self) {
        self.0.done.set(self.0.done.get() + 1);
        self.0.changes.raise();
    }
}

impl Connection {
    /// Waits until all requests before this one are done.
    pub async fn take_turn(self: &Rc<Self>) -> Turn {
        let number = self.came.replace(self.came.get() + 1);
        while self.done.get() < number {
            self.changes.changed(self.changes.get()).await;
        }
        Turn(self.clone())
    }

    /// The endpoint sends an answer.
    pub fn send(&self, answer: Response) {
        self.answers.borrow_mut().push_back(answer);
        self.changes.raise();
    }

    /// The next answer that names a request; others before it are passed over.
    pub async fn answer_to(&self, id: &str) -> Response {
        loop {
            while let Some(answer) = self.next_answer() {
                if answer.header("x-request-id") == id {
                    return answer;
                }
            }
            self.changes.changed(self.changes.get()).await;
        }
    }

    fn next_answer(&self) -> Option<Response> {
        self.answers.borrow_mut().pop_front()
    }

    /// The store gives the connection up: the endpoint drops what it hasn't begun.
    pub fn close(&self) {
        self.closed.set(true);
    }

    pub fn is_open(&self) -> bool {
        !self.closed.get()
    }

    /// Nothing has come that wasn't read.
    pub fn is_quiet(&self) -> bool {
        self.answers.borrow().is_empty()
    }
}
