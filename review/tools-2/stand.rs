//! Stand-ins for the cases of this review: the processes of a small deployment on loopback, its platform, clients and
//! endpoints. Standard library only, real clock, one thread for each connection.
#![allow(dead_code)]
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Adds a line to the record.
pub fn note(line: impl Into<String>) {
    let line = format!("{:>8} ms  {}", now_ms(), line.into());
    RECORD.lock().unwrap().push(line);
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Runs a case, writes its record beside the script, and exits with its code.
pub fn run(case: impl FnOnce(&mut Fleet) -> Result<Verdict, String> + std::panic::UnwindSafe) -> ! {
    now_ms();
    std::thread::spawn(|| {
        sleep_ms(112_000);
        note("the case takes too long; it is given up");
        end(2);
    });
    let outcome = std::panic::catch_unwind(|| {
        let mut fleet = Fleet::new()?;
        case(&mut fleet)
    });
    let code = match outcome {
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Ok(Verdict::Broken)) => 1,
        Ok(Ok(Verdict::CouldNotRun)) => 2,
        Ok(Err(why)) => {
            note(format!("could not run: {why}"));
            2
        }
        Err(_) => {
            note("could not run: the stand-in failed");
            2
        }
    };
    end(code)
}

/// Ends every process that the case started, writes the record, and exits.
fn end(code: i32) -> ! {
    for running in RUNNING.lock().unwrap().iter_mut() {
        running.signal(SIGCONT);
        let _ = running.child.kill();
        let _ = running.child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(folder);
        } else {
            println!("kept: {}", folder.display());
        }
    }
    let what = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    note(format!("end: {what} (exit {code}, TROUBLE={})", u8::from(with_trouble())));
    let text = RECORD.lock().unwrap().join("\n") + "\n";
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
    if let Err(error) = std::fs::write(&path, text) {
        eprintln!("{path} can't be written: {error}");
    }
    println!("{what}");
    std::process::exit(code)
}

struct Running {
    name: String,
    role: String,
    settings: PathBuf,
    child: Child,
}

impl Running {
    fn signal(&self, signal: i32) {
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }
}

static RUNNING: Mutex<Vec<Running>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// A small deployment: three control and three store machines, two edges, in three zones.
pub struct Fleet {
    pub net: u8,
    pub port: u16,
    folder: PathBuf,
    program: PathBuf,
    pub disk_mb: u32,
}

pub const CONTROL: u8 = 1;
pub const STORE: u8 = 2;
pub const EDGE: u8 = 3;
pub const PLATFORM: u8 = 4;
pub const ENDPOINT: u8 = 5;

