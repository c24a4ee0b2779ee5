//! What members ask of each other, in `borsh`.
use borsh::{BorshDeserialize, BorshSerialize};
use control::StoreView;
use net::meter::Purpose;
use net::repeat::{Repeat, Repeatable};
use queue::replication::{MessageIds, ReplicaBatch};
use queue::{Body, Entry, FinalRecord, FinishedTransfer, HeldIds, Message, MessageTransfer, Outcome};
use settings::Location;
use std::net::IpAddr;

/// Who asks, and which part it has.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    pub name: String,
    pub ip: IpAddr,
    pub location: Location,
    pub role: Role,
    /// The identity of a store's disk.
    pub disk: u64,
    pub custody: Custody,
}

impl Hello {
    /// The store that says this of itself.
    pub fn store(&self) -> control::Store {
        control::Store::new(
            self.disk,
            self.name.clone(),
            self.ip,
            self.location.clone(),
            self.custody.leaving,
        )
    }
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
    /// It was told to stop, and is about to.
    pub leaving: bool,
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
    /// The epoch of the control group's primary that told it.
    pub epoch: u64,
    /// The configuration's version.
    pub version: u64,
    /// The epoch of the stores' view.
    pub stores: u64,
    /// The number of the list of endpoints.
    pub list: (u64, u64),
    /// The version whose bytes are at hand for differences from it; 0 if none is.
    pub base: u64,
    /// What has come of the next configuration.
    pub part: Part,
}

/// How much of a configuration has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Part {
    pub version: u64,
    pub bytes: u64,
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
    /// The epoch in which it leads.
    pub epoch: u64,
    pub primary: Option<IpAddr>,
    pub group: Vec<IpAddr>,
    /// The version, and the next piece of the configuration as [`crate::packed`] has it.
    pub configuration: Option<(u64, Vec<u8>)>,
    pub stores: Option<StoreView>,
    pub list: Option<EndpointList>,
}

/// The platform's list of endpoints.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct EndpointList {
    pub number: (u64, u64),
    /// The endpoints, compressed once for all watchers.
    packed: Vec<u8>,
}

/// A list of endpoints can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableList;

impl EndpointList {
    /// A list as it is sent.
    pub fn pack(number: (u64, u64), endpoints: &[Endpoint]) -> EndpointList {
        let bytes = borsh::to_vec(endpoints).expect("writing to memory");
        EndpointList { number, packed: lz4_flex::compress_prepend_size(&bytes) }
    }

    /// The endpoints on it.
    pub fn unpack(&self) -> Result<Vec<Endpoint>, UnreadableList> {
        let bytes = lz4_flex::decompress_size_prepended(&self.packed).map_err(|_| UnreadableList)?;
        borsh::from_slice(&bytes).map_err(|_| UnreadableList)
    }

    /// How many bytes it takes on its way.
    pub fn size(&self) -> usize {
        self.packed.len()
    }
}

/// What became of a message that was handed to a store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PutAnswer {
    /// It is on enough disks, under this id: that of an earlier request with the same operation key, if there was one.
    Taken { id: String },
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
    /// The tenant has had as many messages accepted as its quota allows.
    OverQuota,
    /// Too few of the stores that count the tenant's messages answer.
    NotCounted,
}

/// Whose message it is, as far as a store knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Holder {
    /// The store doesn't have the message's envelope.
    #[default]
    Untold,
    /// The request came without a tenant's key.
    Nobody,
    /// The tenant of this name.
    Tenant(String),
}

/// What a store knows of a message.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Found {
    pub known: bool,
    pub holder: Holder,
    pub end: Option<FinalRecord>,
    /// The body, where it was asked for and is here.
    pub body: Option<Body>,
}

impl Found {
    /// Something is known of the message.
    pub fn is_there(&self) -> bool {
        self.known || self.end.is_some()
    }

    /// The message is known to be completed: its body isn't kept.
    pub fn is_completed(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.outcome != Outcome::DeadLetter)
    }
}

/// A piece of what a store has of another one's messages.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct HeldFor {
    pub held: HeldIds,
    /// There are more, after the last id of these.
    pub more: bool,
    /// Messages that it took because the other gave no clear answer; told with the first piece.
    pub taken: Vec<String>,
    /// It is about to stop, and doesn't count as a holder.
    pub leaving: bool,
}

/// A piece of the copies that a store kept for a lost one.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Piece {
    /// Copies, in the order of their ids.
    pub given: Vec<MessageTransfer>,
    /// There are more, after the last of these.
    pub more: bool,
}

/// A piece of what a store kept of a lost one's messages that have ended.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct EndedPiece {
    /// In the order of the messages' ids.
    pub given: Vec<FinishedTransfer>,
    /// There are more, after the last of these.
    pub more: bool,
}

