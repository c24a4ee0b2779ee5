//! Which connections there are to endpoints, and which of them a call gets: the book, without any I/O. Times are passed
//! in; connections are numbers, and whoever drives this has what is behind them.
use policy::api::EndpointId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

pub type LinkId = u64;

/// A connection is not used for longer than this, so that endpoints behind a balancer get their share again.
const MOST_AGE: Duration = Duration::from_secs(300);
/// Some endpoints close idle connections earlier than the settings say, and a request shows it as a reset. What
/// was learned of that holds for so long; a reset after less idle time than this tells nothing of it.
const DISTRUST: Duration = Duration::from_secs(30);
const LEAST_IDLE: Duration = Duration::from_millis(50);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// While idle, by the other side, or with bytes that belong to no request.
    There,
    IdleTooLong,
    TooOld,
    /// As the list or the module had it.
    Withdrawn,
    /// For another's place.
    Displaced,
    /// The endpoint said so.
    ToldToClose,
    /// The end of an answer did not come.
    NotAtRest,
    /// Its call had no answer.
    Spoilt,
}

pub const REASONS: [(Reason, &str); 8] = [
    (Reason::There, "by_endpoint"),
    (Reason::IdleTooLong, "idle"),
    (Reason::TooOld, "age"),
    (Reason::Withdrawn, "withdrawn"),
    (Reason::Displaced, "displaced"),
    (Reason::ToldToClose, "told_to_close"),
    (Reason::NotAtRest, "not_at_rest"),
    (Reason::Spoilt, "spoilt"),
];

/// What is to be done for a call that wants a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This idle one, if it still stands.
    Reuse(LinkId),
    /// A new one is to be made under this number; the call waits in the queue for that or for any other.
    Dial(LinkId),
    /// As many as may are being made there; the call waits in the queue.
    Wait,
    /// There is no place, or nothing may go there.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialling,
    Busy,
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    endpoint: EndpointId,
    state: State,
    made: Instant,
    /// When it came to its state.
    since: Instant,
}

/// An endpoint that has connections, or calls that wait for one.
struct Endpoint {
    usable: bool,
    /// Those that stand idle, the one used last at the end.
    idle: Vec<LinkId>,
    dialling: usize,
    busy: usize,
    /// Calls that wait for a connection, the first to get one in front.
    waiting: VecDeque<u64>,
    /// Connections idle for so long are not used there, until then.
    brief: Option<(Duration, Instant)>,
}

impl Default for Endpoint {
    fn default() -> Endpoint {
        let (idle, waiting) = (Vec::new(), VecDeque::new());
        Endpoint { usable: true, idle, dialling: 0, busy: 0, waiting, brief: None }
    }
}

impl Endpoint {
    fn is_used(&self) -> bool {
        let has_links = self.dialling + self.busy > 0 || !self.idle.is_empty();
        has_links || !self.waiting.is_empty() || self.brief.is_some()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at a time, those that are being made among them.
    pub most: usize,
    /// Of these, being made at a time: in all, and to one endpoint.
    pub dials: usize,
    pub dials_each: usize,
    pub idle: Duration,
}

/// How many connections are in each state, to endpoints that take work and to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub idle: usize,
    pub busy: usize,
    pub dialling: usize,
}

pub struct Book {
    pub bounds: Bounds,
    links: BTreeMap<LinkId, Link>,
    /// Those in use. Any other counts as usable: nothing is asked for one that the list does not name as ready.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Those that calls wait for.
    queued: BTreeSet<EndpointId>,
    dialling: usize,
    next: u64,
}

impl Book {
    pub fn new(bounds: Bounds) -> Book {
        let (links, endpoints, queued) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Book { bounds, links, endpoints, queued, dialling: 0, next: 0 }
    }

    /// For endpoints that take work, then for all others.
    pub fn counts(&self) -> [Count; 2] {
        let mut counts = [Count::default(); 2];
        for link in self.links.values() {
            let usable = self.endpoints.get(&link.endpoint).is_some_and(|e| e.usable);
            let count = &mut counts[usize::from(!usable)];
            match link.state {
                State::Idle => count.idle += 1,
                State::Busy => count.busy += 1,
                State::Dialling => count.dialling += 1,
            }
        }
        counts
    }

