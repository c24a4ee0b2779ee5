//! The list of endpoints: what has changed since the one held, or the whole; then a watch that goes out again at once.
use crate::connections::{self, Connection};
use crate::figures::{bump, Figures};
use crate::inbox::Input;
use crate::list::{List, Room};
use crate::list_reader::{Error, Reader};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use machine::Machine;
use policy::api::Ns;
use policy::rules::DiscoveryRetry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, Instant};

/// How long a watch waits at most, and how much longer for its answer: the agent is silent while discovery is down,
/// and a watch begun in that time may never be answered, though discovery is back the next moment.
const WAIT: Duration = Duration::from_millis(2_500);
const GRACE: Duration = Duration::from_millis(800);
const _: () = assert!(
    (WAIT.as_nanos() + GRACE.as_nanos()) as Ns <= DiscoveryRetry::MAX_INTERVAL - DiscoveryRetry::SHORT_DELAY
);
/// Any call waits so long for its answer: one that was given up is still work for discovery, and its next one more.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// What is left of the 5 s for a connection to discovery.
const DIAL: Duration = Duration::from_secs(1);
/// A list that goes on coming may take this long in all.
const LONGEST: Duration = Duration::from_secs(60);
/// Bytes of a list that are read before others have their turn.
const TURN: usize = 16 << 10;

/// How lists are taken.
#[derive(Clone)]
pub struct Taking {
    /// What one may come to take in memory.
    pub room: Room,
    pub figures: Rc<Figures>,
}

/// Why a call for a list has brought none.
enum Failure {
    /// Nothing has come for as long as anything may. What is told meanwhile binds the sender all the same.
    Silence,
    /// A connection that had answered before has ended under it, as it does where its other end starts again.
    Broken(String),
    /// Versions are counted anew: changes since the one held would never come.
    Older(u64),
    /// A list that is none, or that there is no room for.
    TurnedDown(String),
    Other(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Silence => write!(f, "is silent"),
            Failure::Older(version) => write!(f, "version {version} is older than the list held"),
            Failure::Broken(why) | Failure::TurnedDown(why) | Failure::Other(why) => write!(f, "{why}"),
        }
    }
}

/// Asks for a list; its answer must begin within `allowed`.
async fn get(
    machine: &dyn Machine,
    connection: &mut Option<Connection>,
    at: SocketAddr,
    path: &str,
    allowed: Duration,
    taking: &Taking,
) -> Result<List, Failure> {
    let has_answered = connection.is_some();
    let ask = async {
        let kept = Connection::kept_or_new(machine, connection, at, DIAL).await;
        let mut link = kept.map_err(|e| Failure::Other(e.to_string()))?;
        let request = connections::request("GET", path, at, &[], Default::default());
        let answer = link.ask(request).await.map_err(|fault| broken(has_answered, fault.to_string()))?;
        Ok((link, answer))
    };
    let (mut link, answer) = timeout(allowed, ask).await.unwrap_or(Err(Failure::Silence))?;
    if answer.status() != 200 {
        return Err(Failure::Other(format!("answered {}", answer.status().as_u16())));
    }
    let read = timeout(LONGEST, read(answer.into_body(), has_answered, taking.room));
    let list = read.await.unwrap_or(Err(Failure::Silence));
    if matches!(list, Err(Failure::TurnedDown(_))) {
        bump(&taking.figures.list_errors);
    }
    let list = list?;
    link.settle().await;
    *connection = Some(link);
    Ok(list)
}

fn nanos(span: Ns) -> Duration {
    Duration::from_nanos(span.max(0) as u64)
}

fn broken(has_answered: bool, why: String) -> Failure {
    if has_answered {
        Failure::Broken(why)
    } else {
        Failure::Other(why)
    }
}

/// Reads a list as it arrives; each of its pieces may take as long as an answer.
async fn read(mut body: Incoming, has_answered: bool, room: Room) -> Result<List, Failure> {
    let turned_down = |error: Error| Failure::TurnedDown(error.to_string());
    let mut reader = Reader::new(room);
    let mut read = 0;
    loop {
        let frame = match timeout(PATIENCE, body.frame()).await {
            Err(_) => return Err(Failure::Silence),
            Ok(None) => return reader.finish().map_err(turned_down),
            Ok(Some(frame)) => frame.map_err(|e| broken(has_answered, e.to_string()))?,
        };
        for piece in frame.data_ref().into_iter().flat_map(|data| data.chunks(TURN)) {
            reader.feed(piece).map_err(turned_down)?;
            read += piece.len();
            if read >= TURN {
                read = 0;
                turn().await;
            }
        }
    }
}

