//! The whole system on this machine's loopback: real processes of every role, with stand-ins for the platform's list,
//! the endpoints, the operator and the clients. A store is killed while messages come; in the end every message that
//! was taken has to be completed, and those of one key in their order.
use anyhow::Context as _;
use monoio::net::TcpListener;
use net::client::{Client, Identity};
use net::http::{encode_request, Answer, Bounds, Request, Response};
use net::repeat::Repeat;
use net::server::{Server, ServerBounds};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MACHINES: usize = 3;
const ENDPOINTS: usize = 3;
const MESSAGES: usize = 240;
const KEYS: usize = 6;
/// After so many messages a store is killed, and after so many more it is started again.
const KILL_AFTER: usize = 80;
const DOWN_FOR: usize = 80;
const PACE: Duration = Duration::from_millis(10);
const CALL: Duration = Duration::from_millis(2_000);
const READY_WITHIN: Duration = Duration::from_secs(20);
const DONE_WITHIN: Duration = Duration::from_secs(30);

/// A folder that goes with the run.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the system, killed with the run.
struct Running {
    child: Child,
    role: &'static str,
    settings: PathBuf,
}

impl Running {
    fn start(role: &'static str, settings: PathBuf) -> anyhow::Result<Running> {
        let log = std::fs::File::create(settings.with_extension("log"))?;
        let child = Command::new(std::env::current_exe()?)
            .arg(role)
            .env(settings::process::PATH_VARIABLE, &settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("{role} cannot be started"))?;
        Ok(Running { child, role, settings })
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn start_again(&mut self) -> anyhow::Result<()> {
        *self = Running::start(self.role, self.settings.clone())?;
        Ok(())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses of a run: one loopback address for each machine, and ports that other runs don't use.
#[derive(Clone)]
struct Plan {
    folder: PathBuf,
    port: u16,
}

impl Plan {
    fn address(&self, kind: u8, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 20, kind, machine as u8 + 1], self.port + port))
    }

    fn control(&self, machine: usize) -> SocketAddr {
        self.address(1, machine, 3)
    }

    fn edge(&self, machine: usize) -> SocketAddr {
        self.address(3, machine, 4)
    }

    fn endpoint(&self, machine: usize) -> SocketAddr {
        self.address(5, machine, 6)
    }

