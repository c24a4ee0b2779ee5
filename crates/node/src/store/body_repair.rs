//! Bodies that don't match the digest made when the message was accepted: they are neither delivered nor
//! returned, and other stores are asked for a sound one.
use super::Store;
use crate::calls::{Call, Found};
use queue::{Body, Entry, Message};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for asking another store for the body of a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a message is tried again when no store has a sound body.
const RETRY_DELAY_MS: u64 = 2_000;

impl Store {
    /// The body of a message that is stored here, if it is sound.
    pub(super) fn sound_body(&self, message: &Message) -> Option<Body> {
        match message.verified_body() {
            Ok(_) => Some((*message.body).clone()),
            Err(error) => {
                log::error!("disk {:016x}: {error}", self.disk);
                None
            }
        }
    }

    /// Returns the message with a sound body: its own, or that of another store.
    pub(super) async fn with_sound_body(&self, message: Message) -> Message {
        match message.verified_body() {
            Ok(_) => message,
            Err(error) => {
                log::error!("disk {:016x}: {error}", self.disk);
                self.fetch_sound_body(&message).await.unwrap_or(message)
            }
        }
    }

    /// Asks the other stores for a sound body of a message.
    async fn fetch_sound_body(&self, message: &Message) -> Option<Message> {
        let call = Call::Find { id: message.id().to_string(), body: true };
        let stores = self.cluster.stores();
        for other in stores.active().filter(|store| store.disk != self.disk) {
            let to = SocketAddr::new(other.ip, self.port);
            let Ok(found) = self.peers.call::<Call, Found>(to, &call, ANSWER_TIMEOUT).await else { continue };
            let Some(body) = found.body else { continue };
            match body.verified(message.id()) {
                Ok(_) => return Some(Message { envelope: message.envelope.clone(), body: Rc::new(body) }),
                Err(error) => log::error!("disk {:016x}: {error}", other.disk),
            }
        }
        log::error!("{}: no reachable store has a sound body; the message can't be delivered", message.id());
        None
    }

    /// Replaces the damaged body of a message that was to be delivered, and schedules it again.
    pub(super) async fn replace_body(self: Rc<Self>, message: Message) {
        let sound = self.fetch_sound_body(&message).await;
        let pause = if sound.is_some() { 0 } else { RETRY_DELAY_MS };
        if let Some(message) = sound {
            self.queue.borrow_mut().replace_damaged(message.clone());
            self.log.write_later(&Entry::Message { owner: self.disk, message });
        }
        self.queue.borrow_mut().retry(message.id(), 0, crate::process::wall_ms() + pause);
        self.delivery_wake.notify();
    }

    /// Replaces damaged bodies among messages that came from another store.
    pub(super) async fn with_sound_bodies<T>(
        &self,
        given: Vec<T>,
        message: impl Fn(&mut T) -> Option<&mut Message>,
    ) -> Vec<T> {
        let mut sound = Vec::with_capacity(given.len());
        for mut item in given {
            if let Some(message_slot) = message(&mut item) {
                if message_slot.verified_body().is_err() {
                    *message_slot = self.with_sound_body(message_slot.clone()).await;
                }
            }
            sound.push(item);
        }
        sound
    }
}
