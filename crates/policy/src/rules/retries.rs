//! Whether a message may be sent, sent again or refused: no effect may happen twice or out of order.
use super::*;

impl Sender {
    /// Guards every send to an endpoint (`to`) and every refusal (`None`): no effect may happen twice.
    pub(super) fn allows(&self, held: &Held, to: Option<EndpointId>) -> bool {
        let class = &self.cfg.classes[held.message.class];
        let spent = held.attempts.len() >= class.max_attempts as usize;
        if to.is_some() && (held.finished || spent || held.is_in_flight() && !self.cfg.may_duplicate) {
            return false;
        }
        let mut may_have_run = held.attempts.iter().filter(|a| a.open || a.may_have_run);
        match (class.effect, to) {
            (Effect::Safe, _) => true,
            (Effect::Keyed, None) if class.scope == DedupScope::All => true,
            (Effect::Unsafe, _) | (Effect::Keyed, None) => may_have_run.next().is_none(),
            (Effect::Keyed, Some(to)) => may_have_run.all(|a| {
                let same = match class.scope {
                    DedupScope::All => true,
                    DedupScope::Zone => self.listing.get(to).is_some_and(|p| p.zone() == a.zone),
                    DedupScope::Endpoint => a.endpoint == to,
                };
                same && self.now + self.cfg.tick < a.sent.saturating_add(class.window)
            }),
        }
    }

    /// Until when a message may be sent again, if all its attempts so far may have run.
    pub(super) fn resend_until(&self, held: &Held) -> Ns {
        let class = &self.cfg.classes[held.message.class];
        let first = held.attempts.iter().find(|a| a.may_have_run).map_or(self.now, |a| a.sent);
        match class.effect {
            Effect::Safe => held.end,
            Effect::Keyed => held.end.min(first.saturating_add(class.window)),
            Effect::Unsafe => Ns::MIN,
        }
    }

    /// The key within which a message keeps its order, if its class asks for that.
    pub(super) fn key(&self, message: &Message) -> Option<u64> {
        message.key.filter(|_| self.cfg.classes[message.class].in_order)
    }

    /// Order by key: only its oldest message may be sent; after an attempt that may still run the key pauses.
    pub(super) fn has_turn(&self, held: &Held) -> bool {
        let Some(key) = self.key(&held.message) else { return true };
        let first = self.key_queues.turn_starts_at(key, held.message.id);
        first.is_some_and(|starts_at| starts_at <= self.now || !held.attempts.is_empty())
    }

    pub(super) fn pause_key(&mut self, message: &Message) {
        let until = self.now + self.cfg.key_pause;
        self.key(message).into_iter().for_each(|key| self.key_queues.pause(key, until));
    }
}
