//! Taking over what a lost store owned: all active stores give what they keep of it, then its messages run here.
use super::decided::Patience;
use super::{some_of, Store};
use crate::calls::{Call, EndedPiece, Piece};
use net::runtime;
use queue::{
    replication, Entry, Envelope, FinalRecord, FinishedMessage, FinishedTransfer, Message, MessageTransfer,
    Outcome, OwnedMessage,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CLAIM: Duration = Duration::from_millis(3_000);
const PAUSE: Duration = Duration::from_millis(150);

/// How far this store is with taking over from a lost one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inheriting {
    /// The others are asked for messages that they kept and that have not ended.
    Collecting,
    /// The others are asked for messages that have ended.
    CollectingEnded,
    /// All that the others kept is here; it is copied to as many stores as it has to be.
    Copying,
    /// All is safe here; the others are told to drop what they kept.
    Releasing,
}

fn dead_letter_of(given: &mut FinishedTransfer) -> Option<&mut Message> {
    match &mut given.finished {
        FinishedMessage::DeadLetter { message, .. } => Some(message),
        FinishedMessage::Completed { .. } => None,
    }
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
        for disk in &asked {
            self.inherit_from(*disk, lost).await;
        }
        while self.lacks_live_copies() {
            self.needs_repair.set(true);
            runtime::sleep(PAUSE).await;
        }
        self.inheriting.borrow_mut().insert(lost, Inheriting::CollectingEnded);
        self.work.notify();
        for disk in &asked {
            self.inherit_ended_from(*disk, lost).await;
        }
        self.inheriting.borrow_mut().insert(lost, Inheriting::Copying);
        self.work.notify();
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
        // A later process needn't ask all others again before it decides on keys.
        self.queue.borrow_mut().mark_taken_over(lost);
        self.log.note(&Entry::TakenOver { disk: lost });
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

    /// Not all messages are here yet that lost stores owned and that have not ended.
    pub fn lacks_inheritance(&self) -> bool {
        self.inheriting.borrow().values().any(|step| *step == Inheriting::Collecting)
    }

    /// Not all that lost stores owned is here yet, live or ended.
    pub fn collects_inheritance(&self) -> bool {
        let collects =
            |step: &Inheriting| matches!(step, Inheriting::Collecting | Inheriting::CollectingEnded);
        self.inheriting.borrow().values().any(collects)
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
            after = given.last().map_or(after, |given| given.message.id().to_string());
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

    /// Takes what a store kept of a lost one's messages that have ended, piece by piece.
    async fn inherit_ended_from(self: &Rc<Self>, disk: u64, lost: u64) {
        let mut after = String::new();
        while let Some(store) = self.known.store(disk) {
            let piece = match disk == self.disk {
                true => self.inherit_ended(lost, &after),
                false => {
                    let to = SocketAddr::new(store.ip, self.port);
                    let call = Call::InheritEnded { lost, after: after.clone() };
                    self.peers.call::<Call, Option<EndedPiece>>(to, &call, CLAIM).await.unwrap_or(None)
                }
            };
            let Some(EndedPiece { given, more }) = piece else {
                runtime::sleep(PAUSE).await;
                continue;
            };
            after = given.last().map_or(after, |given| given.finished.id().to_string());
            self.adopt_ended(given).await;
            if !more {
                return;
            }
        }
    }

    /// Owns messages that have ended from now on, with what is owed of them.
    pub(super) async fn adopt_ended(self: &Rc<Self>, given: Vec<FinishedTransfer>) {
        let given = self.with_sound_bodies(given, dead_letter_of).await;
        let is_live = |given: &FinishedTransfer| {
            self.queue.borrow().owned(given.finished.id()).is_some_and(|owned| owned.is_live())
        };
        let (live, ended): (Vec<FinishedTransfer>, Vec<FinishedTransfer>) =
            given.into_iter().partition(is_live);
        live.iter().for_each(|given| self.finish(given.finished.final_record()));
        self.leave_rivals_of(&ended);
        let (entries, new) = replication::adopt_finished(&mut self.queue.borrow_mut(), ended);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(PAUSE).await;
        }
        if new.is_empty() {
            return;
        }
        let owing: Vec<&FinishedTransfer> = new.iter().filter(|given| !given.callback_done).collect();
        log::info!("{} ended messages of another store are kept, {} call-backs owed", new.len(), owing.len());
        owing.iter().for_each(|given| self.call_back(given.finished.envelope(), &given.finished.outcome()));
        self.needs_repair.set(true);
    }

    /// Owns messages from now on, and lets them run; `copy` already holds them.
    pub async fn adopt(self: &Rc<Self>, given: Vec<MessageTransfer>, copy: Option<u64>) {
        let given = self.with_sound_bodies(given, |given| Some(&mut given.message)).await;
        let given = self.settle_operations(given);
        let (entries, ids) = replication::adopt(&mut self.queue.borrow_mut(), given);
        while !entries.is_empty() && !self.log.write(&entries).await {
            runtime::sleep(PAUSE).await;
        }
        for id in ids {
            let mut queue = self.queue.borrow_mut();
            copy.into_iter().for_each(|disk| queue.confirm_copy(&id, disk));
            let Some(message) = queue.owned(&id).and_then(|owned| owned.live_message()).cloned() else {
                continue;
            };
            if message.envelope.also_sent_to.is_empty() {
                queue.mark_replicated(&id);
            } else {
                self.taking.set(self.taking.get() + 1);
                runtime::spawn(self.clone().accept(message));
            }
        }
        self.needs_repair.set(true);
        self.work.notify();
    }

    /// Ends a message: on the disk, at the copies, and by call-back.
    pub fn finish(self: &Rc<Self>, end: FinalRecord) {
        let id = end.id.clone();
        if !self.queue.borrow_mut().finish(end.clone()) {
            return;
        }
        self.tell_copies(&id, &Entry::Finished(end.clone()));
        self.look_after_ended(&id);
        let owes = self
            .queue
            .borrow()
            .owned(&id)
            .filter(|owned| owned.callback_pending)
            .map(|o| o.envelope().clone());
        match owes {
            Some(envelope) => {
                let store = self.clone();
                runtime::spawn(async move {
                    while !store.log.write(&[Entry::Finished(end.clone())]).await {
                        runtime::sleep(PAUSE).await;
                    }
                    store.call_back(&envelope, &end.outcome);
                });
            }
            None => self.log.note(&Entry::Finished(end)),
        }
    }

    /// A message that ended before it had all its copies gets the rest, if something of it is owed.
    fn look_after_ended(&self, id: &str) {
        let (queue, placement) = (self.queue.borrow(), self.placement());
        let owing = queue.owned(id).filter(|owned| owned.must_be_retained());
        if owing.is_some_and(|owned| placement.missing_copies(&owned.confirmed_holders) > 0) {
            self.needs_repair.set(true);
        }
    }

    fn call_back(self: &Rc<Self>, envelope: &Envelope, outcome: &Outcome) {
        if let Some(url) = &envelope.callback {
            self.callbacks.push(self.clone(), url, &envelope.id, outcome);
        }
    }

    /// Call-backs that were owed when the process ended.
    pub fn owed_callbacks(self: &Rc<Self>) {
        let owed: Vec<FinishedMessage> = {
            let queue = self.queue.borrow();
            let owing = queue.all_owned().filter(|owned| owned.callback_pending);
            owing.filter_map(OwnedMessage::finished_message).cloned().collect()
        };
        owed.iter().for_each(|ended| self.call_back(ended.envelope(), &ended.outcome()));
    }

    /// Tells the stores that hold copies of a message what happened to it.
    pub fn tell_copies(&self, id: &str, entry: &Entry) {
        self.tell(&self.holders(id), entry);
    }

    /// Stores that may hold a copy of a message.
    pub fn holders(&self, id: &str) -> Vec<u64> {
        let queue = self.queue.borrow();
        queue.owned(id).map_or(Vec::new(), |known| known.possible_holders().into_iter().collect())
    }

    /// Tells stores a record.
    pub fn tell(&self, holders: &[u64], entry: &Entry) {
        let copiers = self.copiers.borrow();
        for copier in holders.iter().filter_map(|disk| copiers.get(disk)) {
            copier.tell(entry.clone());
        }
    }
}
