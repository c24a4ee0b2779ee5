//! One sender's processes: start, signals, end. None outlives the thread that started it.
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process of the program that is tried.
pub struct Process {
    child: Child,
    /// Counts the lives of one sender.
    pub life: u32,
    pub control: SocketAddr,
    /// It was told to end, or killed.
    pub told: bool,
    waits: Waits,
}

/// How long its threads were ready to run and had no core: what the kernel adds up, looked at now and then.
#[derive(Default)]
struct Waits {
    /// The sum when it was last looked at.
    sum: Duration,
    /// What each of the last looks has found.
    looks: VecDeque<Duration>,
}

impl Waits {
    /// What came to wait within the last looks, this one included.
    fn look(&mut self, sum: Duration) -> Duration {
        // A thread that has ended takes its part along.
        self.looks.push_back(sum.saturating_sub(self.sum));
        self.sum = sum;
        if self.looks.len() > LOOKS {
            self.looks.pop_front();
        }
        self.looks.iter().sum()
    }
}

/// How often a process is looked at, and how many looks back its waits count: a second.
pub const LOOK: Duration = Duration::from_millis(100);
const LOOKS: usize = 10;

/// Has a bound on files show as an error of the write, as a full disk does.
pub fn heed_bounds(command: &mut Command) -> &mut Command {
    // SAFETY: between fork and exec only this call, which is safe there.
    unsafe {
        command.pre_exec(|| {
            libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
            Ok(())
        })
    }
}

/// Has the kernel kill it when the thread that starts it ends, whatever ends that.
pub fn bound(command: &mut Command) -> &mut Command {
    // SAFETY: between fork and exec only this call, which is safe there.
    unsafe {
        heed_bounds(command).pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        })
    }
}

/// Bounds the size of a child's files.
pub fn bound_files(process: u32, bytes: u64) -> io::Result<()> {
    let limit = libc::rlimit { rlim_cur: bytes, rlim_max: libc::RLIM_INFINITY };
    // SAFETY: both pointers are valid for the call, and the old limit is not asked for.
    match unsafe { libc::prlimit(process as libc::pid_t, libc::RLIMIT_FSIZE, &limit, std::ptr::null_mut()) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// What a start needs.
pub struct Start<'a> {
    pub program: &'a Path,
    pub config: &'a Path,
    pub state: &'a Path,
    pub log: &'a Path,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub life: u32,
}

impl Process {
    pub fn start(start: &Start<'_>) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(start.log)?;
        let mut command = Command::new(start.program);
        command
            .env("EDGE_CONFIG", start.config)
            .env("EDGE_STATE", start.state)
            .env("EDGE_LISTEN", start.listen.to_string())
            .env("EDGE_CONTROL", start.control.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = bound(&mut command).spawn()?;
        Ok(Process { child, life: start.life, control: start.control, told: false, waits: Waits::default() })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&mut self, signal: i32) {
        self.told |= matches!(signal, libc::SIGKILL | libc::SIGTERM);
        // SAFETY: it is this process's child and not waited for yet, so the number is its own.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// None while it runs; else whether it ended in a way that nobody asked for.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().ok()??;
        Some(!(self.told && (status.success() || status.code().is_none())))
    }

    /// How long its threads have waited for a core within the last second; to be asked every `LOOK`. None where the
    /// system does not tell.
    pub fn waited(&mut self) -> Option<Duration> {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).ok()?;
        let waited = |task: std::fs::DirEntry| {
            // Nanoseconds on a core, nanoseconds ready without one, turns.
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').nth(1)?.parse().ok().map(Duration::from_nanos)
        };
        Some(self.waits.look(threads.flatten().filter_map(waited).sum()))
    }

    /// Bounds the size of its files.
    pub fn bound_files(&self, bytes: u64) -> io::Result<()> {
        bound_files(self.child.id(), bytes)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Copies a folder of plain files over another, which has only these afterwards.
pub fn copy(from: &Path, to: &Path) -> io::Result<()> {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    let files: Vec<PathBuf> = std::fs::read_dir(from)?.flatten().map(|e| e.path()).collect();
    for file in files.iter().filter(|f| f.is_file()) {
        match std::fs::copy(file, to.join(file.file_name().unwrap_or_default())) {
            // Files of a process that works come and go.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            other => drop(other?),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_count_for_a_second_and_a_thread_that_ends_takes_none_back() {
        let mut waits = Waits::default();
        let ms = Duration::from_millis;
        assert_eq!(waits.look(ms(40)), ms(40));
        assert_eq!(waits.look(ms(100)), ms(100));
        assert_eq!(waits.look(ms(30)), ms(100), "a thread has ended");
        assert_eq!(waits.look(ms(50)), ms(120));
        (0..LOOKS - 4).for_each(|_| _ = waits.look(ms(50)));
        assert_eq!(waits.look(ms(50)), ms(80), "the first look is too long ago");
        (0..LOOKS).for_each(|_| _ = waits.look(ms(50)));
        assert_eq!(waits.look(ms(50)), ms(0));
    }
}
