//! How far this process has gone in sending its clients away and emptying itself: the one state that health checks,
//! client connections and the control calls follow. Times and counts are passed in.
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Not yet listening.
    Starting,
    Serving,
    /// Health says no and connections are closed as they fall idle; who comes all the same is served.
    LameDuck,
    /// Nothing is taken on; what is held is delivered or ended.
    Finishing,
    /// Nothing is left.
    Empty,
    /// The process was told to end; nothing leads back.
    Ending,
}

/// How long a front may need to notice; a lame duck without clients for so long has been noticed by all.
const NOTICED: Duration = Duration::from_millis(500);
/// After so long a lame duck takes nothing more on, whoever has not noticed.
const LAME: Duration = Duration::from_secs(2);
/// Part of an evacuation's time, and at most so long, that is kept for the notices of what is ended by it.
const FOR_NOTICES: u32 = 4;
const FOR_NOTICES_AT_MOST: Duration = Duration::from_secs(2);

/// What is left in the process, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Rest {
    pub clients: usize,
    /// Messages that wait, here or in a process beside this one.
    pub held: usize,
    /// Messages with an attempt out.
    pub out: usize,
    /// Ends that the platform has not answered.
    pub notices: usize,
    /// Messages that the journal holds, in whatever state.
    pub kept: usize,
}

impl Rest {
    fn is_nothing(&self) -> bool {
        *self == Rest::default()
    }
}

/// A machine that goes for good: by `by` nothing may be left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    pub by: Instant,
    within: Duration,
}

impl Evacuation {
    pub fn new(now: Instant, within: Duration) -> Evacuation {
        Evacuation { by: now + within, within }
    }

    /// When what is left is ended, so that there is time for the notices.
    fn ends_at(&self) -> Instant {
        self.by.checked_sub((self.within / FOR_NOTICES).min(FOR_NOTICES_AT_MOST)).unwrap_or(self.by)
    }
}

/// The owner of the state. Whoever follows it holds a receiver.
pub struct Drain {
    stage: watch::Sender<Stage>,
    since: Cell<Instant>,
    /// When clients were last begun to be sent away.
    began: Cell<Instant>,
    evacuation: RefCell<Option<Evacuation>>,
    /// Nothing can be taken on.
    is_unfit: Cell<bool>,
    /// The journal's last write failed. Clients are told so one by one, and readiness stays.
    is_stuck: Cell<bool>,
    /// A process before this one was sending its clients away: this one begins where that stood.
    inherited: Cell<bool>,
}

