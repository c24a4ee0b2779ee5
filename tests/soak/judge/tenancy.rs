//! What the judge checks of tenants: keys, the names that endpoints are told, operations and quotas.
use super::{was_calm, Fate, Judge, State, Told};
use crate::operations::Meaning;
use crate::quotas::{fullest_window, Accept, Fullest};
use crate::rig::header;
use crate::tenants::{Ledger, KEY_MARK};
use std::sync::MutexGuard;
use std::time::Instant;

impl Fate {
    /// When it was accepted, if it was or ran.
    fn accept(&self) -> Option<Accept> {
        let by = self.accepted.into_iter().chain(self.begins.first().copied()).min()?;
        Some(Accept { sent: self.sent, by })
    }
}

impl Judge {
    /// All configurations with their tenants.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no thread panics with it")
    }

    /// A request of an operation is sent.
    pub(super) fn operation_sent(&self, id: &str, api_key: &str, operation: &str) {
        let Some(tenant) = self.ledger().holder(api_key).map(str::to_string) else { return };
        self.operations.lock().unwrap().sent(&tenant, operation, id);
    }

    /// What a 202 with this name of the message tells of a request.
    pub(super) fn accepted_as(&self, id: &str, named: &str) -> Told {
        let meaning = self.operations.lock().unwrap().accepted(id, named);
        match meaning {
            Ok(Meaning::Itself) => Told::Accepted,
            Ok(Meaning::RepeatOf(first)) => {
                self.named_as_accepted(&first);
                Told::Repeat
            }
            Err(broken) => {
                self.broke(broken);
                if id == named {
                    Told::Accepted
                } else {
                    Told::Unclear
                }
            }
        }
    }

    /// A client heard of a request that it was accepted, from the answer to a repeat.
    fn named_as_accepted(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let fate = state.fates.get_mut(id).expect("it was sent");
        let was_refused = fate.told == Told::Refused;
        fate.told = Told::Accepted;
        fate.accepted.get_or_insert(Instant::now());
        drop(state);
        if was_refused {
            self.broke(format!("REFUSED: {id} was refused, and is named as accepted"));
        }
    }

    /// Checks the answer to a request against the keys in force, and that a known operation isn't counted again.
    pub(super) fn check_answer(&self, id: &str, status: u16) {
        let broken = match status {
            202 => self.check_key(id),
            401 => self.check_denial(id),
            429 => self.operations.lock().unwrap().denied(id, status),
            _ => None,
        };
        broken.into_iter().for_each(|broken| self.broke(broken));
    }

    /// A request was accepted or runs: its key has to open.
    fn check_key(&self, id: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (fate, ledger) = (state.fates.get(id)?, self.ledger());
        let key = &fate.message.api_key;
        if ledger.holder(key).is_none() {
            return Some(format!("ROUTE: {id} is accepted with {key}, which no configuration ever held"));
        }
        let until = fate.answer.map_or_else(Instant::now, |answer| answer.at);
        let is_judged = was_calm(&state, fate.sent, until);
        let is_open = ledger.may_open(key, fate.sent, until, &state.troubles);
        (is_judged && !is_open).then(|| {
            format!("CONFIG: {id}, sent at {}, is accepted with {key}, taken away before", self.at(fate.sent))
        })
    }

    /// A request was answered with 401: its key can't have been in force all the time.
    fn check_denial(&self, id: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let (fate, ledger) = (state.fates.get(id)?, self.ledger());
        let (key, now) = (&fate.message.api_key, Instant::now());
        let is_judged = was_calm(&state, fate.sent, now);
        let has_to_open = ledger.must_open(key, fate.sent, now, &state.troubles);
        (is_judged && has_to_open).then(|| {
            format!("CONFIG: {id}, sent at {}, with {key} in force, is answered 401", self.at(fate.sent))
        })
    }

    /// An endpoint was handed a message: with the right tenant, without the key, and as the only one of its operation.
    pub(super) fn check_run(&self, id: &str, head: &str) {
        let mut broken = Vec::new();
        if head.contains(KEY_MARK) || head.to_ascii_lowercase().contains("\r\nauthorization:") {
            broken.push(format!("UNASKED: {id} runs with the key in its head"));
        }
        broken.extend(self.check_tenant(id, header(head, "X-Tenant")));
        broken.extend(self.check_key(id));
        broken.extend(self.operations.lock().unwrap().begun(id));
        broken.into_iter().for_each(|broken| self.broke(broken));
    }

    fn check_tenant(&self, id: &str, told: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let ledger = self.ledger();
        let holder = ledger.holder(&state.fates.get(id)?.message.api_key)?;
        (holder != told).then(|| format!("UNASKED: {id} of {holder} runs for {told:?}"))
    }

    /// What each tenant had accepted stays within its limits in every window.
    pub fn check_quotas(&self) {
        for (tenant, window) in self.fullest_windows() {
            if window.accepted as f64 > window.bound {
                let Fullest { from, accepted, bound } = window;
                let from = self.at(from);
                self.broke(format!(
                    "QUOTA: {tenant}: {accepted} of {bound:.0} accepted in 5 s from {from} on"
                ));
            }
        }
    }

    fn fullest_windows(&self) -> Vec<(String, Fullest)> {
        let state = self.state.lock().unwrap();
        let ledger = self.ledger();
        let fullest = |tenant: String| {
            let accepts = accepts_of(&tenant, &state, &ledger);
            let window = fullest_window(&tenant, &accepts, &ledger, &state.troubles)?;
            Some((tenant, window))
        };
        ledger.names().into_iter().filter_map(fullest).collect()
    }

    /// How full the fullest window of each tenant with a limit was, and how many operations there were.
    pub(super) fn tenancy_summary(&self) -> String {
        let windows = self.fullest_windows();
        let show = |(tenant, window): &(String, Fullest)| {
            format!("{tenant} {} of {:.0} in 5 s", window.accepted, window.bound)
        };
        let windows: Vec<String> = windows.iter().map(show).collect();
        let answers = self.answers_summary();
        let operations = self.operations.lock().unwrap().summary();
        format!("{operations}; {}; {}; {}", self.denials_summary(), windows.join(", "), answers.join(", "))
    }

    /// How the requests of each tenant were answered.
    fn answers_summary(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let ledger = self.ledger();
        let show = |tenant: String| {
            let of_tenant =
                state.fates.values().filter(|fate| ledger.holder(&fate.message.api_key) == Some(&tenant));
            let statuses: Vec<u16> =
                of_tenant.filter_map(|fate| fate.answer).map(|answer| answer.status).collect();
            let count = |status| statuses.iter().filter(|other| **other == status).count();
            format!(
                "{tenant}: 202 {}, 401 {}, 429 {}, 503 {}",
                count(202),
                count(401),
                count(429),
                count(503)
            )
        };
        ledger.names().into_iter().map(show).collect()
    }

    /// How many requests were answered 401, by what was known of their keys.
    fn denials_summary(&self) -> String {
        let state = self.state.lock().unwrap();
        let ledger = self.ledger();
        let (mut unknown, mut held, mut out_of_force) = (0, 0, 0);
        for fate in state.fates.values() {
            let Some(answer) = fate.answer.filter(|answer| answer.status == 401) else { continue };
            let (key, sent) = (&fate.message.api_key, fate.sent);
            match ledger.holder(key) {
                None => unknown += 1,
                Some(_) if ledger.may_open(key, sent, answer.at, &state.troubles) => held += 1,
                Some(_) => out_of_force += 1,
            }
        }
        format!("401 to {unknown} unknown keys, {out_of_force} out of force, {held} in change")
    }
}

fn accepts_of(tenant: &str, state: &State, ledger: &Ledger) -> Vec<Accept> {
    let of_tenant = |fate: &&Fate| ledger.holder(&fate.message.api_key) == Some(tenant);
    state.fates.values().filter(of_tenant).filter_map(Fate::accept).collect()
}
