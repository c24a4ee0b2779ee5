//! Calls between simulated processes. Each pair has one connection, as with real members: calls on it arrive in their
//! order, and an answer that doesn't come makes the caller open another one. What was sent on a connection that broke
//! may still arrive, after what was sent on the next.
use crate::clock::{ProcessId, Simulation, WORLD};
use net::rpc::{Exchange, RpcError, Transport};
use net::runtime::{self, now, sleep, timeout};
use net::wake::Watched;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::{poll_fn, Future};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// What answers the calls to an address.
pub type Handler = Rc<dyn Fn(IpAddr, Vec<u8>) -> Pin<Box<dyn Future<Output = Vec<u8>>>>>;

/// Changes calls and answers on their way, as planted mistakes do.
pub trait Tamper {
    /// An answer that is given in the receiver's place: the call doesn't arrive.
    fn answer_instead(&self, _call: &[u8]) -> Option<Vec<u8>> {
        None
    }

    /// So much longer the call takes on its way.
    fn delay(&self, _call: &[u8]) -> Duration {
        Duration::ZERO
    }

    /// The answer that arrives.
    fn change_answer(&self, _call: &[u8], answer: Vec<u8>) -> Vec<u8> {
        answer
    }
}

/// A call takes so long in the usual case, in milliseconds each way.
const USUAL_MS: std::ops::Range<u64> = 1..4;
/// Now and then a process or a link is busy: so long.
const BUSY_MS: std::ops::Range<u64> = 10..70;
const BUSY_SHARE: f64 = 0.02;
/// On a rough network a connection stalls now and then: so long.
const STALL_MS: std::ops::Range<u64> = 200..2_500;
const STALL_SHARE: f64 = 0.02;
/// And breaks now and then.
const BREAK_SHARE: f64 = 0.004;

type Answer = Result<Vec<u8>, RpcError>;

/// Where the answer to one call is put, and who waits for it.
#[derive(Default)]
struct Slot {
    answer: RefCell<Option<Answer>>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    fn put(&self, answer: Answer) {
        self.answer.borrow_mut().get_or_insert(answer);
        self.waker.take().into_iter().for_each(Waker::wake);
    }

