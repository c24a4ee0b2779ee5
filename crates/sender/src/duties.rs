//! Duties that one process of the fleet holds at a time, and the first of them: drain permits. Off unless configured;
//! messages never depend on it.
use crate::drain::{Drain, Stage};
use crate::fleet::Fleet;
use lease::{next_permit, Candidate, Change, Config, DrainRequest, Duty, StoreReply, StoreRequest};
use machine::Machine;
use remote::store::{Entry, If, Store, Trouble};
use serde::Deserialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    store: Vec<String>,
    #[serde(default)]
    prefix: String,
    ttl_s: Option<u64>,
    /// Machines that may drain at a time.
    drains: Option<usize>,
    /// The share of the fleet that must be present for a further one to drain.
    present: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub store: Vec<SocketAddr>,
    pub prefix: String,
    pub ttl_s: u64,
    drains: usize,
    present: f64,
}

/// As `present` is if it is not given.
const PRESENT: f64 = 0.7;

impl Settings {
    pub fn read(value: &Value) -> Result<Settings, String> {
        let file = File::deserialize(value).map_err(|e| format!("duties: {e}"))?;
        let address = |text: &String| {
            text.parse::<SocketAddr>().map_err(|e| format!("duties: {text} is no address: {e}"))
        };
        let store: Vec<SocketAddr> = file.store.iter().map(address).collect::<Result<_, _>>()?;
        let (ttl_s, drains) = (file.ttl_s.unwrap_or(10), file.drains.unwrap_or(1));
        if store.is_empty() {
            return Err("duties: store names no address".to_string());
        }
        if !(1..=3_600).contains(&ttl_s) {
            return Err(format!("duties: ttl_s is not from 1 to 3600: {ttl_s}"));
        }
        if drains == 0 {
            return Err("duties: drains is 0: no machine could ever drain".to_string());
        }
        let present = file.present.unwrap_or(PRESENT);
        if !(0.0..=1.0).contains(&present) {
            return Err(format!("duties: present is no share from 0 to 1: {present}"));
        }
        Ok(Settings { store, prefix: file.prefix, ttl_s, drains, present })
    }
}

/// Clocks may run at rates that differ by so much, in percent: a process that holds a duty stops so much earlier.
const DRIFT: u64 = 10;
const RETRY: u64 = 500;
/// Names of changes that are kept.
const HISTORY: usize = 10;

pub struct Duties {
    settings: Settings,
    name: String,
    store: Store,
    duty: RefCell<Duty>,
    drain: Rc<Drain>,
    /// None where membership is off: then a duty rests on the store alone.
    fleet: Option<Rc<Fleet>>,
    start: Instant,
    leaving: Cell<bool>,
    leave: Notify,
    gone: Notify,
    failing: Cell<bool>,
}

