//! The core over storage that fails, and an endpoint that nobody can connect to.
use super::*;
use crate::connections::Pool;
use crate::disk::Disk;
use crate::inbox::Reply;
use crate::life::Life;
use journal::storage::Storage;
use journal::{Durability, Ending, Journal, Left, Names};
use serde_json::json;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use tokio::task::{spawn_local, LocalSet};

/// How many of the next operations of each kind fail.
#[derive(Default)]
struct Plan {
    syncs: usize,
    writes: usize,
    /// The next sync takes so long.
    slow: Duration,
}

struct Failing(Disk, Arc<Mutex<Plan>>);

impl Failing {
    fn may(&self, of: impl Fn(&mut Plan) -> &mut usize) -> io::Result<()> {
        let mut plan = self.1.lock().unwrap();
        let left = of(&mut plan);
        match *left {
            0 => Ok(()),
            _ => {
                *left -= 1;
                Err(io::Error::other("injected"))
            }
        }
    }
}

impl Storage for Failing {
    type File = File;
    fn create(&mut self, name: &str) -> io::Result<File> {
        self.0.create(name)
    }
    fn write_at(&mut self, file: &File, bytes: &[u8], at: u64) -> io::Result<()> {
        self.may(|p| &mut p.writes)?;
        self.0.write_at(file, bytes, at)
    }
    fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        self.0.truncate(file, length)
    }
    fn sync(&mut self, file: &File) -> io::Result<()> {
        let slow = std::mem::take(&mut self.1.lock().unwrap().slow);
        std::thread::sleep(slow);
        self.may(|p| &mut p.syncs)?;
        self.0.sync(file)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

struct Stand {
    core: mpsc::Sender<Input>,
    drain: Rc<Drain>,
    plan: Arc<Mutex<Plan>>,
    notices: mpsc::UnboundedReceiver<Notice>,
    folder: PathBuf,
}

/// A core whose one endpoint nobody can connect to.
async fn stand(name: &str) -> Stand {
    let folder = std::env::temp_dir().join(format!("leadfold-core-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let class = json!({"Name": "order", "PromiseNs": 1_000_000_000, "DeadlineNs": 4_000_000_000u64,
        "Effect": "unsafe", "DedupScope": "all", "WindowNs": 1_000_000_000, "Worth": 1, "LateWorth": 0.3});
    let value = json!({"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["z"],
        "Weights": "silent", "FamilyInfo": {"CallsOut": 4, "KindBatch": [1], "SeparateRoutes": [false]},
        "Limits": {"MaxOpen": 20, "MaxAttempts": 8, "IdleCloseNs": 1_000_000_000,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 1_000_000_000},
        "Safety": {"StartCapacity": 0.3, "ColdNs": 1_000_000_000, "FallMultiple": 2,
            "OverloadForNs": 1_000_000_000},
        "Services": [class]});
    let (settings, host_settings) = policy::settings::read(&value).unwrap();
    let known = serde_json::from_value(json!({"generation": 1, "reset": true, "instances": [{
        "instanceId": "e-1", "hostPort": "127.0.0.1:9", "zone": "z", "machineType": "plain", "cell": 7,
        "lifecycle": "Terminating", "weight": 1.0, "startedAtMs": 0}]}));
    let plan = Arc::new(Mutex::new(Plan::default()));
    let machine = Rc::new(machine::Real);
    let wall = machine.wall_ms();
    let own = Clock::new(Instant::now(), wall);
    let keeper: crate::disk::Keeper = Box::new(Failing(Disk::new(&folder), plan.clone()));
    let names = Names { file: "journal.1".into(), rewrite: "rewrite.1".into() };
    let stamp = own.stamp(Instant::now(), wall);
    let journal = Journal::create(keeper, names, 1, 1.0, Durability::Power, 7, stamp).unwrap();
    let (core_in, inbox) = mpsc::channel(64);
    let (notices_in, notices) = mpsc::unbounded_channel();
    let pool = Rc::new(Pool::new(machine.clone(), settings.dial_timeout, settings.idle_close, 8));
    let client = Rc::new(Client { core: core_in.clone(), figures: Rc::default(), pool });
    let drain = Rc::new(Drain::new(Instant::now()));
    drain.listening(Instant::now());
    let journal = Log::new(journal);
    let (seed, number) = (1, 1);
    let parts = Parts {
        machine,
        settings,
        host_settings,
        seed,
        journal,
        number,
        own,
        drain: drain.clone(),
        client,
        inbox,
        notices: notices_in,
    };
    let mut core = Core::new(parts);
    core.resume(known.unwrap(), Left::default(), false).await;
    spawn_local(core.run());
    Stand { core: core_in, drain, plan, notices, folder }
}

impl Stand {
    async fn offer(&self, trace: &str, ms: u64) -> Reply {
        let (reply, answer) = oneshot::channel();
        let now = Instant::now();
        let taken = Taken {
            id: 0,
            class: "order".into(),
            tenant: String::new(),
            dest: 7,
            trace: trace.into(),
            key: None,
            end: 0,
            rules: None,
            body: Default::default(),
        };
        let (end, life) = (Deadline::at(now + Duration::from_millis(ms)), Life::begin(Stage::Queue, now));
        let input = Input::Offer { taken: Box::new(taken), end, life, reply };
        assert!(self.core.send(input).await.is_ok());
        answer.await.unwrap()
    }

    /// What a start would find now.
    fn found(&self) -> Vec<String> {
        let bytes = std::fs::read(Path::new(&self.folder).join("journal.1")).unwrap();
        let whole = journal::Whole::new(1, &journal::read(&bytes).unwrap());
        whole.ledger.live.values().map(|l| l.taken.trace.clone()).collect()
    }
}

async fn until(what: &str, so: impl Fn() -> bool) {
    let bound = Instant::now() + Duration::from_secs(30);
    while !so() {
        assert!(Instant::now() < bound, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn after_a_failed_sync_a_new_file_takes_the_place_of_the_old_before_anything_is_said() {
    let run = async {
        let stand = stand("once").await;
        assert!(matches!(stand.offer("first", 4_000).await, Reply::TakenOn));
        stand.plan.lock().unwrap().syncs = 1;
        assert!(matches!(stand.offer("second", 4_000).await, Reply::Refused(_)));
        assert_eq!(stand.found(), ["first"], "a start must not find what may be handed in elsewhere");
        assert!(stand.drain.is_ready());
        assert!(matches!(stand.offer("third", 4_000).await, Reply::TakenOn));
        assert_eq!(stand.found(), ["first", "third"]);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_journal_that_cannot_be_replaced_is_not_ready_and_says_nothing_that_it_cannot_keep() {
    let run = async {
        let stand = stand("long").await;
        stand.plan.lock().unwrap().syncs = usize::MAX;
        // It may be found, so it must not be handed in elsewhere.
        assert!(matches!(stand.offer("first", 4_000).await, Reply::Failed));
        assert!(!stand.drain.is_ready() && stand.drain.is_active());
        assert!(matches!(stand.offer("second", 4_000).await, Reply::Refused(_)));
        stand.plan.lock().unwrap().syncs = 0;
        until("it is ready again", || stand.drain.is_ready()).await;
        assert!(stand.found().is_empty());
        assert!(matches!(stand.offer("third", 4_000).await, Reply::TakenOn));
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_message_whose_time_goes_while_it_is_written_down_is_refused_and_not_kept() {
    let run = async {
        let stand = stand("slow").await;
        stand.plan.lock().unwrap().slow = Duration::from_millis(120);
        // The rest goes on meanwhile, and what comes is gathered for the next write.
        let (slow, other) = tokio::join!(stand.offer("slow", 60), stand.offer("other", 4_000));
        assert!(matches!(slow, Reply::Refused(_)), "{slow:?}");
        assert!(matches!(other, Reply::TakenOn), "{other:?}");
        until("only the other is kept", || stand.found() == ["other"]).await;
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_message_is_handed_back_only_where_no_start_can_find_it_open() {
    let run = async {
        let mut stand = stand("back").await;
        assert!(matches!(stand.offer("well", 300).await, Reply::TakenOn));
        let notice = stand.notices.recv().await.unwrap();
        assert!(matches!(notice.ending, Ending::HandedBack(Some(_))), "{:?}", notice.ending);
        assert!(matches!(stand.offer("hurt", 300).await, Reply::TakenOn));
        stand.plan.lock().unwrap().writes = usize::MAX;
        let notice = stand.notices.recv().await.unwrap();
        assert_eq!((notice.trace.as_str(), notice.ending), ("hurt", Ending::GivenUp));
        // Once it can be written it says the same.
        stand.plan.lock().unwrap().writes = 0;
        assert!(matches!(stand.offer("next", 4_000).await, Reply::TakenOn));
        let bytes = std::fs::read(stand.folder.join("journal.1")).unwrap();
        let whole = journal::Whole::new(1, &journal::read(&bytes).unwrap());
        let hurt = whole.ledger.live.values().find(|l| l.taken.trace == "hurt").unwrap();
        assert_eq!(hurt.ending, Some(Ending::GivenUp));
    };
    LocalSet::new().run_until(run).await;
}
