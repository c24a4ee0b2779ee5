//! The sender with a wall clock that can be told to be off, for trials: a file `clock-shift` beside $EDGE_STATE holds the
//! milliseconds. All else is `nickelshed`.
use machine::{Datagrams, Dialling, Listener, Machine, Real};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

#[allow(dead_code)]
#[path = "../src/bin/nickelshed.rs"]
mod nickelshed;

struct Shifted {
    file: PathBuf,
}

impl Machine for Shifted {
    fn dial(&self, at: SocketAddr) -> Dialling {
        Real.dial(at)
    }

    fn listen(&self, at: SocketAddr, shared: bool) -> io::Result<Box<dyn Listener>> {
        Real.listen(at, shared)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        Real.datagrams(at)
    }

    fn wall_ms(&self) -> i64 {
        let shift = std::fs::read_to_string(&self.file).ok().and_then(|text| text.parse::<i64>().ok());
        Real.wall_ms().saturating_add(shift.unwrap_or(0))
    }
}

fn main() -> ExitCode {
    let state = std::env::var("EDGE_STATE").unwrap_or_default();
    let file = Path::new(&state).with_file_name("clock-shift");
    nickelshed::run(Rc::new(Shifted { file }))
}
