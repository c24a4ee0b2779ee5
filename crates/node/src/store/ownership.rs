//! Before a store delivers a message that it didn't accept itself, it asks all others whether the message
//! is resolved: owned by one of them, or finished. Otherwise a holder that missed the final record would
//! have the message delivered again, however many other stores know that it is finished.
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

/// Timeout for asking another store about messages.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a store that didn't answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long stores that don't answer are asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Ask each store once.
    Once,
    /// Until the store is unavailable.
    UntilUnavailable,
    /// Until the store is declared lost.
    UntilLost,
}

/// Messages by where they are resolved.
#[derive(Debug, Default)]
pub struct Classified {
    /// Unresolved: they may be adopted.
    pub unresolved: Vec<MessageTransfer>,
    /// Resolved at this store.
    pub resolved_here: Vec<String>,
    /// Resolved at another active store.
    pub resolved_elsewhere: Vec<String>,
}

/// Answers about a set of messages.
#[derive(Default)]
struct Survey {
    /// Stores that haven't answered.
    outstanding: Cell<usize>,
    resolved: RefCell<BTreeSet<String>>,
    incomplete: Cell<bool>,
    changed: Watched,
}

impl Store {
    /// Classifies messages that this store may adopt by whether any store owns them or knows them as
    /// finished.
    pub async fn classify(self: &Rc<Self>, given: Vec<MessageTransfer>, policy: RetryPolicy) -> Classified {
        let unresolved: BTreeSet<String> = self.unresolved_here(&given).into_iter().collect();
        let ids = unresolved.iter().cloned().collect();
        let (elsewhere, _) = self.resolved_elsewhere(ids, policy).await;
        let mut classified = Classified::default();
        for given in given {
            let id = given.message.id().to_string();
            match (unresolved.contains(&id), elsewhere.contains(&id)) {
                (true, false) => classified.unresolved.push(given),
                (true, true) => classified.resolved_elsewhere.push(id),
                (false, _) => classified.resolved_here.push(id),
            }
        }
        classified
    }

    /// Ids of messages that this store neither owns nor knows as finished.
    pub fn unresolved_here(&self, given: &[MessageTransfer]) -> Vec<String> {
        let ids: Vec<String> = given.iter().map(|given| given.message.id().to_string()).collect();
        let here: BTreeSet<String> =
            replication::accepted_or_finished(&self.queue.borrow(), ids.clone()).into_iter().collect();
        ids.into_iter().filter(|id| !here.contains(id)).collect()
    }

    /// Which messages other active stores own or know as finished, and whether all of them answered.
    pub async fn resolved_elsewhere(
        self: &Rc<Self>,
        ids: Vec<String>,
        policy: RetryPolicy,
    ) -> (BTreeSet<String>, bool) {
        if ids.is_empty() {
            return (BTreeSet::new(), true);
        }
        let (survey, ids) = (Rc::new(Survey::default()), Rc::new(ids));
        for other in self.cluster.stores().active().filter(|store| store.disk != self.disk) {
            survey.outstanding.set(survey.outstanding.get() + 1);
            runtime::spawn(self.clone().survey_store(other.disk, ids.clone(), policy, survey.clone()));
        }
        while survey.outstanding.get() > 0 {
            survey.changed.changed(survey.changed.get()).await;
        }
        (survey.resolved.take(), !survey.incomplete.get())
    }

    async fn survey_store(
        self: Rc<Self>,
        disk: u64,
        ids: Rc<Vec<String>>,
        policy: RetryPolicy,
        survey: Rc<Survey>,
    ) {
        let call = Call::Decided { ids: (*ids).clone() };
        while let Some(other) = self.cluster.store(disk) {
            let to = SocketAddr::new(other.ip, self.port);
            if let Ok(decided) = self.peers.call::<Call, Vec<String>>(to, &call, ANSWER_TIMEOUT).await {
                survey.resolved.borrow_mut().extend(decided);
                break;
            }
            let stops = match policy {
                RetryPolicy::Once => true,
                RetryPolicy::UntilUnavailable => self.is_unavailable(disk, runtime::now()),
                RetryPolicy::UntilLost => false,
            };
            if stops {
                survey.incomplete.set(true);
                break;
            }
            runtime::sleep(RETRY_DELAY).await;
        }
        survey.outstanding.set(survey.outstanding.get() - 1);
        survey.changed.raise();
    }

    pub(super) fn is_unavailable(&self, disk: u64, now: Instant) -> bool {
        self.replicators.borrow().get(&disk).is_none_or(|replicator| replicator.is_unavailable(now))
    }
}
