//! Mistakes that are planted to see whether the properties find them. The program itself stays as it is: calls and
//! answers are changed on their way, records are forgotten at a restart, or processes end too soon.
use super::BODY_WORD;
use borsh::BorshDeserialize as _;
use node::calls::{Call, EndedPiece, HeldFor, Piece};
use queue::replication::MessageIds;
use queue::{Entry, Envelope, FinishedMessage, FinishedTransfer, HeldIds};
use simulation::network::Tamper;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// With a mistake planted, so many messages that have ended are taken over from each store.
const FIRST_ENDED: usize = 3;

/// A planted mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    None,
    /// A fence is in memory alone: a restart forgets it.
    ForgetsFences,
    /// Ends weren't on the disk yet when the process was killed: a restart doesn't find them. That is none of the program's.
    LosesEnds,
    /// A store that is told to stop doesn't wait until others have what it has.
    LeavesBeforeTheCopy,
    /// Nothing is copied again before the owner is given up.
    WaitsForTheView,
    /// An owner that returns doesn't hear of copies that are kept for it.
    ForgetsToReconcile,
    /// An heir asks one store alone for what it kept.
    AsksOneStore,
    /// A message is acknowledged before another store has it.
    EarlyAcknowledgement,
    /// What was retired is taken away before the heir has all.
    RetiresBeforeTheCopy,
    /// A store that was given up begins anew without handing back what it has.
    DropsWhatItHas,
    /// A restart forgets which operations the messages are of.
    ForgetsOperations,
    /// Holders forget an operation with the end of its message.
    ForgetsOperationsWithEnds,
    /// An heir decides on operations before others have told it of messages that have ended.
    DecidesBeforeAllAnswered,
    /// An heir leaves out what a store tells it beyond the first messages that have ended.
    LeavesOutABatch,
    /// Copies of messages that have ended aren't made whole while their owner is away.
    PreservesNothingEnded,
}

/// The record without the operation key in it.
fn without_operation(entry: Entry) -> Entry {
    let strip = |envelope: &mut Rc<Envelope>| Rc::make_mut(envelope).operation_key = None;
    match entry {
        Entry::Message { owner, mut message } => {
            strip(&mut message.envelope);
            Entry::Message { owner, message }
        }
        Entry::FinishedMessage { owner, mut transfer } => {
            match &mut transfer.finished {
                FinishedMessage::Completed { envelope, .. } => strip(envelope),
                FinishedMessage::DeadLetter { message, .. } => strip(&mut message.envelope),
            }
            Entry::FinishedMessage { owner, transfer }
        }
        other => other,
    }
}

/// Changes a store's answer about messages of a lost one that have ended.
fn change_ended(answer: Vec<u8>, change: impl Fn(&mut EndedPiece)) -> Vec<u8> {
    let mut piece = Option::<EndedPiece>::try_from_slice(&answer).unwrap();
    piece.iter_mut().for_each(change);
    borsh::to_vec(&piece).unwrap()
}

/// Nothing is owed of it but that a repeat of its operation is known.
fn is_known_for_its_operation(given: &FinishedTransfer) -> bool {
    given.callback_done && given.finished.dead_letter().is_none()
}

impl Mistake {
    /// What is remembered of a record at a restart.
    pub fn remembers(self) -> fn(Entry) -> Option<Entry> {
        match self {
            Mistake::ForgetsFences => |entry| (!matches!(entry, Entry::Fenced { .. })).then_some(entry),
            Mistake::LosesEnds => |entry| (!matches!(entry, Entry::Finished(_))).then_some(entry),
            Mistake::ForgetsOperations => |entry| Some(without_operation(entry)),
            _ => Some,
        }
    }
}

