//! What the control group tells: the configuration in force, the stores, the endpoints.
//!
//! Each watcher asks with what it has, and is answered when there is something newer, or after a while. It asks the
//! primary of the group; another member says who that is.
use crate::calls::{Call, Endpoint, EndpointList, Hello, News, Seen};
use crate::packed::{Download, Version};
use control::{Store, StoreView};
use net::rpc::Peers;
use net::runtime;
use net::wake::Watched;
use settings::Configuration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest that a question waits for news.
pub const HOLD: Duration = Duration::from_millis(1_000);
/// No answer for so long: another member is asked.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two members that are asked who leads.
const PAUSE: Duration = Duration::from_millis(100);
/// After a configuration that can't be read here, before it is asked for again.
const UNREADABLE: Duration = Duration::from_millis(500);

/// What is known by now; versions of it never fall.
pub struct Known {
    pub configuration: RefCell<Rc<Configuration>>,
    /// The bytes of the configuration in force, of which the next ones are told as differences.
    body: RefCell<Vec<u8>>,
    /// The next configuration, as far as it has come.
    download: RefCell<Download>,
    /// What came last can't be read here.
    unreadable: Cell<bool>,
    pub stores: RefCell<Rc<StoreView>>,
    pub endpoints: RefCell<Rc<Vec<Endpoint>>>,
    seen: Cell<Seen>,
    /// When the last question was sent that the primary answered.
    current_at: Cell<Option<Instant>>,
    /// Rises with each change.
    pub changes: Watched,
    /// Addresses of the control group.
    group: RefCell<Vec<IpAddr>>,
}

