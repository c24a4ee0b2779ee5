//! HTTP as the stand-ins speak it, and the threads on which they do.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// A thread with a runtime of its own, until it is dropped.
pub struct Background(Option<(oneshot::Sender<()>, JoinHandle<()>)>);

impl Background {
    pub fn start<F>(name: &str, work: impl FnOnce() -> F + Send + 'static) -> io::Result<Background>
    where
        F: Future<Output = io::Result<()>>,
    {
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                // Work that ends early shows as what was waited for and did not come.
                let worked = async { (work().await, std::future::pending::<()>().await) };
                tokio::select! {
                    _ = worked => {}
                    _ = stopped => {}
                }
            });
        })?;
        Ok(Background(Some((stop, thread))))
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.0.take() {
            let _ = stop.send(());
            let _ = thread.join();
        }
    }
}

/// A listener for such a thread, and its address. It is bound once and stays so: an address that was free a moment ago
/// may still be open in a process that is just being started.
pub fn listener() -> io::Result<(std::net::TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves each connection by a task of its own.
pub async fn accept<F>(
    listener: std::net::TcpListener,
    serve: impl Fn(BufReader<TcpStream>) -> F,
) -> io::Result<()>
where
    F: Future<Output = io::Result<()>> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        // One that breaks is its sender's to make anew.
        spawn_local(serve(BufReader::new(stream)));
    }
}

/// A question or an answer as it was read.
pub struct Message {
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// None where the connection ends before its first byte.
    pub async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
        let mut first = String::new();
        if stream.read_line(&mut first).await? == 0 {
            return Ok(None);
        }
        let (mut headers, mut line) = (Vec::new(), String::new());
        loop {
            line.clear();
            stream.read_line(&mut line).await?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut message = Message { first, headers, body: Vec::new() };
        let length: u64 =
            message.header("content-length").map_or(Ok(0), str::parse).map_err(io::Error::other)?;
        if stream.take(length).read_to_end(&mut message.body).await? as u64 != length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Of an answer.
    pub fn status(&self) -> Option<u16> {
        self.first.split(' ').nth(1)?.parse().ok()
    }
}
