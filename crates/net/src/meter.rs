//! How many bytes went to and came from each peer, and for what purpose.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// What a call is for, as logs and the status name it.
pub type Purpose = &'static str;

/// Calls and their bytes; frames and heads are counted, headers of TCP and IP are not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transferred {
    pub calls: u64,
    /// Bytes of the calls.
    pub sent: u64,
    /// Bytes of their answers.
    pub received: u64,
}

impl Transferred {
    /// Adds what another counted.
    pub fn add(&mut self, other: &Transferred) {
        self.calls += other.calls;
        self.sent += other.sent;
        self.received += other.received;
    }

    /// Bytes both ways.
    pub fn bytes(&self) -> u64 {
        self.sent + self.received
    }
}

/// Counts the calls of one process since it started.
#[derive(Debug, Default)]
pub struct Meter {
    counted: RefCell<BTreeMap<(Purpose, IpAddr), Transferred>>,
}

impl Meter {
    /// A call was sent, and so many bytes of an answer came.
    pub fn note(&self, purpose: Purpose, to: IpAddr, sent: usize, received: usize) {
        let call = Transferred { calls: 1, sent: sent as u64, received: received as u64 };
        self.counted.borrow_mut().entry((purpose, to)).or_default().add(&call);
    }

    /// What was counted by purpose and by `group` of the peer.
    pub fn sums<G: Ord>(&self, group: impl Fn(IpAddr) -> G) -> BTreeMap<(Purpose, G), Transferred> {
        let mut sums: BTreeMap<(Purpose, G), Transferred> = BTreeMap::new();
        for ((purpose, to), transferred) in self.counted.borrow().iter() {
            sums.entry((purpose, group(*to))).or_default().add(transferred);
        }
        sums
    }
}