/// Requests to one counter that wait at one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CountRequest {
    pub wants: Vec<quota::TokenRequest>,
    /// Tokens that no message used.
    pub returns: Vec<quota::TokenReturn>,
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
    /// Store to store, to the disk `to`: what happened to the sender's messages, in the session that the last
    /// [`Call::Held`] opened. Answered with whether it is on the disk.
    Replicate { owner: u64, to: u64, session: u64, entries: Vec<Entry> },
    /// Store to store, to the disk `to`: what do you have of this owner's messages, from the first id after one on?
    /// Opens a session: nothing of earlier ones is taken any more. Answered with [`HeldFor`], if the owner is known.
    Held { owner: u64, to: u64, session: u64, after: String },
    /// Store to store: give me these. Answered with [`MessageTransfer`], of as many of the first as fit one answer.
    Fetch { ids: Vec<String> },
    /// Store to store: what became of these? Answered with the [`FinalRecord`]s that are known.
    Ends { ids: Vec<String> },
    /// Store to store: I take over what this lost store owned; keep nothing for it any more. Answered with whether that
    /// is on the disk.
    Claim { lost: u64 },
    /// Store to store, after [`Call::Claim`]: give me its copies, from the first id after one on. Answered with a
    /// [`Piece`].
    Inherit { lost: u64, after: String },
    /// Store to store, after [`Call::Claim`]: give me its messages that have ended and of which something is owed, from
    /// the first id after one on. Answered with an [`EndedPiece`].
    InheritEnded { lost: u64, after: String },
    /// Store to store: what was claimed is safe; copies for the lost store may go.
    Claimed { lost: u64 },
    /// Store to store: the sender is about to stop, and its copies don't count any more. Answered with whether all
    /// messages of the receiver are safe without it.
    Leaving { disk: u64 },
    /// Store to store: which of an absent owner's messages do you not hold, and of which don't you know the end?
    /// Answered with [`MessageIds`].
    Lacking { owner: u64, ids: MessageIds },
    /// Store to store: keep these for an owner that is absent. Answered with whether they are on the disk.
    Preserve { owner: u64, preserved: ReplicaBatch },
    /// Store to store: which of these do you own, safe, or know the end of? Answered with ids.
    Decided { ids: Vec<String> },
    /// From a store that was given up to the heir of `owner`: messages that may be nowhere else. Answered with whether
    /// they are safe there.
    HandBack { owner: u64, given: Vec<MessageTransfer>, anyway: bool },
    /// The same for messages that have ended and of which something is owed.
    HandBackEnded { owner: u64, given: Vec<FinishedTransfer> },
    /// Store to store, from the disk `to`: I have taken this message, leave it to me. Answered with false if it has begun.
    Leave { id: String, to: u64 },
    /// Store to store: do you still own this message? Answered with whether it does.
    Owns { id: String },
    /// Store to store: lend me so many permits of your share of a service's rate. Answered with how many are lent.
    Lend { service: String, permits: u64 },
    /// Store to store that counts for tenants: tokens for messages, and tokens that weren't used. Answered with a
    /// [`quota::TokenResponse`] for each want, in their order.
    Count(CountRequest),
    /// Edge to store: do you answer?
    Ping,
    /// Edge to store; answered with [`Found`].
    Find { id: String, body: bool },
}

impl Repeatable for Call {
    fn repeat(&self) -> Repeat {
        match self {
            // Questions, and words that hold or not whoever says them how often.
            Call::Status | Call::Held { .. } | Call::Fetch { .. } | Call::Inherit { .. } => Repeat::Freely,
            Call::Lacking { .. } | Call::Decided { .. } | Call::Ping | Call::Find { .. } => Repeat::Freely,
            Call::Claim { .. } | Call::Claimed { .. } | Call::Leaving { .. } => Repeat::Freely,
            Call::InheritEnded { .. } | Call::Ends { .. } | Call::Owns { .. } => Repeat::Freely,
            // What was lent or counted for the first one is gone.
            Call::Lend { .. } | Call::Count(_) => Repeat::Never,
            // What the caller says of itself may have changed meanwhile: it asks anew.
            Call::Watch(..) => Repeat::SameIdentity,
            // Known by the epoch, by the message's id, or by the owner with the id.
            Call::Group(_) | Call::Put(_) | Call::Replicate { .. } | Call::Preserve { .. } => {
                Repeat::SameIdentity
            }
            Call::HandBack { .. } | Call::HandBackEnded { .. } | Call::Leave { .. } => Repeat::SameIdentity,
        }
    }

    fn purpose(&self) -> Purpose {
        match self {
            Call::Watch(..) => "news",
            Call::Put(_) => "messages",
            Call::Replicate { entries, .. } if entries.is_empty() => "heartbeats",
            Call::Replicate { entries, .. } if entries.iter().any(Entry::has_message) => "copies",
            Call::Replicate { .. } => "ends",
            Call::Find { .. } => "look-ups",
            Call::Held { .. } | Call::Fetch { .. } | Call::Ends { .. } => "comparisons",
            Call::Claim { .. } | Call::Claimed { .. } | Call::Inherit { .. } => "take-overs",
            Call::InheritEnded { .. } | Call::HandBack { .. } | Call::HandBackEnded { .. } => "take-overs",
            Call::Lacking { .. } | Call::Preserve { .. } => "copies for the absent",
            Call::Decided { .. } | Call::Leave { .. } | Call::Owns { .. } => "questions",
            Call::Lend { .. } => "permits",
            Call::Count(_) => "quotas",
            Call::Status | Call::Group(_) | Call::Leaving { .. } | Call::Ping => "others",
        }
    }
}
