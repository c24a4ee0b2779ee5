//! Encoding of datagrams. None is longer than `MAX_DATAGRAM_BYTES`, whatever the size of the fleet.
use crate::digest::{Digests, RANGE_COUNT};
use crate::roster::{EntryStatus, RosterEntry};
use crate::standing::Standing;
use std::borrow::Borrow;
use std::net::{IpAddr, SocketAddr};

/// Fits any path without fragmentation, with room for the headers of lower layers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The highest protocol version that this program speaks. Every program understands version 1. Version 2
/// carries more, and is sent only to members that announce it.
pub const PROTOCOL_VERSION: u8 = 2;
/// Longest name of a member, in bytes, and longest version of its program.
pub const MAX_NAME_BYTES: usize = 32;
const MAX_VERSION_BYTES: usize = 16;
const MAGIC: [u8; 2] = *b"nm";
/// Magic, protocol version, fleet and checksum.
const HEADER_BYTES: usize = 2 + 1 + 8 + 4;

/// One process: a restart under the same name is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    pub name: String,
    /// Later processes of a name have higher numbers.
    pub generation: u64,
}

/// State of a member. Of two updates with the same incarnation the one with the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A member got no answer from it. It can refute the suspicion until that times out.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
    /// The member announced its departure.
    Left,
}

/// Why a member can't do its work although it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// The core, which makes decisions and delivers, makes no progress.
    Core,
    /// Nothing can be written to the journal, so no new messages are accepted.
    Journal,
}

impl Impairment {
    /// The name in logs, JSON and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Impairment::Core => "core",
            Impairment::Journal => "journal",
        }
    }
}

/// A short form of the sender's view of the fleet, part of every datagram of version 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSummary {
    /// Digest of the members that the sender takes for present.
    pub view_digest: u32,
    pub roster_digest: u32,
    pub standing: Standing,
    /// The highest roster epoch that the sender knows.
    pub latest_epoch: u32,
    /// The sender's roster expects at least one name.
    pub has_expected: bool,
    /// The sender once had a complete roster, and not only single entries.
    pub roster_complete: bool,
    pub impairment: Option<Impairment>,
}

/// What is reported about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    pub id: MemberId,
    pub state: MemberState,
    pub address: SocketAddr,
    pub version: String,
    pub incarnation: u32,
    /// The member that reports it.
    pub by: String,
    /// Whether the member is in the roster, as it reports itself. Version 1 doesn't carry this.
    pub in_roster: Option<bool>,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks the target for an `Ack`.
    Ping { sequence: u32, target: MemberId },
    /// The answer to a ping.
    Ack { sequence: u32 },
    /// The helper got no answer from the target either.
    Nack { sequence: u32 },
    /// Asks the recipient to ping the target on the sender's behalf.
    PingRequest { sequence: u32, target: MemberId, address: SocketAddr },
    /// Updates about some of the known members; `wants_reply` asks for the recipient's.
    Sync { wants_reply: bool },
    /// Digests of the known state; `wants_reply` asks for the recipient's.
    Digests { wants_reply: bool, view: Box<Digests>, roster: Box<Digests> },
    /// A part of the roster, at most `MAX_ROSTER_ENTRIES`.
    Roster(Vec<RosterEntry>),
    /// The sender asks to be admitted to the roster.
    Join,
}

/// Most roster entries in a datagram; they fit even with the longest names.
pub const MAX_ROSTER_ENTRIES: usize = 20;

/// Appends the protocol version to the program's version. Programs that know only version 1 pass it on as
/// part of that.
pub fn with_protocol_version(version: &str) -> String {
    let suffix = format!(" p{PROTOCOL_VERSION}");
    let mut version = version.to_string();
    while version.len() + suffix.len() > MAX_VERSION_BYTES {
        version.pop();
    }
    version + &suffix
}

/// Splits a member's version into the program's version and the protocol version.
pub fn split_protocol_version(text: &str) -> (&str, u8) {
    let split = text
        .rsplit_once(" p")
        .and_then(|(version, protocol_version)| Some((version, protocol_version.parse().ok()?)));
    split.unwrap_or((text, 1))
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// None in version 1.
    pub summary: Option<FleetSummary>,
    pub body: Body,
    /// The sender's own update is the first.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than `MAX_DATAGRAM_BYTES`.
    TooLong,
    /// Of a protocol version that this program doesn't speak.
    OtherVersion,
    /// Of another fleet.
    OtherFleet,
    /// Truncated, corrupt or not a datagram of this protocol.
    Malformed,
}

