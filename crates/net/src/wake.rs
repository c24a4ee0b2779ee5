//! Waking tasks of one thread.
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

/// Has a task wait among others; once, however often it looks.
fn wait(waiting: &RefCell<Vec<Waker>>, context: &Context<'_>) -> Poll<()> {
    let mut waiting = waiting.borrow_mut();
    if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
        waiting.push(context.waker().clone());
    }
    Poll::Pending
}

/// Wakes the tasks that wait; a wake with nobody waiting is kept for the next who does.
#[derive(Default)]
pub struct Notify {
    told: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all that wait now, or lets the next waiter pass.
    pub fn notify(&self) {
        self.told.set(true);
        for waker in self.waiting.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Waits for the next wake. One waiter at a time takes it.
    pub async fn notified(&self) {
        poll_fn(|context| {
            if self.told.replace(false) {
                return Poll::Ready(());
            }
            wait(&self.waiting, context)
        })
        .await
    }
}

/// A number that only rises, and tasks that wait for it to change.
#[derive(Default)]
pub struct Watched {
    version: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Watched {
    /// The number now.
    pub fn get(&self) -> u64 {
        self.version.get()
    }

    /// Raises the number and wakes all that wait.
    pub fn raise(&self) {
        self.version.set(self.version.get() + 1);
        for waker in self.waiting.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Waits until the number isn't `seen` any more.
    pub async fn changed(&self, seen: u64) {
        poll_fn(|context| {
            if self.version.get() != seen {
                return Poll::Ready(());
            }
            wait(&self.waiting, context)
        })
        .await
    }
}