/// Until the sockets have been looked at once more. A yield would end with the next piece, which the library hands over
/// before that: thirty pieces in a row, and a client waits for each three times.
async fn turn() {
    let _ = tokio::spawn(async {}).await;
}

/// Never ends: while discovery is silent the sender goes on with the list it has. Of that one (`known`) only what
/// has changed is asked for, at once, as the whole is much work for discovery when all senders start together; so it is
/// after a failure, as a watch without news says nothing for long. Where its address changes, what is under way at the
/// old one is dropped at once, and the new one is first asked for a whole list.
pub async fn follow(
    machine: Rc<dyn Machine>,
    mut place: watch::Receiver<SocketAddr>,
    core: mpsc::Sender<Input>,
    mut known: Option<u64>,
    mut asking: DiscoveryRetry,
    taking: Taking,
) {
    let mut connection = None;
    let mut failing = false;
    let mut first = true;
    let mut watches = false;
    // The failure before was answered in haste: the next one is not, or one that comes again and again would be a storm.
    let mut hurried = false;
    // Ends once the list before is taken.
    let (_, mut before) = oneshot::channel::<()>();
    sleep(nanos(asking.initial_delay())).await;
    loop {
        let at = *place.borrow_and_update();
        // Changes are answered to all at once: a little less each time, or all would go on in step.
        let wait =
            if watches && known.is_some() { WAIT - nanos(asking.initial_delay()) } else { Duration::ZERO };
        let path = known.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", wait.as_millis())
        });
        let allowed = (wait + GRACE).max(PATIENCE);
        let begun = Instant::now();
        let asked = tokio::select! {
            biased;
            Ok(()) = place.changed() => None,
            asked = get(&*machine, &mut connection, at, &path, allowed, &taking) => Some(asked),
        };
        let failed = match asked {
            None => {
                (connection, known) = (None, None);
                None
            }
            // A change builds on a list: the first answer must be whole where none is held.
            Some(Ok(list)) if !list.reset && known.is_none() => {
                Some(Failure::Other("not a whole list".into()))
            }
            Some(Ok(list)) if known.is_some_and(|held| list.generation < held) => {
                known = None;
                Some(Failure::Older(list.generation))
            }
            Some(Ok(mut list)) => {
                if std::mem::take(&mut failing) {
                    tracing::info!("discovery answers again");
                }
                // Who answers at once and loses each watch is no better than who fails.
                if wait > Duration::ZERO {
                    asking.record_success();
                    hurried = false;
                }
                known = Some(list.generation);
                let (whole, news) = (list.reset, list.has_news());
                tracing::debug!(generation = list.generation, whole, news, path, "discovery answers");
                // The first one tells that the list held is fresh, also where it has no news. Whatever it says, the next
                // one is a watch: an agent may answer with the whole list each time.
                let news = std::mem::take(&mut first) || news;
                watches = true;
                if news {
                    // One at a time, or a core that is held up would have many of them before it.
                    let (tell, taken) = oneshot::channel();
                    let _ = std::mem::replace(&mut before, taken).await;
                    list.taken = Some(tell);
                    if core.send(Input::List(list)).await.is_err() {
                        return;
                    }
                }
                None
            }
            Some(Err(error)) => Some(error),
        };
        if let Some(error) = failed {
            tracing::debug!(%error, path, "discovery fails");
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(%error, "discovery fails; going on with the list held");
            }
            watches = false;
            // What a lost watch misses binds within seconds, and so does the list of a discovery that is back and counts
            // anew. All else is spread.
            let hurry = matches!(error, Failure::Broken(_) | Failure::Older(_));
            hurried = hurry && !hurried;
            let took = begun.elapsed().as_nanos() as Ns;
            let pause = nanos(if hurried { asking.initial_delay() } else { asking.record_failure(took) });
            tokio::select! {
                Ok(()) = place.changed() => (connection, known) = (None, None),
                () = sleep(pause) => {}
            }
        }
    }
}
