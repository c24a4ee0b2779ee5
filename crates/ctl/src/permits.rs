//! Permits to drain: at most so many machines of the fleet may at a time.
use remote::store::{If, Store, Trouble};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// Where the senders of a machine say that permits are kept.
#[derive(Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    addresses: Vec<SocketAddr>,
    prefix: String,
    ttl_s: u64,
}

/// Held as long as its lease is kept alive.
pub struct Permit {
    store: Rc<Store>,
    lease: i64,
    keeper: JoinHandle<()>,
}

/// Asks for a permit and waits for its turn, as long as there is time. `though_few`: it is to be given also where too few
/// of the fleet are present.
pub async fn ask(place: &Place, machine: &str, though_few: bool, until: Instant) -> Result<Permit, String> {
    let ttl = Duration::from_secs(place.ttl_s);
    let store = Rc::new(Store::new(Rc::new(machine::Real), place.addresses.clone(), ttl / 4));
    let (lease, _) = store.grant(place.ttl_s).await.map_err(|trouble| trouble.to_string())?;
    let path = |what: &str| format!("{}duties/drain-permits/{what}/{machine}", place.prefix);
    let (wanted, given, overruled) = (path("wanted"), path("given"), path("overruled"));
    let keeper = tokio::task::spawn_local(keep(store.clone(), lease, ttl / 3));
    let permit = Permit { store, lease, keeper };
    // Asked again where the answer is lost: if it was done, the key has this lease.
    let mut entered = false;
    let mut told = false;
    let mut trouble: Option<Trouble> = None;
    while Instant::now() < until {
        if !entered {
            let value = lease.to_string();
            let puts = [(wanted.as_str(), value.as_str(), lease), (&overruled, &value, lease)];
            let puts = &puts[..1 + usize::from(though_few)];
            match permit.store.put_if(&[If::Created(&wanted, 0)], puts).await {
                Ok(true) => entered = true,
                Ok(false) => match permit.store.range(&wanted).await {
                    Ok((all, _)) if all.iter().any(|e| e.key == wanted && e.value == value) => entered = true,
                    Ok(_) if !told => {
                        eprintln!("another call asks for {machine} already; waiting for that");
                        told = true;
                    }
                    Ok(_) => {}
                    Err(error) => trouble = Some(error),
                },
                Err(error) => trouble = Some(error),
            }
        }
        if entered {
            match permit.store.range(&given).await {
                Ok((all, _)) if all.iter().any(|e| e.key == given) => return Ok(permit),
                Ok(_) if !told => {
                    eprintln!("waiting for a permit to drain {machine}");
                    told = true;
                }
                Ok(_) => {}
                Err(error) => trouble = Some(error),
            }
        }
        if permit.keeper.is_finished() {
            return Err("the request has run out; the store may have been away for too long".to_string());
        }
        sleep((ttl / 20).clamp(Duration::from_millis(50), Duration::from_millis(500))).await;
    }
    permit.give_back().await;
    Err(trouble.map_or("no permit in time".to_string(), |t| t.to_string()))
}

/// Ends once the lease has ended.
async fn keep(store: Rc<Store>, lease: i64, every: Duration) {
    loop {
        if store.keep_alive(lease).await == Ok(0) {
            return;
        }
        sleep(every).await;
    }
}

impl Permit {
    /// Whether it may have run out.
    pub fn is_lost(&self) -> bool {
        self.keeper.is_finished()
    }

    pub async fn give_back(self) {
        self.keeper.abort();
        if let Err(trouble) = self.store.revoke(self.lease).await {
            eprintln!("nickelctl: the permit runs out by itself: {trouble}");
        }
    }
}
