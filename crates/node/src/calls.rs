//! What members ask of each other, in `borsh`.
use borsh::{BorshDeserialize, BorshSerialize};
use control::StoreView;
use queue::{End, Entry, Message};
use std::net::IpAddr;

/// Who asks, and which part it has.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    pub name: String,
    pub ip: IpAddr,
    pub zone: String,
    pub role: Role,
    /// The identity of a store's disk.
    pub disk: u64,
    pub custody: Custody,
}

/// What a store says of its messages.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Custody {
    /// The stores' view by which it acts.
    pub epoch: u64,
    /// All its messages are on enough disks.
    pub whole: bool,
    /// It retires, and does nothing any more that others don't know of.
    pub idle: bool,
    /// Lost stores that it has taken over from.
    pub inherited: Vec<u64>,
}

/// The parts of the data plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Role {
    Edge,
    Store,
}

/// What a watcher has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Seen {
    /// The configuration's version.
    pub version: u64,
    /// The epoch of the stores' view.
    pub stores: u64,
    /// The number of the list of endpoints.
    pub list: (u64, u64),
}

/// An endpoint of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: u64,
    pub draining: bool,
}

/// What is new to a watcher.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct News {
    /// The one that answers leads the control group; if not, nothing else counts but where to ask.
    pub leads: bool,
    pub primary: Option<IpAddr>,
    pub group: Vec<IpAddr>,
    pub configuration: Option<(u64, Vec<u8>)>,
    pub stores: Option<StoreView>,
    pub list: Option<((u64, u64), Vec<Endpoint>)>,
}

/// What became of a message that was handed to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PutAnswer {
    /// It is on two disks.
    Taken,
    /// It was not written anywhere: another store may take it.
    Refused(Refusal),
    /// It may have been written: nothing can be said.
    Unclear,
}

/// Why a store didn't take a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Refusal {
    /// It is about to stop.
    Stopping,
    /// Another store owns the key.
    NotOwner,
    /// No other store can be reached for the second copy.
    NoCopy,
    /// It holds as much as it may, or its disk doesn't keep up.
    Full,
}

/// What a store knows of a message.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Found {
    pub known: bool,
    pub end: Option<End>,
    pub body: Option<Vec<u8>>,
}

/// What a store has of another one's messages.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct HeldFor {
    /// Copies that it keeps.
    pub copies: Vec<String>,
    /// Messages that it took because the other gave no clear answer.
    pub taken: Vec<String>,
}

/// What a store has of a lost one's messages.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Estate {
    /// Copies that it kept.
    pub given: Vec<Given>,
    /// Messages that it took because the lost one gave no clear answer: they aren't the heir's.
    pub taken: Vec<String>,
}

/// A message as one store gives it to another.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct Given {
    pub message: Message,
    pub attempts: u32,
}

/// A call from one member to another. Most are messages, so a box would only be one more allocation for each.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum Call {
    /// To control: what is newer than this? Answered with [`News`], at once or when there is any.
    Watch(Hello, Seen),
    /// Within the control group; answered with [`control::Reply`].
    Group(control::Message),
    /// To control: what an operator's tool shows. Answered with a text.
    Status,
    /// Edge to store; answered with [`PutAnswer`].
    Put(Message),
    /// Store to store: what happened to the sender's messages. Answered with whether it is on the disk.
    Replicate { owner: u64, entries: Vec<Entry> },
    /// Store to store: what do you have of this owner's messages? Answered with [`HeldFor`], if the owner is known.
    Held { owner: u64 },
    /// Store to store: give me these. Answered with [`Given`].
    Fetch { ids: Vec<String> },
    /// Store to store: I take over what this lost store owned. Answered with its [`Estate`].
    Claim { lost: u64 },
    /// Store to store: what was claimed is safe; copies for the lost store may go.
    Claimed { lost: u64 },
    /// Store to store: I have taken this message, leave it to me. Answered with false if it has begun.
    Leave { id: String },
    /// Edge to store: do you answer?
    Ping,
    /// Edge to store; answered with [`Found`].
    Find { id: String, body: bool },
}
