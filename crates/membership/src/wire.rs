//! Datagrams. None is longer than `LONGEST`, whatever the size of the fleet.
use std::net::{IpAddr, SocketAddr};

/// What goes over any path unbroken, with room for the headers below it.
pub const LONGEST: usize = 1_400;
pub const VERSION: u8 = 1;
/// Longest name of a member, in bytes, and of its program's version.
pub const MAX_NAME: usize = 32;
const MAX_VERSION: usize = 16;
const MAGIC: [u8; 2] = *b"nm";
/// Magic, version, fleet, sum.
const HEAD: usize = 2 + 1 + 8 + 4;

/// One life of a process: a restart under the same name is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    pub name: String,
    /// Later lives have higher numbers.
    pub life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    /// Somebody has not heard of it; it may say otherwise for a while.
    Suspect,
    Failed,
    /// It has said so itself.
    Left,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    pub id: Id,
    pub state: State,
    pub address: SocketAddr,
    pub version: String,
    pub incarnation: u32,
    /// Who says so.
    pub by: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    Ping {
        number: u32,
        to: Id,
    },
    Ack {
        number: u32,
    },
    /// The one that was asked to ping another has not heard of it either.
    Nack {
        number: u32,
    },
    /// Ping this one for me.
    Ask {
        number: u32,
        of: Id,
        at: SocketAddr,
    },
    /// A part of all that is known; `wants`: the same is asked for.
    Sync {
        wants: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub body: Body,
    /// The sender's own first.
    pub updates: Vec<Update>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    TooLong,
    OtherVersion,
    OtherFleet,
    Malformed,
}

struct Writer(Vec<u8>);

impl Writer {
    fn text(&mut self, text: &str, most: usize) {
        let bytes = &text.as_bytes()[..text.len().min(most)];
        self.0.push(bytes.len() as u8);
        self.0.extend_from_slice(bytes);
    }

    fn id(&mut self, id: &Id) {
        self.text(&id.name, MAX_NAME);
        self.0.extend_from_slice(&id.life.to_le_bytes());
    }

    fn address(&mut self, at: &SocketAddr) {
        match at.ip() {
            IpAddr::V4(ip) => {
                self.0.push(4);
                self.0.extend_from_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.0.push(6);
                self.0.extend_from_slice(&ip.octets());
            }
        }
        self.0.extend_from_slice(&at.port().to_le_bytes());
    }

    fn update(&mut self, update: &Update) {
        self.0.push(update.state as u8);
        self.id(&update.id);
        self.address(&update.address);
        self.0.extend_from_slice(&update.incarnation.to_le_bytes());
        self.text(&update.version, MAX_VERSION);
        self.text(&update.by, MAX_NAME);
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_at_checked(N)?;
        self.0 = rest;
        head.try_into().ok()
    }

    fn byte(&mut self) -> Option<u8> {
        self.take::<1>().map(|[b]| b)
    }

    fn text(&mut self, most: usize) -> Option<String> {
        let length = usize::from(self.byte()?);
        let (head, rest) = self.0.split_at_checked(length).filter(|_| length <= most)?;
        self.0 = rest;
        String::from_utf8(head.to_vec()).ok()
    }

    fn id(&mut self) -> Option<Id> {
        let name = self.text(MAX_NAME).filter(|name| !name.is_empty())?;
        Some(Id { name, life: self.take().map(u64::from_le_bytes)? })
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let ip = match self.byte()? {
            4 => IpAddr::from(self.take::<4>()?),
            6 => IpAddr::from(self.take::<16>()?),
            _ => return None,
        };
        Some(SocketAddr::new(ip, self.take().map(u16::from_le_bytes)?))
    }

    fn number(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }

    fn update(&mut self) -> Option<Update> {
        let states = [State::Alive, State::Suspect, State::Failed, State::Left];
        let state = *states.get(usize::from(self.byte()?))?;
        let (id, address, incarnation) = (self.id()?, self.address()?, self.number()?);
        Some(Update {
            id,
            state,
            address,
            incarnation,
            version: self.text(MAX_VERSION)?,
            by: self.text(MAX_NAME)?,
        })
    }

    fn body(&mut self) -> Option<Body> {
        let kind = self.byte()?;
        Some(match kind {
            0 => Body::Ping { number: self.number()?, to: self.id()? },
            1 => Body::Ack { number: self.number()? },
            2 => Body::Nack { number: self.number()? },
            3 => Body::Ask { number: self.number()?, of: self.id()?, at: self.address()? },
            4 | 5 => Body::Sync { wants: kind == 5 },
            _ => return None,
        })
    }
}

