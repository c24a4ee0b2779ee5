//! What is sent to the core, and what it sends back: below the core and below all tasks that talk with it.
use crate::deadline::Deadline;
use crate::drain::Rest;
use crate::figures::Gauges;
use crate::life::Life;
use crate::list::List;
use journal::{Ending, Inheritance, Left, Release, Taken};
use policy::api::{AttemptEnd, DestId, Settings};
use policy::settings::HostSettings;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Inputs that wait for the core. Clients are told 503 beyond it.
pub const INBOX: usize = 2_048;

/// What a client is answered.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    TakenOn,
    /// Handing it in again is harmless; after how long, if that is known.
    Refused(Option<Duration>),
    Failed,
    /// No list has named its destination.
    NoDestination,
    /// Its id is that of another message that is held.
    Conflict,
}

pub enum Input {
    /// A message handed in; `taken.id` is given by the core.
    Offer {
        taken: Box<Taken>,
        end: Deadline,
        life: Life,
        reply: oneshot::Sender<Reply>,
    },
    List(List),
    Ended(Vec<AttemptEnd>),
    /// The platform has answered for these notices.
    Noticed(Vec<u64>),
    /// Messages of other processes that are this one's now, once they are written down here.
    TakeOver(Left, oneshot::Sender<bool>),
    /// What the others hold of this sender's bounds.
    Elsewhere(Elsewhere),
    EndedElsewhere(Vec<Release>),
    /// What the process that sent before this one knew.
    Inherited(Inheritance),
    /// No other process of this sender has files any more.
    Alone,
    /// Clients can connect; answered once it is written down.
    Listening(oneshot::Sender<bool>),
    /// A process that was started later is there.
    Succeeded,
    /// Yield all work to that one but the calls out; answered with whether that is written down.
    Yield(oneshot::Sender<bool>),
    /// What stands now, for the figures.
    Gauges(oneshot::Sender<Gauges>),
    /// What is left here, as the drain goes on.
    Rest(oneshot::Sender<Rest>),
    /// The machine goes for good, or stays.
    Evacuate(bool),
    /// The file of the configuration was read again.
    Settings(Box<(Settings, HostSettings)>),
    /// No client can come any more: end once nothing is left to do, and start nothing new after this time.
    Wind(Instant),
}

/// What the other processes of this sender hold of its bounds.
#[derive(Clone, Default, PartialEq)]
pub struct Elsewhere {
    pub sends: bool,
    /// Destinations of the calls out.
    pub calls: Vec<DestId>,
    /// Messages that are not this process's yet.
    pub held: usize,
    pub bytes: u64,
}

/// How long after a message's time the platform may hear of its end.
pub const NOTICE_SLACK: Duration = Duration::from_millis(300);

/// How a message that was taken on and not delivered has ended.
pub struct Notice {
    pub id: u64,
    pub trace: String,
    pub ending: Ending,
}