impl Drain {
    pub fn new(now: Instant) -> Drain {
        Drain {
            stage: watch::Sender::new(Stage::Starting),
            since: Cell::new(now),
            began: Cell::new(now),
            evacuation: RefCell::default(),
            is_unfit: Cell::new(false),
            is_stuck: Cell::new(false),
            inherited: Cell::new(false),
        }
    }

    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// When the stage last changed.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    pub fn evacuation(&self) -> Option<Evacuation> {
        *self.evacuation.borrow()
    }

    pub fn is_active(&self) -> bool {
        self.stage() == Stage::Serving
    }

    /// The last write of the journal failed, or did not.
    pub fn set_stuck(&self, stuck: bool) {
        self.is_stuck.set(stuck);
    }

    /// Whether nothing could be written down when it was last tried.
    pub fn is_stuck(&self) -> bool {
        self.is_unfit.get() || self.is_stuck.get()
    }

    /// Whether clients should come: also not while nothing can be taken on.
    pub fn is_ready(&self) -> bool {
        self.is_active() && !self.is_unfit.get()
    }

    /// Whether clients are sent away.
    pub fn sends_away(&self) -> bool {
        !matches!(self.stage(), Stage::Starting | Stage::Serving)
    }

    /// Since when clients are sent away, if they are.
    pub fn away_since(&self) -> Option<Instant> {
        self.sends_away().then(|| self.began.get())
    }

    /// Whether a message that comes may be taken on.
    pub fn takes_on(&self) -> bool {
        !matches!(self.stage(), Stage::Finishing | Stage::Empty)
    }

    pub fn set_unfit(&self, unfit: bool) {
        self.is_unfit.set(unfit);
    }

    pub fn follow(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Before it listens: it goes on with the drain of a process before it.
    pub fn inherit(&self, evacuation: Option<Evacuation>) {
        self.inherited.set(true);
        *self.evacuation.borrow_mut() = evacuation;
    }

    /// Clients can connect from now on; an end that was told before stands.
    pub fn listening(&self, now: Instant) {
        let next = if self.inherited.get() { Stage::LameDuck } else { Stage::Serving };
        self.change(&[Stage::Starting], next, now);
    }

    /// Whether clients are sent away now.
    pub fn drain(&self, now: Instant) -> bool {
        self.change(&[Stage::Serving], Stage::LameDuck, now);
        self.sends_away()
    }

    /// The same, with an end: of two that are told the sooner one holds.
    pub fn evacuate(&self, now: Instant, evacuation: Evacuation) -> bool {
        if !self.drain(now) || self.stage() == Stage::Ending {
            return false;
        }
        let mut held = self.evacuation.borrow_mut();
        let sooner = held.filter(|held| held.by <= evacuation.by).unwrap_or(evacuation);
        *held = Some(sooner);
        true
    }

    /// Whether clients are taken again.
    pub fn activate(&self, now: Instant) -> bool {
        if self.change(&[Stage::LameDuck, Stage::Finishing, Stage::Empty], Stage::Serving, now) {
            *self.evacuation.borrow_mut() = None;
        }
        self.is_active()
    }

    pub fn end(&self, now: Instant) {
        let all = [Stage::Starting, Stage::Serving, Stage::LameDuck, Stage::Finishing, Stage::Empty];
        self.change(&all, Stage::Ending, now);
    }

    /// Goes on to the stage that is due. Whether all that is left must end now.
    pub fn go_on(&self, now: Instant, rest: &Rest) -> bool {
        let over = self.evacuation().is_some_and(|e| now >= e.ends_at()) && self.sends_away();
        let stood = now.saturating_duration_since(self.since());
        let enough = stood >= if rest.clients == 0 { NOTICED } else { LAME };
        if over || enough {
            self.change(&[Stage::LameDuck], Stage::Finishing, now);
        }
        // Something of another process of this sender may come to be this one's; who only asks is nothing.
        if rest.is_nothing() {
            self.change(&[Stage::Finishing], Stage::Empty, now);
        } else if !(Rest { clients: 0, ..*rest }).is_nothing() {
            self.change(&[Stage::Empty], Stage::Finishing, now);
        }
        over
    }

    fn change(&self, from: &[Stage], to: Stage, now: Instant) -> bool {
        let stage = self.stage();
        let goes = from.contains(&stage);
        if goes {
            self.since.set(now);
            if matches!(stage, Stage::Starting | Stage::Serving) || to == Stage::Ending {
                self.began.set(now);
            }
            self.stage.send_replace(to);
            tracing::info!(from = ?stage, ?to, "clients");
        }
        goes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn rest(clients: usize, held: usize) -> Rest {
        Rest { clients, held, kept: held, ..Rest::default() }
    }

    #[test]
    fn calls_may_be_repeated_and_an_end_is_for_good() {
        let now = Instant::now();
        let drain = Drain::new(now);
        assert!(!drain.drain(now) && !drain.activate(now), "there is nobody to send away yet");
        drain.listening(now);
        assert!(drain.activate(now) && drain.is_active());
        assert!(drain.drain(now) && drain.drain(now) && !drain.is_active());
        assert!(drain.activate(now) && drain.activate(now) && drain.is_active());
        drain.end(now);
        drain.listening(now);
        assert!(drain.drain(now) && !drain.activate(now));
        assert!(!drain.evacuate(now, Evacuation::new(now, ms(100))), "it ends by itself");
        assert_eq!(drain.stage(), Stage::Ending);
    }

    #[test]
    fn the_stages_follow_each_other_by_time_and_by_what_is_left() {
        let now = Instant::now();
        let drain = Drain::new(now);
        drain.listening(now);
        assert!(!drain.go_on(now + ms(60_000), &rest(0, 0)));
        assert_eq!(drain.stage(), Stage::Serving, "only a call begins it");
        drain.drain(now);
        let rows = [
            (499, rest(0, 0), Stage::LameDuck),
            (500, rest(1, 0), Stage::LameDuck),
            (1_999, rest(1, 9), Stage::LameDuck),
            (2_000, rest(1, 9), Stage::Finishing),
            (9_000, rest(1, 0), Stage::Finishing),
            (9_001, rest(0, 1), Stage::Finishing),
            (9_002, rest(0, 0), Stage::Empty),
            (9_003, rest(1, 0), Stage::Empty),
            (9_003, rest(0, 1), Stage::Finishing),
            (9_004, rest(0, 0), Stage::Empty),
        ];
        for (at, left, stage) in rows {
            assert!(!drain.go_on(now + ms(at), &left));
            assert_eq!(drain.stage(), stage, "at {at} with {left:?}");
            assert_eq!(drain.takes_on(), stage == Stage::LameDuck);
        }
        assert!(drain.activate(now + ms(9_005)) && drain.takes_on());
        drain.drain(now + ms(9_006));
        drain.go_on(now + ms(9_600), &rest(0, 5));
        assert_eq!(drain.stage(), Stage::Finishing, "without clients it need not wait for long");
    }

    #[test]
    fn an_evacuation_ends_what_is_left_in_time_for_the_notices_and_the_sooner_of_two_holds() {
        let now = Instant::now();
        let drain = Drain::new(now);
        drain.listening(now);
        assert!(drain.evacuate(now, Evacuation::new(now, ms(30_000))));
        assert!(drain.evacuate(now, Evacuation::new(now, ms(8_000))));
        assert!(drain.evacuate(now, Evacuation::new(now, ms(60_000))));
        assert!(!drain.go_on(now + ms(5_999), &rest(2, 5)));
        assert!(drain.go_on(now + ms(6_000), &rest(2, 5)) && drain.go_on(now + ms(6_100), &rest(0, 0)));
        assert_eq!(drain.stage(), Stage::Empty);
        assert!(drain.activate(now + ms(6_200)));
        assert!(!drain.go_on(now + ms(9_000), &rest(0, 1)), "the call that ends it ends the evacuation");
        // One that leaves no time for a lame duck takes nothing on once it ends all.
        let short = now + ms(10_000);
        drain.evacuate(short, Evacuation::new(short, ms(400)));
        assert!(drain.go_on(short + ms(300), &rest(1, 1)) && !drain.takes_on());
    }

    #[test]
    fn what_a_process_before_was_told_holds_from_the_first_moment() {
        let now = Instant::now();
        let drain = Drain::new(now);
        drain.inherit(Some(Evacuation::new(now, ms(100))));
        drain.listening(now);
        assert!(!drain.is_ready() && drain.stage() == Stage::LameDuck);
        assert!(drain.go_on(now + ms(75), &rest(0, 1)));
    }
}