impl Fleet {
    fn new() -> Result<Fleet, String> {
        let program = PathBuf::from(std::env::var("MALLOWSTEP").map_err(|_| "MALLOWSTEP isn't set")?);
        if !program.exists() {
            return Err(format!("{} isn't built", program.display()));
        }
        let folder = std::env::temp_dir().join(format!("mallowstep-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let _ = FOLDER.set(folder.clone());
        let pid = std::process::id();
        let net = 60 + (pid % 150) as u8;
        let port = (0..50u16)
            .map(|i| 20_000 + ((pid as u16 % 300 + i) % 300) * 20)
            .find(|port| {
                (0..20).all(|i| TcpListener::bind(SocketAddr::from(([127, net, 9, 9], port + i))).is_ok())
            })
            .ok_or("no free ports")?;
        Ok(Fleet { net, port, folder, program, disk_mb: 400 })
    }

    /// The address of a machine: its kind, its number, and the port after the first.
    pub fn at(&self, kind: u8, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net, kind, machine as u8 + 1], self.port + port))
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.at(CONTROL, machine, 13)
    }

    pub fn edge(&self, machine: usize) -> SocketAddr {
        self.at(EDGE, machine, 14)
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        self.at(EDGE, machine, 15)
    }

    pub fn platform(&self) -> SocketAddr {
        self.at(PLATFORM, 0, 17)
    }

    fn settings(&self, role: &str, machine: usize, member_port: u16) -> Result<PathBuf, String> {
        let (kind, class, serves, disk_mb) = match role {
            "control" => (CONTROL, "core", "control_plane", 128),
            "store" => (STORE, "storage", "storage", self.disk_mb),
            _ => (EDGE, "edge", "edge", 0),
        };
        let name = format!("{class}-{}", machine + 1);
        let seeds: Vec<String> = (0..3).map(|i| format!("  - \"{}\"\n", self.control(i))).collect();
        let listen = match role {
            "control" => format!("  Control: \"{}\"\n", self.control(machine)),
            "store" => String::new(),
            _ => format!("  Http: \"{}\"\n  Readiness: \"{}\"\n", self.edge(machine), self.readiness(machine)),
        };
        let listen = if listen.is_empty() { " {}\n".to_string() } else { format!("\n{listen}") };
        let data = match role {
            "edge" => "null".to_string(),
            _ => format!("\"{}\"", self.folder.join(&name).display()),
        };
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\n\
             Ip: \"{}\"\nZone: \"z{}\"\nRegion: \"r\"\nZones:\n  z1: \"r\"\n  z2: \"r\"\n  z3: \"r\"\n\
             ListenAddresses:{listen}PortRange:\n  - {member_port}\n  - {}\nSeeds:\n{}Bootstrap: true\n\
             CountsForQuorum: {}\nLimits:\n  CpuShare: 0.5\n  CpuCores: 1\n  MemoryMb: 280\n  MaxFds: 4100\n  \
             BandwidthMbps: 600.0\n  DiskMb: {disk_mb}\nDataDir: {data}\nDiscovery: \"cloud\"\nEntry: \"vip\"\n\
             HeartbeatMs: 1200\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  \
             - \"ingest\"\nFaultTolerance:\n  Machines: 1\n  Zones: 0\n  Regions: 0\nBounds:\n  SeedLagS: 3\n  \
             ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4.5\n  DrainMs: 3000\n  GraceS: 6\n  \
             LossSlackMs: 200\n  ConfigApplyMs: 3000\n  DowngradeMs: 250\n  MaxSkewMs: 12000\n  RecoveryS: 12\n  \
             CompletionS: 10\n  StatusTtlS: 120\n  CallbackTimeoutS: 5\n  VisibilityMs: 3000\n  EarlyMs: 100\n  \
             CeilingWindowS: 5\n  CeilingOverage: 1.1\nCloudApi:\n  Address: \"{}\"\n  RatePerS: 44.0\n  Duties: []\n  \
             MaxLagMs: 800\n",
            self.at(kind, machine, 0).ip(),
            machine % 3 + 1,
            member_port + 2,
            seeds.concat(),
            role != "edge",
            self.platform(),
        );
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }

    /// Starts a process of a role on a machine for the first time.
    pub fn start(&self, role: &str, machine: usize) -> Result<(), String> {
        self.start_on(role, machine, self.port)
    }

    /// The same with other ports for what members say to each other: a proxy stands between it and the others.
    pub fn start_on(&self, role: &str, machine: usize, member_port: u16) -> Result<(), String> {
        let settings = self.settings(role, machine, member_port)?;
        let name = format!("{role}-{}", machine + 1);
        let child = self.spawn(role, &settings)?;
        note(format!("{name} starts (pid {})", child.id()));
        RUNNING.lock().unwrap().push(Running { name, role: role.to_string(), settings, child });
        Ok(())
    }

    fn spawn(&self, role: &str, settings: &PathBuf) -> Result<Child, String> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        Command::new(&self.program)
            .arg(role)
            .env("MALLOWSTEP_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())
    }

    /// Starts all processes of the deployment.
    pub fn start_all(&self) -> Result<(), String> {
        (0..3).try_for_each(|i| self.start("control", i))?;
        (0..3).try_for_each(|i| self.start("store", i))?;
        (0..2).try_for_each(|i| self.start("edge", i))
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: i32) {
        note(format!("signal {signal} to {name}"));
        let running = RUNNING.lock().unwrap();
        running.iter().filter(|running| running.name == name).for_each(|running| running.signal(signal));
    }

    /// Waits until a process has ended.
    pub fn wait_for_end(&self, name: &str, within_ms: u64) -> bool {
        let until = now_ms() + within_ms;
        while now_ms() < until {
            let mut running = RUNNING.lock().unwrap();
            let process = running.iter_mut().find(|running| running.name == name).expect("was started");
            if process.child.try_wait().ok().flatten().is_some() {
                drop(running);
                note(format!("{name} has ended"));
                return true;
            }
            drop(running);
            sleep_ms(10);
        }
        false
    }

    /// Starts a process again that has ended, as the platform does.
    pub fn start_again(&self, name: &str) -> Result<(), String> {
        let mut running = RUNNING.lock().unwrap();
        let process = running.iter_mut().find(|running| running.name == name).ok_or("was not started")?;
        let (role, settings) = (process.role.clone(), process.settings.clone());
        process.child = self.spawn(&role, &settings)?;
        drop(running);
        note(format!("{name} starts again"));
        Ok(())
    }

    /// What a process logged.
    pub fn log_of(&self, class_and_number: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{class_and_number}.log"))).unwrap_or_default()
    }

    /// The operator sends a configuration, to one machine after the other, until it is taken or refused.
    pub fn configure(&self, base: u64, body: &str, within_ms: u64) -> Result<u16, String> {
        let until = now_ms() + within_ms;
        let base = base.to_string();
        for turn in 0.. {
            let to = self.control(turn % 3);
            let headers = [("X-Base-Version", base.as_str()), ("Content-Type", "application/json")];
            let answer = call(to, "POST", "/v1/config/replace", &headers, body.as_bytes(), 1_000);
            match answer {
                Ok(answer) if [200, 400, 409, 412, 413, 422].contains(&answer.status) => {
                    note(format!("operator: a configuration on {base} is answered {}", answer.status));
                    return Ok(answer.status);
                }
                _ => {}
            }
            if now_ms() > until {
                return Err("no configuration was taken".to_string());
            }
            sleep_ms(100);
        }
        unreachable!()
    }

    /// Waits until edges say that they are ready.
    pub fn wait_ready(&self, edges: usize) -> Result<(), String> {
        let until = now_ms() + 25_000;
        for machine in 0..edges {
            loop {
                let answer = call(self.readiness(machine), "GET", "/v1/ready", &[], b"", 500);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if now_ms() > until {
                    return Err("an edge isn't ready in time".to_string());
                }
                sleep_ms(50);
            }
        }
        note("the edges are ready");
        Ok(())
    }

    /// Hands in a message as a client does; the status of the answer, 0 for none.
    pub fn send(&self, edge: usize, host: &str, path: &str, id: &str, headers: &[(&str, &str)], body: &[u8]) -> u16 {
        let mut all = vec![("Host", host), ("X-Request-Id", id), ("X-Deadline-Ms", "1500")];
        all.extend_from_slice(headers);
        let answer = call(self.edge(edge), "POST", path, &all, body, 1_700);
        let status = answer.map_or(0, |answer| answer.status);
        note(format!("client: POST {host}{path} id {id} ({} bytes) -> {status}", body.len()));
        status
    }

    /// Hands in a message until it is accepted, as a client that honours promises does; the accepted id.
    pub fn send_until_accepted(
        &self,
        host: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<String, String> {
        for turn in 0..40 {
            let id = format!("{id}-{turn}");
            match self.send(turn % 2, host, path, &id, headers, body) {
                202 => return Ok(id),
                429 | 503 => sleep_ms(200),
                status => return Err(format!("{id} was answered {status}")),
            }
        }
        Err(format!("{id} was never accepted"))
    }

    /// What an edge says of a message.
    pub fn state(&self, edge: usize, host: &str, id: &str) -> (u16, String) {
        let path = format!("/v1/message/{id}");
        match call(self.edge(edge), "GET", &path, &[("Host", host)], b"", 2_000) {
            Ok(answer) => (answer.status, String::from_utf8_lossy(&answer.body).to_string()),
            Err(_) => (0, String::new()),
        }
    }
}

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    pub status: u16,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }
}