impl Duties {
    pub fn new(
        machine: Rc<dyn Machine>,
        settings: Settings,
        name: &str,
        drain: Rc<Drain>,
        fleet: Option<Rc<Fleet>>,
        seed: u64,
    ) -> Duties {
        let ttl = settings.ttl_s * 1_000;
        let prefix = format!("{}duties/drain-permits/holders/", settings.prefix);
        let value = format!("{name} (process {})", std::process::id());
        let config =
            Config { prefix, value, ttl, clock_drift_percent: DRIFT, retry_delay: RETRY.min(ttl / 4) };
        // An answer that takes longer than this leaves no time to act on it.
        let store = Store::new(machine, settings.store.clone(), Duration::from_millis(ttl / 4));
        Duties {
            settings,
            name: name.to_string(),
            store,
            duty: RefCell::new(Duty::new(config, seed)),
            drain,
            fleet,
            start: Instant::now(),
            leaving: Cell::default(),
            leave: Notify::new(),
            gone: Notify::new(),
            failing: Cell::default(),
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn path(&self, what: &str) -> String {
        format!("{}duties/drain-permits/{what}", self.settings.prefix)
    }

    /// Until it leaves.
    pub async fn run(self: Rc<Self>) {
        let (answers, mut told) = mpsc::unbounded_channel();
        let mut stage = self.drain.follow();
        let mut standing = self.fleet.as_ref().map(|fleet| fleet.may_act());
        let permits = tokio::task::spawn_local(self.clone().permits());
        loop {
            // One that drains is about to go: another may have the duty. One that is not in the greater part of its fleet,
            // or can't do its work, must not act for it, though the store answers.
            let may_act = standing.as_ref().is_none_or(|s| *s.borrow());
            let wants = self.drain.stage() == Stage::Serving && !self.leaving.get() && may_act;
            let mut out = Vec::new();
            {
                let mut duty = self.duty.borrow_mut();
                let now = self.now();
                match wants {
                    true => duty.campaign(now),
                    false => duty.resign(&mut out),
                }
                duty.tick(now, &mut out);
                for change in duty.changes.drain(..) {
                    tracing::info!(?change, "duty of drain permits");
                    if let Change::Acquired(token) = change {
                        tokio::task::spawn_local(self.clone().remember(token));
                    }
                }
            }
            if self.leaving.get() {
                for (_, ask) in out {
                    if let StoreRequest::Revoke { lease } = ask {
                        let _ = self.store.revoke(lease).await;
                    }
                }
                break;
            }
            for (number, ask) in out {
                let (duties, answers) = (self.clone(), answers.clone());
                tokio::task::spawn_local(async move {
                    let told = duties.ask(ask).await;
                    let _ = answers.send((number, told));
                });
            }
            let wake =
                self.start + Duration::from_millis(self.duty.borrow().next_deadline().min(u64::MAX >> 20));
            tokio::select! {
                Some((number, told)) = told.recv() => {
                    let mut out = Vec::new();
                    self.duty.borrow_mut().handle_reply(self.now(), number, told, &mut out);
                    for (number, ask) in out {
                        let (duties, answers) = (self.clone(), answers.clone());
                        tokio::task::spawn_local(async move {
                            let told = duties.ask(ask).await;
                            let _ = answers.send((number, told));
                        });
                    }
                }
                _ = stage.changed() => {}
                () = changed(&mut standing) => {}
                () = sleep_until(wake) => {}
                () = self.leave.notified() => {}
            }
        }
        permits.abort();
        self.gone.notify_one();
    }

    /// Gives the duty back, for no longer than an answer may take.
    pub async fn leave(&self) {
        if !self.leaving.replace(true) {
            self.leave.notify_one();
            self.gone.notified().await;
        }
    }

    async fn ask(&self, ask: StoreRequest) -> StoreReply {
        let answer = match ask {
            StoreRequest::Grant { seconds } => {
                self.store.grant(seconds).await.map(|(lease, seconds)| StoreReply::Granted { lease, seconds })
            }
            StoreRequest::Register { lease, key, value } => self
                .store
                .enter(&key, &value, lease)
                .await
                .map(|created| StoreReply::Registered { create_revision: created }),
            StoreRequest::List { prefix } => self.store.range(&prefix).await.map(|(all, revision)| {
                let candidate =
                    |e: Entry| Candidate { key: e.key, create_revision: e.created, value: e.value };
                StoreReply::Candidates { candidates: all.into_iter().map(candidate).collect(), revision }
            }),
            StoreRequest::Watch { key, after } => {
                self.store.watch_gone(&key, after).await.map(|()| StoreReply::WatchEnded)
            }
            StoreRequest::KeepAlive { lease } => {
                self.store.keep_alive(lease).await.map(|seconds| StoreReply::Renewed { seconds })
            }
            StoreRequest::Revoke { lease } => self.store.revoke(lease).await.map(|()| StoreReply::Revoked),
        };
        self.note(answer.as_ref().err());
        answer.unwrap_or(StoreReply::Failed)
    }

    fn note(&self, trouble: Option<&Trouble>) {
        if let Some(trouble) = trouble {
            if !self.failing.replace(true) {
                tracing::warn!(%trouble, "duties rest");
            }
        } else if self.failing.replace(false) {
            tracing::info!("the store answers again");
        }
    }

    /// Who has had the duty: a few names under the fence, the newest last.
    async fn remember(self: Rc<Self>, token: i64) {
        let path = self.path("history");
        let Ok((old, _)) = self.store.range(&path).await else { return };
        let old = old.into_iter().find(|e| e.key == path);
        let mut lines: Vec<String> = old.iter().flat_map(|e| e.value.lines()).map(str::to_string).collect();
        lines.push(format!("{token} {}", self.name));
        let kept = lines[lines.len().saturating_sub(HISTORY)..].join("\n");
        let Some((held, key)) = self.duty.borrow().held_token(self.now()).filter(|h| h.0 == token) else {
            return;
        };
        let unchanged = If::Modified(&path, old.map_or(0, |e| e.modified));
        let done = self.store.put_if(&[If::Created(&key, held), unchanged], &[(&path, &kept, 0)]).await;
        self.note(done.as_ref().err());
    }

    /// While the duty is held: lets the machine that asked first drain, as long as no more do than may.
    async fn permits(self: Rc<Self>) {
        let every = Duration::from_millis((self.settings.ttl_s * 1_000 / 20).clamp(50, 500));
        loop {
            sleep(every).await;
            let held = self.duty.borrow().held_token(self.now());
            let Some((token, key)) = held else { continue };
            let done = self.permit(token, &key).await;
            self.note(done.as_ref().err());
            if done == Ok(false) {
                // Perhaps another has it: who is first is read anew.
                let read = self.store.range(&key).await;
                if read.is_ok_and(|(all, _)| !all.iter().any(|e| e.key == key && e.created == token)) {
                    self.duty.borrow_mut().handle_fenced_write(self.now(), token);
                }
            }
        }
    }

    /// Too few of the fleet are there for one more to go.
    fn are_few_present(&self) -> bool {
        let counts = self.fleet.as_ref().map(|fleet| fleet.counts());
        counts.is_some_and(|(present, expected)| (present as f64) < self.settings.present * expected as f64)
    }

    /// False if a permit was turned down.
    async fn permit(&self, token: i64, key: &str) -> Result<bool, Trouble> {
        let (wanted, given, round) = (self.path("wanted/"), self.path("given/"), self.path("round"));
        let machine = |e: &Entry, prefix: &str| e.key[prefix.len()..].to_string();
        let (before, _) = self.store.range(&round).await?;
        let before = before.iter().find(|e| e.key == round).map_or(0, |e| e.modified);
        let (all, _) = self.store.range(&wanted).await?;
        let requests: Vec<DrainRequest> = all
            .iter()
            .map(|e| DrainRequest { machine: machine(e, &wanted), request_revision: e.created })
            .collect();
        let requests = match self.are_few_present() {
            false => requests,
            true => {
                let overruled = self.path("overruled/");
                let (all, _) = self.store.range(&overruled).await?;
                let vouched: Vec<String> = all.iter().map(|e| machine(e, &overruled)).collect();
                requests.into_iter().filter(|r| vouched.contains(&r.machine)).collect()
            }
        };
        let (drain, _) = self.store.range(&given).await?;
        let drain: Vec<String> = drain.iter().map(|e| machine(e, &given)).collect();
        let Some(next) = next_permit(&requests, &drain, self.settings.drains) else { return Ok(true) };
        let asked = format!("{wanted}{}", next.machine);
        // The permit is under the lease of who asked, so that it ends with it.
        let lease = all.iter().find(|e| e.key == asked).and_then(|e| e.value.parse().ok()).unwrap_or(0);
        let to = format!("{given}{}", next.machine);
        // Checked before the act; the store has the last word.
        let may_act = self.fleet.as_ref().is_none_or(|f| *f.may_act().borrow());
        if self.duty.borrow().held_token(self.now()).is_none_or(|h| h.0 != token) || lease == 0 || !may_act {
            return Ok(true);
        }
        let conditions = [
            If::Created(key, token),
            If::Modified(&round, before),
            If::Created(&asked, next.request_revision),
            If::Created(&to, 0),
        ];
        let puts = [(to.as_str(), token.to_string()), (round.as_str(), token.to_string())];
        let puts = [(puts[0].0, puts[0].1.as_str(), lease), (puts[1].0, puts[1].1.as_str(), 0)];
        self.store.put_if(&conditions, &puts).await
    }

    /// What the store says of the duty, and what this process has of it.
    pub async fn json(&self) -> Result<Value, Trouble> {
        let (mut holders, _) = self.store.range(&self.path("holders/")).await?;
        holders.sort_by_key(|e| e.created);
        let lease = |e: &Entry| i64::from_str_radix(e.key.rsplit('/').next()?, 16).ok();
        let left = match holders.first().and_then(lease) {
            Some(lease) => self.store.seconds_left(lease).await?,
            None => 0,
        };
        let (history, _) = self.store.range(&self.path("history")).await?;
        let history: Vec<String> =
            history.first().map_or(Vec::new(), |e| e.value.lines().map(str::to_string).collect());
        let names = |what: &str, all: Vec<Entry>| -> Vec<String> {
            all.iter().map(|e| e.key[self.path(what).len()..].to_string()).collect()
        };
        let (wanted, _) = self.store.range(&self.path("wanted/")).await?;
        let (given, _) = self.store.range(&self.path("given/")).await?;
        let own = self.duty.borrow().held_token(self.now()).map(|h| h.0);
        Ok(json!({"duties": [{
            "name": "drain-permits",
            "holder": holders.first().map(|e| &e.value),
            "token": holders.first().map(|e| e.created),
            "seconds_left": left,
            "candidates": holders.len(),
            "history": history,
            "drains_at_most": self.settings.drains,
            "wanted": names("wanted/", wanted),
            "given": names("given/", given),
            "held_here": own,
            "few_present": self.are_few_present(),
        }]}))
    }
}

/// Waits until what may be done here changes; for ever where that never does.
async fn changed(standing: &mut Option<watch::Receiver<bool>>) {
    if let Some(standing) = standing {
        if standing.changed().await.is_ok() {
            return;
        }
    }
    std::future::pending().await
}
