//! The request of one message for tokens from a quorum of counters: whom to ask next, whether it is granted
//! or denied, and which tokens to return.
use crate::counters::Counters;
use crate::ledger::TokenStamp;
use crate::Ms;

/// Longest time for which a caller refuses a tenant without asking, after a counter had no token.
pub const MAX_LOCAL_REFUSAL_MS: Ms = 50;

/// The reply of one counter to the token request of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterReply {
    Token(TokenStamp),
    /// No token is available for this many milliseconds.
    Exhausted(u32),
    /// The tenant has no limit, as far as the counter knows.
    NoLimit,
    /// The counter does not count for the tenant or is unreachable.
    Unavailable,
}

/// Why a message is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The quota is used up. The tenant may be refused without asking for this time.
    OverQuota { refuse_for_ms: Ms },
    /// Too few counters answered.
    QuorumUnavailable,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Pending,
    Granted,
    Denied(Denial),
}

/// A token that a counter granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub disk: u64,
    pub stamp: TokenStamp,
}

/// The request for one message's tokens.
#[derive(Clone, Debug)]
pub struct QuorumRequest {
    quorum: usize,
    /// Counters not asked yet; the next one is the last element.
    unasked: Vec<Candidate>,
    /// Counters that were asked and have not answered.
    pending: Vec<u64>,
    /// The pending counters that are late: others were asked in their place.
    late: Vec<u64>,
    tokens: Vec<Token>,
    /// Number of counters without a limit for the tenant.
    unlimited: usize,
    /// The shortest wait for a token among the replies without one.
    exhausted_ms: Option<u32>,
}

/// What a caller knows of a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub disk: u64,
    /// It did not answer the last request.
    pub unresponsive: bool,
    /// Its bucket was more than half full at the last request.
    pub above_half: bool,
    /// Relative distance from the caller.
    pub distance: u32,
}

/// Sorts counters into the order in which they are asked. As long as all buckets are more than half full,
/// near counters come first. Otherwise the counters take turns, because one that is seldom asked would leave
/// its part of the quota unused.
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
    /// A new request; `candidates` are all counters in the order in which to ask them.
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

    /// The counters to ask now: as many as are needed for a quorum, together with the tokens granted and the
    /// requests pending.
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

    /// Records the reply of a counter that was asked.
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

    /// Marks all pending counters as late, so that others are asked in their place. Returns them.
    pub fn mark_late(&mut self) -> Vec<u64> {
        let late = self.pending.clone();
        self.late = late.clone();
        self.skip_unresponsive();
        late
    }

    /// Once a counter has no token, late and unresponsive counters are not waited for, because the tokens of
    /// the others would go unused meanwhile.
    fn skip_unresponsive(&mut self) {
        if self.exhausted_ms.is_some() {
            self.unasked.retain(|candidate| !candidate.unresponsive);
            let late = std::mem::take(&mut self.late);
            self.pending.retain(|disk| !late.contains(disk));
        }
    }

    /// Progress of the request.
    pub fn progress(&self) -> Progress {
        if self.granted() >= self.quorum {
            return Progress::Granted;
        }
        match self.can_be_granted() {
            true => Progress::Pending,
            false => Progress::Denied(self.denial()),
        }
    }

    /// Abandons the request: none of the granted tokens will be used.
    pub fn abandon(&mut self) {
        self.quorum = usize::MAX;
    }

    /// The reason for denial if no further reply is awaited.
    pub fn denial(&self) -> Denial {
        match self.exhausted_ms {
            Some(ms) => Denial::OverQuota { refuse_for_ms: Ms::from(ms).min(MAX_LOCAL_REFUSAL_MS) },
            None => Denial::QuorumUnavailable,
        }
    }

    /// Removes and returns the tokens to give back: all tokens if the request is not granted, otherwise those
    /// beyond the quorum.
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