/// A connection that carries one message after the other.
pub struct Connection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, bytes: Vec::new() }
    }

    pub fn open(to: SocketAddr) -> std::io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, Duration::from_millis(500))?))
    }

    fn more(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 64 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.bytes.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    /// Reads the next message with its whole body.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let head = loop {
            if let Some(at) = self.bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                break self.bytes.drain(..at + 4).collect::<Vec<u8>>();
            }
            self.more()?;
        };
        let text = String::from_utf8_lossy(&head).to_string();
        let mut lines = text.split("\r\n");
        let start: Vec<String> = lines.next().unwrap_or_default().split(' ').map(str::to_string).collect();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.bytes.len() < length {
            self.more()?;
        }
        let body = self.bytes.drain(..length).collect();
        let status = start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(Message { start, status, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side hasn't closed the connection.
    pub fn is_open(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match seen {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Sends a request and reads the answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        within_ms: u64,
    ) -> std::io::Result<Message> {
        self.stream.set_read_timeout(Some(Duration::from_millis(within_ms)))?;
        self.write(&request(method, path, headers, body))?;
        self.read()
    }
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        out.push_str("Host: stand\r\n");
    }
    if method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    [out.as_bytes(), body].concat()
}

/// The bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [out.as_bytes(), body].concat()
}