impl Tamper for Mistake {
    fn answer_instead(&self, call: &[u8]) -> Option<Vec<u8>> {
        let call = Call::try_from_slice(call).ok()?;
        let said = match (self, call) {
            (Mistake::WaitsForTheView, Call::Lacking { .. }) => borsh::to_vec(&Vec::<String>::new()),
            (Mistake::EarlyAcknowledgement, Call::Replicate { entries, .. }) if !entries.is_empty() => {
                borsh::to_vec(&true)
            }
            (Mistake::DropsWhatItHas, Call::HandBack { .. }) => borsh::to_vec(&true),
            _ => return None,
        };
        said.ok()
    }

    fn change_answer(&self, call: &[u8], answer: Vec<u8>) -> Vec<u8> {
        let Ok(call) = Call::try_from_slice(call) else { return answer };
        let changed = match (self, call) {
            (Mistake::ForgetsToReconcile, Call::Held { .. }) => {
                let held = Option::<HeldFor>::try_from_slice(&answer).unwrap();
                borsh::to_vec(&held.map(|held| HeldFor { held: HeldIds::default(), more: false, ..held }))
            }
            (Mistake::AsksOneStore, Call::Inherit { .. }) => {
                borsh::to_vec(&Some(Piece { given: Vec::new(), more: false }))
            }
            (Mistake::ForgetsOperationsWithEnds, Call::InheritEnded { .. }) => {
                return change_ended(answer, |piece| piece.given.retain(|g| !is_known_for_its_operation(g)));
            }
            (Mistake::LeavesOutABatch, Call::InheritEnded { .. }) => {
                return change_ended(answer, |piece| piece.given.truncate(FIRST_ENDED));
            }
            (Mistake::DecidesBeforeAllAnswered, Call::InheritEnded { .. }) => {
                borsh::to_vec(&Some(EndedPiece { given: Vec::new(), more: false }))
            }
            (Mistake::PreservesNothingEnded, Call::Lacking { .. }) => {
                let lacking = MessageIds::try_from_slice(&answer).unwrap();
                borsh::to_vec(&MessageIds { finished: Vec::new(), ..lacking })
            }
            _ => return answer,
        };
        changed.unwrap()
    }
}

/// Calls whose answers bring bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brings {
    /// A store tells its heir, or the owner, what it has.
    Messages,
    /// A store shows a body to whoever asks.
    Shown,
}

/// Bytes of bodies are changed on their way: all of some kinds, or of what is shown each first answer about a message.
pub struct DamagesBodies {
    pub all_of: &'static [Brings],
    pub first_shown: bool,
    shown: RefCell<BTreeMap<String, usize>>,
}

impl DamagesBodies {
    pub fn new(all_of: &'static [Brings], first_shown: bool) -> DamagesBodies {
        DamagesBodies { all_of, first_shown, shown: RefCell::default() }
    }

    /// Whether this is the first of each two answers about a message.
    fn is_first(&self, id: &str) -> bool {
        let mut shown = self.shown.borrow_mut();
        let count = shown.entry(id.to_string()).or_default();
        *count += 1;
        !count.is_multiple_of(2)
    }

    fn damages(&self, call: &Call) -> bool {
        match call {
            Call::Inherit { .. } | Call::InheritEnded { .. } | Call::Fetch { .. } => {
                self.all_of.contains(&Brings::Messages)
            }
            Call::Find { id, .. } => {
                self.all_of.contains(&Brings::Shown) || (self.first_shown && self.is_first(id))
            }
            _ => false,
        }
    }
}

impl Tamper for DamagesBodies {
    fn change_answer(&self, call: &[u8], mut answer: Vec<u8>) -> Vec<u8> {
        let Ok(call) = Call::try_from_slice(call) else { return answer };
        let says: Vec<usize> = answer
            .windows(BODY_WORD.len())
            .enumerate()
            .filter(|(_, w)| *w == BODY_WORD)
            .map(|(at, _)| at)
            .collect();
        if !says.is_empty() && self.damages(&call) {
            says.into_iter().for_each(|at| answer[at] ^= 1);
        }
        answer
    }
}
