//! How soon a watcher that knows nothing hears from the primary, whoever of the group is cut off, and in whatever order
//! the members answer.
use net::rpc::{Exchange, Peers, RpcError, Transport};
use net::runtime;
use net::wake::Watched;
use node::calls::{Call, Custody, Hello, News, Role};
use node::packed::pack;
use node::watch::{watch, Known};
use rstest::rstest;
use settings::Location;
use simulation::clock::WORLD;
use simulation::network::Network;
use simulation::Simulation;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

const PORT: u16 = 7_000;
const STEP: u64 = 10;
/// A call takes up to 8 ms there and back, now and then 140; between two members that are asked are 100 ms.
const SOON: u64 = 450;

fn member(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, number))
}

fn hello(ip: IpAddr) -> Hello {
    let location = Location::default();
    Hello { name: "edge".to_string(), ip, location, role: Role::Edge, disk: 0, custody: Custody::default() }
}

/// What a member answers of a group whose third member leads.
fn answer(number: u8, bytes: &[u8]) -> Vec<u8> {
    let Ok(Call::Watch(..)) = borsh::from_slice::<Call>(bytes) else { return Vec::new() };
    let group = vec![member(1), member(2), member(3)];
    let configuration = pack(br#"{"Version":4,"Routes":[],"Backends":[],"Limits":{}}"#);
    let news = match number {
        3 => {
            News { leads: true, epoch: 7, configuration: Some((4, configuration)), group, ..News::default() }
        }
        _ => News { primary: Some(member(3)), group, ..News::default() },
    };
    borsh::to_vec(&news).unwrap()
}

#[rstest]
#[case::all_answer(&[])]
#[case::the_first_is_cut_off(&[1])]
#[case::only_the_primary_is_left(&[1, 2])]
fn a_watcher_hears_the_primary_soon(#[case] dark: &[u8], #[values(1, 2, 3, 4, 5)] seed: u64) {
    let simulation = Simulation::new(seed);
    let network = Network::new(&simulation, seed);
    for number in 1..=3 {
        let handler = move |_, bytes: Vec<u8>| -> Pin<Box<dyn Future<Output = Vec<u8>>>> {
            Box::pin(async move { answer(number, &bytes) })
        };
        network.listen(SocketAddr::new(member(number), PORT), WORLD, Rc::new(handler));
    }
    let own = IpAddr::V4(Ipv4Addr::new(10, 0, 2, 1));
    dark.iter().for_each(|number| network.cut(own, member(*number)));
    let process = simulation.new_process("edge");
    let seeds = vec![member(1), member(2), member(3)];
    let known = Known::new(seeds.clone());
    let peers = Rc::new(Peers::on(network.transport(process, own)));
    let watching = watch(known.clone(), peers, move || hello(own), PORT, seeds);
    simulation.spawn_in(process, watching);
    while known.version() == 0 && simulation.ms() < SOON {
        simulation.run_for(Duration::from_millis(STEP));
    }
    assert_eq!(known.version(), 4, "after {SOON} ms");
    runtime::simulate(None);
}

/// Members of a group that changed hands: the first two hold their answers back until a test lets them go, both at the
/// same moment. The first names the third, which is silent; the second leads.
struct HeldBackMembers {
    released: Rc<Watched>,
}

impl Transport for HeldBackMembers {
    fn send(&self, to: SocketAddr, _call: Vec<u8>, within: Duration) -> Exchange {
        let released = self.released.clone();
        Box::pin(async move {
            if to.ip() == member(3) {
                runtime::sleep(within).await;
                return Err(RpcError::TimedOut);
            }
            if released.get() == 0 {
                released.changed(0).await;
            } else {
                runtime::sleep(Duration::from_millis(STEP)).await;
            }
            let group = vec![member(1), member(2), member(3)];
            let leads = to.ip() == member(2);
            let primary = (!leads).then(|| member(3));
            Ok(borsh::to_vec(&News { leads, primary, epoch: 9, group, ..News::default() }).unwrap())
        })
    }
}

#[test]
fn a_watcher_hears_the_primary_that_answers_together_with_another_member() {
    let simulation = Simulation::new(1);
    let process = simulation.new_process("edge");
    let own = IpAddr::V4(Ipv4Addr::new(10, 0, 2, 1));
    let seeds = vec![member(1), member(2), member(3)];
    let known = Known::new(seeds.clone());
    let released = Rc::new(Watched::default());
    let peers = Rc::new(Peers::on(Rc::new(HeldBackMembers { released: released.clone() })));
    simulation.spawn_in(process, watch(known.clone(), peers, move || hello(own), PORT, seeds));
    // Two members have been asked by now, the third one hasn't.
    simulation.run_for(Duration::from_millis(150));
    released.raise();
    simulation.run_for(Duration::from_millis(SOON));
    assert_eq!(known.seen().epoch, 9, "{SOON} ms after both answered");
    runtime::simulate(None);
}

/// A version that cannot be read here counted as seen, and its number stood for the one before, which stayed in force for good.
#[test]
fn a_configuration_that_cannot_be_read_is_asked_for_again() {
    let known = Known::new(Vec::new());
    let news = |version: u64, body: Vec<u8>| News {
        leads: true,
        epoch: 7,
        configuration: Some((version, body)),
        ..News::default()
    };
    let whole = |version: u64| {
        pack(format!(r#"{{"Version":{version},"Routes":[],"Backends":[],"Limits":{{}}}}"#).as_bytes())
    };
    known.take(news(3, whole(3)));
    for unreadable in [pack(b"{"), whole(4)[1..].to_vec(), Vec::new()] {
        known.take(news(4, unreadable));
        assert_eq!((known.version(), known.seen().version), (3, 3));
        assert_eq!(known.seen().base, 0, "the next time it comes whole");
    }
    known.take(news(4, whole(4)));
    assert_eq!(known.version(), 4);
}
