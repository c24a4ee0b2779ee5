//! Whether a call may be sent again. Every call says so; what isn't said to be safe is never sent twice here.
use crate::meter::Purpose;

/// What sending a call again may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It asks, or says what holds already: sending it again does nothing more.
    Freely,
    /// The receiver knows it by an identity that goes with it, and carries it out once.
    SameIdentity,
    /// It may be carried out twice: nobody sends it again unless nothing of it can have been read.
    Never,
}

impl Repeat {
    /// Whether a call may be sent again at once after its connection broke without an answer.
    pub fn after_break(self) -> bool {
        matches!(self, Repeat::Freely)
    }
}

/// A call that says whether it may be sent again, and what it is for.
pub trait Repeatable {
    /// Whether it may be sent again.
    fn repeat(&self) -> Repeat;

    /// Under what its bytes are counted.
    fn purpose(&self) -> Purpose {
        "calls"
    }
}
