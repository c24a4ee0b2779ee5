//! What the scripts of this review share: processes of the system on loopback addresses, and small stand-ins for the
//! platform, the operator, the clients and the endpoints. The standard library alone.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Shared<T> = Arc<Mutex<T>>;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Shared<Vec<String>>, Instant);

impl Record {
    pub fn new() -> Record {
        Record(Arc::default(), Instant::now())
    }

    pub fn seconds(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.0.lock().unwrap().push(format!("{:8.3} {}", self.seconds(), text.as_ref()));
    }

    /// A line that is shown as well.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.seconds(), text.as_ref());
        self.note(text);
    }

    pub fn write(&self, path: &Path) {
        let _ = fs::write(path, self.0.lock().unwrap().join("\n") + "\n");
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Reads a head and its body; nothing where the connection ended.
fn read_message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        if let Some(at) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => kept.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&kept[..end]).to_string();
    kept.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_string();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while kept.len() < length {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => kept.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
    let body = kept.drain(..length).collect();
    Some((first, headers, body))
}

/// The bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// One connection of a server: `work` answers each request, one at a time.
pub type Work = Arc<dyn Fn(Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves until the process ends; each connection has a thread of its own. A connection ends when `work` says false.
pub fn serve(address: SocketAddr, work: Work) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| fail(&format!("{address}: {e}")));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let work = work.clone();
            thread::spawn(move || {
                let (mut stream, mut kept) = (stream, Vec::new());
                let _ = stream.set_nodelay(true);
                while let Some((first, headers, body)) = read_message(&mut stream, &mut kept) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_string();
                    let path = words.next().unwrap_or_default().to_string();
                    if !work(Request { method, path, headers, body }, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// A client's connection, kept from one request to the next.
pub struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    /// Sends a request once; nothing without a whole answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        within: Duration,
    ) -> Option<Response> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.to, within).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(within));
        let mut out = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if method != "GET" {
            out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        stream.write_all(&out).ok()?;
        let (first, headers, body) = read_message(&mut stream, &mut Vec::new())?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        if headers.get("connection").is_none_or(|c| !c.contains("close")) {
            self.stream = Some(stream);
        }
        Some(Response { status, headers, body })
    }
}

