//! Before a store runs what it didn't take itself, it asks all others whether the message is decided: owned by one of them,
//! or ended. A holder that missed an end would otherwise have it run again, however many others know of the end.
use super::Store;
use crate::calls::Call;
use net::runtime;
use net::wake::Watched;
use queue::{replication, MessageTransfer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long another store may take to say what it knows of some messages.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Between two questions to a store that doesn't answer.
const PAUSE: Duration = Duration::from_millis(150);

/// How long stores that don't answer are asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Each is asked once.
    Once,
    /// Until a store is away.
    UnlessAway,
    /// Until a store is lost.
    UntilAnswered,
}

/// Messages by who has decided them.
#[derive(Debug, Default)]
pub struct Parted {
    /// Nobody: they may be adopted.
    pub open: Vec<MessageTransfer>,
    /// This store.
    pub here: Vec<String>,
    /// Another active store.
    pub elsewhere: Vec<String>,
}

/// What was heard of some messages.
#[derive(Default)]
struct Heard {
    /// Stores that haven't answered.
    open: Cell<usize>,
    decided: RefCell<BTreeSet<String>>,
    silent: Cell<bool>,
    changed: Watched,
}

impl Store {
    /// Parts messages that this store may come to own by whether any store has decided them.
    pub async fn part(self: &Rc<Self>, given: Vec<MessageTransfer>, patience: Patience) -> Parted {
        let unknown: BTreeSet<String> = self.not_decided_here(&given).into_iter().collect();
        let ids = unknown.iter().cloned().collect();
        let (elsewhere, _) = self.decided_elsewhere(ids, patience).await;
        let mut parted = Parted::default();
        for given in given {
            let id = given.message.id().to_string();
            match (unknown.contains(&id), elsewhere.contains(&id)) {
                (true, false) => parted.open.push(given),
                (true, true) => parted.elsewhere.push(id),
                (false, _) => parted.here.push(id),
            }
        }
        parted
    }

    /// Ids of messages that this store neither owns nor knows to have ended.
    pub fn not_decided_here(&self, given: &[MessageTransfer]) -> Vec<String> {
        let ids: Vec<String> = given.iter().map(|given| given.message.id().to_string()).collect();
        let here: BTreeSet<String> =
            replication::accepted_or_finished(&self.queue.borrow(), ids.clone()).into_iter().collect();
        ids.into_iter().filter(|id| !here.contains(id)).collect()
    }

    /// Which of some messages other active stores have decided, and whether all of them have answered.
    pub async fn decided_elsewhere(
        self: &Rc<Self>,
        ids: Vec<String>,
        patience: Patience,
    ) -> (BTreeSet<String>, bool) {
        if ids.is_empty() {
            return (BTreeSet::new(), true);
        }
        let (heard, ids) = (Rc::new(Heard::default()), Rc::new(ids));
        for other in self.known.stores().active().filter(|store| store.disk != self.disk) {
            heard.open.set(heard.open.get() + 1);
            runtime::spawn(self.clone().ask_one(other.disk, ids.clone(), patience, heard.clone()));
        }
        while heard.open.get() > 0 {
            heard.changed.changed(heard.changed.get()).await;
        }
        (heard.decided.take(), !heard.silent.get())
    }

    async fn ask_one(self: Rc<Self>, disk: u64, ids: Rc<Vec<String>>, patience: Patience, heard: Rc<Heard>) {
        let call = Call::Decided { ids: (*ids).clone() };
        while let Some(other) = self.known.store(disk) {
            let to = SocketAddr::new(other.ip, self.port);
            if let Ok(decided) = self.peers.call::<Call, Vec<String>>(to, &call, ANSWER).await {
                heard.decided.borrow_mut().extend(decided);
                break;
            }
            let gives_up = match patience {
                Patience::Once => true,
                Patience::UnlessAway => self.is_away(disk, runtime::now()),
                Patience::UntilAnswered => false,
            };
            if gives_up {
                heard.silent.set(true);
                break;
            }
            runtime::sleep(PAUSE).await;
        }
        heard.open.set(heard.open.get() - 1);
        heard.changed.raise();
    }

    pub(super) fn is_away(&self, disk: u64, now: Instant) -> bool {
        self.copiers.borrow().get(&disk).is_none_or(|copier| copier.is_away(now))
    }
}
