//! Taking over what a lost store owned: all active stores give what they keep of it, then its messages run here.
use super::decided::Patience;
use super::{some_of, Store};
use crate::calls::{Call, OwedPiece, Piece};
use net::runtime;
use queue::{custody, End, Entry, Given, Message, Owed, Stage};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CLAIM: Duration = Duration::from_millis(3_000);
const PAUSE: Duration = Duration::from_millis(150);

/// How far this store is with taking over from a lost one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inheriting {
    /// The others are asked for what they kept.
    Collecting,
    /// All is safe here; the others are told to drop what they kept.
    Releasing,
}

impl Store {
    /// Takes over from a lost store: first all others keep nothing for it any more, then they give what they kept, piece by
    /// piece.
    pub async fn take_over(self: Rc<Self>, lost: u64) {
        while !self.claim(lost).await {
            runtime::sleep(PAUSE).await;
        }
        let mut asked: Vec<u64> = vec![self.disk];
        while let Some(next) = self.next_active(&asked) {
            let to = SocketAddr::new(next.ip, self.port);
            match self.peers.call::<Call, bool>(to, &Call::Claim { lost }, CLAIM).await {
                Ok(true) => asked.push(next.disk),
                _ => runtime::sleep(PAUSE).await,
            }
        }
        for disk in asked.clone() {
            self.inherit_from(disk, lost).await;
            self.inherit_owed_from(disk, lost).await;
        }
        while self.lacks_copies() {
            self.needs_repair.set(true);
            runtime::sleep(PAUSE).await;
        }
        self.inheriting.borrow_mut().insert(lost, Inheriting::Releasing);
        self.inherited.borrow_mut().insert(lost);
        self.work.notify();
        log::info!("took over from a lost store");
        for disk in asked {
            self.release(disk, lost).await;
        }
        self.inheriting.borrow_mut().remove(&lost);
    }

    /// Tells a store that it needn't keep copies for a lost one any more, until it knows or is lost itself: a copy that
    /// stays would be found again by the next heir.
    async fn release(&self, disk: u64, lost: u64) {
        while let Some(store) = self.known.store(disk) {
            let to = SocketAddr::new(store.ip, self.port);
            let call = Call::Claimed { lost };
            if self.peers.call::<Call, bool>(to, &call, CLAIM).await == Ok(true) {
                return;
            }
            runtime::sleep(PAUSE).await;
        }
    }

    /// Something of a lost store is still to be taken over, or to be dropped elsewhere.
    pub fn is_taking_over(&self) -> bool {
        !self.inheriting.borrow().is_empty()
    }

    /// Not all is here yet of what lost stores owned.
    pub fn lacks_inheritance(&self) -> bool {
        self.inheriting.borrow().values().any(|step| *step == Inheriting::Collecting)
    }

    /// An active store that is not among these.
    fn next_active(&self, asked: &[u64]) -> Option<control::Store> {
        let stores = self.known.stores();
        let next = stores.active().find(|store| !asked.contains(&store.disk)).cloned();
        next
    }

    /// Takes what a store kept of a lost one's messages, piece by piece; less if that store is lost meanwhile.
    async fn inherit_from(self: &Rc<Self>, disk: u64, lost: u64) {
        let mut after = String::new();
        let (mut count, mut decided) = (0, Vec::new());
        loop {
            let piece = match disk == self.disk {
                true => self.inherit(lost, &after),
                false => {
                    let Some(store) = self.known.store(disk) else { break };
                    let to = SocketAddr::new(store.ip, self.port);
                    let call = Call::Inherit { lost, after: after.clone() };
                    self.peers.call::<Call, Option<Piece>>(to, &call, CLAIM).await.unwrap_or(None)
                }
            };
            let Some(Piece { given, more }) = piece else {
                runtime::sleep(PAUSE).await;
                continue;
            };
            count += given.len();
            after = given.last().map_or(after, |given| given.message.id.clone());
            let parted = self.part(given, Patience::UntilAnswered).await;
            decided.extend(parted.elsewhere);
            self.adopt(parted.open, None).await;
            if !more {
                break;
            }
        }
        log::info!("{count} messages of a lost store come from disk {disk:016x}");
        if !decided.is_empty() {
            log::info!("of these others own or know as ended: {}", some_of(&decided));
        }
    }

