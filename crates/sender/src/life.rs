//! Where a message's time goes: one stage after the other, from its first byte to its end, with no gap.
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its request comes in.
    Read,
    /// It waits for its turn.
    Queue,
    /// A connection is made for it.
    Dial,
    /// It was written, or is about to be, and no answer has come.
    Attempt,
    /// It has ended, and the platform has not answered its notice.
    Notice,
}

pub const STAGES: [(Stage, &str); 5] = [
    (Stage::Read, "read"),
    (Stage::Queue, "queue"),
    (Stage::Dial, "dial"),
    (Stage::Attempt, "attempt"),
    (Stage::Notice, "notice"),
];

/// Time spent by stage; None for those that it never came to.
pub type Spent = [Option<Duration>; STAGES.len()];

#[derive(Clone, Debug)]
pub struct Life {
    stage: Stage,
    since: Instant,
    spent: Spent,
    /// The stage in which its time ran out.
    late: Option<Stage>,
}

impl Life {
    pub fn begin(stage: Stage, at: Instant) -> Life {
        let mut life = Life { stage, since: at, spent: Spent::default(), late: None };
        life.spent[stage as usize] = Some(Duration::ZERO);
        life
    }

    /// Times may be told late, but never go back behind the stage before.
    pub fn enter(&mut self, stage: Stage, at: Instant) {
        let at = at.max(self.since);
        *self.spent[self.stage as usize].get_or_insert_default() += at - self.since;
        self.spent[stage as usize].get_or_insert_default();
        (self.stage, self.since) = (stage, at);
    }

    /// Its time is up; the first stage to say so counts.
    pub fn run_out(&mut self) {
        self.late.get_or_insert(self.stage);
    }

    pub fn ran_out_in(&self) -> Option<Stage> {
        self.late
    }

    pub fn end(mut self, at: Instant) -> Spent {
        self.enter(self.stage, at);
        self.spent
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg32;

    #[test]
    fn the_stages_of_a_message_add_up_to_its_life() {
        let mut random = Pcg32::seed_from_u64(0x5eed);
        let mut draw = |n: u64| random.random_range(0..n);
        for _ in 0..1_000 {
            let born = Instant::now();
            let mut life = Life::begin(Stage::Read, born);
            let (mut at, mut seen) = (born, vec![Stage::Read]);
            for _ in 0..draw(12) {
                let stage = STAGES[draw(5) as usize].0;
                at += Duration::from_micros(draw(50_000));
                // One told late must not count twice, nor leave a gap.
                life.enter(stage, at - Duration::from_micros(draw(2) * draw(60_000)));
                seen.push(stage);
            }
            at += Duration::from_millis(1);
            let spent = life.end(at);
            assert_eq!(spent.iter().flatten().sum::<Duration>(), at - born, "{seen:?}");
            for (stage, name) in STAGES {
                assert_eq!(spent[stage as usize].is_some(), seen.contains(&stage), "{name} in {seen:?}");
            }
        }
    }

    #[test]
    fn time_runs_out_in_one_stage() {
        let now = Instant::now();
        let mut life = Life::begin(Stage::Queue, now);
        life.enter(Stage::Attempt, now);
        life.run_out();
        life.enter(Stage::Queue, now);
        life.run_out();
        assert_eq!(life.ran_out_in(), Some(Stage::Attempt));
    }
}
