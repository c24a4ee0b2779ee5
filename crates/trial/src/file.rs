//! What a trial is: a strict TOML file.
use crate::link::{Effect, Party};
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use world::scenario::{Range, Scenario, Share, Span, Trouble};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Trial {
    pub name: String,
    pub about: String,
    /// So long do clients hand in. All faults have ended by then.
    pub length: Span,
    #[serde(default)]
    pub fleet: Fleet,
    /// Partners, classes, traffic and partners' troubles, as in a scenario of the lab. Its length and number of senders are
    /// the trial's.
    #[serde(default = "usual")]
    pub day: Scenario,
    /// More of partners' troubles.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// More faults, drawn by the seed.
    #[serde(default)]
    pub storm: Option<Storm>,
}

/// Faults of all kinds but those that take a folder away, at any time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Storm {
    pub faults: usize,
    /// How long each lasts.
    pub lasts: Range<Span>,
}

impl Storm {
    fn draw(&self, length: Span, duties: bool, random: &mut Pcg64) -> Vec<Fault> {
        let kinds = if duties { 15 } else { 13 };
        let fault = |_| {
            let lasts = random.random_range(self.lasts.0 .0..=self.lasts.1 .0);
            let at = random.random_range(0..=(length.0 - lasts).max(0));
            let who = if random.random_bool(0.5) { Who::Some(1) } else { Who::Share(0.4) };
            let what = storm_fault(random.random_range(0..kinds), who, random.random());
            Fault { at: Span(at), lasts: Span(lasts.min(length.0)), what }
        };
        (0..self.faults).map(fault).collect()
    }
}

/// One fault of a storm, by its number among the kinds; the last two need a store.
fn storm_fault(kind: usize, who: Who, both: bool) -> What {
    let effect = Effect::default();
    let cut = Effect { cut: true, ..effect.clone() };
    let link = |to, effect| What::Link { from: who, to, both, effect };
    let slow = Range(Span(0), Span(300_000_000));
    match kind {
        0 => What::Kill { who, folder: Folder::Kept },
        1 => What::Freeze { who },
        2 => What::Upgrade { who: Who::Some(1), called_off: false, twice: false },
        3 => What::Upgrade { who: Who::Some(1), called_off: true, twice: false },
        4 => link(Who::Others, cut),
        5 => link(Who::Agent, cut),
        6 => link(Who::Partners, cut),
        7 => link(Who::Clients, cut),
        8 => link(Who::Others, Effect { loss: Share(0.3), duplicates: Share(0.1), delay: slow, ..effect }),
        9 => link(Who::Partners, Effect { reset_after: Some(150), ..effect }),
        10 => What::Full { who, bytes: 4_096 },
        11 => What::Upgrade { who: Who::Some(1), called_off: false, twice: true },
        12 => What::Reload { who, attempts: 2, broken: both },
        13 => link(Who::Store, cut),
        _ => What::Drain { who: Who::Some(1) },
    }
}

/// A day whose messages live for seconds only, so that a trial is short.
const USUAL: &str = r#"
name = "usual"
about = "A few partners; messages that live for seconds."
[fleet]
endpoints = [5, 6]
full-load = 40.0
load = 0.6
least-slots = 6
least-open = 100
# The rig's clients come one by one.
[clients]
zipf = [0.6, 0.6]
clumps = [0.0, 0.0]
[[class]]
name = "update"
share = 0.6
repeat = "repeat"
aim = "1500ms"
deadline = "5s"
late-worth = 0.4
worth = 1.0
work = ["60ms", "100ms"]
[[class]]
name = "charge"
share = 0.4
repeat = "never"
aim = "2s"
deadline = "4s"
late-worth = 0.5
worth = 3.0
work = ["90ms", "150ms"]
only = "large"
"#;

