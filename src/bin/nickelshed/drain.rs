//! Whether clients are wanted: the one state that health checks, client connections and the control calls follow.
use std::cell::Cell;
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not yet listening.
    Starting,
    Active,
    /// The operators send clients away; a call ends it.
    Draining,
    /// The process was told to end; nothing leads back.
    Ending,
}

/// The owner of the state. Whoever follows it holds a receiver.
pub struct Drain {
    state: watch::Sender<State>,
    since: Cell<Instant>,
    /// Nothing can be taken on.
    is_unfit: Cell<bool>,
}

impl Drain {
    pub fn new() -> Drain {
        Drain {
            state: watch::Sender::new(State::Starting),
            since: Cell::new(Instant::now()),
            is_unfit: Cell::new(false),
        }
    }

    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// When the state last changed.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    pub fn is_active(&self) -> bool {
        self.state() == State::Active
    }

    /// Whether clients should come: also not while nothing can be taken on.
    pub fn is_ready(&self) -> bool {
        self.is_active() && !self.is_unfit.get()
    }

    pub fn set_unfit(&self, unfit: bool) {
        self.is_unfit.set(unfit);
    }

    pub fn follow(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// Clients can connect from now on; an end that was told before stands.
    pub fn listening(&self) {
        self.change(State::Starting, State::Active);
    }

    /// Whether clients are sent away now.
    pub fn drain(&self) -> bool {
        self.change(State::Active, State::Draining);
        matches!(self.state(), State::Draining | State::Ending)
    }

    /// Whether clients are taken again.
    pub fn activate(&self) -> bool {
        self.change(State::Draining, State::Active);
        self.is_active()
    }

    pub fn end(&self) {
        if self.state() != State::Ending {
            self.change(self.state(), State::Ending);
        }
    }

    fn change(&self, from: State, to: State) {
        if self.state() == from {
            self.since.set(Instant::now());
            self.state.send_replace(to);
            tracing::info!(?from, ?to, "clients");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_may_be_repeated_and_an_end_is_for_good() {
        let drain = Drain::new();
        assert!(!drain.drain() && !drain.activate(), "there is nobody to send away yet");
        drain.listening();
        assert!(drain.activate() && drain.is_active());
        assert!(drain.drain() && drain.drain() && !drain.is_active());
        assert!(drain.activate() && drain.activate() && drain.is_active());
        drain.end();
        drain.listening();
        assert!(drain.drain() && !drain.activate());
        assert_eq!(drain.state(), State::Ending);
    }
}
