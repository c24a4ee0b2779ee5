//! Real senders of the fleet: processes of the built program, which none outlives, and what the system and their control
//! addresses tell of them.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use trial::peers::free_address;
use trial::process::{Process, Start};

/// How long a control address may take.
const PATIENCE: Duration = Duration::from_secs(5);

pub struct Real {
    process: Process,
    pub member: usize,
    /// Where clients reach it.
    pub listen: SocketAddr,
}

/// A page of figures, as its control address shows it.
pub struct Page(String);

impl Page {
    /// One by its name and labels.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.0.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.trim().parse().ok())
    }

    /// Bytes of control of all roles but the operators', whose questions are the run's own.
    pub fn control_bytes(&self, direction: &str) -> f64 {
        CONTROL.iter().filter_map(|role| self.bytes_of(role, direction)).sum()
    }

    pub fn bytes_of(&self, role: &str, direction: &str) -> Option<f64> {
        self.figure(&format!(r#"sender_control_bytes_total{{role="{role}",direction="{direction}"}}"#))
    }
}

/// Roles of control that a sender counts by itself.
const CONTROL: [&str; 4] = ["membership", "discovery", "store", "notices"];

impl Real {
    /// Starts one from `folder`, which has its `config.json`, and its state in `state`. It ends with the thread that calls.
    pub fn start(program: &Path, folder: &Path, member: usize) -> io::Result<Real> {
        let listen = free_address();
        let start = Start {
            program,
            config: &folder.join("config.json"),
            state: &folder.join("state"),
            log: &folder.join("log"),
            listen,
            control: free_address(),
            life: 1,
        };
        Ok(Real { process: Process::start(&start)?, member, listen })
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.ended().is_some()
    }

    /// Kills it, and waits for its end.
    pub fn kill(&mut self) {
        self.process.signal(libc::SIGKILL);
        while !self.has_ended() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Tells it that its file was replaced.
    pub fn reload(&mut self) {
        self.process.signal(libc::SIGHUP);
    }

    pub fn is_ready(&self) -> bool {
        self.ask("/v1/readyz").is_some_and(|(status, _)| status == 200)
    }

    /// A figure without labels, as its control address shows it.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.page()?.figure(name)
    }

    pub fn page(&self) -> Option<Page> {
        let (_, page) = self.ask("/v1/metrics").filter(|(status, _)| *status == 200)?;
        Some(Page(page))
    }

    /// Addresses of members that it takes for failed.
    pub fn takes_for_failed(&self) -> Vec<SocketAddr> {
        let Some((200, page)) = self.ask("/v1/members") else { return Vec::new() };
        let Ok(all) = serde_json::from_str::<serde_json::Value>(&page) else { return Vec::new() };
        let rows = all["members"].as_array().into_iter().flatten().filter(|m| m["state"] == "failed");
        rows.filter_map(|m| m["address"].as_str()?.parse().ok()).collect()
    }

    fn ask(&self, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&self.process.control, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_string()))
    }

    /// Time on a core, of all its threads.
    pub fn busy(&self) -> Duration {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.id())).ok();
        let spent = |task: std::fs::DirEntry| {
            // Nanoseconds on a core, nanoseconds ready without one, turns.
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Duration::from_nanos(threads.into_iter().flatten().flatten().filter_map(spent).sum())
    }

    pub fn resident(&self) -> u64 {
        resident(self.id())
    }

    /// The most that it ever had resident, bytes.
    pub fn peak(&self) -> u64 {
        status(self.id(), "VmHWM:")
    }
}

/// What a process has resident, bytes; 0 where it has gone.
pub fn resident(process: u32) -> u64 {
    status(process, "VmRSS:")
}

fn status(process: u32, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    let kib: Option<u64> = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
    kib.unwrap_or(0) * 1_024
}
