//! Taking over what a lost store owned: all active stores give what they keep of it, then its messages run here.
use super::Store;
use crate::calls::{Call, Piece};
use net::runtime;
use queue::{custody, End, Entry, Given, Message, Stage};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CLAIM: Duration = Duration::from_millis(3_000);
const PAUSE: Duration = Duration::from_millis(150);

impl Store {
    /// Takes over from a lost store: first all others keep nothing for it any more and tell what they took in its
    /// place, then they give what they kept, piece by piece.
    pub async fn take_over(self: Rc<Self>, lost: u64) {
        let mut taken: BTreeSet<String> = BTreeSet::new();
        let mut asked: Vec<u64> = vec![self.disk];
        let own = loop {
            match self.claim(lost).await {
                Some(own) => break own,
                None => runtime::sleep(PAUSE).await,
            }
        };
        taken.extend(own);
        while let Some(next) = self.next_active(&asked) {
            let to = SocketAddr::new(next.ip, self.port);
            match self.peers.call::<Call, Option<Vec<String>>>(to, &Call::Claim { lost }, CLAIM).await {
                Ok(Some(theirs)) => {
                    taken.extend(theirs);
                    asked.push(next.disk);
                }
                _ => runtime::sleep(PAUSE).await,
            }
        }
        // Only now is it known which of them others have taken over already.
        for disk in asked.clone() {
            self.inherit_from(disk, lost, &taken).await;
        }
        while self.lacks_copies() {
            self.needs_repair.set(true);
            runtime::sleep(PAUSE).await;
        }
        for disk in asked {
            if let Some(store) = self.known.store(disk) {
                let to = SocketAddr::new(store.ip, self.port);
                let _ = self.peers.call::<Call, bool>(to, &Call::Claimed { lost }, CLAIM).await;
            }
        }
        self.inheriting.borrow_mut().remove(&lost);
        self.inherited.borrow_mut().insert(lost);
        self.work.notify();
        log::info!("took over from a lost store");
    }

    /// An active store that is not among these.
    fn next_active(&self, asked: &[u64]) -> Option<control::Store> {
        let stores = self.known.stores();
        let next = stores.active().find(|store| !asked.contains(&store.disk)).cloned();
        next
    }

    /// Takes what a store kept of a lost one's messages, piece by piece; less if that store is lost meanwhile.
    async fn inherit_from(self: &Rc<Self>, disk: u64, lost: u64, taken: &BTreeSet<String>) {
        let mut after = String::new();
        let mut count = 0;
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
            let Some(Piece { mut given, more }) = piece else {
                runtime::sleep(PAUSE).await;
                continue;
            };
            count += given.len();
            after = given.last().map_or(after, |given| given.message.id.clone());
            given.retain(|given| !taken.contains(&given.message.id));
            self.adopt(given, None).await;
            if !more {
                break;
            }
        }
        log::info!("{count} messages of a lost store come from disk {disk:016x}");
    }

    /// Recovered messages that other stores were given too run here once these leave them, or don't answer.
    pub async fn accept_raced(self: Rc<Self>, raced: Vec<Rc<Message>>) {
        if raced.is_empty() {
            return;
        }
        // Where the others are has to be known first.
        while self.known.stores().epoch == 0 {
            runtime::sleep(PAUSE).await;
        }
        log::info!("{} recovered messages may be at other stores too", raced.len());
        for message in raced {
            self.taking.set(self.taking.get() + 1);
            runtime::spawn(self.clone().accept((*message).clone()));
        }
        self.needs_repair.set(true);
    }

    /// Owns messages from now on, and lets them run; `copy` already holds them.
    pub async fn adopt(self: &Rc<Self>, given: Vec<Given>, copy: Option<u64>) {
        let (entries, ids) = custody::adopt(&mut self.queue.borrow_mut(), given);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(PAUSE).await;
        }
        for id in ids {
            let mut queue = self.queue.borrow_mut();
            let Some(known) = queue.owned_mut(&id) else { continue };
            known.copies.extend(copy);
            known.sent.extend(copy);
            let message = known.message.clone();
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
        let known = queue.owned(id);
        known.map_or(Vec::new(), |known| known.copies.union(&known.sent).copied().collect())
    }

    /// Tells stores a record.
    pub fn tell(&self, holders: &[u64], entry: &Entry) {
        let copiers = self.copiers.borrow();
        for copier in holders.iter().filter_map(|disk| copiers.get(disk)) {
            copier.tell(entry.clone());
        }
    }
}
