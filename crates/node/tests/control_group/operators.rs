//! Operators: orders in pairs on one version, repeats of them at any machine, and reads.
use super::{Ms, World, MACHINES};
use net::http::Request;
use net::runtime::sleep;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Between two orders.
const BETWEEN_MS: std::ops::Range<u64> = 100..1_500;
/// Between two attempts at one.
const AGAIN_MS: Ms = 60;
/// After so many attempts it stays open what became of an order.
const ATTEMPTS: usize = 20;

/// An order on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    base: u64,
    version: u64,
}

/// An order that was acknowledged, and when.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    order: Order,
    at: Ms,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Acknowledged,
    Refused(u16),
    Unclear,
}

/// What was asked for and told.
pub struct Operators {
    world: Rc<World>,
    acknowledged: RefCell<Vec<Acknowledged>>,
    next_version: Cell<u64>,
    pub reads: Cell<usize>,
}

impl Operators {
    pub fn new(world: Rc<World>) -> Operators {
        Operators { world, acknowledged: RefCell::default(), next_version: Cell::new(1), reads: Cell::new(0) }
    }

    /// How many orders were acknowledged.
    pub fn count(&self) -> usize {
        self.acknowledged.borrow().len()
    }

    /// When the first version above this one was acknowledged.
    pub fn acknowledged_ms_of_next(&self, version: u64) -> Option<Ms> {
        let acknowledged = self.acknowledged.borrow();
        let later = acknowledged.iter().filter(|acknowledged| acknowledged.order.version > version);
        later.map(|acknowledged| acknowledged.at).min()
    }

    fn newest(&self) -> u64 {
        let acknowledged = self.acknowledged.borrow();
        acknowledged.iter().map(|acknowledged| acknowledged.order.version).max().unwrap_or(0)
    }

    fn any_machine(&self) -> u8 {
        self.world.draw(1..u64::from(MACHINES) + 1) as u8
    }

    /// Orders for good: now and then two on one version at once, and repeats of what was acknowledged.
    pub async fn order(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(self.world.draw(BETWEEN_MS))).await;
            let Some(base) = self.current().await else { continue };
            let order = self.new_order(base);
            if self.world.draw(0..3) == 0 {
                let rival = self.new_order(base);
                let rivaling = self.clone();
                net::runtime::spawn(async move {
                    rivaling.carry_out(rival).await;
                });
            }
            if self.carry_out(order).await == Ended::Acknowledged && self.world.draw(0..2) == 0 {
                self.repeat(order).await;
            }
        }
    }

    fn new_order(&self, base: u64) -> Order {
        let version = self.next_version.get();
        self.next_version.set(version + 1);
        Order { base, version }
    }

    async fn carry_out(&self, order: Order) -> Ended {
        for _ in 0..ATTEMPTS {
            match self.send(order).await {
                Ended::Unclear => sleep(Duration::from_millis(AGAIN_MS)).await,
                ended => {
                    self.note(order, ended);
                    return ended;
                }
            }
        }
        Ended::Unclear
    }

    fn note(&self, order: Order, ended: Ended) {
        if ended != Ended::Acknowledged {
            return;
        }
        let rival = |other: &Acknowledged| other.order.base == order.base && other.order != order;
        if self.acknowledged.borrow().iter().any(rival) {
            self.world.broke(format!("CONFIG: a second order on version {} is acknowledged", order.base));
        }
        self.acknowledged.borrow_mut().push(Acknowledged { order, at: self.world.ms() });
        self.world.acknowledgements.raise();
    }

    /// An acknowledged order again, at any machine: it may stay open, but isn't refused.
    async fn repeat(&self, order: Order) {
        if let Ended::Refused(status) = self.send(order).await {
            self.world.broke(format!("CONFIG: the repeat of {order:?} is refused with {status}"));
        }
    }

    async fn send(&self, order: Order) -> Ended {
        let body = format!(r#"{{"Version":{},"Routes":[],"Backends":[]}}"#, order.version);
        let mut request = request(http::Method::POST, "/v1/config/replace", body);
        request.headers.insert("x-base-version", order.base.to_string().parse().expect("a header"));
        match self.world.call(self.any_machine(), request).await.map(|answer| answer.status) {
            Some(200) => Ended::Acknowledged,
            Some(status @ (400 | 409 | 412)) => Ended::Refused(status),
            _ => Ended::Unclear,
        }
    }

    /// The version in force, by a read that is answered.
    async fn current(&self) -> Option<u64> {
        for _ in 0..ATTEMPTS {
            let read = request(http::Method::GET, "/v1/config/read", String::new());
            let answer = self.world.call(self.any_machine(), read).await;
            match answer.as_ref().map(|answer| answer.status) {
                Some(200) => return answer.map(|answer| version_in(&answer.body)),
                Some(404) => return Some(0),
                _ => sleep(Duration::from_millis(AGAIN_MS)).await,
            }
        }
        None
    }

    /// Reads at any machine for good: none is older than what was acknowledged before it.
    pub async fn read(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(self.world.draw(20..300))).await;
            let (newest, machine) = (self.newest(), self.any_machine());
            let read = request(http::Method::GET, "/v1/config/read", String::new());
            let Some(answer) = self.world.call(machine, read).await else { continue };
            let version = match answer.status {
                200 => version_in(&answer.body),
                404 => 0,
                _ => continue,
            };
            self.reads.set(self.reads.get() + 1);
            if version < newest {
                self.world
                    .broke(format!("CONFIG: c{machine} shows version {version}, {newest} was acknowledged"));
            }
        }
    }
}

fn version_in(body: &[u8]) -> u64 {
    let configuration: serde_json::Value = serde_json::from_slice(body).expect("a configuration");
    configuration["Version"].as_u64().expect("its version")
}

fn request(method: http::Method, target: &str, body: String) -> Request {
    let headers = http::HeaderMap::new();
    Request { method, target: target.to_string(), headers, body: body.into(), keep_alive: true }
}
