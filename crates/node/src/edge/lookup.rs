//! What clients ask about messages that were taken: states and bodies, looked up at all stores.
use super::tenants::{Access, Asker};
use super::{end_json, later, Edge};
use crate::calls::{Call, Found, Holder};
use net::http::Answer;
use net::runtime;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the stores may take to say what they know of a message.
const FIND: Duration = Duration::from_millis(1_200);

impl Edge {
    /// The state of a message, for who may see it.
    pub(super) async fn state(&self, id: &str, asker: &Asker) -> Answer {
        let (found, sure) = self.find(id, false, asker).await;
        if let Some(refusal) = refusal(asker, &found) {
            return refusal;
        }
        match (&found.end, found.known) {
            (Some(end), _) => Answer::json(200, end_json(&end.outcome, None)),
            (None, true) => Answer::json(200, r#"{"State":"queued"}"#),
            (None, false) if sure => unknown(),
            (None, false) => unsure(),
        }
    }

    /// The body of a message that is queued or dead, for who may see it.
    pub(super) async fn body(&self, id: &str, asker: &Asker) -> Answer {
        let (found, sure) = self.find(id, true, asker).await;
        if let Some(refusal) = refusal(asker, &found) {
            return refusal;
        }
        if found.is_completed() {
            return Answer::text(404, "the message is completed; its bytes are not kept");
        }
        let body = found.body.as_ref().and_then(|body| body.verified(id).ok());
        match body {
            Some(body) => Answer { status: 200, headers: Vec::new(), body: body.to_vec() },
            None if sure && !found.is_there() => unknown(),
            None => unsure(),
        }
    }

    /// Whether a message that no store knows can't be one that was taken: no store was lost for as long as the state of
    /// a message is told.
    fn nothing_forgotten(&self) -> bool {
        let ttl = (self.process.settings.bounds.status_ttl_s * 1_000.0) as u64;
        let now = self.process.clock.ms();
        let mut losses = self.losses.borrow_mut();
        for store in self.known.stores().stores.iter().filter(|store| store.declared_lost) {
            losses.entry(store.disk).or_insert(now);
        }
        losses.values().all(|at| now >= at + ttl)
    }

    /// Asks all stores. An end that any knows counts more than a copy that hasn't heard of it. Tells too whether what
    /// is not found isn't there: all stores have answered, and none was lost lately.
    async fn find(&self, id: &str, body: bool, asker: &Asker) -> (Found, bool) {
        let search = Rc::new(Search::new(id, body, asker));
        let stores = self.known.stores();
        let (waiting, answered) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        for store in stores.active() {
            let to = SocketAddr::new(store.ip, self.process.settings.store_port());
            let call = Call::Find { id: id.to_string(), body };
            let (peers, search, disk) = (self.peers.clone(), search.clone(), store.disk);
            let (waiting, answered) = (waiting.clone(), answered.clone());
            waiting.set(waiting.get() + 1);
            runtime::spawn(async move {
                if let Ok(answer) = peers.call::<Call, Found>(to, &call, FIND).await {
                    answered.set(answered.get() + 1);
                    search.take(answer, disk);
                }
                waiting.set(waiting.get() - 1);
            });
        }
        let until = self.process.clock.ms() + FIND.as_millis() as u64;
        while waiting.get() > 0 && self.process.clock.ms() < until && !search.is_done() {
            runtime::sleep(Duration::from_millis(2)).await;
        }
        let asked = stores.active().count();
        let sure = asked > 0 && answered.get() == asked && self.nothing_forgotten();
        let found = search.found.borrow().clone();
        (found, sure)
    }
}

/// What stores have said of a message that was asked for.
struct Search {
    id: String,
    wants_body: bool,
    asker: Asker,
    found: RefCell<Found>,
}

impl Search {
    fn new(id: &str, wants_body: bool, asker: &Asker) -> Search {
        Search { id: id.to_string(), wants_body, asker: asker.clone(), found: RefCell::default() }
    }

    /// Takes a store's answer; a body that isn't the message's doesn't count.
    fn take(&self, answer: Found, disk: u64) {
        let mut found = self.found.borrow_mut();
        found.known |= answer.known;
        found.end = found.end.take().or(answer.end);
        if found.holder == Holder::Untold {
            found.holder = answer.holder;
        }
        match answer.body.as_ref().map(|body| body.verified(&self.id)) {
            Some(Err(error)) => log::error!("shown by disk {disk:016x}: {error}"),
            Some(Ok(bytes)) => {
                log::info!("{}: disk {disk:016x} shows a body of {} bytes", self.id, bytes.len());
                found.body = answer.body;
            }
            None => {}
        }
    }

    /// Nothing that other stores may say changes the answer.
    fn is_done(&self) -> bool {
        let found = self.found.borrow();
        match self.asker.access(&found) {
            Access::Unknown => return false,
            Access::Denied => return true,
            Access::Granted => {}
        }
        match self.wants_body {
            true => found.body.is_some() || found.is_completed(),
            false => found.end.is_some(),
        }
    }
}

/// What an asker is told who may not see what was found, or of whom it isn't known: no more than if it weren't there.
fn refusal(asker: &Asker, found: &Found) -> Option<Answer> {
    match asker.access(found) {
        Access::Denied => Some(unknown()),
        Access::Unknown if found.is_there() => Some(unsure()),
        Access::Unknown | Access::Granted => None,
    }
}

fn unknown() -> Answer {
    Answer::text(404, "no store knows this message as one of this key's tenant; ask with a key of its tenant")
}

/// What is asked for wasn't found, and may be where nobody answers from.
fn unsure() -> Answer {
    later("a store that may know the message doesn't answer; ask again").with("Retry-After", "1")
}