impl Known {
    pub fn new(seeds: Vec<IpAddr>) -> Rc<Known> {
        Rc::new(Known {
            configuration: RefCell::default(),
            body: RefCell::default(),
            download: RefCell::default(),
            unreadable: Cell::new(false),
            stores: RefCell::default(),
            endpoints: RefCell::default(),
            seen: Cell::default(),
            current_at: Cell::new(None),
            changes: Watched::default(),
            group: RefCell::new(seeds),
        })
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.seen.get().version
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Rc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// The stores.
    pub fn stores(&self) -> Rc<StoreView> {
        self.stores.borrow().clone()
    }

    /// A store by the identity of its disk, if that isn't lost.
    pub fn store(&self, disk: u64) -> Option<Store> {
        self.stores.borrow().get(disk).filter(|store| !store.declared_lost).cloned()
    }

    /// The endpoints on the platform's list.
    pub fn endpoints(&self) -> Rc<Vec<Endpoint>> {
        self.endpoints.borrow().clone()
    }

    /// What is had already, as a question for news tells it.
    pub fn seen(&self) -> Seen {
        self.seen.get()
    }

    /// Addresses of the control group, as far as they are known.
    pub fn group(&self) -> Vec<IpAddr> {
        self.group.borrow().clone()
    }

    /// How old what is known may be; none before the first news. An answer says what holds when the question arrives or
    /// later, however long it lay in a socket while this process stood still: so the time of the question counts.
    pub fn news_age(&self) -> Option<Duration> {
        self.current_at.get().map(runtime::elapsed)
    }

    /// A newer configuration than the one in force here is known to be there.
    fn is_behind(&self) -> bool {
        let seen = self.seen.get();
        seen.part.version > seen.version || self.unreadable.get()
    }

    /// The primary has answered a question that was sent at this time.
    fn current_as_of(&self, asked_at: Instant) {
        let latest = self.current_at.get().map_or(asked_at, |before| before.max(asked_at));
        self.current_at.set(Some(latest));
    }

    /// Takes news; false if they come from the primary of an epoch that is over, of which nothing is taken.
    pub fn take(&self, news: News) -> bool {
        let mut seen = self.seen.get();
        if news.epoch < seen.epoch {
            return false;
        }
        let before = seen;
        seen.epoch = news.epoch;
        if let Some((version, piece)) = news.configuration.filter(|(version, _)| *version > seen.version) {
            self.take_piece(version, &piece, &mut seen);
        }
        if let Some(stores) = news.stores.filter(|stores| stores.epoch > seen.stores) {
            seen.stores = stores.epoch;
            *self.stores.borrow_mut() = Rc::new(stores);
        }
        if let Some(list) = news.list.filter(|list| list.number > seen.list) {
            self.take_list(&list, &mut seen);
        }
        self.seen.set(seen);
        if (Seen { epoch: before.epoch, base: before.base, part: before.part, ..seen }) != before {
            self.changes.raise();
        }
        true
    }

    /// Takes the list of endpoints, if it can be read here.
    fn take_list(&self, list: &EndpointList, seen: &mut Seen) {
        match list.unpack() {
            Ok(endpoints) => {
                seen.list = list.number;
                *self.endpoints.borrow_mut() = Rc::new(endpoints);
            }
            Err(error) => {
                log::error!("the list of endpoints {:?} cannot be read here: {error:?}", list.number);
                self.unreadable.set(true);
            }
        }
    }

    /// Takes a piece of a configuration; the last one puts it in force. One that can't be read here doesn't count as seen.
    fn take_piece(&self, version: u64, piece: &[u8], seen: &mut Seen) {
        let added = {
            let body = self.body.borrow();
            let base = Version { number: seen.base, body: &body };
            self.download.borrow_mut().add(version, piece, base)
        };
        let read = added.and_then(|body| match body {
            Some(body) => Ok(Some((Configuration::parse(&body)?, body))),
            None => Ok(None),
        });
        match read {
            Ok(Some((configuration, body))) => {
                *self.configuration.borrow_mut() = Rc::new(configuration);
                *self.body.borrow_mut() = body;
                (seen.version, seen.base) = (version, version);
                log::info!("version {version} is in force");
            }
            Ok(None) => {}
            Err(error) => {
                log::error!(
                    "version {version} cannot be read here, {} stays in force: {error:#}",
                    seen.version
                );
                *self.download.borrow_mut() = Download::default();
                // The next time it comes whole.
                seen.base = 0;
                self.unreadable.set(true);
            }
        }
        seen.part = self.download.borrow().progress();
    }

    fn take_group(&self, news: &News) {
        if !news.group.is_empty() {
            *self.group.borrow_mut() = news.group.clone();
        }
    }

    /// The members, and seeds that aren't among them.
    fn members_and(&self, seeds: &[IpAddr]) -> Vec<IpAddr> {
        let group = self.group.borrow();
        let others = seeds.iter().filter(|seed| !group.contains(seed));
        group.iter().chain(others).copied().collect()
    }
}

/// Asks for news for good.
pub async fn watch(
    known: Rc<Known>,
    peers: Rc<Peers>,
    hello: impl Fn() -> Hello,
    port: u16,
    seeds: Vec<IpAddr>,
) {
    let (turn, heard) = (Cell::new(0), Cell::new(runtime::now()));
    let watcher = Watcher { known, peers, hello, port, seeds, turn, heard };
    loop {
        let primary = watcher.find().await;
        watcher.follow(primary).await;
    }
}

/// What one member answered; nothing if it was silent.
struct MemberAnswer {
    from: IpAddr,
    asked_at: Instant,
    news: Option<News>,
}

/// The answers of members that were asked for the primary.
#[derive(Default)]
struct Answers {
    come: RefCell<VecDeque<MemberAnswer>>,
    changed: Watched,
}

impl Answers {
    fn next(&self) -> Option<MemberAnswer> {
        self.come.borrow_mut().pop_front()
    }
}

/// What an answer says of the primary.
enum Heard {
    /// The one that answered leads.
    Leads(IpAddr),
    /// Another one does, by what it says.
    Elsewhere(IpAddr),
    Nothing,
}

struct Watcher<H> {
    known: Rc<Known>,
    peers: Rc<Peers>,
    hello: H,
    port: u16,
    seeds: Vec<IpAddr>,
    turn: Cell<usize>,
    /// When a primary was heard last.
    heard: Cell<Instant>,
}

impl<H: Fn() -> Hello> Watcher<H> {
    /// Asks the primary for news until it doesn't lead any more, or doesn't answer.
    async fn follow(&self, primary: IpAddr) {
        loop {
            let call = Call::Watch((self.hello)(), self.known.seen());
            let to = SocketAddr::new(primary, self.port);
            let asked_at = runtime::now();
            let news = self.peers.call::<Call, News>(to, &call, PATIENCE).await.ok();
            if !matches!(self.hear(MemberAnswer { from: primary, asked_at, news }), Heard::Leads(_)) {
                return;
            }
            if self.known.unreadable.take() {
                runtime::sleep(UNREADABLE).await;
            }
        }
    }