fn usual() -> Scenario {
    Scenario::read(USUAL).expect("the usual day is a scenario, as a test shows")
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    pub senders: usize,
    /// Senders of one machine, which share a registry.
    pub per_machine: usize,
    /// The interval of membership; off if not given.
    pub membership: Option<Span>,
    /// The length of a lease; duties are off if not given.
    pub duties: Option<Span>,
    /// Machines that may drain at a time.
    pub drains: usize,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { senders: 5, per_machine: 1, membership: None, duties: None, drains: 1 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub at: Span,
    #[serde(rename = "for", default = "nothing")]
    pub lasts: Span,
    pub what: What,
}

fn nothing() -> Span {
    Span(0)
}

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Who {
    /// Every sender.
    Senders,
    /// This one.
    Sender(usize),
    /// So many, drawn.
    Some(usize),
    /// This share of them, drawn; one at least.
    Share(f64),
    /// Those that others ask when they start: the first two.
    Seeds,
    /// Whoever holds the duty when the fault begins.
    Holder,
    /// The senders that the other side of the link has not.
    Others,
    Store,
    Agent,
    Partners,
    Clients,
    Operators,
}

impl<'de> Deserialize<'de> for Who {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Who, D::Error> {
        let text = String::deserialize(from)?;
        let (word, number) = text.split_once(' ').map_or((text.as_str(), None), |(w, n)| (w, Some(n)));
        let count = || number.and_then(|n| n.parse::<usize>().ok());
        let share = || number.and_then(|n| n.parse::<f64>().ok()).filter(|s| (0.0..=1.0).contains(s));
        let who = match (word, number) {
            ("senders", None) => Some(Who::Senders),
            ("sender", Some(_)) => count().map(Who::Sender),
            ("some", Some(_)) => count().map(Who::Some),
            ("share", Some(_)) => share().map(Who::Share),
            ("seeds", None) => Some(Who::Seeds),
            ("holder", None) => Some(Who::Holder),
            ("others", None) => Some(Who::Others),
            ("store", None) => Some(Who::Store),
            ("agent", None) => Some(Who::Agent),
            ("partners", None) => Some(Who::Partners),
            ("clients", None) => Some(Who::Clients),
            ("operators", None) => Some(Who::Operators),
            _ => None,
        };
        who.ok_or_else(|| {
            D::Error::custom(format!(
                "{text:?} is none of senders, sender N, some N, share S, seeds, holder, others, store, agent, partners, \
                 clients, operators"
            ))
        })
    }
}

impl Who {
    /// A party that is not a sender.
    pub fn fixed(self, partners: usize) -> Option<Vec<Party>> {
        match self {
            Who::Store => Some(vec![Party::Store]),
            Who::Agent => Some(vec![Party::Agent]),
            Who::Partners => Some((0..partners).map(Party::Partner).collect()),
            Who::Clients => Some(vec![Party::Client]),
            Who::Operators => Some(vec![Party::Operator]),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Folder {
    #[default]
    Kept,
    Lost,
    /// Put back to what it was when the fault began; the process is killed when it ends.
    Older,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum What {
    /// Something stands on the links between two parties, one way or both.
    Link {
        from: Who,
        to: Who,
        #[serde(default)]
        both: bool,
        effect: Effect,
    },
    /// SIGKILL at once for all; back after the fault's time.
    Kill {
        who: Who,
        #[serde(default)]
        folder: Folder,
    },
    /// SIGSTOP, and SIGCONT after the fault's time.
    Freeze { who: Who },
    /// One group after the other over the fault's time: SIGTERM, every second one SIGKILL, and a new start.
    Roll { groups: usize },
    /// A second process beside the first, which it replaces; or, called off, it is killed again half way. Twice: a third
    /// one replaces that one while the first still ends.
    Upgrade {
        who: Who,
        #[serde(default)]
        called_off: bool,
        #[serde(default)]
        twice: bool,
    },
    /// SIGHUP with settings that allow so many attempts, and again with the old ones after the fault's time. Broken: the
    /// file is half there for the first quarter of it, and must be turned down.
    Reload {
        who: Who,
        attempts: usize,
        #[serde(default)]
        broken: bool,
    },
    /// The wall clock is off by so much, ahead or back, until the fault's time is over. Played by a build for tests alone.
    Clock {
        who: Who,
        by: Span,
        #[serde(default)]
        back: bool,
    },
    /// The operators' tool drains the machine of this sender with a permit, and takes it back after the fault's time.
    Drain { who: Who },
    /// The operators' tool that drains dies.
    Operator,
    /// So many callers hold the control address and say nothing.
    Callers { who: Who, count: usize },
    /// A file may grow to so many bytes and no further.
    Full { who: Who, bytes: u64 },
    /// Another machine starts with the name and, if it is said, a copy of the folder.
    Twin {
        who: Who,
        #[serde(default)]
        with_folder: bool,
    },
}

impl What {
    pub fn name(&self) -> &'static str {
        match self {
            What::Link { .. } => "link",
            What::Kill { .. } => "kill",
            What::Freeze { .. } => "freeze",
            What::Roll { .. } => "roll",
            What::Upgrade { .. } => "upgrade",
            What::Reload { .. } => "reload",
            What::Clock { .. } => "clock",
            What::Drain { .. } => "drain",
            What::Operator => "operator killed",
            What::Callers { .. } => "callers",
            What::Full { .. } => "disk full",
            What::Twin { .. } => "twin",
        }
    }
}

impl Trial {
    /// Reads a trial. The error names the place, what is there and what is allowed.
    pub fn read(text: &str) -> Result<Trial, String> {
        let mut trial: Trial = toml::from_str(text).map_err(|e| e.to_string())?;
        let fleet = &trial.fleet;
        if !(1..=60).contains(&fleet.senders) {
            return Err(format!("fleet: senders is not from 1 to 60: {}", fleet.senders));
        }
        if fleet.per_machine == 0 || fleet.drains == 0 {
            return Err("fleet: per-machine and drains are 1 at least".into());
        }
        if trial.storm.is_some_and(|s| s.lasts.1 > trial.length) {
            return Err("storm: faults may last longer than the trial".into());
        }
        for (number, fault) in trial.faults.iter().enumerate() {
            let (name, wrong) = (fault.what.name(), |why: &str| Err(format!("fault {number}: {why}")));
            if fault.at.0 + fault.lasts.0 > trial.length.0 {
                return wrong(&format!("{name} does not end before the trial's length"));
            }
            let needs_store = matches!(fault.what, What::Drain { .. } | What::Operator);
            if needs_store && fleet.duties.is_none() {
                return wrong(&format!("{name} needs fleet.duties"));
            }
            if let What::Link { from, to, .. } = &fault.what {
                let sender = |w: &Who| w.fixed(1).is_none();
                if !sender(from) && !sender(to) {
                    return wrong("a link has a sender at one end");
                }
                if (*from, *to) == (Who::Others, Who::Others) {
                    return wrong("others are others than somebody");
                }
            } else if let What::Roll { groups: 0 } = fault.what {
                return wrong("groups is 1 at least");
            } else if let What::Upgrade { called_off: true, twice: true, .. } = fault.what {
                return wrong("an upgrade is called off or done twice");
            } else if let What::Reload { attempts: 0, .. } = fault.what {
                return wrong("attempts is 1 at least");
            }
        }
        let more = std::mem::take(&mut trial.troubles);
        trial.day.troubles.extend(more);
        for trouble in &trial.day.troubles {
            use world::scenario::What as W;
            let on_sockets = matches!(
                trouble.what,
                W::Down { .. }
                    | W::Silent { .. }
                    | W::Failing { .. }
                    | W::Shut { .. }
                    | W::Slow { .. }
                    | W::Lowered { .. }
            );
            if !on_sockets {
                return Err(format!(
                    "day: {:?} is not played on sockets; see the faults of a trial",
                    trouble.what
                ));
            }
            if trouble.lasts.is_none_or(|l| trouble.at.0 + l.0 > trial.length.0) {
                return Err(format!("day: {:?} has no end before the trial's length", trouble.what));
            }
        }
        trial.day.length = trial.length;
        trial.day.fleet.senders = trial.fleet.senders;
        Ok(trial)
    }

    /// The same with what a storm draws by this seed.
    pub fn drawn(mut self, seed: u64) -> Trial {
        if let Some(storm) = self.storm.take() {
            let duties = self.fleet.duties.is_some();
            self.faults.extend(storm.draw(self.length, duties, &mut world::plan::random(seed, 1_900)));
        }
        self
    }

    /// The same with another number of senders.
    pub fn with_senders(mut self, senders: usize) -> Result<Trial, String> {
        if !(1..=60).contains(&senders) {
            return Err(format!("senders is not from 1 to 60: {senders}"));
        }
        self.fleet.senders = senders;
        self.day.fleet.senders = senders;
        Ok(self)
    }

    /// The same day for the lab's simulation, as far as that knows the faults: restarts of all, kills with folders kept.
    pub fn in_simulation(&self) -> Scenario {
        let mut day = self.day.clone();
        for fault in &self.faults {
            use world::scenario::What as W;
            let back = Range(fault.lasts, fault.lasts);
            let what = match fault.what {
                What::Roll { groups } => W::Roll { groups },
                What::Kill { who: Who::Share(part), folder: Folder::Kept } => {
                    W::Kill { part: Share(part), back }
                }
                _ => continue,
            };
            day.troubles.push(Trouble { at: fault.at, lasts: Some(fault.lasts), what });
        }
        day
    }

    /// Whether it is to be played by a build that can be told another wall clock.
    pub fn sets_clocks(&self) -> bool {
        self.faults.iter().any(|f| matches!(f.what, What::Clock { .. }))
    }

    /// The longest that a message may take, nanoseconds.
    pub fn longest(&self) -> i64 {
        self.day.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0)
    }
}

/// One way or another, drawn by the trial's seed: which senders a fault strikes. `holder`: who holds the duty now.
pub fn strikes(who: Who, count: usize, holder: Option<usize>, random: &mut Pcg64) -> Vec<usize> {
    use rand::seq::SliceRandom;
    let mut all: Vec<usize> = (0..count).collect();
    let mut drawn = |n: usize| {
        all.shuffle(random);
        all.truncate(n.clamp(1, count));
        all.sort_unstable();
        all.clone()
    };
    match who {
        Who::Senders => all,
        Who::Sender(number) => vec![number.min(count - 1)],
        Who::Some(number) => drawn(number),
        Who::Share(share) => drawn((share * count as f64).round() as usize),
        Who::Seeds => vec![0, 1.min(count - 1)],
        // Where nobody holds it, one that is drawn.
        Who::Holder => holder.map_or_else(|| drawn(1), |h| vec![h]),
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
name = "t"
about = "a"
length = "5s"
[fleet]
membership = "100ms"
[[fault]]
at = "1s"
for = "2s"
what = { link = { from = "share 0.4", to = "others", effect = { cut = true } } }
"#;

    #[test]
    fn a_trial_is_read_whole_or_turned_down_with_a_reason() {
        let trial = Trial::read(GOOD).unwrap();
        assert_eq!((trial.fleet.senders, trial.faults.len(), trial.day.fleet.senders), (5, 1, 5));
        for (old, new, word) in [
            ("for = \"2s\"", "for = \"9s\"", "does not end"),
            ("share 0.4", "share 1.4", "none of senders"),
            ("share 0.4", "store", ""),
            ("cut = true", "cutt = true", "unknown field"),
            ("length = \"5s\"", "length = \"5 apples\"", "no span"),
            ("[fleet]", "[fleet]\nsenders = 61", "1 to 60"),
            (
                "{ link = { from = \"share 0.4\", to = \"others\", effect = { cut = true } } }",
                "\"operator\"",
                "duties",
            ),
        ] {
            let read = Trial::read(&GOOD.replace(old, new));
            match word {
                "" => assert!(read.is_ok(), "{new}: {read:?}"),
                word => assert!(read.as_ref().is_err_and(|e| e.contains(word)), "{new}: {read:?}"),
            }
        }
        let both = GOOD.replace("share 0.4", "store").replace("others", "agent");
        assert!(Trial::read(&both).is_err_and(|e| e.contains("a sender at one end")));
    }

    #[test]
    fn a_class_has_a_window_only_where_it_may_be_repeated() {
        let keyed = USUAL.replacen("repeat = \"repeat\"", "repeat = \"repeat\"\nwindow = \"1s\"", 1);
        let day = Scenario::read(&keyed).unwrap();
        assert_eq!(day.classes[0].effect(), policy::api::Effect::Keyed);
        assert_eq!(day.classes[1].effect(), policy::api::Effect::Unsafe);
        let settings = &world::plan::Plan::draw(&day, 1).settings[0];
        let windows: Vec<i64> = settings.classes.iter().map(|c| c.window).collect();
        assert_eq!(windows, [1_000_000_000, 0]);
        for bad in
            [keyed.replace("window = \"1s\"", "window = \"0s\""), keyed.replace("\"repeat\"", "\"never\"")]
        {
            assert!(Scenario::read(&bad).is_err_and(|e| e.contains("update: window")));
        }
        assert!(
            Scenario::read(&keyed.replace("window", "windows")).is_err_and(|e| e.contains("unknown field"))
        );
    }

    #[test]
    fn who_is_struck_is_drawn_by_the_seed() {
        let drawn = |seed| strikes(Who::Share(0.4), 30, None, &mut world::plan::random(seed, 100));
        assert_eq!(drawn(1).len(), 12);
        assert_eq!(drawn(1), drawn(1));
        assert_ne!(drawn(1), drawn(2));
        assert_eq!(strikes(Who::Holder, 3, Some(2), &mut world::plan::random(1, 1)), [2]);
    }
}
