//! The fronts: every path between two parties goes through one, and does what stands on its link at that moment.
//!
//! The rig is one end of every connection, so a front is a pair of pumps on the rig's own end: what a sender sees (a
//! reset, a connection that stays open and silent) is what the kernel shows it. While a link is cut a new connection still
//! comes up, as the kernel answers for a listener, and is silent until the link is healed.
use crate::history::{History, What};
use crate::link::{Effect, Net, Party, Rule};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// All links, with what draws their chances.
pub struct Fabric {
    pub history: Rc<History>,
    net: RefCell<Net>,
    changed: watch::Sender<()>,
    random: RefCell<Pcg64>,
}

/// Why a pump has ended before its end.
enum Broken {
    /// By the link: the sender must see a reset.
    Reset,
    /// One side has gone.
    Gone,
}

/// A piece at a time.
const PIECE: usize = 16 << 10;

/// Told when bytes have been written to a sender that still listens, or when it has ended its side.
pub type Written = Rc<dyn Fn()>;

impl Fabric {
    pub fn new(history: Rc<History>, random: Pcg64) -> Rc<Fabric> {
        let (net, changed) = (RefCell::default(), watch::Sender::new(()));
        Rc::new(Fabric { history, net, changed, random: RefCell::new(random) })
    }

    pub fn add(&self, from: Vec<Party>, to: Vec<Party>, effect: Effect) -> Rule {
        let rule = self.net.borrow_mut().add(from, to, effect);
        self.changed.send_replace(());
        rule
    }

    pub fn remove(&self, rule: Rule) {
        self.net.borrow_mut().remove(rule);
        self.changed.send_replace(());
    }

    fn between(&self, from: Party, to: Party) -> Effect {
        self.net.borrow().between(from, to)
    }

    /// Waits until something may pass.
    pub async fn open(&self, from: Party, to: Party) {
        let mut changed = self.changed.subscribe();
        while self.between(from, to).cut {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// The rig's end of a connection between `near` (the rig's) and `far` (a sender's), shaped both ways.
    pub fn shaped(
        self: &Rc<Self>,
        tcp: TcpStream,
        near: Party,
        far: Party,
        written: Written,
    ) -> DuplexStream {
        let (own, inner) = tokio::io::duplex(PIECE);
        let fabric = self.clone();
        spawn_local(async move {
            let mut tcp = tcp;
            let _ = tcp.set_nodelay(true);
            let broken = {
                let (read, write) = tcp.split();
                let (own_read, own_write) = tokio::io::split(inner);
                // What is written to one that has given up is heard by nobody.
                let gone = Rc::new(Cell::new(false));
                let ended: Written = {
                    let gone = gone.clone();
                    Rc::new(move || gone.set(true))
                };
                let heard: Written = Rc::new(move || {
                    if !gone.get() {
                        written();
                    }
                });
                let nothing: Written = Rc::new(|| {});
                let comes = fabric.pump(read, own_write, far, near, (nothing.clone(), ended));
                let goes = fabric.pump(own_read, write, near, far, (heard, nothing));
                tokio::try_join!(comes, goes).err()
            };
            if matches!(broken, Some(Broken::Reset)) {
                // Closed with no time to linger the kernel sends a reset.
                let _ = tcp.set_zero_linger();
            }
        });
        own
    }

    async fn pump(
        &self,
        mut read: impl AsyncRead + Unpin,
        mut write: impl AsyncWrite + Unpin,
        from: Party,
        to: Party,
        (written, ended): (Written, Written),
    ) -> Result<(), Broken> {
        let (mut piece, mut passed) = (vec![0; PIECE], 0u64);
        loop {
            let mut changed = self.changed.subscribe();
            if self.between(from, to).reset_after.is_some_and(|most| passed >= most) {
                return Err(Broken::Reset);
            }
            let length = tokio::select! {
                came = read.read(&mut piece) => came.map_err(|_| Broken::Gone)?,
                _ = changed.changed() => continue,
            };
            if length == 0 {
                ended();
            }
            let effect = self.between(from, to);
            let takes = effect.takes(&mut self.random.borrow_mut());
            if takes > 0 {
                sleep(Duration::from_nanos(takes as u64)).await;
            }
            self.open(from, to).await;
            if length == 0 {
                let _ = write.shutdown().await;
                return Ok(());
            }
            let effect = self.between(from, to);
            let room = effect.reset_after.map_or(u64::MAX, |most| most.saturating_sub(passed));
            let length = length.min(usize::try_from(room).unwrap_or(usize::MAX));
            effect.flip(&mut piece[..length], &mut self.random.borrow_mut());
            if let Some(rate) = effect.bandwidth {
                sleep(Duration::from_secs_f64(length as f64 / rate.max(1.0))).await;
            }
            write.write_all(&piece[..length]).await.map_err(|_| Broken::Gone)?;
            passed += length as u64;
            written();
        }
    }

    /// Lets one sender reach a server of the rig's through a front; gives the front's address.
    pub async fn relay(self: &Rc<Self>, far: Party, near: Party, to: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let fabric = self.clone();
        spawn_local(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let fabric = fabric.clone();
                spawn_local(async move {
                    let Ok(mut server) = TcpStream::connect(to).await else { return };
                    let mut client = fabric.shaped(tcp, near, far, Rc::new(|| {}));
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
                });
            }
        });
        Ok(at)
    }
}