    async fn take(&self) -> Answer {
        poll_fn(|context| match self.answer.take() {
            Some(answer) => Poll::Ready(answer),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// One connection from one process to an address.
struct Connection {
    /// The process at the other end, once the first call has arrived.
    peer: Cell<Option<ProcessId>>,
    broken: Cell<bool>,
    heard: Cell<Instant>,
    /// Nothing arrives before what was sent earlier.
    last_arrival: Cell<Instant>,
    last_return: Cell<Instant>,
    waiting: RefCell<BTreeMap<u64, Rc<Slot>>>,
}

impl Connection {
    fn fail(&self, error: RpcError) {
        self.broken.set(true);
        for slot in std::mem::take(&mut *self.waiting.borrow_mut()).into_values() {
            slot.put(Err(error));
        }
    }

    fn answer(&self, number: u64, answer: Vec<u8>) {
        if self.broken.get() {
            return;
        }
        self.heard.set(now());
        let slot = self.waiting.borrow_mut().remove(&number);
        slot.into_iter().for_each(|slot| slot.put(Ok(answer.clone())));
    }
}

struct State {
    simulation: Simulation,
    lot: RefCell<Pcg64Mcg>,
    hosts: RefCell<BTreeMap<SocketAddr, (ProcessId, Handler)>>,
    connections: RefCell<BTreeMap<(ProcessId, SocketAddr), Rc<Connection>>>,
    cuts: RefCell<BTreeSet<(IpAddr, IpAddr)>>,
    /// Rises when cuts heal.
    healed: Watched,
    /// Machines without power: nothing there answers, not even that nobody listens.
    dark: RefCell<BTreeSet<IpAddr>>,
    rough: Cell<bool>,
    tamper: RefCell<Option<Rc<dyn Tamper>>>,
    next: Cell<u64>,
}

/// The network between all simulated processes.
#[derive(Clone)]
pub struct Network(Rc<State>);

impl Network {
    pub fn new(simulation: &Simulation, seed: u64) -> Network {
        Network(Rc::new(State {
            simulation: simulation.clone(),
            lot: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            hosts: RefCell::default(),
            connections: RefCell::default(),
            cuts: RefCell::default(),
            healed: Watched::default(),
            dark: RefCell::default(),
            rough: Cell::new(false),
            tamper: RefCell::default(),
            next: Cell::new(1),
        }))
    }

    /// A process answers the calls to an address.
    pub fn listen(&self, address: SocketAddr, process: ProcessId, handler: Handler) {
        self.0.hosts.borrow_mut().insert(address, (process, handler));
    }

    /// The way of a process at an address to all others.
    pub fn transport(&self, process: ProcessId, from: IpAddr) -> Rc<dyn Transport> {
        Rc::new(Way { network: self.clone(), process, from })
    }

    /// A process has ended: nobody listens where it did. Its peers learn of it at once, unless the power is gone.
    pub fn end_process(&self, process: ProcessId, ip: IpAddr, power_lost: bool) {
        self.0.hosts.borrow_mut().retain(|_, (of, _)| *of != process);
        if power_lost {
            self.0.dark.borrow_mut().insert(ip);
        }
        let connections = self.0.connections.borrow().clone();
        for ((from, _), connection) in connections {
            if from == process || (connection.peer.get() == Some(process) && !power_lost) {
                connection.fail(RpcError::Broke);
            }
        }
        self.0.connections.borrow_mut().retain(|(from, _), _| *from != process);
    }

    /// A machine has power.
    pub fn power_on(&self, ip: IpAddr) {
        self.0.dark.borrow_mut().remove(&ip);
    }

    /// Nothing goes from one machine to another until cuts are healed.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        self.0.cuts.borrow_mut().insert((from, to));
    }

    /// All cuts are healed: what they held up arrives.
    pub fn heal(&self) {
        self.0.cuts.borrow_mut().clear();
        self.0.healed.raise();
    }

    /// Connections stall and break now and then.
    pub fn set_rough(&self, rough: bool) {
        self.0.rough.set(rough);
    }

    /// Plants a mistake on the way of calls and answers.
    pub fn set_tamper(&self, tamper: Rc<dyn Tamper>) {
        *self.0.tamper.borrow_mut() = Some(tamper);
    }

    fn number(&self) -> u64 {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        number
    }

    fn draw(&self, share: f64) -> bool {
        self.0.lot.borrow_mut().random_bool(share)
    }

    fn delay(&self) -> Duration {
        let (busy, stalls) = (self.draw(BUSY_SHARE), self.0.rough.get() && self.draw(STALL_SHARE));
        let range = if stalls {
            STALL_MS
        } else if busy {
            BUSY_MS
        } else {
            USUAL_MS
        };
        Duration::from_micros(self.0.lot.borrow_mut().random_range(range.start * 1_000..range.end * 1_000))
    }

    fn connection(&self, process: ProcessId, to: SocketAddr) -> Rc<Connection> {
        let mut connections = self.0.connections.borrow_mut();
        if let Some(connection) = connections.get(&(process, to)).filter(|c| !c.broken.get()) {
            return connection.clone();
        }
        let connection = Rc::new(Connection {
            peer: Cell::new(None),
            broken: Cell::new(false),
            heard: Cell::new(now()),
            last_arrival: Cell::new(now()),
            last_return: Cell::new(now()),
            waiting: RefCell::default(),
        });
        connections.insert((process, to), connection.clone());
        connection
    }

    /// Waits for the time on the way and for cuts to heal.
    async fn travel(
        &self,
        last: impl Fn(&Connection) -> &Cell<Instant>,
        on: &Connection,
        way: (IpAddr, IpAddr),
    ) {
        let at = last(on).get().max(now() + self.delay());
        last(on).set(at);
        sleep(at.saturating_duration_since(now())).await;
        loop {
            let seen = self.0.healed.get();
            if !self.0.cuts.borrow().contains(&way) {
                return;
            }
            self.0.healed.changed(seen).await;
        }
    }

    async fn deliver(
        self,
        connection: Rc<Connection>,
        from: IpAddr,
        to: SocketAddr,
        number: u64,
        call: Vec<u8>,
    ) {
        let tamper = self.0.tamper.borrow().clone();
        if let Some(tamper) = &tamper {
            sleep(tamper.delay(&call)).await;
        }
        self.travel(|c| &c.last_arrival, &connection, (from, to.ip())).await;
        // Bytes on a connection that its sender has given up are read or not.
        if connection.broken.get() && self.draw(0.5) {
            return;
        }
        if self.0.rough.get() && self.draw(BREAK_SHARE) {
            connection.fail(RpcError::Broke);
        }
        if let Some(answer) = tamper.as_ref().and_then(|tamper| tamper.answer_instead(&call)) {
            return connection.answer(number, answer);
        }
        let host = self.0.hosts.borrow().get(&to).cloned();
        let before = connection.peer.get();
        let Some((process, handler)) = host.filter(|(process, _)| before.is_none_or(|peer| peer == *process))
        else {
            if !self.0.dark.borrow().contains(&to.ip()) {
                connection.fail(if before.is_some() { RpcError::Broke } else { RpcError::Unreachable });
            }
            return;
        };
        connection.peer.set(Some(process));
        let network = self.clone();
        let simulation = self.0.simulation.clone();
        simulation.spawn_in(process, async move {
            let answer = handler(from, call.clone()).await;
            let answer = match &tamper {
                Some(tamper) => tamper.change_answer(&call, answer),
                None => answer,
            };
            let back = network.clone();
            network.0.simulation.spawn_in(WORLD, async move {
                back.travel(|c| &c.last_return, &connection, (to.ip(), from)).await;
                connection.answer(number, answer);
            });
        });
    }
}

struct Way {
    network: Network,
    process: ProcessId,
    from: IpAddr,
}

impl Transport for Way {
    fn send(&self, to: SocketAddr, payload: Vec<u8>, within: Duration) -> Exchange {
        let connection = self.network.connection(self.process, to);
        let (number, slot) = (self.network.number(), Rc::new(Slot::default()));
        connection.waiting.borrow_mut().insert(number, slot.clone());
        let delivery = self.network.clone().deliver(connection.clone(), self.from, to, number, payload);
        self.network.0.simulation.spawn_in(WORLD, delivery);
        Box::pin(async move {
            let sent = runtime::now();
            if let Ok(answer) = timeout(within, slot.take()).await {
                return answer;
            }
            connection.waiting.borrow_mut().remove(&number);
            if connection.heard.get() < sent {
                connection.fail(RpcError::Broke);
            }
            Err(RpcError::TimedOut)
        })
    }
}