    /// Asks one member after the other who leads; the next one soon, also while others haven't answered: one that is cut
    /// off says nothing for long.
    async fn find(&self) -> IpAddr {
        let answers = Rc::new(Answers::default());
        let mut waiting = BTreeSet::new();
        let mut named = None;
        loop {
            let next = named.take().or_else(|| self.next_but(&waiting));
            if let Some(to) = next {
                waiting.insert(to);
                self.ask(to, answers.clone());
            }
            match self.first_word(&answers, &mut waiting).await {
                Heard::Leads(primary) => return primary,
                Heard::Elsewhere(primary) => named = Some(primary),
                Heard::Nothing => {}
            }
        }
    }

    /// Waits for a while for an answer that says who leads. Of a member that was asked and hasn't answered, that others
    /// name it is no news.
    async fn first_word(&self, answers: &Answers, waiting: &mut BTreeSet<IpAddr>) -> Heard {
        let begun = runtime::now();
        loop {
            let seen = answers.changed.get();
            // One by one: what isn't looked at now is there for the next look.
            while let Some(answer) = answers.next() {
                waiting.remove(&answer.from);
                match self.hear(answer) {
                    Heard::Elsewhere(primary) if waiting.contains(&primary) => {}
                    Heard::Nothing => {}
                    heard => return heard,
                }
            }
            let left = PAUSE.saturating_sub(runtime::elapsed(begun));
            if left.is_zero() || runtime::timeout(left, answers.changed.changed(seen)).await.is_err() {
                return Heard::Nothing;
            }
        }
    }

    fn ask(&self, to: IpAddr, answers: Rc<Answers>) {
        let call = Call::Watch((self.hello)(), self.known.seen());
        let (peers, address) = (self.peers.clone(), SocketAddr::new(to, self.port));
        let asked_at = runtime::now();
        runtime::spawn(async move {
            let news = peers.call::<Call, News>(address, &call, PATIENCE).await.ok();
            answers.come.borrow_mut().push_back(MemberAnswer { from: to, asked_at, news });
            answers.changed.raise();
        });
    }

    /// Takes what a member answers, and what it says of the primary. One that led in an epoch that is over knows nothing.
    fn hear(&self, answer: MemberAnswer) -> Heard {
        let MemberAnswer { from, asked_at, news } = answer;
        let Some(news) = news else { return Heard::Nothing };
        if !news.leads {
            self.known.take_group(&news);
            let primary = news.primary.filter(|primary| *primary != from);
            return primary.map_or(Heard::Nothing, Heard::Elsewhere);
        }
        if news.epoch < self.known.seen().epoch {
            return Heard::Nothing;
        }
        self.known.take_group(&news);
        let before = self.known.version();
        if self.known.take(news) && !self.known.is_behind() {
            self.known.current_as_of(asked_at);
        }
        let silent_ms = runtime::elapsed(self.heard.replace(runtime::now())).as_millis();
        let (version, epoch) = (self.known.version(), self.known.seen().epoch);
        if version > before {
            log::info!(
                "version {version} came from {from} in epoch {epoch}, {silent_ms} ms after its last word"
            );
        }
        Heard::Leads(from)
    }

    /// The next member or seed that isn't among these.
    fn next_but(&self, waiting: &BTreeSet<IpAddr>) -> Option<IpAddr> {
        let all = self.known.members_and(&self.seeds);
        let turn = self.turn.get();
        let mut in_turn = (0..all.len()).map(|i| (turn + i, all[(turn + i) % all.len()]));
        let (at, next) = in_turn.find(|(_, member)| !waiting.contains(member))?;
        self.turn.set(at + 1);
        Some(next)
    }
}
