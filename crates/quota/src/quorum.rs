//! One message's way to a quorum of tokens: whom to ask next, when it is granted or refused, and what is given back.
use crate::counters::Counters;
use crate::ledger::TokenStamp;
use crate::Ms;

/// The tenant is refused at the caller for at most so long after a counter was short.
pub const MAX_LOCAL_REFUSAL_MS: Ms = 50;

/// What one counter said to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterReply {
    Token(TokenStamp),
    /// There is none for so many milliseconds.
    Exhausted(u32),
    /// The counter knows that the tenant has no limit.
    NoLimit,
    /// It doesn't count, or can't be reached.
    Unavailable,
}

/// Why a message isn't granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The quota is spent; the tenant may be refused without asking for so many milliseconds.
    OverQuota { refuse_for_ms: Ms },
    /// Too few counters answer.
    QuorumUnavailable,
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Pending,
    Granted,
    Denied(Denial),
}

/// A token that a counter gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub disk: u64,
    pub stamp: TokenStamp,
}

/// One message that is to be counted.
#[derive(Clone, Debug)]
pub struct QuorumRequest {
    quorum: usize,
    /// Counters that were not asked yet, the next one last.
    unasked: Vec<Candidate>,
    /// Asked, without an answer.
    pending: Vec<u64>,
    /// Of these, those that are late: another one was asked in their place.
    late: Vec<u64>,
    tokens: Vec<Token>,
    /// Counters that have no limit to count by.
    unlimited: usize,
    /// The shortest time for which a counter is short.
    exhausted_ms: Option<u32>,
}

/// What a caller knows of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub disk: u64,
    /// It didn't answer when it was asked last.
    pub unresponsive: bool,
    /// Its bucket was more than half full when it was asked last.
    pub above_half: bool,
    /// How far away it is.
    pub distance: u32,
}

/// The counters in the order in which they are asked. Near ones come first as long as all have plenty; else it is each
/// one's turn: a counter that is seldom asked leaves its part of the quota unused.
pub fn ask_order(mut candidates: Vec<Candidate>, rotation: usize) -> Vec<Candidate> {
    let count = candidates.len().max(1);
    candidates.rotate_left(rotation % count);
    let all_above_half = candidates.iter().all(|candidate| candidate.above_half || candidate.unresponsive);
    if all_above_half {
        candidates.sort_by_key(|candidate| candidate.distance);
    }
    candidates.sort_by_key(|candidate| candidate.unresponsive);
    candidates
}

impl QuorumRequest {
    /// Nobody was asked yet; `order` has all counters.
    pub fn new(counters: &Counters, candidates: &[Candidate]) -> QuorumRequest {
        let unasked = candidates.iter().rev().copied().collect();
        let (pending, late, tokens) = (Vec::new(), Vec::new(), Vec::new());
        QuorumRequest {
            quorum: counters.quorum(),
            unasked,
            pending,
            late,
            tokens,
            unlimited: 0,
            exhausted_ms: None,
        }
    }

    /// Counters that are to be asked now: as many as may make a quorum with those that are on their way.
    pub fn counters_to_ask(&mut self) -> Vec<u64> {
        let mut asked = Vec::new();
        let expected = self.granted() + self.pending.len() - self.late.len();
        while self.can_be_granted() && expected + asked.len() < self.quorum {
            let Some(next) = self.unasked.pop() else { break };
            asked.push(next.disk);
        }
        self.pending.extend(&asked);
        asked
    }

    /// A counter that was asked has answered.
    pub fn record_reply(&mut self, disk: u64, reply: CounterReply) {
        let Some(index) = self.pending.iter().position(|pending| *pending == disk) else { return };
        self.pending.swap_remove(index);
        self.late.retain(|late| *late != disk);
        match reply {
            CounterReply::Token(stamp) => self.tokens.push(Token { disk, stamp }),
            CounterReply::NoLimit => self.unlimited += 1,
            CounterReply::Exhausted(ms) => {
                self.exhausted_ms = Some(self.exhausted_ms.map_or(ms, |before| before.min(ms)))
            }
            CounterReply::Unavailable => {}
        }
        self.skip_unresponsive();
    }

    /// All that were asked and didn't answer are late: others are asked in their place.
    pub fn mark_late(&mut self) -> Vec<u64> {
        let late = self.pending.clone();
        self.late = late.clone();
        self.skip_unresponsive();
        late
    }

    /// Where one counter is short, those that are late or silent aren't waited for: tokens of the others would lie idle.
    fn skip_unresponsive(&mut self) {
        if self.exhausted_ms.is_some() {
            self.unasked.retain(|candidate| !candidate.unresponsive);
            let late = std::mem::take(&mut self.late);
            self.pending.retain(|disk| !late.contains(disk));
        }
    }

    /// Where the message stands.
    pub fn progress(&self) -> Progress {
        if self.granted() >= self.quorum {
            return Progress::Granted;
        }
        match self.can_be_granted() {
            true => Progress::Pending,
            false => Progress::Denied(self.denial()),
        }
    }

    /// No token that was given is used.
    pub fn abandon(&mut self) {
        self.quorum = usize::MAX;
    }

    /// No answer is waited for any more.
    pub fn denial(&self) -> Denial {
        match self.exhausted_ms {
            Some(ms) => Denial::OverQuota { refuse_for_ms: Ms::from(ms).min(MAX_LOCAL_REFUSAL_MS) },
            None => Denial::QuorumUnavailable,
        }
    }

    /// The tokens that a message which isn't granted has to give back; those of one that is, beyond a quorum.
    pub fn unused_tokens(&mut self) -> Vec<Token> {
        let used = match self.progress() {
            Progress::Granted => self.quorum.saturating_sub(self.unlimited),
            _ => 0,
        };
        self.tokens.split_off(used.min(self.tokens.len()))
    }

    fn granted(&self) -> usize {
        self.tokens.len() + self.unlimited
    }

    fn can_be_granted(&self) -> bool {
        self.granted() + self.pending.len() + self.unasked.len() >= self.quorum
    }
}
