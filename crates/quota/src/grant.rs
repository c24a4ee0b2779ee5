//! One message's way to a quorum of tokens: whom to ask next, when it is granted or refused, and what is given back.
use crate::counters::Counters;
use crate::ledger::Stamp;
use crate::Ms;

/// The tenant is refused at the caller for at most so long after a counter was short.
pub const LONGEST_SHORT: Ms = 50;

/// What one counter said to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Token(Stamp),
    /// There is none for so many milliseconds.
    Short(u32),
    /// The counter knows that the tenant has no limit.
    NoLimit,
    /// It doesn't count, or can't be reached.
    NotCounted,
}

/// Why a message isn't granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The quota is spent; the tenant may be refused without asking for so many milliseconds.
    OverQuota { for_ms: Ms },
    /// Too few counters answer.
    NotCounted,
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Open,
    Granted,
    Denied(Denial),
}

/// A token that a counter gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub disk: u64,
    pub stamp: Stamp,
}

/// One message that is to be counted.
#[derive(Clone, Debug)]
pub struct Grant {
    quorum: usize,
    /// Counters that were not asked yet, the next one last.
    unasked: Vec<Candidate>,
    /// Asked, without an answer.
    open: Vec<u64>,
    /// Of these, those that are late: another one was asked in their place.
    late: Vec<u64>,
    tokens: Vec<Token>,
    /// Counters that have no limit to count by.
    free: usize,
    /// The shortest time for which a counter is short.
    short_ms: Option<u32>,
}

/// What a caller knows of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub disk: u64,
    /// It didn't answer when it was asked last.
    pub silent: bool,
    /// Its bucket was more than half full when it was asked last.
    pub plenty: bool,
    /// How far away it is.
    pub distance: u32,
}

/// The counters in the order in which they are asked. Near ones come first as long as all have plenty; else it is each
/// one's turn: a counter that is seldom asked leaves its part of the quota unused.
pub fn order(mut candidates: Vec<Candidate>, turn: usize) -> Vec<Candidate> {
    let count = candidates.len().max(1);
    candidates.rotate_left(turn % count);
    let all_plenty = candidates.iter().all(|candidate| candidate.plenty || candidate.silent);
    if all_plenty {
        candidates.sort_by_key(|candidate| candidate.distance);
    }
    candidates.sort_by_key(|candidate| candidate.silent);
    candidates
}

impl Grant {
    /// Nobody was asked yet; `order` has all counters.
    pub fn new(counters: &Counters, order: &[Candidate]) -> Grant {
        let unasked = order.iter().rev().copied().collect();
        let (open, late, tokens) = (Vec::new(), Vec::new(), Vec::new());
        Grant { quorum: counters.quorum(), unasked, open, late, tokens, free: 0, short_ms: None }
    }

    /// Counters that are to be asked now: as many as may make a quorum with those that are on their way.
    pub fn to_ask(&mut self) -> Vec<u64> {
        let mut asked = Vec::new();
        let expected = self.given() + self.open.len() - self.late.len();
        while self.can_be_granted() && expected + asked.len() < self.quorum {
            let Some(next) = self.unasked.pop() else { break };
            asked.push(next.disk);
        }
        self.open.extend(&asked);
        asked
    }

    /// A counter that was asked has answered.
    pub fn heard(&mut self, disk: u64, reply: Reply) {
        let Some(place) = self.open.iter().position(|open| *open == disk) else { return };
        self.open.swap_remove(place);
        self.late.retain(|late| *late != disk);
        match reply {
            Reply::Token(stamp) => self.tokens.push(Token { disk, stamp }),
            Reply::NoLimit => self.free += 1,
            Reply::Short(ms) => self.short_ms = Some(self.short_ms.map_or(ms, |before| before.min(ms))),
            Reply::NotCounted => {}
        }
        self.leave_out_silent();
    }

    /// All that were asked and didn't answer are late: others are asked in their place.
    pub fn late(&mut self) -> Vec<u64> {
        let late = self.open.clone();
        self.late = late.clone();
        self.leave_out_silent();
        late
    }

    /// Where one counter is short, those that are late or silent aren't waited for: tokens of the others would lie idle.
    fn leave_out_silent(&mut self) {
        if self.short_ms.is_some() {
            self.unasked.retain(|candidate| !candidate.silent);
            let late = std::mem::take(&mut self.late);
            self.open.retain(|disk| !late.contains(disk));
        }
    }

    /// Where the message stands.
    pub fn progress(&self) -> Progress {
        if self.given() >= self.quorum {
            return Progress::Granted;
        }
        match self.can_be_granted() {
            true => Progress::Open,
            false => Progress::Denied(self.denial()),
        }
    }

    /// No token that was given is used.
    pub fn give_up(&mut self) {
        self.quorum = usize::MAX;
    }

    /// No answer is waited for any more.
    pub fn denial(&self) -> Denial {
        match self.short_ms {
            Some(ms) => Denial::OverQuota { for_ms: Ms::from(ms).min(LONGEST_SHORT) },
            None => Denial::NotCounted,
        }
    }

    /// The tokens that a message which isn't granted has to give back; those of one that is, beyond a quorum.
    pub fn to_give_back(&mut self) -> Vec<Token> {
        let used = match self.progress() {
            Progress::Granted => self.quorum.saturating_sub(self.free),
            _ => 0,
        };
        self.tokens.split_off(used.min(self.tokens.len()))
    }

    fn given(&self) -> usize {
        self.tokens.len() + self.free
    }

    fn can_be_granted(&self) -> bool {
        self.given() + self.open.len() + self.unasked.len() >= self.quorum
    }
}