    /// Takes the call-backs that a lost store may owe, as another one knows them, piece by piece.
    async fn inherit_owed_from(self: &Rc<Self>, disk: u64, lost: u64) {
        let mut after = String::new();
        while let Some(store) = self.known.store(disk) {
            let piece = match disk == self.disk {
                true => self.inherit_owed(lost, &after),
                false => {
                    let to = SocketAddr::new(store.ip, self.port);
                    let call = Call::InheritOwed { lost, after: after.clone() };
                    self.peers.call::<Call, Option<OwedPiece>>(to, &call, CLAIM).await.unwrap_or(None)
                }
            };
            let Some(OwedPiece { owed, more }) = piece else {
                runtime::sleep(PAUSE).await;
                continue;
            };
            after = owed.last().map_or(after, |owed| owed.end.id.clone());
            self.adopt_owed(owed).await;
            if !more {
                return;
            }
        }
    }

    /// Owes call-backs from now on.
    async fn adopt_owed(self: &Rc<Self>, owed: Vec<Owed>) {
        let (entries, new) = custody::adopt_owed(&mut self.queue.borrow_mut(), owed);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(PAUSE).await;
        }
        if !new.is_empty() {
            log::info!("{} call-backs of a lost store are owed", new.len());
        }
        new.iter().for_each(|owed| self.call_back(&owed.message, &owed.end));
    }

    /// Owns messages from now on, and lets them run; `copy` already holds them.
    pub async fn adopt(self: &Rc<Self>, given: Vec<Given>, copy: Option<u64>) {
        let (entries, ids) = custody::adopt(&mut self.queue.borrow_mut(), given);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(PAUSE).await;
        }
        for id in ids {
            let mut queue = self.queue.borrow_mut();
            copy.into_iter().for_each(|disk| queue.copy_kept(&id, disk));
            let Some(message) = queue.owned(&id).map(|known| known.message.clone()) else { continue };
            if message.also_at.is_empty() {
                queue.accept(&id);
            } else {
                self.taking.set(self.taking.get() + 1);
                runtime::spawn(self.clone().accept((*message).clone()));
            }
        }
        self.needs_repair.set(true);
        self.work.notify();
    }

    /// Ends a message: on the disk, at the copies, and by call-back.
    pub fn finish(self: &Rc<Self>, end: End) {
        let id = end.id.clone();
        if !self.queue.borrow_mut().end(end.clone()) {
            return;
        }
        self.tell_copies(&id, &Entry::Ended(end.clone()));
        let owes =
            self.queue.borrow().owned(&id).filter(|known| known.owes_callback).map(|k| k.message.clone());
        match owes {
            Some(message) => {
                let store = self.clone();
                runtime::spawn(async move {
                    while !store.log.write(&[Entry::Ended(end.clone())]).await {
                        runtime::sleep(PAUSE).await;
                    }
                    store.call_back(&message, &end);
                });
            }
            None => self.log.note(&Entry::Ended(end)),
        }
    }

    fn call_back(self: &Rc<Self>, message: &Message, end: &End) {
        if let Some(url) = &message.callback {
            self.callbacks.push(self.clone(), url, &message.id, &end.outcome);
        }
    }

    /// Call-backs that were owed when the process ended.
    pub fn owed_callbacks(self: &Rc<Self>) {
        let owed: Vec<_> = {
            let queue = self.queue.borrow();
            let owed = queue.all_owned().filter(|known| known.owes_callback);
            let ended = owed.filter_map(|known| match &known.stage {
                Stage::Ended(end) => Some((known.message.clone(), end.clone())),
                _ => None,
            });
            ended.collect()
        };
        owed.iter().for_each(|(message, end)| self.call_back(message, end));
    }

    /// Tells the stores that hold copies of a message what happened to it.
    pub fn tell_copies(&self, id: &str, entry: &Entry) {
        self.tell(&self.holders(id), entry);
    }

    /// Stores that may hold a copy of a message.
    pub fn holders(&self, id: &str) -> Vec<u64> {
        let queue = self.queue.borrow();
        queue.owned(id).map_or(Vec::new(), |known| known.holders().into_iter().collect())
    }

    /// Tells stores a record.
    pub fn tell(&self, holders: &[u64], entry: &Entry) {
        let copiers = self.copiers.borrow();
        for copier in holders.iter().filter_map(|disk| copiers.get(disk)) {
            copier.tell(entry.clone());
        }
    }
}
