//! Datagrams. None is longer than `LONGEST`, whatever the size of the fleet.
use crate::digest::{Digests, RANGES};
use crate::roster::{EntryStatus, RosterEntry};
use crate::standing::Standing;
use std::borrow::Borrow;
use std::net::{IpAddr, SocketAddr};

/// What goes over any path unbroken, with room for the headers below it.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The highest form of datagrams that this program speaks. The first is understood by every program; the second, which
/// tells more, goes only to those that say that they speak it.
pub const PROTOCOL_VERSION: u8 = 2;
/// Longest name of a member, in bytes, and of its program's version.
pub const MAX_NAME_BYTES: usize = 32;
const MAX_VERSION: usize = 16;
const MAGIC: [u8; 2] = *b"nm";
/// Magic, version, fleet, sum.
const HEAD: usize = 2 + 1 + 8 + 4;

/// One life of a process: a restart under the same name is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    pub name: String,
    /// Later lives have higher numbers.
    pub generation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    /// Somebody has not heard of it; it may say otherwise for a while.
    Suspect,
    Failed,
    /// It has said so itself.
    Left,
}

/// Why a member can't do its work though it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// What decides and delivers does not go on.
    Core,
    /// Nothing can be written down, so nothing new is taken on.
    Journal,
}

impl Impairment {
    pub fn name(self) -> &'static str {
        match self {
            Impairment::Core => "core",
            Impairment::Journal => "journal",
        }
    }
}

/// What goes along with every datagram of the second form: what its sender makes of the fleet, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// Over the members that it takes for present.
    pub view: u32,
    pub roster: u32,
    pub standing: Standing,
    /// The last change of the roster that it knows of.
    pub latest: u32,
    /// Its roster expects somebody.
    pub expects: bool,
    /// It has once had all of a roster, and not only words of it.
    pub complete: bool,
    pub impairment: Option<Impairment>,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    pub id: MemberId,
    pub state: MemberState,
    pub address: SocketAddr,
    pub version: String,
    pub incarnation: u32,
    /// Who says so.
    pub by: String,
    /// Whether it is in the roster, by its own word. The first form does not tell.
    pub is_in: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    Ping {
        number: u32,
        to: MemberId,
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
        of: MemberId,
        at: SocketAddr,
    },
    /// A part of all that is known; `wants`: the same is asked for.
    Sync {
        wants: bool,
    },
    /// Sums of what is known; `wants`: the receiver's are asked for.
    Ranges {
        wants: bool,
        view: Box<Digests>,
        roster: Box<Digests>,
    },
    /// A part of the roster, `ENTRIES` at most.
    Roster(Vec<RosterEntry>),
    /// The sender asks to be taken into the roster.
    Join,
}

/// Entries of a roster in one datagram at most: with the longest names they fit.
pub const ENTRIES: usize = 20;

/// The form that a member says it speaks, behind its program's version: programs that know only the first form pass it
/// on as a part of that.
pub fn version_said(version: &str) -> String {
    let mark = format!(" p{PROTOCOL_VERSION}");
    let mut version = version.to_string();
    while version.len() + mark.len() > MAX_VERSION {
        version.pop();
    }
    version + &mark
}

/// The program's version, and the form.
pub fn version_read(said: &str) -> (&str, u8) {
    let read = said
        .rsplit_once(" p")
        .and_then(|(version, protocol_version)| Some((version, protocol_version.parse().ok()?)));
    read.unwrap_or((said, 1))
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// None in the first form.
    pub said: Option<Said>,
    pub body: Body,
    /// The sender's own first.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    TooLong,
    OtherVersion,
    OtherFleet,
    Malformed,
}

/// Beside a member's state, in the second form.
const SAYS_NOT_IN: u8 = 0x10;
const SAYS_IN: u8 = 0x20;

struct Writer(Vec<u8>);

impl Writer {
    fn text(&mut self, text: &str, most: usize) {
        let bytes = &text.as_bytes()[..text.len().min(most)];
        self.0.push(bytes.len() as u8);
        self.0.extend_from_slice(bytes);
    }

