//! The way of a message from an edge to a store: which stores may have it, in which order they are asked, and which of them
//! don't answer.
use super::Edge;
use crate::calls::{Call, PutAnswer, Refusal};
use control::{Store, StoreView};
use net::rpc::{Peers, RpcError};
use net::runtime;
use net::wake::Watched;
use queue::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A store that hasn't answered for so long is suspected, and another one is asked.
const SWITCH: Duration = Duration::from_millis(110);
/// How often a suspected store is asked whether it answers, and for how long.
const PING_EVERY: Duration = Duration::from_millis(150);
const PING: Duration = Duration::from_millis(300);

/// Stores that don't answer, by address. They are asked until they do.
#[derive(Default)]
pub struct Health {
    suspects: RefCell<BTreeSet<SocketAddr>>,
}

impl Health {
    fn suspect(&self, store: SocketAddr) {
        self.suspects.borrow_mut().insert(store);
    }

    fn is_suspect(&self, store: SocketAddr) -> bool {
        self.suspects.borrow().contains(&store)
    }

    pub async fn ask_suspects(self: Rc<Self>, peers: Rc<Peers>) {
        loop {
            runtime::sleep(PING_EVERY).await;
            let suspects: Vec<SocketAddr> = self.suspects.borrow().iter().copied().collect();
            for store in suspects {
                let (health, peers) = (self.clone(), peers.clone());
                runtime::spawn(async move {
                    if peers.call::<Call, bool>(store, &Call::Ping, PING).await.is_ok() {
                        health.suspects.borrow_mut().remove(&store);
                    }
                });
            }
        }
    }
}

/// The answers of stores that were given the same message.
#[derive(Default)]
struct Race {
    answers: RefCell<Vec<(u64, Result<PutAnswer, RpcError>)>>,
    changed: Watched,
}

/// A message on its way to a store.
struct Put {
    message: Message,
    /// Stores that haven't answered.
    open: usize,
    unclear: bool,
    refusal: Refusal,
}

impl Race {
    /// Notes the answers that came.
    fn take(&self, put: &mut Put) -> Vec<PutAnswer> {
        let mut told = Vec::new();
        for (disk, answer) in self.answers.borrow_mut().drain(..) {
            put.open -= 1;
            match answer {
                Ok(PutAnswer::Refused(why)) => put.refused(disk, why),
                Err(RpcError::Unreachable) => put.refused(disk, Refusal::NoCopy),
                Ok(PutAnswer::Unclear) | Err(_) => put.unclear = true,
                Ok(PutAnswer::Taken { .. }) => {}
            }
            told.extend(answer.ok());
        }
        told
    }
}

impl Put {
    /// A store didn't write the message anywhere.
    fn refused(&mut self, disk: u64, why: Refusal) {
        self.refusal = why;
        Rc::make_mut(&mut self.message.envelope).also_sent_to.retain(|other| *other != disk);
    }
}

impl Edge {
    /// Hands a message to the stores that may have it, until one takes it or nothing more can be said. Where one
    /// doesn't answer soon the next is asked too, and told so: the first leaves the message to it.
    pub(super) async fn put(&self, message: Message, patience: Duration) -> PutAnswer {
        let stores = self.known.stores();
        let mut candidates = self.candidates(&message, &stores).into_iter();
        let race = Rc::new(Race::default());
        let mut put = Put { message, open: 0, unclear: false, refusal: Refusal::NoCopy };
        let until = self.process.clock.ms() + patience.as_millis() as u64;
        loop {
            match candidates.next() {
                Some(store) => {
                    put.open += 1;
                    self.ask(&store, &put.message, patience, &race);
                    Rc::make_mut(&mut put.message.envelope).also_sent_to.push(store.disk);
                }
                None if put.open == 0 => break,
                None => {}
            }
            let last = candidates.len() == 0;
            loop {
                let left = Duration::from_millis(until.saturating_sub(self.process.clock.ms()));
                let wait = if last { left } else { left.min(SWITCH) };
                let seen = race.changed.get();
                let told = race.take(&mut put);
                if let Some(taken) = told.into_iter().find(|told| matches!(told, PutAnswer::Taken { .. })) {
                    return taken;
                }
                if put.open == 0 {
                    break;
                }
                if runtime::timeout(wait, race.changed.changed(seen)).await.is_err() {
                    break;
                }
            }
            if self.process.clock.ms() >= until {
                break;
            }
        }
        match put.unclear || put.open > 0 {
            true => PutAnswer::Unclear,
            false => PutAnswer::Refused(put.refusal),
        }
    }

    /// Asks one store, and lets the race know how it answers. One that is late is suspected.
    fn ask(&self, store: &Store, message: &Message, patience: Duration, race: &Rc<Race>) {
        let to = SocketAddr::new(store.ip, self.process.settings.store_port());
        let call = Call::Put(message.clone());
        let (peers, race, health, disk) = (self.peers.clone(), race.clone(), self.health.clone(), store.disk);
        let answered = Rc::new(Cell::new(false));
        let (late, suspected) = (answered.clone(), self.health.clone());
        runtime::spawn(async move {
            runtime::sleep(SWITCH).await;
            if !late.get() {
                suspected.suspect(to);
            }
        });
        runtime::spawn(async move {
            let answer = peers.call::<Call, PutAnswer>(to, &call, patience).await;
            answered.set(true);
            if answer.is_err() {
                health.suspect(to);
            }
            race.answers.borrow_mut().push((disk, answer));
            race.changed.raise();
        });
    }

    /// The owner of the key that the message is bound to, if it is bound to one; else the stores by their distance, those equally near by turns. A suspect gets nothing:
    /// what it would be given might be lost or not, and the client couldn't be told to come again.
    fn candidates(&self, message: &Message, stores: &StoreView) -> Vec<Store> {
        let suspected = |store: &Store| {
            self.health.is_suspect(SocketAddr::new(store.ip, self.process.settings.store_port()))
        };
        if let Some(key) = message.envelope.partition_key() {
            let owner = stores.owner(key.digest()).filter(|store| !store.declared_lost && !suspected(store));
            return owner.into_iter().cloned().collect();
        }
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let mut sound: Vec<Store> = stores.remaining().filter(|store| !suspected(store)).cloned().collect();
        let count = sound.len().max(1);
        sound.rotate_left(turn % count);
        sound.sort_by_key(|store| store.location.distance(&self.location));
        sound
    }
}
