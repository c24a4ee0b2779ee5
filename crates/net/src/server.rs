//! Serves HTTP/1.1: one request after the other on each connection.
use crate::http::{Answer, Bounds, Kind, Message, Reader, Request};
use crate::runtime;
use bytes::BytesMut;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;
/// How long a connection is still read after an answer that refused what it carried.
const LINGER: Duration = Duration::from_millis(200);
/// A peer that acknowledges nothing for so long is gone.
const SILENCE: Duration = Duration::from_secs(4);

/// What answers a request.
pub type Handler = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// Bounds that may change while the server runs.
#[derive(Clone, Copy, Debug)]
pub struct ServerBounds {
    pub message: Bounds,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

/// A server and what is known of its work.
pub struct Server {
    pub bounds: Cell<ServerBounds>,
    /// Requests read whole and not yet answered.
    pub busy: Cell<usize>,
    /// Connections are closed after their next answer.
    pub closing: Cell<bool>,
}

impl Server {
    pub fn new(bounds: ServerBounds) -> Rc<Server> {
        Rc::new(Server { bounds: Cell::new(bounds), busy: Cell::new(0), closing: Cell::new(false) })
    }

    /// Takes connections for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, handler: Handler) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                runtime::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if crate::socket::tune(&stream, SILENCE).is_ok() {
                runtime::spawn(self.clone().connection(stream, handler.clone()));
            }
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream, handler: Handler) {
        let mut bytes = BytesMut::new();
        loop {
            let request = match self.read(&mut stream, &mut bytes).await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(answer) => {
                    let _ = write(&mut stream, &answer, true).await;
                    return linger(stream).await;
                }
            };
            self.busy.set(self.busy.get() + 1);
            let keep_alive = request.keep_alive;
            let answer = handler(request).await;
            let close = !keep_alive || self.closing.get();
            let written = write(&mut stream, &answer, close).await;
            self.busy.set(self.busy.get() - 1);
            if written.is_err() {
                return;
            }
            if close {
                return linger(stream).await;
            }
        }
    }

    /// Reads one request; nothing where the connection ended or was idle for too long.
    async fn read(&self, stream: &mut TcpStream, bytes: &mut BytesMut) -> Result<Option<Request>, Answer> {
        let mut reader = Reader::new(Kind::Request, self.bounds.get().message);
        let mut buffer = vec![0; READ_BYTES];
        let mut told = false;
        loop {
            match reader.next(bytes) {
                Ok(Some(Message::Request(request))) => return Ok(Some(request)),
                Ok(_) => {}
                Err(bad) => return Err(Answer::empty(bad.status().as_u16())),
            }
            if reader.expects_continue() && !told {
                told = true;
                let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await;
            }
            let bounds = self.bounds.get();
            let idle = bytes.is_empty() && !reader.in_body();
            let wait = if idle { bounds.idle_timeout } else { bounds.head_timeout };
            let Ok((read, returned)) = runtime::timeout(wait, stream.read(buffer)).await else {
                return if idle { Ok(None) } else { Err(Answer::empty(408)) };
            };
            buffer = returned;
            match read {
                Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                _ => return Ok(None),
            }
        }
    }
}

async fn write(stream: &mut TcpStream, answer: &Answer, close: bool) -> std::io::Result<()> {
    let mut out = Vec::with_capacity(256 + answer.body.len());
    answer.encode(close, &mut out);
    stream.write_all(out).await.0.map(|_| ())
}

/// Ends a connection so that the answer isn't lost to a reset by bytes that were not read.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let drain = async {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let (read, returned) = stream.read(buffer).await;
            buffer = returned;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
        }
    };
    let _ = runtime::timeout(LINGER, drain).await;
}