    /// Whether an endpoint takes work. What stands idle at one that does not is to be closed.
    pub fn set_usable(&mut self, endpoint: EndpointId, usable: bool) -> Vec<LinkId> {
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.usable = usable;
        }
        if usable {
            Vec::new()
        } else {
            self.clear(endpoint)
        }
    }

    /// Endpoints that have connections, or calls that wait for one.
    pub fn in_use(&self) -> Vec<EndpointId> {
        self.endpoints.keys().copied().collect()
    }

    /// Forgets an endpoint that is not in use, and notes whether calls wait for one that is.
    fn tidy(&mut self, endpoint: EndpointId) {
        let known = self.endpoints.get(&endpoint);
        if known.is_some_and(|e| !e.waiting.is_empty()) {
            self.queued.insert(endpoint);
        } else {
            self.queued.remove(&endpoint);
        }
        if known.is_some_and(|e| !e.is_used()) {
            self.endpoints.remove(&endpoint);
        }
    }

    /// What stands idle there is to be closed.
    pub fn clear(&mut self, endpoint: EndpointId) -> Vec<LinkId> {
        let idle = self.endpoints.get_mut(&endpoint).map_or(Vec::new(), |e| std::mem::take(&mut e.idle));
        idle.iter().for_each(|id| _ = self.links.remove(id));
        self.tidy(endpoint);
        idle
    }

    /// Its number means nothing any more. Its connections are closed as they come back.
    pub fn forget(&mut self, endpoint: EndpointId) -> Vec<LinkId> {
        self.moved(endpoint)
    }

    /// A kept connection there was reset at a request after so long: those idle for longer are no better.
    pub fn distrust(&mut self, endpoint: EndpointId, idle: Duration, now: Instant) -> Vec<LinkId> {
        if idle >= LEAST_IDLE {
            let known = self.endpoints.entry(endpoint).or_default();
            known.brief = Some(((idle * 3 / 4).max(LEAST_IDLE), now + DISTRUST));
        }
        self.clear(endpoint)
    }

    /// Nothing is known of what an endpoint at another address does.
    pub fn moved(&mut self, endpoint: EndpointId) -> Vec<LinkId> {
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.brief = None;
        }
        self.clear(endpoint)
    }

    fn unfit(&self, id: LinkId, now: Instant) -> Option<Reason> {
        let link = self.links.get(&id)?;
        let brief =
            self.endpoints.get(&link.endpoint).and_then(|e| e.brief).filter(|(_, until)| now < *until);
        let most = brief.map_or(self.bounds.idle, |(idle, _)| idle.min(self.bounds.idle));
        if now.saturating_duration_since(link.since) >= most {
            return Some(Reason::IdleTooLong);
        }
        (now.saturating_duration_since(link.made) >= MOST_AGE).then_some(Reason::TooOld)
    }

    /// A call wants a connection. What is to be closed for it comes with the choice.
    pub fn want(&mut self, endpoint: EndpointId, now: Instant) -> (Choice, Vec<(LinkId, Reason)>) {
        let mut closed = Vec::new();
        let known = self.endpoints.get(&endpoint);
        if known.is_some_and(|e| !e.usable) {
            return (Choice::None, closed);
        }
        // The one used last is the least likely to have been closed there.
        for id in known.map_or(Vec::new(), |e| e.idle.clone()).into_iter().rev() {
            if let Some(reason) = self.unfit(id, now) {
                self.drop_link(id);
                closed.push((id, reason));
                continue;
            }
            self.take(id, now);
            return (Choice::Reuse(id), closed);
        }
        if !self.may_dial(endpoint) {
            return (Choice::Wait, closed);
        }
        if self.links.len() >= self.bounds.most {
            let idle = self.links.iter().filter(|(_, l)| l.state == State::Idle);
            let Some(oldest) = idle.min_by_key(|(_, l)| l.since).map(|(&id, _)| id) else {
                return (Choice::None, closed);
            };
            self.drop_link(oldest);
            closed.push((oldest, Reason::Displaced));
        }
        (Choice::Dial(self.dial(endpoint, now)), closed)
    }

    fn may_dial(&self, endpoint: EndpointId) -> bool {
        let each = self.endpoints.get(&endpoint).map_or(0, |e| e.dialling);
        each < self.bounds.dials_each && self.dialling < self.bounds.dials
    }

    fn dial(&mut self, endpoint: EndpointId, now: Instant) -> LinkId {
        let id = self.next;
        self.next += 1;
        self.links.insert(id, Link { endpoint, state: State::Dialling, made: now, since: now });
        self.endpoints.entry(endpoint).or_default().dialling += 1;
        self.dialling += 1;
        id
    }

    /// Connections that may be made now for calls that had to wait for a place to make one.
    pub fn due(&mut self, now: Instant) -> Vec<(EndpointId, LinkId)> {
        let mut due = Vec::new();
        while self.dialling < self.bounds.dials && self.links.len() < self.bounds.most {
            let wants = |id: &&EndpointId| {
                let known = self.endpoints.get(id);
                known.is_some_and(|e| e.usable && e.waiting.len() > e.dialling) && self.may_dial(**id)
            };
            let Some(endpoint) = self.queued.iter().find(wants).copied() else { break };
            due.push((endpoint, self.dial(endpoint, now)));
        }
        due
    }

    /// Calls that wait there get nothing.
    pub fn abandon(&mut self, endpoint: EndpointId) -> Vec<u64> {
        let told = self.endpoints.get_mut(&endpoint).map_or(Vec::new(), |e| e.waiting.drain(..).collect());
        self.tidy(endpoint);
        told
    }

    fn take(&mut self, id: LinkId, now: Instant) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.state, link.since) = (State::Busy, now);
        if let Some(known) = self.endpoints.get_mut(&link.endpoint) {
            known.idle.retain(|&other| other != id);
            known.busy += 1;
        }
    }

    fn drop_link(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else { return };
        let Some(known) = self.endpoints.get_mut(&link.endpoint) else { return };
        match link.state {
            State::Idle => known.idle.retain(|&other| other != id),
            State::Dialling => {
                known.dialling -= 1;
                self.dialling -= 1;
            }
            State::Busy => known.busy -= 1,
        }
        self.tidy(link.endpoint);
    }

    /// A call waits under this ticket for a connection there.
    pub fn wait(&mut self, endpoint: EndpointId, ticket: u64) {
        self.endpoints.entry(endpoint).or_default().waiting.push_back(ticket);
        self.queued.insert(endpoint);
    }

    /// It waits no more.
    pub fn leave(&mut self, endpoint: EndpointId, ticket: u64) {
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.waiting.retain(|&other| other != ticket);
            self.tidy(endpoint);
        }
    }

    /// A connection is made or has come back at rest. The one that waits longest gets it, else it stands idle; None if it
    /// is to be closed, as nothing may go there any more.
    pub fn ready(&mut self, id: LinkId, now: Instant) -> Option<Option<u64>> {
        let link = self.links.get_mut(&id)?;
        let known = self.endpoints.get_mut(&link.endpoint)?;
        if link.state == State::Dialling {
            known.dialling -= 1;
            self.dialling -= 1;
            known.busy += 1;
            link.made = now;
        }
        (link.state, link.since) = (State::Busy, now);
        if !known.usable {
            self.drop_link(id);
            return None;
        }
        let endpoint = link.endpoint;
        if let Some(ticket) = known.waiting.pop_front() {
            self.tidy(endpoint);
            return Some(Some(ticket));
        }
        link.state = State::Idle;
        known.busy -= 1;
        known.idle.push(id);
        Some(None)
    }

    /// A connection that is no more, in whatever state.
    pub fn gone(&mut self, id: LinkId) {
        self.drop_link(id);
    }

    /// A connection could not be made. Calls for which none is being made any more are told the same.
    pub fn refused(&mut self, id: LinkId) -> Vec<u64> {
        let Some(endpoint) = self.links.get(&id).map(|l| l.endpoint) else { return Vec::new() };
        self.drop_link(id);
        let Some(known) = self.endpoints.get_mut(&endpoint) else { return Vec::new() };
        let over = known.waiting.len().saturating_sub(known.dialling);
        let told = known.waiting.drain(..over).collect();
        self.tidy(endpoint);
        told
    }

    /// Idle connections that are to be closed by now.
    pub fn expire(&mut self, now: Instant) -> Vec<(LinkId, Reason)> {
        let idle = self.links.iter().filter(|(_, l)| l.state == State::Idle).map(|(&id, _)| id);
        let unfit: Vec<(LinkId, Reason)> = idle.filter_map(|id| Some((id, self.unfit(id, now)?))).collect();
        unfit.iter().for_each(|(id, _)| self.drop_link(*id));
        let over = |e: &mut Endpoint| e.brief = e.brief.filter(|(_, until)| now < *until);
        self.endpoints.values_mut().for_each(over);
        self.endpoints.retain(|_, e| e.is_used());
        unfit
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;
    use std::collections::BTreeSet;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    const BOUNDS: Bounds = Bounds { most: 6, dials: 4, dials_each: 2, idle: Duration::from_secs(9) };

    fn book() -> (Book, Instant) {
        let mut book = Book::new(BOUNDS);
        (1..=3).for_each(|e| assert!(book.set_usable(e, true).is_empty()));
        (book, Instant::now())
    }

    /// One that was made and has come back.
    fn idle(book: &mut Book, endpoint: EndpointId, now: Instant) -> LinkId {
        let (Choice::Dial(id), _) = book.want(endpoint, now) else { panic!("no place") };
        assert_eq!(book.ready(id, now), Some(None));
        id
    }

    #[test]
    fn the_one_used_last_is_used_first_and_one_that_stood_too_long_or_is_too_old_not_at_all() {
        let (mut book, now) = book();
        let (a, b) = (idle(&mut book, 1, now), idle(&mut book, 2, now));
        let (Choice::Reuse(taken), _) = book.want(1, now) else { panic!() };
        assert_eq!(taken, a);
        let c = idle(&mut book, 1, now);
        assert_eq!(book.ready(a, now + ms(5)), Some(None));
        assert_eq!(book.want(1, now + ms(9)).0, Choice::Reuse(a));
        assert_eq!(book.want(1, now + ms(9)).0, Choice::Reuse(c));
        let (choice, closed) = book.want(2, now + ms(9_000));
        assert!(
            matches!(choice, Choice::Dial(_)) && closed == [(b, Reason::IdleTooLong)],
            "{choice:?} {closed:?}"
        );
        // Kept busy, it lives for as long as any may.
        let old = now + MOST_AGE;
        assert_eq!(book.ready(a, old), Some(None));
        assert_eq!(book.expire(old), [(a, Reason::TooOld)]);
    }

    #[test]
    fn what_was_learned_of_an_endpoints_patience_holds_for_a_while_and_there_alone() {
        let (mut book, now) = book();
        let (one, other) = (idle(&mut book, 1, now), idle(&mut book, 2, now));
        assert_eq!(book.distrust(1, ms(400), now), [one]);
        let a = idle(&mut book, 1, now);
        assert_eq!(book.want(1, now + ms(299)).0, Choice::Reuse(a));
        book.ready(a, now);
        let (_, closed) = book.want(1, now + ms(300));
        assert_eq!(closed, [(a, Reason::IdleTooLong)]);
        assert_eq!(book.want(2, now + ms(8_000)).0, Choice::Reuse(other));
        let later = now + DISTRUST;
        let b = idle(&mut book, 1, later);
        assert_eq!(book.want(1, later + ms(8_000)).0, Choice::Reuse(b), "it is forgotten");
        // A reset right after an answer says nothing of patience.
        assert!(book.distrust(3, ms(49), later).is_empty());
        let c = idle(&mut book, 3, later);
        assert_eq!(book.want(3, later + ms(8_000)).0, Choice::Reuse(c));
    }

    #[test]
    fn calls_beyond_the_dials_wait_and_get_whatever_is_ready_first() {
        let (mut book, now) = book();
        let (Choice::Dial(a), _) = book.want(1, now) else { panic!() };
        let (Choice::Dial(b), _) = book.want(1, now) else { panic!() };
        (10..12).for_each(|ticket| book.wait(1, ticket));
        assert_eq!(book.want(1, now).0, Choice::Wait);
        book.wait(1, 12);
        let (Choice::Dial(c), _) = book.want(2, now) else { panic!() };
        let (Choice::Dial(d), _) = book.want(3, now) else { panic!() };
        assert_eq!(book.want(2, now).0, Choice::Wait, "all places for dials are taken");
        book.wait(2, 20);
        assert!(book.due(now).is_empty());
        assert_eq!(book.ready(b, now), Some(Some(10)));
        let due = book.due(now);
        assert!(due.len() == 1 && due[0].0 == 1, "a place is free, and more wait than are made: {due:?}");
        assert_eq!(book.ready(b, now), Some(Some(11)), "it came back before the other was made");
        book.leave(1, 12);
        assert_eq!(book.ready(a, now), Some(None), "whose caller has gone, it is kept for the next");
        assert_eq!(book.want(1, now).0, Choice::Reuse(a));
        assert_eq!((book.ready(c, now), book.ready(d, now)), (Some(Some(20)), Some(None)));
    }

    #[test]
    fn a_refused_connection_is_told_to_all_for_whom_none_is_made() {
        let (mut book, now) = book();
        let (Choice::Dial(a), _) = book.want(1, now) else { panic!() };
        let (Choice::Dial(b), _) = book.want(1, now) else { panic!() };
        (10..14).for_each(|ticket| book.wait(1, ticket));
        assert_eq!(book.refused(a), [10, 11, 12]);
        assert_eq!(book.ready(b, now), Some(Some(13)));
        assert_eq!(book.refused(a), [0; 0], "it is gone already");
    }

    #[test]
    fn what_drains_gets_nothing_and_keeps_nothing() {
        let (mut book, now) = book();
        let a = idle(&mut book, 1, now);
        let (Choice::Reuse(_), _) = book.want(1, now) else { panic!() };
        let b = idle(&mut book, 1, now);
        assert_eq!(book.want(1, now).0, Choice::Reuse(b));
        let (Choice::Dial(c), _) = book.want(1, now) else { panic!() };
        book.wait(1, 7);
        assert_eq!(book.set_usable(1, false), [0; 0]);
        assert_eq!(book.want(1, now).0, Choice::None);
        for id in [a, b, c] {
            assert_eq!(book.ready(id, now), None, "it is closed as it comes back");
        }
        assert_eq!((book.links.len(), book.abandon(1)), (0, vec![7]));
        assert!(book.due(now).is_empty() && book.forget(1).is_empty());
    }

    #[test]
    fn a_full_table_makes_place_by_the_one_idle_longest_and_by_no_busy_one() {
        let (mut book, now) = book();
        let first = idle(&mut book, 1, now);
        let ids: Vec<LinkId> = (0..5)
            .map(|_| {
                let (Choice::Dial(id), _) = book.want(2, now) else { panic!() };
                book.wait(2, 5);
                assert_eq!(book.ready(id, now), Some(Some(5)));
                id
            })
            .collect();
        let (choice, closed) = book.want(2, now);
        assert!(matches!(choice, Choice::Dial(_)) && closed == [(first, Reason::Displaced)]);
        assert_eq!(book.want(3, now).0, Choice::None, "{ids:?} are busy");
        assert_eq!(book.counts()[0], Count { idle: 0, busy: 5, dialling: 1 });
    }

    /// Whatever comes in whatever order: no bound is passed, no place leaks, and no connection has two calls.
    #[test]
    fn no_sequence_passes_a_bound_leaks_a_place_or_gives_a_connection_twice() {
        for seed in 0..300u64 {
            let mut random = Pcg32::seed_from_u64(seed);
            let mut below = |n: usize| random.random_range(0..n.max(1));
            let (mut book, mut now) = book();
            let (mut busy, mut dialling) = (BTreeSet::new(), BTreeSet::new());
            let mut waiting: BTreeSet<(EndpointId, u64)> = BTreeSet::new();
            for step in 0..300u64 {
                now += ms(below(400) as u64);
                let endpoint = 1 + below(3) as EndpointId;
                let pick = |set: &BTreeSet<LinkId>, n: usize| set.iter().nth(n).copied();
                match below(9) {
                    0..=2 => match book.want(endpoint, now).0 {
                        Choice::Reuse(id) => assert!(busy.insert(id), "seed {seed}: {id} has two calls"),
                        Choice::Dial(id) => {
                            assert!(dialling.insert(id));
                            book.wait(endpoint, step);
                            waiting.insert((endpoint, step));
                        }
                        Choice::Wait => {
                            book.wait(endpoint, step);
                            waiting.insert((endpoint, step));
                        }
                        Choice::None => {}
                    },
                    3 | 4 => {
                        let n = below(dialling.len());
                        if let Some(id) = pick(&dialling, n) {
                            dialling.remove(&id);
                            if let Some(Some(ticket)) = book.ready(id, now) {
                                assert!(waiting.iter().any(|w| w.1 == ticket));
                                waiting.retain(|w| w.1 != ticket);
                                assert!(busy.insert(id));
                            }
                        }
                    }
                    5 => {
                        let n = below(busy.len());
                        if let Some(id) = pick(&busy, n) {
                            busy.remove(&id);
                            if let Some(Some(ticket)) = book.ready(id, now) {
                                waiting.retain(|w| w.1 != ticket);
                                busy.insert(id);
                            }
                        }
                    }
                    6 => {
                        let n = below(busy.len());
                        if let Some(id) = pick(&busy, n) {
                            busy.remove(&id);
                            book.gone(id);
                        }
                    }
                    7 => {
                        let n = below(dialling.len());
                        if let Some(id) = pick(&dialling, n) {
                            dialling.remove(&id);
                            let told = book.refused(id);
                            waiting.retain(|w| !told.contains(&w.1));
                        }
                    }
                    _ => match below(5) {
                        0 => _ = book.set_usable(endpoint, below(2) == 0),
                        1 => _ = book.expire(now),
                        2 => _ = book.distrust(endpoint, ms(below(500) as u64), now),
                        3 => {
                            if let Some(&(endpoint, ticket)) = waiting.iter().next() {
                                book.leave(endpoint, ticket);
                                waiting.remove(&(endpoint, ticket));
                            }
                        }
                        _ => _ = book.moved(endpoint),
                    },
                }
                for (_, id) in book.due(now) {
                    assert!(dialling.insert(id));
                }
                for (&id, known) in &book.endpoints {
                    let more = known.usable && known.waiting.len() > known.dialling && book.may_dial(id);
                    assert!(
                        !more || book.links.len() >= BOUNDS.most,
                        "seed {seed}: a call waits for nothing"
                    );
                }
                let counts = book.counts();
                let of = |f: fn(&Count) -> usize| counts.iter().map(f).sum::<usize>();
                assert_eq!((of(|c| c.busy), of(|c| c.dialling)), (busy.len(), dialling.len()), "seed {seed}");
                let idle: usize = book.endpoints.values().map(|e| e.idle.len()).sum();
                assert_eq!(of(|c| c.idle), idle, "seed {seed}");
                assert!(book.links.len() <= BOUNDS.most && book.dialling == dialling.len(), "seed {seed}");
                assert_eq!(book.endpoints.values().map(|e| e.dialling).sum::<usize>(), dialling.len());
                for known in book.endpoints.values() {
                    assert!(known.dialling <= BOUNDS.dials_each, "seed {seed}");
                }
                let queued: usize = book.endpoints.values().map(|e| e.waiting.len()).sum();
                assert_eq!(queued, waiting.len(), "seed {seed}: a call waits that nobody knows of");
            }
        }
    }
}
