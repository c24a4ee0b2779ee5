//! Whether clients are wanted: the one state that health checks, client connections and the control calls follow.
use tokio::sync::watch;

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
pub struct Drain(watch::Sender<State>);

impl Drain {
    pub fn new() -> Drain {
        Drain(watch::Sender::new(State::Starting))
    }

    pub fn state(&self) -> State {
        *self.0.borrow()
    }

    pub fn is_active(&self) -> bool {
        self.state() == State::Active
    }

    pub fn follow(&self) -> watch::Receiver<State> {
        self.0.subscribe()
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
        if self.0.send_replace(State::Ending) != State::Ending {
            tracing::info!(to = ?State::Ending, "clients");
        }
    }

    fn change(&self, from: State, to: State) {
        let changed = self.0.send_if_modified(|s| *s == from && std::mem::replace(s, to) != to);
        if changed {
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