/// One call over a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within_ms: u64,
) -> std::io::Result<Message> {
    Connection::open(to)?.call(method, path, headers, body, within_ms)
}

/// Serves connections for good, each on a thread; `handle` answers one request and says whether the connection goes on.
pub fn serve(
    at: SocketAddr,
    handle: impl Fn(&Message, &mut Connection) -> bool + Send + Sync + 'static,
) -> Result<(), String> {
    let listener = TcpListener::bind(at).map_err(|error| format!("{at}: {error}"))?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(message) = connection.read() {
                    if !handle(&message, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// One endpoint on the platform's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: usize,
    pub state: &'static str,
}

/// The platform's list of endpoints.
pub fn serve_list(at: SocketAddr, list: Arc<Mutex<Vec<Listed>>>) -> Result<(), String> {
    serve(at, move |_, connection| {
        let entry = |e: &Listed| {
            format!(
                "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":{},\
                 \"State\":\"{}\",\"WarmupLeftMs\":0,\"Id\":\"{}\"}}",
                e.service, e.address, e.zone, e.capacity, e.state, e.id
            )
        };
        let entries: Vec<String> = list.lock().unwrap().iter().map(entry).collect();
        let body = format!("{{\"Instances\":[{}],\"NextPageToken\":null}}", entries.join(","));
        connection.write(&answer(200, &[("Content-Type", "application/json")], body.as_bytes())).is_ok()
    })
}

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub attempts: u64,
    pub ordered: bool,
    pub callback: bool,
}

/// A service of a configuration.
pub struct Service<'a> {
    pub name: &'a str,
    pub connections: u64,
    pub rate: f64,
    pub pinned: Option<SocketAddr>,
}

/// The text of a configuration.
pub fn configuration(version: u64, routes: &[Route], services: &[Service], max_body: u64) -> String {
    let route = |r: &Route| {
        format!(
            "{{\"Name\":\"{}\",\"Host\":\"{}\",\"PathPrefix\":\"{}\",\"Type\":\"async\",\"TimeoutMs\":{},\
             \"TargetLatencyMs\":80,\"Priority\":1,\"Backend\":\"{}\",\"MaxAttempts\":{},\"Ordered\":{},\
             \"RetentionS\":90.0,\"CallbackUrl\":{},\"TargetStartMs\":1200}}",
            r.name, r.host, r.prefix, r.timeout_ms, r.service, r.attempts, r.ordered, r.callback
        )
    };
    let service = |s: &Service| {
        let pinned = s.pinned.map_or("null".to_string(), |address| format!("\"{address}\""));
        format!(
            "{{\"Name\":\"{}\",\"HealthPath\":\"/health\",\"MaxConnections\":{},\"Protocol\":\"h1\",\"Tls\":false,\
             \"RatePerS\":{:.1},\"Idempotent\":false,\"Pull\":false,\"PinnedEndpoint\":{pinned}}}",
            s.name, s.connections, s.rate
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Backends\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":{max_body},\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
