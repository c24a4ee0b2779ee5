//! Calls to control addresses.
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Answers are owed in 1 s under any load.
const PATIENCE: Duration = Duration::from_millis(1_500);
const MOST: usize = 4 << 20;

/// Status and body; or why there is none, in a few words.
pub async fn call(at: SocketAddr, method: &str, path: &str) -> Result<(u16, String), String> {
    match timeout(PATIENCE, exchange(at, method, path)).await {
        Ok(answer) => answer,
        Err(_) => Err("does not answer".to_string()),
    }
}

async fn exchange(at: SocketAddr, method: &str, path: &str) -> Result<(u16, String), String> {
    let stream = TcpStream::connect(at).await.map_err(|e| format!("can't be reached: {e}"))?;
    let broken = |e: hyper::Error| format!("its answer can't be read: {e}");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
    let task = tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header("host", at.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(broken);
    let answer = match answer {
        Ok(answer) => answer,
        Err(reason) => {
            task.abort();
            return Err(reason);
        }
    };
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), MOST).collect().await;
    let body = body.map_err(|e| format!("its answer can't be read: {e}"))?;
    task.abort();
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