/// A datagram with as many of the updates as fit, and how many these are.
pub fn encode<'a>(fleet: u64, body: &Body, updates: impl Iterator<Item = &'a Update>) -> (Vec<u8>, usize) {
    let mut writer = Writer(MAGIC.to_vec());
    writer.0.push(VERSION);
    writer.0.extend_from_slice(&fleet.to_le_bytes());
    writer.0.extend_from_slice(&[0; 4]);
    match body {
        Body::Ping { number, to } => {
            writer.0.push(0);
            writer.0.extend_from_slice(&number.to_le_bytes());
            writer.id(to);
        }
        Body::Ack { number } => {
            writer.0.push(1);
            writer.0.extend_from_slice(&number.to_le_bytes());
        }
        Body::Nack { number } => {
            writer.0.push(2);
            writer.0.extend_from_slice(&number.to_le_bytes());
        }
        Body::Ask { number, of, at } => {
            writer.0.push(3);
            writer.0.extend_from_slice(&number.to_le_bytes());
            writer.id(of);
            writer.address(at);
        }
        Body::Sync { wants } => writer.0.push(4 + u8::from(*wants)),
    }
    let mut count = 0;
    for update in updates {
        let before = writer.0.len();
        writer.update(update);
        if writer.0.len() > LONGEST {
            writer.0.truncate(before);
            break;
        }
        count += 1;
    }
    let sum = crc32fast::hash(&writer.0[HEAD..]);
    writer.0[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
    (writer.0, count)
}

pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, Unfit> {
    if bytes.len() > LONGEST {
        return Err(Unfit::TooLong);
    }
    let mut reader = Reader(bytes);
    if reader.take::<2>() != Some(MAGIC) {
        return Err(Unfit::Malformed);
    }
    match reader.byte() {
        Some(VERSION) => {}
        Some(_) => return Err(Unfit::OtherVersion),
        None => return Err(Unfit::Malformed),
    }
    match reader.take().map(u64::from_le_bytes) {
        Some(other) if other != fleet => return Err(Unfit::OtherFleet),
        Some(_) => {}
        None => return Err(Unfit::Malformed),
    }
    if reader.number() != Some(crc32fast::hash(reader.0)) {
        return Err(Unfit::Malformed);
    }
    let body = reader.body().ok_or(Unfit::Malformed)?;
    let mut updates = Vec::new();
    while !reader.0.is_empty() {
        updates.push(reader.update().ok_or(Unfit::Malformed)?);
    }
    Ok(Message { body, updates })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;

    fn update(n: u64) -> Update {
        Update {
            id: Id { name: format!("sender-{n:03}"), life: 1_700_000_000_000 + n },
            state: [State::Alive, State::Suspect, State::Failed, State::Left][n as usize % 4],
            address: format!("127.0.{}.{}:7946", n / 250, n % 250).parse().unwrap(),
            version: "0.1.0".into(),
            incarnation: n as u32,
            by: format!("sender-{:03}", n + 1),
        }
    }

    #[test]
    fn what_is_written_is_read_back_and_no_datagram_is_too_long() {
        let id = update(7).id;
        let at = "[::1]:9".parse().unwrap();
        let bodies = [
            Body::Ping { number: 1, to: id.clone() },
            Body::Ack { number: 2 },
            Body::Nack { number: 3 },
            Body::Ask { number: 4, of: id, at },
            Body::Sync { wants: false },
            Body::Sync { wants: true },
        ];
        let all: Vec<Update> = (0..300).map(update).collect();
        for body in bodies {
            let (bytes, count) = encode(9, &body, all.iter());
            assert!(bytes.len() <= LONGEST && count > 15, "{} bytes, {count}", bytes.len());
            let message = decode(9, &bytes).unwrap();
            assert_eq!((message.body, &message.updates[..]), (body, &all[..count]));
        }
    }

    #[test]
    fn what_is_not_for_this_fleet_or_not_whole_is_told_apart() {
        let (bytes, _) = encode(9, &Body::Ack { number: 1 }, [update(1)].iter());
        assert_eq!(decode(8, &bytes), Err(Unfit::OtherFleet));
        let mut other = bytes.clone();
        other[2] = 2;
        assert_eq!(decode(9, &other), Err(Unfit::OtherVersion));
        assert_eq!(decode(9, &[0; LONGEST + 1]), Err(Unfit::TooLong));
        for cut in 0..bytes.len() {
            assert!(decode(9, &bytes[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..bytes.len() {
            let mut hurt = bytes.clone();
            hurt[at] ^= 0x40;
            assert!(decode(9, &hurt).is_err(), "byte {at}");
        }
        let mut random = Pcg32::seed_from_u64(5);
        for length in 0..LONGEST {
            let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
            assert!(decode(9, &noise).is_err());
        }
    }
}