/// One member: the address that it binds, and the front that it is known by.
pub struct Member {
    pub bound: SocketAddr,
    pub front: UdpSocket,
}

/// Carries datagrams among members. Who sends is told by the source, who is to hear by the front that it came to; it goes on
/// from the sender's own front, so that an answer finds the way back.
pub fn carry(fabric: &Rc<Fabric>, members: Rc<Vec<Member>>) {
    for to in 0..members.len() {
        let (fabric, members) = (fabric.clone(), members.clone());
        spawn_local(async move {
            let mut buffer = [0; 2_048];
            while let Ok((length, source)) = members[to].front.recv_from(&mut buffer).await {
                let Some(from) = members.iter().position(|m| m.bound == source) else { continue };
                let effect = fabric.between(Party::Sender(from), Party::Sender(to));
                let bytes = &mut buffer[..length];
                let (fate, copies) = effect.datagram(bytes, &mut fabric.random.borrow_mut());
                fabric.history.add(What::Datagram { from, to, fate });
                for delay in copies {
                    let (members, bytes) = (members.clone(), bytes.to_vec());
                    let pass = async move {
                        // One that can't be sent is one that is lost: nobody listens there now.
                        let _ = members[from].front.send_to(&bytes, members[to].bound).await;
                    };
                    match delay {
                        0 => pass.await,
                        ns => {
                            spawn_local(async move {
                                sleep(Duration::from_nanos(ns as u64)).await;
                                pass.await;
                            });
                        }
                    }
                }
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;
    use world::plan::random;

    async fn pair(fabric: &Rc<Fabric>) -> (TcpStream, DuplexStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let sender = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (tcp, _) = listener.accept().await.unwrap();
        (sender, fabric.shaped(tcp, Party::Store, Party::Sender(0), Rc::new(|| {})))
    }

    fn play(test: impl AsyncFnOnce(Rc<Fabric>)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let fabric = Fabric::new(Rc::default(), random(1, 1));
        LocalSet::new().block_on(&runtime, test(fabric));
    }

    #[test]
    fn a_cut_connection_stays_open_and_silent_and_what_was_on_the_way_comes_when_healed() {
        play(async |fabric| {
            let (mut sender, mut rig) = pair(&fabric).await;
            let cut = Effect { cut: true, ..Effect::default() };
            let rule = fabric.add(vec![Party::Sender(0)], vec![Party::Store], cut);
            sender.write_all(b"ask").await.unwrap();
            // The other way is open.
            rig.write_all(b"news").await.unwrap();
            let mut four = [0; 4];
            sender.read_exact(&mut four).await.unwrap();
            let mut three = [0; 3];
            let silent = tokio::time::timeout(Duration::from_millis(50), rig.read_exact(&mut three)).await;
            assert!(silent.is_err(), "it came through");
            fabric.remove(rule);
            rig.read_exact(&mut three).await.unwrap();
            assert_eq!((&four, &three), (b"news", b"ask"));
            drop(sender);
            assert_eq!(rig.read(&mut three).await.unwrap(), 0);
        });
    }

    #[test]
    fn a_reset_arrives_as_one_behind_the_bytes_that_may_pass() {
        play(async |fabric| {
            let (mut sender, mut rig) = pair(&fabric).await;
            let effect = Effect { reset_after: Some(2), ..Effect::default() };
            fabric.add(vec![Party::Store], vec![Party::Sender(0)], effect);
            rig.write_all(b"answer").await.unwrap();
            let mut came = Vec::new();
            let error = sender.read_to_end(&mut came).await.unwrap_err();
            assert_eq!((error.kind(), &came[..]), (io::ErrorKind::ConnectionReset, &b"an"[..]));
        });
    }
}