    fn id(&mut self, id: &MemberId) {
        self.text(&id.name, MAX_NAME_BYTES);
        self.0.extend_from_slice(&id.generation.to_le_bytes());
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

    fn number(&mut self, number: u32) {
        self.0.extend_from_slice(&number.to_le_bytes());
    }

    fn said(&mut self, said: &Said) {
        self.number(said.view);
        self.number(said.roster);
        self.number(said.latest);
        self.0.push(said.standing as u8 | u8::from(said.expects) << 7 | u8::from(said.complete) << 6);
        self.0.push(match said.impairment {
            None => 0,
            Some(Impairment::Core) => 1,
            Some(Impairment::Journal) => 2,
        });
    }

    fn body(&mut self, body: &Body) {
        match body {
            Body::Ping { number, to } => {
                self.0.push(0);
                self.number(*number);
                self.id(to);
            }
            Body::Ack { number } => {
                self.0.push(1);
                self.number(*number);
            }
            Body::Nack { number } => {
                self.0.push(2);
                self.number(*number);
            }
            Body::Ask { number, of, at } => {
                self.0.push(3);
                self.number(*number);
                self.id(of);
                self.address(at);
            }
            Body::Sync { wants } => self.0.push(4 + u8::from(*wants)),
            Body::Ranges { wants, view, roster } => {
                self.0.push(6 + u8::from(*wants));
                view.0.iter().chain(&roster.0).for_each(|n| self.number(*n));
            }
            Body::Roster(entries) => {
                self.0.push(8);
                let entries = &entries[..entries.len().min(ENTRIES)];
                self.0.push(entries.len() as u8);
                for entry in entries {
                    self.text(&entry.name, MAX_NAME_BYTES);
                    self.number(entry.epoch);
                    self.0.push(entry.status as u8);
                    self.address(&entry.address);
                }
            }
            Body::Join => self.0.push(9),
        }
    }

    fn update(&mut self, update: &MemberUpdate, protocol_version: u8) {
        let is_in = match update.is_in {
            _ if protocol_version == 1 => 0,
            None => 0,
            Some(false) => SAYS_NOT_IN,
            Some(true) => SAYS_IN,
        };
        self.0.push(update.state as u8 | is_in);
        self.id(&update.id);
        self.address(&update.address);
        self.0.extend_from_slice(&update.incarnation.to_le_bytes());
        self.text(&update.version, MAX_VERSION);
        self.text(&update.by, MAX_NAME_BYTES);
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

    fn id(&mut self) -> Option<MemberId> {
        let name = self.text(MAX_NAME_BYTES).filter(|name| !name.is_empty())?;
        Some(MemberId { name, generation: self.take().map(u64::from_le_bytes)? })
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

    fn update(&mut self, protocol_version: u8) -> Option<MemberUpdate> {
        let states = [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left];
        let byte = self.byte()?;
        let (byte, is_in) = match byte & !0xf {
            SAYS_NOT_IN if protocol_version > 1 => (byte & 0xf, Some(false)),
            SAYS_IN if protocol_version > 1 => (byte & 0xf, Some(true)),
            _ => (byte, None),
        };
        let state = *states.get(usize::from(byte))?;
        let (id, address, incarnation) = (self.id()?, self.address()?, self.number()?);
        Some(MemberUpdate {
            id,
            state,
            address,
            incarnation,
            version: self.text(MAX_VERSION)?,
            by: self.text(MAX_NAME_BYTES)?,
            is_in,
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
            6 | 7 => {
                let (view, roster) = (Box::new(self.digests()?), Box::new(self.digests()?));
                Body::Ranges { wants: kind == 7, view, roster }
            }
            8 => {
                let count = usize::from(self.byte()?);
                Body::Roster((0..count).map(|_| self.entry()).collect::<Option<_>>()?)
            }
            9 => Body::Join,
            _ => return None,
        })
    }

    fn digests(&mut self) -> Option<Digests> {
        let mut digests = [0; RANGES];
        for digest in &mut digests {
            *digest = self.number()?;
        }
        Some(Digests(digests))
    }

    fn entry(&mut self) -> Option<RosterEntry> {
        let name = self.text(MAX_NAME_BYTES).filter(|name| !name.is_empty())?;
        let (epoch, status) = (self.number()?, usize::from(self.byte()?));
        let status = *[EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck].get(status)?;
        Some(RosterEntry { name, epoch, status, address: self.address()? })
    }

    fn said(&mut self) -> Option<Said> {
        let (view, roster, latest) = (self.number()?, self.number()?, self.number()?);
        let byte = self.byte()?;
        let standing = *Standing::ALL.get(usize::from(byte & 0x3f))?;
        let (expects, complete) = (byte & 0x80 != 0, byte & 0x40 != 0);
        let impairment =
            *[None, Some(Impairment::Core), Some(Impairment::Journal)].get(usize::from(self.byte()?))?;
        Some(Said { view, roster, latest, standing, expects, complete, impairment })
    }
}

/// A datagram with as many of the updates as fit, and how many these are. `said`: of the second form.
pub fn encode<U: Borrow<MemberUpdate>>(
    fleet: u64,
    said: Option<&Said>,
    body: &Body,
    updates: impl Iterator<Item = U>,
) -> (Vec<u8>, usize) {
    let mut writer = Writer(MAGIC.to_vec());
    let protocol_version = if said.is_some() { 2 } else { 1 };
    writer.0.push(protocol_version);
    writer.0.extend_from_slice(&fleet.to_le_bytes());
    writer.0.extend_from_slice(&[0; 4]);
    said.into_iter().for_each(|said| writer.said(said));
    writer.body(body);
    let mut count = 0;
    for update in updates {
        let before = writer.0.len();
        writer.update(update.borrow(), protocol_version);
        if writer.0.len() > MAX_DATAGRAM_BYTES {
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
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Unfit::TooLong);
    }
    let mut reader = Reader(bytes);
    if reader.take::<2>() != Some(MAGIC) {
        return Err(Unfit::Malformed);
    }
    let protocol_version = match reader.byte() {
        Some(protocol_version @ 1..=PROTOCOL_VERSION) => protocol_version,
        Some(_) => return Err(Unfit::OtherVersion),
        None => return Err(Unfit::Malformed),
    };
    match reader.take().map(u64::from_le_bytes) {
        Some(other) if other != fleet => return Err(Unfit::OtherFleet),
        Some(_) => {}
        None => return Err(Unfit::Malformed),
    }
    if reader.number() != Some(crc32fast::hash(reader.0)) {
        return Err(Unfit::Malformed);
    }
    let said = match protocol_version {
        1 => None,
        _ => Some(reader.said().ok_or(Unfit::Malformed)?),
    };
    let body = reader.body().ok_or(Unfit::Malformed)?;
    let mut updates = Vec::new();
    while !reader.0.is_empty() {
        updates.push(reader.update(protocol_version).ok_or(Unfit::Malformed)?);
    }
    Ok(Message { said, body, updates })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;

    fn update(n: u64) -> MemberUpdate {
        MemberUpdate {
            id: MemberId { name: format!("sender-{n:03}"), generation: 1_700_000_000_000 + n },
            state: [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left]
                [n as usize % 4],
            address: format!("127.0.{}.{}:7946", n / 250, n % 250).parse().unwrap(),
            version: "0.1.0".into(),
            incarnation: n as u32,
            by: format!("sender-{:03}", n + 1),
            is_in: None,
        }
    }

    fn said() -> Said {
        let (view, roster, standing, impairment) = (5, 6, Standing::Minority, Some(Impairment::Journal));
        Said { view, roster, latest: 9, standing, expects: true, complete: false, impairment }
    }

    #[test]
    fn what_is_written_is_read_back_and_no_datagram_is_too_long() {
        let id = update(7).id;
        let at = "[::1]:9".parse().unwrap();
        let entry = |n: u32| RosterEntry {
            name: format!("{n:0>32}"),
            epoch: n,
            status: [EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck][n as usize % 3],
            address: at,
        };
        let (view, roster) = (Box::new(Digests([7; RANGES])), Box::new(Digests([8; RANGES])));
        let bodies = [
            Body::Ping { number: 1, to: id.clone() },
            Body::Ack { number: 2 },
            Body::Nack { number: 3 },
            Body::Ask { number: 4, of: id, at },
            Body::Sync { wants: false },
            Body::Sync { wants: true },
            Body::Ranges { wants: true, view, roster },
            Body::Roster((0..ENTRIES as u32).map(entry).collect()),
            Body::Join,
        ];
        let told =
            |n: u64| MemberUpdate { is_in: [None, Some(false), Some(true)][n as usize % 3], ..update(n) };
        let all: Vec<MemberUpdate> = (0..300).map(told).collect();
        for (body, said) in bodies.into_iter().flat_map(|b| [(b.clone(), None), (b, Some(said()))]) {
            let (bytes, count) = encode(9, said.as_ref(), &body, all.iter());
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES && count > 0, "{} bytes, {count}", bytes.len());
            let message = decode(9, &bytes).unwrap();
            // The first form does not tell who is in.
            let untold =
                |u: &MemberUpdate| MemberUpdate { is_in: u.is_in.filter(|_| said.is_some()), ..u.clone() };
            let all: Vec<MemberUpdate> = all[..count].iter().map(untold).collect();
            assert_eq!((message.said, message.body, message.updates), (said, body, all));
        }
    }

    #[test]
    fn a_program_says_which_form_it_speaks_within_its_version() {
        assert_eq!(version_read("0.1.0"), ("0.1.0", 1));
        assert_eq!(version_read(&version_said("0.1.0")), ("0.1.0", PROTOCOL_VERSION));
        let long = version_said("0.1.0-nightly.20261201");
        assert_eq!((long.len(), version_read(&long).1), (MAX_VERSION, PROTOCOL_VERSION));
    }

    #[test]
    fn what_is_not_for_this_fleet_or_not_whole_is_told_apart() {
        let (bytes, _) = encode(9, Some(&said()), &Body::Ack { number: 1 }, [update(1)].iter());
        assert_eq!(decode(8, &bytes), Err(Unfit::OtherFleet));
        let mut other = bytes.clone();
        other[2] = PROTOCOL_VERSION + 1;
        assert_eq!(decode(9, &other), Err(Unfit::OtherVersion));
        assert_eq!(decode(9, &[0; MAX_DATAGRAM_BYTES + 1]), Err(Unfit::TooLong));
        for cut in 0..bytes.len() {
            assert!(decode(9, &bytes[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..bytes.len() {
            let mut hurt = bytes.clone();
            hurt[at] ^= 0x40;
            assert!(decode(9, &hurt).is_err(), "byte {at}");
        }
        let mut random = Pcg32::seed_from_u64(5);
        for length in 0..MAX_DATAGRAM_BYTES {
            let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
            assert!(decode(9, &noise).is_err());
        }
    }
}
