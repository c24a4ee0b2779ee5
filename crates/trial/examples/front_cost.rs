//! What a front adds to a call: exchanges over one connection, direct and through a front, in turn.
//!
//!     cargo run --release -p trial --example front_cost
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;
use trial::front::Fabric;
use trial::link::Party;

const CALLS: usize = 20_000;
const BYTES: usize = 300;

async fn echo(shaped: Option<Rc<Fabric>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let _ = tcp.set_nodelay(true);
            let mut piece = [0; BYTES];
            match &shaped {
                Some(fabric) => {
                    let (near, far) = (Party::Partner(0), Party::Sender(0));
                    let mut own = fabric.shaped(tcp, near, far, Rc::new(|| {}));
                    while own.read_exact(&mut piece).await.is_ok() && own.write_all(&piece).await.is_ok() {}
                }
                None => {
                    while tcp.read_exact(&mut piece).await.is_ok() && tcp.write_all(&piece).await.is_ok() {}
                }
            }
        }
    });
    at
}

async fn calls(at: SocketAddr) -> Vec<Duration> {
    let mut tcp = TcpStream::connect(at).await.expect("it listens");
    let _ = tcp.set_nodelay(true);
    let (mut piece, mut took) = ([7; BYTES], Vec::new());
    for _ in 0..CALLS {
        let begin = Instant::now();
        tcp.write_all(&piece).await.expect("it is written");
        tcp.read_exact(&mut piece).await.expect("it is answered");
        took.push(begin.elapsed());
    }
    took.sort();
    took
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let fabric = Fabric::new(Rc::default(), world::plan::random(1, 1));
        let (direct, front) = (echo(None).await, echo(Some(fabric)).await);
        for (name, at) in [("direct", direct), ("front", front), ("direct", direct), ("front", front)] {
            let took = calls(at).await;
            println!("{name}: median {:?}, 99th percentile {:?}", took[CALLS / 2], took[CALLS * 99 / 100]);
        }
    });
}