    fn settings(&self, role: &str, kind: u8, machine: usize) -> anyhow::Result<PathBuf> {
        let name = format!("{role}-{machine}");
        let ip = self.address(kind, machine, 0).ip();
        let seeds: Vec<String> = (0..MACHINES).map(|i| format!("\"{}\"", self.control(i))).collect();
        let data = self.folder.join(&name);
        let text = format!(
            "NodeName: {name}\nIp: {ip}\nZone: z{machine}\nPortRange: [{}, {}]\nSeeds: [{}]\nBootstrap: true\n\
             ListenAddresses: {{ Http: \"{}\", Readiness: \"{}\", Control: \"{}\" }}\n\
             Limits: {{ MemoryMb: 256, MaxFds: 1024, DiskMb: 64 }}\nDataDir: {}\n\
             CloudApi: {{ Address: \"{}\", RatePerS: 40 }}\n",
            self.port,
            self.port + 2,
            seeds.join(", "),
            self.edge(machine),
            self.address(3, machine, 5),
            self.control(machine),
            data.display(),
            self.address(4, 0, 7),
        );
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn list(&self) -> String {
        let entry = |i| {
            serde_json::json!({"Id": format!("i-{i}"), "Backend": "work", "Address": self.endpoint(i).to_string(),
                "Zone": format!("z{i}"), "Version": "v1", "Capacity": 8, "State": "ready", "WarmupLeftMs": 0})
        };
        let entries: Vec<_> = (0..ENDPOINTS).map(entry).collect();
        serde_json::json!({"Instances": entries, "NextPageToken": null}).to_string()
    }
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, ordered: bool| {
        serde_json::json!({"Name": name, "Host": "demo.example", "PathPrefix": prefix, "Type": "async",
            "TimeoutMs": 1000, "TargetLatencyMs": 100, "TargetStartMs": 1000, "Priority": 1, "Backend": "work",
            "MaxAttempts": 4, "Ordered": ordered, "RetentionS": 90.0, "CallbackUrl": false})
    };
    let routes = [route("free", "/free/", false), route("ordered", "/ordered/", true)];
    let service = serde_json::json!({"Name": "work", "HealthPath": "/health", "MaxConnections": 64, "Idempotent": true});
    serde_json::json!({"Version": 1, "Routes": routes, "Backends": [service]}).to_string()
}

/// What the endpoints ran, in their order.
#[derive(Default)]
struct Ran {
    ids: Vec<String>,
    by_key: BTreeMap<String, Vec<usize>>,
}

type Answering = Pin<Box<dyn Future<Output = Answer>>>;

fn serve(address: SocketAddr, answer: impl Fn(Request) -> Answering + 'static) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).with_context(|| format!("{address} is taken"))?;
    let second = Duration::from_secs(1);
    let message = Bounds { head_bytes: 16 * 1024, body_bytes: 1024 * 1024 };
    let server = Server::new(ServerBounds { message, head_timeout: 5 * second, idle_timeout: 30 * second });
    monoio::spawn(server.serve(listener, Rc::new(answer)));
    Ok(())
}

fn serve_endpoints(plan: &Plan, ran: &Rc<RefCell<Ran>>) -> anyhow::Result<()> {
    for i in 0..ENDPOINTS {
        let ran = ran.clone();
        serve(plan.endpoint(i), move |request| Box::pin(run_one(ran.clone(), request)))?;
    }
    let list = plan.list();
    serve(plan.address(4, 0, 7), move |_| {
        let answer = Answer::json(200, list.clone());
        Box::pin(async move { answer })
    })
}

async fn run_one(ran: Rc<RefCell<Ran>>, request: Request) -> Answer {
    let id = request.header("x-request-id").to_string();
    let number = request.path().rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let key = request.header("x-ordering-key").to_string();
    {
        let mut ran = ran.borrow_mut();
        // An idempotent service: a repeat gets the first success once more.
        if !ran.ids.contains(&id) {
            ran.ids.push(id.clone());
            ran.by_key.entry(key).or_default().push(number);
        }
    }
    monoio::time::sleep(Duration::from_millis(15)).await;
    Answer::empty(200).with("X-Server-Signature", format!("done-{id}")).with("X-Request-Id", id)
}

async fn ask(
    client: &Client,
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response> {
    let mut all = vec![("Host", "demo.example")];
    all.extend_from_slice(headers);
    client
        .call(to, encode_request(method, target, &all, body), CALL, Identity::NONE, Repeat::Never)
        .await
        .ok()
}

async fn configure(client: &Client, plan: &Plan) -> anyhow::Result<()> {
    let until = Instant::now() + READY_WITHIN;
    let body = configuration();
    for turn in 0.. {
        let headers = [("X-Base-Version", "0"), ("Content-Type", "application/json")];
        let to = plan.control(turn % MACHINES);
        let answer = ask(client, to, "POST", "/v1/config/replace", &headers, body.as_bytes()).await;
        if answer.is_some_and(|answer| answer.status.as_u16() == 200) {
            return Ok(());
        }
        anyhow::ensure!(Instant::now() < until, "the configuration was not taken in time");
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Sends one message until it is taken; its id.
async fn send(client: &Client, plan: &Plan, number: usize) -> anyhow::Result<String> {
    let until = Instant::now() + READY_WITHIN;
    let key = format!("key-{}", number % KEYS);
    let ordered = number.is_multiple_of(2);
    let target = if ordered { format!("/ordered/{number}") } else { format!("/free/{number}") };
    for turn in 0.. {
        let id = format!("demo-{number}-{turn}");
        let mut headers = vec![("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
        if ordered {
            headers.push(("X-Ordering-Key", &key));
        }
        let to = plan.edge((number + turn) % 2);
        let answer = ask(client, to, "POST", &target, &headers, b"a message").await;
        match answer.map(|answer| answer.status.as_u16()) {
            Some(202) => return Ok(id),
            // Nothing is known of it: whoever needs it once has to look before sending it again.
            Some(504) => return Ok(String::new()),
            _ => monoio::time::sleep(Duration::from_millis(50)).await,
        }
        anyhow::ensure!(Instant::now() < until, "message {number} was not taken in time");
    }
    unreachable!("the loop ends by itself")
}

async fn is_completed(client: &Client, plan: &Plan, id: &str) -> bool {
    let answer = ask(client, plan.edge(0), "GET", &format!("/v1/message/{id}"), &[], b"").await;
    answer.is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains("completed"))
}

fn start_all(plan: &Plan) -> anyhow::Result<Vec<Running>> {
    let mut running = Vec::new();
    for machine in 0..MACHINES {
        running.push(Running::start("control", plan.settings("control", 1, machine)?)?);
    }
    for machine in 0..MACHINES {
        running.push(Running::start("store", plan.settings("store", 2, machine)?)?);
    }
    for machine in 0..2 {
        running.push(Running::start("edge", plan.settings("edge", 3, machine)?)?);
    }
    Ok(running)
}

async fn play(plan: Plan) -> anyhow::Result<String> {
    let ran = Rc::new(RefCell::new(Ran::default()));
    serve_endpoints(&plan, &ran)?;
    let mut running = start_all(&plan)?;
    let client = Client::default();
    configure(&client, &plan).await?;
    println!("3 control, 3 store and 2 edge processes are up; the configuration is taken");
    let mut ids = Vec::new();
    for number in 0..MESSAGES {
        if number == KILL_AFTER {
            running[MACHINES].kill();
            println!("a store is killed after {number} messages");
        }
        if number == KILL_AFTER + DOWN_FOR {
            running[MACHINES].start_again()?;
            println!("it is started again after {number}");
        }
        ids.push(send(&client, &plan, number).await?);
        monoio::time::sleep(PACE).await;
    }
    let unclear = ids.iter().filter(|id| id.is_empty()).count();
    ids.retain(|id| !id.is_empty());
    let until = Instant::now() + DONE_WITHIN;
    for id in &ids {
        while !is_completed(&client, &plan, id).await {
            anyhow::ensure!(Instant::now() < until, "{id} was taken and is not completed");
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let ran = ran.borrow();
    let in_order =
        ran.by_key.iter().filter(|(key, _)| !key.is_empty()).all(|(_, numbers)| numbers.is_sorted());
    anyhow::ensure!(in_order, "messages of a key ran out of their order");
    Ok(format!(
        "{} messages taken, all completed, those of a key in their order; {unclear} without a clear answer",
        ids.len()
    ))
}

/// Runs the system for a while; what became of every message.
pub fn run() -> anyhow::Result<String> {
    let folder = Folder(std::env::temp_dir().join(format!("mallowstep-demo-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0)?;
    let plan = Plan { folder: folder.0.clone(), port: 21_000 + (std::process::id() % 2_000) as u16 * 10 };
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let played = runtime.block_on(play(plan));
    if played.is_err() {
        show_logs(&folder.0);
    }
    played
}

fn show_logs(folder: &Path) {
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        if entry.path().extension().is_some_and(|extension| extension == "log") {
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            eprintln!("== {}\n{text}", entry.path().display());
        }
    }
}
