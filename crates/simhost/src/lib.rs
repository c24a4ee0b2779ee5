//! The adapter: many senders' decisions in one process, on the simulator's wire.
//!
//! It decides nothing: a line in becomes an event of one sender's [`policy::rules::Sender`], and each action of that
//! becomes a line out. It must not touch clocks, files or sockets: time comes with the lines, and `run` is given its
//! input and output. One line's way: `run` -> `host::Host::line` -> `Sender::handle` -> the reply's text.
mod host;

use std::io::{BufRead, Write};

/// Answers each flush of the input until it ends, or the output is closed. The error says which line cannot be
/// understood and why; nothing is answered after it.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(format!("line {}: cannot read: {e}", number + 1)),
        }
        number += 1;
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: not UTF-8 text"))?;
        if host
            .line(text.trim_end_matches(['\n', '\r']), &mut reply)
            .map_err(|e| format!("line {number}: {e}"))?
        {
            if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                return Ok(());
            }
            reply.clear();
        }
    }
}
