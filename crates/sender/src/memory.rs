//! One budget of bytes for messages, from their first byte to their end.
use bytes::Bytes;
use journal::Taken;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Part of the memory limit that messages may take; the rest is for connections, the journal's file (which
/// counts as memory) and the copies of a body while it is written.
const PART: f64 = 0.2;
/// What a message takes besides its body, in all tables.
const OVERHEAD: usize = 1_536;
/// No message takes more than this part of what is left: bodies of 64 KiB never keep the usual ones out.
const LARGEST: usize = 8;

#[derive(Clone)]
pub struct Budget(Arc<AtomicUsize>);

/// Given back when it is dropped.
#[derive(Debug)]
pub struct Share {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Budget {
    pub fn new(memory_mb: f64) -> Budget {
        Budget(Arc::new(AtomicUsize::new((memory_mb * 1e6 * PART) as usize)))
    }

    /// Room for a message with a body of this length, if there is any.
    pub fn claim(&self, body: usize) -> Option<Share> {
        let bytes = body + OVERHEAD;
        let left = self.0.load(Ordering::Relaxed);
        (bytes <= left / LARGEST).then(|| self.take(bytes))
    }

    /// For what was taken on before and must be kept.
    pub fn owe(&self, body: usize) -> Share {
        self.take(body + OVERHEAD)
    }

    /// Takes no more than there is.
    fn take(&self, bytes: usize) -> Share {
        let rest = |left: usize| Some(left.saturating_sub(bytes));
        let left = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, rest).unwrap_or_default();
        Share { left: self.0.clone(), bytes: bytes.min(left) }
    }
}

/// A copy of a body that holds its share for as long as anything refers to it.
pub fn body(bytes: &[u8], share: Share) -> Bytes {
    struct Body(Box<[u8]>, #[allow(dead_code)] Share);
    impl AsRef<[u8]> for Body {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    Bytes::from_owner(Body(bytes.into(), share))
}

/// The same message with its body in the budget.
pub fn owed(taken: &Taken, budget: &Budget) -> Taken {
    Taken { body: body(&taken.body, budget.owe(taken.body.len())), ..taken.clone() }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_held_until_the_last_that_refers_to_its_body_is_gone() {
        let budget = Budget::new(1.0);
        let whole = budget.0.load(Ordering::Relaxed);
        for length in [0, 1, 4_000] {
            let body = body(&vec![7; length], budget.claim(length).unwrap());
            let copy = body.clone();
            drop(body);
            assert_eq!(budget.0.load(Ordering::Relaxed), whole - length - OVERHEAD);
            drop(copy);
            assert_eq!(budget.0.load(Ordering::Relaxed), whole);
        }
        let all: Vec<Share> = (0..300).map(|_| budget.owe(1_000)).collect();
        assert_eq!(budget.0.load(Ordering::Relaxed), 0);
        drop(all);
        assert_eq!(budget.0.load(Ordering::Relaxed), whole);
    }
}