/// Combined with a member's state in version 2.
const NOT_IN_ROSTER_FLAG: u8 = 0x10;
const IN_ROSTER_FLAG: u8 = 0x20;

struct Writer(Vec<u8>);

impl Writer {
    fn text(&mut self, text: &str, max_bytes: usize) {
        let bytes = &text.as_bytes()[..text.len().min(max_bytes)];
        self.0.push(bytes.len() as u8);
        self.0.extend_from_slice(bytes);
    }

    fn id(&mut self, id: &MemberId) {
        self.text(&id.name, MAX_NAME_BYTES);
        self.0.extend_from_slice(&id.generation.to_le_bytes());
    }

    fn address(&mut self, address: &SocketAddr) {
        match address.ip() {
            IpAddr::V4(ip) => {
                self.0.push(4);
                self.0.extend_from_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.0.push(6);
                self.0.extend_from_slice(&ip.octets());
            }
        }
        self.0.extend_from_slice(&address.port().to_le_bytes());
    }

    fn u32_le(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    fn summary(&mut self, summary: &FleetSummary) {
        self.u32_le(summary.view_digest);
        self.u32_le(summary.roster_digest);
        self.u32_le(summary.latest_epoch);
        self.0.push(
            summary.standing as u8
                | u8::from(summary.has_expected) << 7
                | u8::from(summary.roster_complete) << 6,
        );
        self.0.push(match summary.impairment {
            None => 0,
            Some(Impairment::Core) => 1,
            Some(Impairment::Journal) => 2,
        });
    }

    fn body(&mut self, body: &Body) {
        match body {
            Body::Ping { sequence, target } => {
                self.0.push(0);
                self.u32_le(*sequence);
                self.id(target);
            }
            Body::Ack { sequence } => {
                self.0.push(1);
                self.u32_le(*sequence);
            }
            Body::Nack { sequence } => {
                self.0.push(2);
                self.u32_le(*sequence);
            }
            Body::PingRequest { sequence, target, address } => {
                self.0.push(3);
                self.u32_le(*sequence);
                self.id(target);
                self.address(address);
            }
            Body::Sync { wants_reply } => self.0.push(4 + u8::from(*wants_reply)),
            Body::Digests { wants_reply, view, roster } => {
                self.0.push(6 + u8::from(*wants_reply));
                view.0.iter().chain(&roster.0).for_each(|n| self.u32_le(*n));
            }
            Body::Roster(entries) => {
                self.0.push(8);
                let entries = &entries[..entries.len().min(MAX_ROSTER_ENTRIES)];
                self.0.push(entries.len() as u8);
                for entry in entries {
                    self.text(&entry.name, MAX_NAME_BYTES);
                    self.u32_le(entry.epoch);
                    self.0.push(entry.status as u8);
                    self.address(&entry.address);
                }
            }
            Body::Join => self.0.push(9),
        }
    }

    fn update(&mut self, update: &MemberUpdate, protocol_version: u8) {
        let in_roster = match update.in_roster {
            _ if protocol_version == 1 => 0,
            None => 0,
            Some(false) => NOT_IN_ROSTER_FLAG,
            Some(true) => IN_ROSTER_FLAG,
        };
        self.0.push(update.state as u8 | in_roster);
        self.id(&update.id);
        self.address(&update.address);
        self.0.extend_from_slice(&update.incarnation.to_le_bytes());
        self.text(&update.version, MAX_VERSION_BYTES);
        self.text(&update.by, MAX_NAME_BYTES);
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (taken, rest) = self.0.split_at_checked(N)?;
        self.0 = rest;
        taken.try_into().ok()
    }

    fn byte(&mut self) -> Option<u8> {
        self.take::<1>().map(|[b]| b)
    }

    fn text(&mut self, max_bytes: usize) -> Option<String> {
        let length = usize::from(self.byte()?);
        let (taken, rest) = self.0.split_at_checked(length).filter(|_| length <= max_bytes)?;
        self.0 = rest;
        String::from_utf8(taken.to_vec()).ok()
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

    fn u32_le(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }

    fn update(&mut self, protocol_version: u8) -> Option<MemberUpdate> {
        let states = [MemberState::Alive, MemberState::Suspect, MemberState::Failed, MemberState::Left];
        let byte = self.byte()?;
        let (byte, in_roster) = match byte & !0xf {
            NOT_IN_ROSTER_FLAG if protocol_version > 1 => (byte & 0xf, Some(false)),
            IN_ROSTER_FLAG if protocol_version > 1 => (byte & 0xf, Some(true)),
            _ => (byte, None),
        };
        let state = *states.get(usize::from(byte))?;
        let (id, address, incarnation) = (self.id()?, self.address()?, self.u32_le()?);
        Some(MemberUpdate {
            id,
            state,
            address,
            incarnation,
            version: self.text(MAX_VERSION_BYTES)?,
            by: self.text(MAX_NAME_BYTES)?,
            in_roster,
        })
    }

    fn body(&mut self) -> Option<Body> {
        let kind = self.byte()?;
        Some(match kind {
            0 => Body::Ping { sequence: self.u32_le()?, target: self.id()? },
            1 => Body::Ack { sequence: self.u32_le()? },
            2 => Body::Nack { sequence: self.u32_le()? },
            3 => Body::PingRequest { sequence: self.u32_le()?, target: self.id()?, address: self.address()? },
            4 | 5 => Body::Sync { wants_reply: kind == 5 },
            6 | 7 => {
                let (view, roster) = (Box::new(self.digests()?), Box::new(self.digests()?));
                Body::Digests { wants_reply: kind == 7, view, roster }
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
        let mut digests = [0; RANGE_COUNT];
        for digest in &mut digests {
            *digest = self.u32_le()?;
        }
        Some(Digests(digests))
    }

    fn entry(&mut self) -> Option<RosterEntry> {
        let name = self.text(MAX_NAME_BYTES).filter(|name| !name.is_empty())?;
        let (epoch, status) = (self.u32_le()?, usize::from(self.byte()?));
        let status = *[EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck].get(status)?;
        Some(RosterEntry { name, epoch, status, address: self.address()? })
    }

    fn summary(&mut self) -> Option<FleetSummary> {
        let (view_digest, roster_digest, latest_epoch) = (self.u32_le()?, self.u32_le()?, self.u32_le()?);
        let byte = self.byte()?;
        let standing = *Standing::ALL.get(usize::from(byte & 0x3f))?;
        let (has_expected, roster_complete) = (byte & 0x80 != 0, byte & 0x40 != 0);
        let impairment =
            *[None, Some(Impairment::Core), Some(Impairment::Journal)].get(usize::from(self.byte()?))?;
        Some(FleetSummary {
            view_digest,
            roster_digest,
            latest_epoch,
            standing,
            has_expected,
            roster_complete,
            impairment,
        })
    }
}

/// Encodes a datagram with as many of the updates as fit, and returns their number. With a summary it is of
/// version 2.
pub fn encode<U: Borrow<MemberUpdate>>(
    fleet: u64,
    summary: Option<&FleetSummary>,
    body: &Body,
    updates: impl Iterator<Item = U>,
) -> (Vec<u8>, usize) {
    let mut writer = Writer(MAGIC.to_vec());
    let protocol_version = if summary.is_some() { 2 } else { 1 };
    writer.0.push(protocol_version);
    writer.0.extend_from_slice(&fleet.to_le_bytes());
    writer.0.extend_from_slice(&[0; 4]);
    summary.into_iter().for_each(|summary| writer.summary(summary));
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
    let checksum = crc32fast::hash(&writer.0[HEADER_BYTES..]);
    writer.0[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    (writer.0, count)
}

/// Decodes a datagram of the fleet.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::TooLong);
    }
    let mut reader = Reader(bytes);
    if reader.take::<2>() != Some(MAGIC) {
        return Err(DecodeError::Malformed);
    }
    let protocol_version = match reader.byte() {
        Some(protocol_version @ 1..=PROTOCOL_VERSION) => protocol_version,
        Some(_) => return Err(DecodeError::OtherVersion),
        None => return Err(DecodeError::Malformed),
    };
    match reader.take().map(u64::from_le_bytes) {
        Some(other) if other != fleet => return Err(DecodeError::OtherFleet),
        Some(_) => {}
        None => return Err(DecodeError::Malformed),
    }
    if reader.u32_le() != Some(crc32fast::hash(reader.0)) {
        return Err(DecodeError::Malformed);
    }
    let summary = match protocol_version {
        1 => None,
        _ => Some(reader.summary().ok_or(DecodeError::Malformed)?),
    };
    let body = reader.body().ok_or(DecodeError::Malformed)?;
    let mut updates = Vec::new();
    while !reader.0.is_empty() {
        updates.push(reader.update(protocol_version).ok_or(DecodeError::Malformed)?);
    }
    Ok(Message { summary, body, updates })
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
            in_roster: None,
        }
    }

    fn summary() -> FleetSummary {
        let (view_digest, roster_digest, standing, impairment) =
            (5, 6, Standing::Minority, Some(Impairment::Journal));
        FleetSummary {
            view_digest,
            roster_digest,
            latest_epoch: 9,
            standing,
            has_expected: true,
            roster_complete: false,
            impairment,
        }
    }

    #[test]
    fn every_body_round_trips_and_no_datagram_is_too_long() {
        let id = update(7).id;
        let address = "[::1]:9".parse().unwrap();
        let entry = |n: u32| RosterEntry {
            name: format!("{n:0>32}"),
            epoch: n,
            status: [EntryStatus::Expected, EntryStatus::Left, EntryStatus::Struck][n as usize % 3],
            address,
        };
        let (view, roster) = (Box::new(Digests([7; RANGE_COUNT])), Box::new(Digests([8; RANGE_COUNT])));
        let bodies = [
            Body::Ping { sequence: 1, target: id.clone() },
            Body::Ack { sequence: 2 },
            Body::Nack { sequence: 3 },
            Body::PingRequest { sequence: 4, target: id, address },
            Body::Sync { wants_reply: false },
            Body::Sync { wants_reply: true },
            Body::Digests { wants_reply: true, view, roster },
            Body::Roster((0..MAX_ROSTER_ENTRIES as u32).map(entry).collect()),
            Body::Join,
        ];
        let with_roster_status =
            |n: u64| MemberUpdate { in_roster: [None, Some(false), Some(true)][n as usize % 3], ..update(n) };
        let all: Vec<MemberUpdate> = (0..300).map(with_roster_status).collect();
        for (body, summary) in bodies.into_iter().flat_map(|b| [(b.clone(), None), (b, Some(summary()))]) {
            let (bytes, count) = encode(9, summary.as_ref(), &body, all.iter());
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES && count > 0, "{} bytes, {count}", bytes.len());
            let message = decode(9, &bytes).unwrap();
            // Version 1 doesn't carry the roster status.
            let as_decoded = |u: &MemberUpdate| MemberUpdate {
                in_roster: u.in_roster.filter(|_| summary.is_some()),
                ..u.clone()
            };
            let all: Vec<MemberUpdate> = all[..count].iter().map(as_decoded).collect();
            assert_eq!((message.summary, message.body, message.updates), (summary, body, all));
        }
    }

    #[test]
    fn the_protocol_version_travels_within_the_program_version() {
        assert_eq!(split_protocol_version("0.1.0"), ("0.1.0", 1));
        assert_eq!(split_protocol_version(&with_protocol_version("0.1.0")), ("0.1.0", PROTOCOL_VERSION));
        let long = with_protocol_version("0.1.0-nightly.20261201");
        assert_eq!((long.len(), split_protocol_version(&long).1), (MAX_VERSION_BYTES, PROTOCOL_VERSION));
    }

    #[test]
    fn foreign_truncated_or_corrupt_datagrams_are_rejected() {
        let (bytes, _) = encode(9, Some(&summary()), &Body::Ack { sequence: 1 }, [update(1)].iter());
        assert_eq!(decode(8, &bytes), Err(DecodeError::OtherFleet));
        let mut other = bytes.clone();
        other[2] = PROTOCOL_VERSION + 1;
        assert_eq!(decode(9, &other), Err(DecodeError::OtherVersion));
        assert_eq!(decode(9, &[0; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::TooLong));
        for cut in 0..bytes.len() {
            assert!(decode(9, &bytes[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 0x40;
            assert!(decode(9, &corrupted).is_err(), "byte {at}");
        }
        let mut random = Pcg32::seed_from_u64(5);
        for length in 0..MAX_DATAGRAM_BYTES {
            let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
            assert!(decode(9, &noise).is_err());
        }
    }
}
