//! What stands between two parties, by direction. No I/O and no clock: drivers in `front` carry it out.
use crate::history::Fate;
use policy::api::Ns;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::Deserialize;
use world::scenario::{Range, Share, Span};

/// Who sends or hears. Senders and partners are numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    Sender(usize),
    Partner(usize),
    Store,
    /// Discovery's agent and the platform that takes notices, on the sender's own machine.
    Agent,
    Client,
    Operator,
}

/// What a link does to all that goes one way.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Effect {
    /// Nothing passes. What is on the way of a connection comes once it is healed, as TCP sends again.
    pub cut: bool,
    pub delay: Range<Span>,
    /// Of datagrams: lost, sent twice, held back so that later ones pass it, one bit turned over. Bytes of connections are
    /// turned over too, one for each piece that this share of pieces has.
    pub loss: Share,
    pub duplicates: Share,
    pub reordered: Share,
    pub flipped: Share,
    /// Bytes a second of each connection.
    pub bandwidth: Option<f64>,
    /// A connection is reset once so many bytes have gone this way.
    pub reset_after: Option<u64>,
}

impl Default for Effect {
    fn default() -> Effect {
        Effect {
            cut: false,
            delay: Range(Span(0), Span(0)),
            loss: Share(0.0),
            duplicates: Share(0.0),
            reordered: Share(0.0),
            flipped: Share(0.0),
            bandwidth: None,
            reset_after: None,
        }
    }
}

/// One that is held back comes so much later than those that are not.
const HELD_BACK: Ns = 30_000_000;

impl Effect {
    /// Two that stand on one link at a time.
    fn and(mut self, other: &Effect) -> Effect {
        let more = |a: Share, b: Share| Share(1.0 - (1.0 - a.0) * (1.0 - b.0));
        let (low, high) = (self.delay.0 .0 + other.delay.0 .0, self.delay.1 .0 + other.delay.1 .0);
        self.cut |= other.cut;
        self.delay = Range(Span(low), Span(high));
        self.loss = more(self.loss, other.loss);
        self.duplicates = more(self.duplicates, other.duplicates);
        self.reordered = more(self.reordered, other.reordered);
        self.flipped = more(self.flipped, other.flipped);
        self.bandwidth = [self.bandwidth, other.bandwidth].into_iter().flatten().reduce(f64::min);
        self.reset_after = [self.reset_after, other.reset_after].into_iter().flatten().min();
        self
    }

    /// How long one piece is on its way, nanoseconds.
    pub fn takes(&self, random: &mut Pcg64) -> Ns {
        let Range(Span(low), Span(high)) = self.delay;
        if high > 0 {
            random.random_range(low..=high)
        } else {
            0
        }
    }

    /// What becomes of a datagram: its fate, when each copy arrives (nanoseconds from now), and its bytes as they arrive.
    pub fn datagram(&self, bytes: &mut [u8], random: &mut Pcg64) -> (Fate, Vec<Ns>) {
        if self.cut {
            return (Fate::Cut, Vec::new());
        }
        if random.random_bool(self.loss.0) {
            return (Fate::Lost, Vec::new());
        }
        let mut fate = Fate::Passed;
        let held = if random.random_bool(self.reordered.0) { HELD_BACK } else { 0 };
        let mut copies = vec![self.takes(random) + held];
        if random.random_bool(self.duplicates.0) {
            copies.push(self.takes(random) + HELD_BACK);
            fate = Fate::Doubled;
        }
        if self.flip(bytes, random) {
            fate = Fate::Flipped;
        }
        (fate, copies)
    }

    /// Turns one bit over, for the share of pieces that it strikes.
    pub fn flip(&self, bytes: &mut [u8], random: &mut Pcg64) -> bool {
        let strikes = !bytes.is_empty() && self.flipped.0 > 0.0 && random.random_bool(self.flipped.0);
        if strikes {
            let at = random.random_range(0..bytes.len());
            bytes[at] ^= 1 << random.random_range(0..8);
        }
        strikes
    }
}

/// Names an effect that stands, until it is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule(u64);

/// All that stands between parties now.
#[derive(Default)]
pub struct Net {
    rules: Vec<(Rule, Vec<Party>, Vec<Party>, Effect)>,
    next: u64,
}

impl Net {
    /// From each of the first to each of the second, this way only.
    pub fn add(&mut self, from: Vec<Party>, to: Vec<Party>, effect: Effect) -> Rule {
        self.next += 1;
        let rule = Rule(self.next);
        self.rules.push((rule, from, to, effect));
        rule
    }

    pub fn remove(&mut self, rule: Rule) {
        self.rules.retain(|r| r.0 != rule);
    }

    pub fn between(&self, from: Party, to: Party) -> Effect {
        let hit = self.rules.iter().filter(|(_, f, t, _)| f.contains(&from) && t.contains(&to));
        hit.fold(Effect::default(), |all, (_, _, _, effect)| all.and(effect))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use world::plan::random;

    fn cut() -> Effect {
        Effect { cut: true, ..Effect::default() }
    }

    #[test]
    fn a_rule_holds_one_way_between_its_parties_until_it_is_taken_away() {
        let (a, b) = (Party::Sender(0), Party::Sender(1));
        let mut net = Net::default();
        let rule = net.add(vec![a], vec![b], cut());
        assert!(net.between(a, b).cut);
        assert!(!net.between(b, a).cut && !net.between(a, Party::Store).cut);
        let other = net.add(vec![a], vec![b], Effect { loss: Share(0.5), ..cut() });
        net.remove(rule);
        assert!(net.between(a, b).cut, "the other one stands");
        net.remove(other);
        assert_eq!(net.between(a, b), Effect::default());
    }

    #[test]
    fn datagrams_meet_their_fates_as_often_as_is_said() {
        let mut random = random(7, 0);
        let effect = Effect {
            loss: Share(0.2),
            duplicates: Share(0.25),
            flipped: Share(0.5),
            delay: Range(Span(5), Span(9)),
            ..Effect::default()
        };
        let (mut lost, mut twice, mut flipped) = (0, 0, 0);
        for _ in 0..10_000 {
            let mut bytes = [0; 8];
            let (_, copies) = effect.datagram(&mut bytes, &mut random);
            lost += usize::from(copies.is_empty());
            twice += usize::from(copies.len() == 2);
            flipped += bytes.iter().map(|b| b.count_ones() as usize).sum::<usize>();
            assert!(copies.iter().all(|c| (5..=9 + HELD_BACK).contains(c)));
        }
        assert!((1_800..2_200).contains(&lost), "{lost}");
        assert!((1_800..2_200).contains(&twice), "{twice}");
        assert!((3_700..4_300).contains(&flipped), "{flipped}");
    }
}