/// One request over a connection of its own.
pub fn once(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Response> {
    Client::new(to).call(method, path, headers, body, within)
}

// ---------------------------------------------------------------- the system

/// A machine of the system: its process is started, stopped and started again by this test.
pub struct Machine {
    pub name: String,
    role: &'static str,
    root: PathBuf,
    settings: PathBuf,
    pub data: PathBuf,
    pub zone: String,
    pub address: [u8; 4],
    child: Option<Child>,
}

impl Machine {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"));
        let log: File = log.unwrap_or_else(|e| fail(&e.to_string()));
        let child = Command::new(self.root.join("target/release/mallowstep"))
            .arg(self.role)
            .current_dir(&self.root)
            .env("MALLOWSTEP_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| fail(&format!("mallowstep can't be started: {e}")));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Stands still.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// SIGTERM, and SIGKILL after the grace; whether it ended by itself.
    pub fn stop(&mut self, grace: Duration) -> bool {
        self.signal("-TERM");
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if let Some(child) = &mut self.child {
                if child.try_wait().ok().flatten().is_some() {
                    let id = child.id();
                    STARTED.lock().unwrap().retain(|other| *other != id);
                    self.child = None;
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        false
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().ok().flatten().is_some())
    }

    /// From the next start on its settings say that the system doesn't start for the first time.
    pub fn no_bootstrap(&self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let _ = fs::write(&self.settings, text.replace("Bootstrap: true", "Bootstrap: false"));
    }

    /// The disk is lost: the folder is empty at the next start.
    pub fn lose_disk(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.data);
        let _ = fs::create_dir_all(&self.data);
        self.no_bootstrap();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}

/// A small deployment's addresses and folder.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    subnet: u8,
    pub port: u16,
    pub region: &'static str,
    pub zones: [&'static str; 3],
}

/// Ports: two for the members, then operator, clients, readiness, platform, endpoints.
const CONTROL: u16 = 4;
const HTTP: u16 = 5;
const READINESS: u16 = 6;
const PLATFORM: u16 = 7;
const ENDPOINT: u16 = 8;

impl Site {
    pub fn new() -> Site {
        let root = std::env::var("REVIEW_ROOT").map(PathBuf::from).unwrap_or_else(|_| fail("REVIEW_ROOT is missing"));
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("mallowstep-review-{process}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| fail(&e.to_string()));
        let subnet = 30 + (process % 200) as u8;
        let free = |port: u16| (0..9).all(|i| TcpListener::bind(SocketAddr::from(([127, subnet, 1, 1], port + i))).is_ok());
        let port = (0..400).map(|i| 20_000 + (process % 97) as u16 * 10 + i * 20).find(|port| free(*port));
        let port = port.unwrap_or_else(|| fail("no free ports"));
        Site { root, folder, subnet, port, region: "north", zones: ["z1", "z2", "z3"] }
    }

    fn at(&self, kind: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.subnet, kind, number], self.port + port))
    }

    /// Where the operator is served; three machines.
    pub fn control(&self, zone: usize) -> SocketAddr {
        self.at(1, zone as u8 + 1, CONTROL)
    }

    pub fn edge(&self, zone: usize) -> SocketAddr {
        self.at(3, zone as u8 + 1, HTTP)
    }

    pub fn readiness(&self, zone: usize) -> SocketAddr {
        self.at(3, zone as u8 + 1, READINESS)
    }

    pub fn platform(&self) -> SocketAddr {
        self.at(4, 1, PLATFORM)
    }

    pub fn endpoint(&self, number: u8) -> SocketAddr {
        self.at(5, number, ENDPOINT)
    }

    /// A machine, not yet started. `number`: of its class in its zone, from 1 on. Figures are those of the small
    /// deployments on the pages.
    pub fn machine(&self, role: &'static str, zone: usize, number: u8, bootstrap: bool) -> Machine {
        let (kind, class, serves, memory, fds, disk) = match role {
            "control" => (1, "core", "control_plane", 256, 4_096, 128),
            "store" => (2, "storage", "storage", 280, 8_200, 400),
            _ => (3, "edge", "edge", 260, 4_100, 0),
        };
        let address = self.at(kind, zone as u8 + 1 + (number - 1) * 10, 0);
        let (ip, zone_name) = (address.ip(), self.zones[zone]);
        let name = format!("{class}-{zone_name}-{number}");
        let data = self.folder.join(&name);
        if role != "edge" {
            fs::create_dir_all(&data).unwrap_or_else(|e| fail(&e.to_string()));
        }
        let listen = match role {
            "control" => format!("  Control: \"{}\"\n", SocketAddr::new(ip, self.port + CONTROL)),
            "store" => String::new(),
            _ => format!(
                "  Http: \"{}\"\n  Readiness: \"{}\"\n",
                SocketAddr::new(ip, self.port + HTTP),
                SocketAddr::new(ip, self.port + READINESS)
            ),
        };
        let listen = if listen.is_empty() { "ListenAddresses: {}\n".to_string() } else { format!("ListenAddresses:\n{listen}") };
        let seeds: Vec<String> = (0..3).map(|zone| format!("  - \"{}\"\n", self.control(zone))).collect();
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("  {zone}: \"{}\"\n", self.region)).collect();
        let folder = if role == "edge" { "null".to_string() } else { format!("\"{}\"", data.display()) };
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\nIp: \"{ip}\"\n\
             Zone: \"{zone_name}\"\nRegion: \"{region}\"\nZones:\n{zones}{listen}PortRange:\n  - {first}\n  - {last}\n\
             Seeds:\n{seeds}Bootstrap: {bootstrap}\nCountsForQuorum: {counts}\nLimits:\n  CpuShare: 0.5\n  CpuCores: 1\n  \
             MemoryMb: {memory}\n  MaxFds: {fds}\n  BandwidthMbps: 1000.0\n  DiskMb: {disk}\nDataDir: {folder}\n\
             Discovery: \"cloud\"\nEntry: \"vip\"\nHeartbeatMs: 1200\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  \
             - \"cost\"\n  - \"ingest\"\n  - \"recover\"\nFaultTolerance:\n  Machines: 1\n  Zones: 0\n  Regions: 0\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4.5\n  DrainMs: 3000\n  \
             GraceS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 3000\n  DowngradeMs: 250\n  MaxSkewMs: 12000\n  RecoveryS: 12\n  \
             CompletionS: 10\n  StatusTtlS: 120\n  CallbackTimeoutS: 5\n  VisibilityMs: 3000\n  EarlyMs: 100\n  \
             CeilingWindowS: 5\n  CeilingOverage: 1.1\nCloudApi:\n  Address: \"{platform}\"\n  RatePerS: 49.0\n  Duties: []\n  \
             MaxLagMs: 800\n",
            region = self.region,
            zones = zones.concat(),
            first = self.port,
            last = self.port + 3,
            seeds = seeds.concat(),
            counts = role != "edge",
            platform = self.platform(),
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap_or_else(|e| fail(&e.to_string()));
        let std::net::IpAddr::V4(ip) = ip else { fail("an address of version 4 is wanted") };
        let (root, zone) = (self.root.clone(), zone_name.to_string());
        Machine { name, role, root, settings, data, zone, address: ip.octets(), child: None }
    }

    /// The operator's call, to one control machine after the other until one answers for sure.
    pub fn operator(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        let until = Instant::now() + Duration::from_secs(15);
        let mut all = vec![("Content-Type", "application/json"), ("Host", "operator")];
        all.extend_from_slice(headers);
        for turn in 0.. {
            let to = self.control(turn % 3);
            let answer = once(to, method, path, &all, body.as_bytes(), Duration::from_secs(1));
            match answer {
                Some(answer) if answer.status < 500 && answer.status != 307 && answer.status != 408 && answer.status != 429 => return answer,
                _ if Instant::now() > until => fail(&format!("no answer to {method} {path}")),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        unreachable!()
    }

    /// Waits until these edges say that they are ready.
    pub fn wait_ready(&self, zones: &[usize]) {
        let until = Instant::now() + Duration::from_secs(20);
        for zone in zones {
            let ready = || {
                let answer = once(self.readiness(*zone), "GET", "/v1/ready", &[("Host", "vip")], b"", Duration::from_secs(1));
                answer.is_some_and(|answer| answer.status == 200)
            };
            while !ready() {
                if Instant::now() > until {
                    fail("an edge isn't ready in time");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// Ends the run: the record is written, the folder goes.
    pub fn end(&self, record: &Record, code: i32, machines: Vec<Machine>) -> ! {
        if std::env::var("KEEP").is_ok() {
            println!("kept: {}", self.folder.display());
        }
        drop(machines);
        let path = std::env::var("REVIEW_RECORD").unwrap_or_else(|_| "record.txt".to_string());
        record.write(Path::new(&path));
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}

/// Processes that were started and haven't been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The case can't run: all that was started ends.
pub fn fail(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for process in started {
        let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).status();
    }
    std::process::exit(2)
}

/// Ends a run that takes too long.
pub fn limit(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        fail("it takes too long");
    });
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Asks for a message's state or body as the pages say: at any edge, again after every failure, for a while.
pub fn ask_again(edges: &[SocketAddr], path: &str, host: &str, for_ms: u64) -> Option<Response> {
    let until = Instant::now() + Duration::from_millis(for_ms);
    let mut last = None;
    for turn in 0.. {
        let to = edges[turn % edges.len()];
        let answer = once(to, "GET", path, &[("Host", host)], b"", Duration::from_secs(2));
        if answer.as_ref().is_some_and(|answer| answer.status == 200) {
            return answer;
        }
        last = answer.or(last);
        if Instant::now() > until {
            break;
        }
        sleep_ms(200);
    }
    last
}

// ---------------------------------------------------------------- one service whose messages all succeed

pub const HOST: &str = "shop.example";

/// The pages' example: one service, one route.
pub fn configuration() -> String {
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"r-proof","Host":"{HOST}","PathPrefix":"/proof/","Type":"async","TimeoutMs":2500,"TargetLatencyMs":120,"Priority":2,"Backend":"proofdesk","MaxAttempts":4,"Ordered":false,"RetentionS":90.0,"CallbackUrl":false,"TargetStartMs":1000}}],"Backends":[{{"Name":"proofdesk","HealthPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false,"RatePerS":0.0,"Idempotent":false,"Pull":false,"PinnedEndpoint":null}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

pub fn list(site: &Site) -> String {
    let entries: Vec<String> = (1..=6)
        .map(|i| {
            format!(
                r#"{{"Backend":"proofdesk","Address":"{}","Zone":"{}","Version":"v1","Capacity":12,"State":"ready","WarmupLeftMs":0,"Id":"i-{i}"}}"#,
                site.endpoint(i),
                site.zones[i as usize % 3]
            )
        })
        .collect();
    format!(r#"{{"Instances":[{}],"NextPageToken":null}}"#, entries.join(","))
}

/// An endpoint: runs every message with success.
pub fn endpoint(site: &Site, number: u8, ran: Shared<Vec<String>>, record: Record) {
    let own = format!("i-{number}");
    serve(
        site.endpoint(number),
        Arc::new(move |request, stream| {
            let id = request.header("x-request-id").to_string();
            let out = if request.method == "GET" {
                answer(200, &[("X-Instance-Id", &own), ("X-Server-Load", "0,0,12")], b"")
            } else if !["", own.as_str()].contains(&request.header("x-expected-instance")) {
                answer(421, &[("X-Request-Id", &id), ("X-Not-Executed", "1")], b"")
            } else {
                if id.starts_with("later-") {
                    record.note(format!("endpoint {own} runs {id}"));
                }
                ran.lock().unwrap().push(id.clone());
                answer(200, &[("X-Request-Id", &id), ("X-Server-Signature", &format!("s.{id}")), ("X-Server-Load", "1,0,12")], b"")
            };
            stream.write_all(&out).is_ok()
        }),
    );
}

impl Site {
    /// Three machines of each class, six endpoints, the platform's list and the first configuration.
    pub fn start_all(&self, ran: &Shared<Vec<String>>, record: &Record) -> Vec<Machine> {
        for number in 1..=6 {
            endpoint(self, number, ran.clone(), record.clone());
        }
        let text = list(self);
        let listing = move |_: Request, stream: &mut TcpStream| {
            stream.write_all(&answer(200, &[("Content-Type", "application/json")], text.as_bytes())).is_ok()
        };
        serve(self.platform(), Arc::new(listing));
        let mut machines: Vec<Machine> = Vec::new();
        for role in ["control", "store", "edge"] {
            for zone in 0..3 {
                machines.push(self.machine(role, zone, 1, true));
            }
        }
        machines.iter_mut().for_each(Machine::start);
        let first = self.operator("POST", "/v1/config/replace", &[("X-Base-Version", "0")], &configuration());
        record.tell(format!("the first configuration: {}", first.status));
        machines
    }
}

/// Those of which `test` is true; several are asked about at once.
pub fn each(ids: &[String], test: impl Fn(&str) -> bool + Sync) -> Vec<String> {
    let (left, found) = (Mutex::new(ids.to_vec()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..30 {
            scope.spawn(|| loop {
                let Some(id) = left.lock().unwrap().pop() else { return };
                if test(&id) {
                    found.lock().unwrap().push(id);
                }
            });
        }
    });
    found.into_inner().unwrap()
}
