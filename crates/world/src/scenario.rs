//! What a day is like: a strict TOML file. What a file leaves out is as the operators' documents have it.
use policy::api::{Effect, Ns};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// A span of time with its unit, as `1500ms` or `2m 30s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Ns);

/// From 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// Two figures of one kind, the lower first; a day draws one between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T>(pub T, pub T);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        let text = String::deserialize(from)?;
        let span: Duration = humantime::parse_duration(&text)
            .map_err(|e| D::Error::custom(format!("{text:?} is no span such as 200ms, 5s or 2m: {e}")))?;
        if span > Duration::from_secs(86_400) {
            return Err(D::Error::custom(format!("{text:?} is longer than a day")));
        }
        Ok(Span(span.as_nanos() as Ns))
    }
}

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Share, D::Error> {
        match f64::deserialize(from)? {
            share if (0.0..=1.0).contains(&share) => Ok(Share(share)),
            other => Err(D::Error::custom(format!("{other} is no share from 0 to 1"))),
        }
    }
}

impl<'de, T: Deserialize<'de> + PartialOrd + std::fmt::Debug> Deserialize<'de> for Range<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Range<T>, D::Error> {
        let [low, high] = <[T; 2]>::deserialize(from)?;
        if low > high {
            return Err(D::Error::custom(format!("{low:?} is more than {high:?}: the lower comes first")));
        }
        Ok(Range(low, high))
    }
}

fn number<'de, D: Deserializer<'de>>(from: D, low: f64, high: f64) -> Result<f64, D::Error> {
    match f64::deserialize(from)? {
        n if (low..=high).contains(&n) => Ok(n),
        n => Err(D::Error::custom(format!("{n} is not from {low} to {high}"))),
    }
}

fn load<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, 0.01, 5.0)
}

fn factor<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, 0.0, 100.0)
}

fn count<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    match usize::deserialize(from)? {
        n @ 1..=100_000 => Ok(n),
        n => Err(D::Error::custom(format!("{n} is not from 1 to 100000"))),
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    pub name: String,
    pub about: String,
    #[serde(default = "minute")]
    pub length: Span,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default = "kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

fn minute() -> Span {
    Span(60_000_000_000)
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    #[serde(deserialize_with = "count")]
    pub senders: usize,
    /// What the settings say of that; as many as there are if not given.
    pub stated: Option<usize>,
    /// In all, and for each partner.
    pub endpoints: Range<usize>,
    pub endpoints_each: Range<f64>,
    /// Messages a second at full load, the yardstick of all limits. BENCH: 2 to 4 for each partner.
    pub full_load: Option<f64>,
    /// Traffic as a part of it: under 0.5 on a quiet day, three quarters on most, over 1 on the worst.
    #[serde(deserialize_with = "load")]
    pub load: f64,
    /// BRIEF: slots over what its part of the full load keeps busy; and the least.
    pub slots_room: Range<f64>,
    #[serde(deserialize_with = "count")]
    pub least_slots: usize,
    /// BRIEF: what a sender holds, as a time of that load; and the least.
    pub holds: Range<Span>,
    #[serde(deserialize_with = "count")]
    pub least_open: usize,
    pub limits_told: LimitsTold,
}

/// Where senders are told what a partner takes from all of them together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitsTold {
    InLists,
    InAnswers,
    Nowhere,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            senders: 3,
            stated: None,
            endpoints: Range(20, 30),
            endpoints_each: Range(1.5, 2.0),
            full_load: None,
            load: 0.75,
            slots_room: Range(2.0, 2.5),
            least_slots: 2,
            holds: Range(Span(6_000_000_000), Span(12_000_000_000)),
            least_open: 16,
            limits_told: LimitsTold::InLists,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clients {
    /// BENCH: how unequal partners' traffic is.
    pub zipf: Range<f64>,
    /// How unequal senders' traffic is: some see several times the mean (standing page).
    #[serde(deserialize_with = "factor")]
    pub spread: f64,
    /// Part of the messages that come in clumps, and in how long a partner takes as many.
    pub clumps: Range<Share>,
    pub clump: Range<Span>,
    /// BRIEF: after a refusal a message comes again at most once, on some days not at all; BENCH: after 0.3 to 2 s.
    pub again: Share,
    pub again_after: Range<Span>,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            zipf: Range(0.8, 1.15),
            spread: 0.8,
            clumps: Range(Share(0.1), Share(0.2)),
            clump: Range(Span(1_000_000_000), Span(3_000_000_000)),
            again: Share(0.7),
            again_after: Range(Span(300_000_000), Span(2_000_000_000)),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Network {
    /// One way.
    pub delay: Range<Span>,
    /// Answers that are lost, and connections that are reset under a request; of all calls.
    pub lost: Share,
    pub reset: Share,
}

impl Default for Network {
    fn default() -> Network {
        Network { delay: Range(Span(500_000), Span(2_000_000)), lost: Share(0.0), reset: Share(0.0) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Discovery {
    /// BRIEF: senders learn of changes seconds late.
    pub lag: Range<Span>,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { lag: Range(Span(200_000_000), Span(3_000_000_000)) }
    }
}

/// How partners come back after an outage. What is left out is as BRIEF, The rules in figures, has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cold {
    /// The part of its capacity that a partner has at its return, and after what time it has all.
    pub start: Range<Share>,
    pub lasts: Range<Span>,
    /// Sent more than so many times what it can do, over so long, it falls.
    pub fall_multiple: Range<f64>,
    pub overload_for: Range<Span>,
    /// It then stays down; else it serves on, and the counts tell what would have been.
    pub falls: bool,
}

impl Default for Cold {
    fn default() -> Cold {
        let same = |ms: Ns| Range(Span(ms * 1_000_000), Span(ms * 1_000_000));
        Cold {
            start: Range(Share(0.16), Share(0.16)),
            lasts: same(9_300),
            fall_multiple: Range(2.5, 2.5),
            overload_for: same(3_000),
            falls: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum May {
    /// Safe to repeat.
    Repeat,
    /// Must never take effect twice.
    Never,
}

impl May {
    pub fn effect(self) -> Effect {
        match self {
            May::Repeat => Effect::Safe,
            May::Never => Effect::Unsafe,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    pub name: String,
    /// Of all messages.
    pub share: Share,
    pub repeat: May,
    /// What may be repeated bears a key, under which repeats are dropped for so long from the first attempt that may have
    /// run. Judged in trials; the lab's referee counts no window.
    pub window: Option<Span>,
    /// Wanted within this time, worth less and less until `deadline`, where `late_worth` of it is left.
    pub aim: Span,
    pub deadline: Span,
    pub late_worth: Share,
    #[serde(deserialize_with = "factor")]
    pub worth: f64,
    /// At a partner of usual pace.
    pub work: Range<Span>,
    /// Only to partners of this kind.
    pub only: Option<String>,
}

impl Class {
    pub fn effect(&self) -> Effect {
        self.window.map_or(self.repeat.effect(), |_| Effect::Keyed)
    }
}

/// Two classes, not those of any customer.
fn classes() -> Vec<Class> {
    let ms = |ms: Ns| Span(ms * 1_000_000);
    let class =
        |name: &str, share, repeat, aim, deadline, late, worth, work: Range<Span>, only: Option<&str>| {
            Class {
                name: name.into(),
                share: Share(share),
                repeat,
                window: None,
                aim: ms(aim),
                deadline: ms(deadline),
                late_worth: Share(late),
                worth,
                work,
                only: only.map(String::from),
            }
        };
    vec![
        class("update", 0.6, May::Repeat, 2_500, 18_000, 0.3, 1.0, Range(ms(100), ms(220)), None),
        class("charge", 0.4, May::Never, 3_500, 15_000, 0.6, 2.5, Range(ms(200), ms(300)), Some("large")),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Limit {
    /// A plain rate.
    Rate,
    /// A count in each span of a second.
    Count,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    pub name: String,
    /// Of all partners.
    pub share: Share,
    /// They are large: the busiest partners are of this kind.
    #[serde(default)]
    pub large: bool,
    pub limit: Limit,
    /// The limit over its calls at full load, and the least a second.
    pub headroom: Range<f64>,
    pub least: Range<f64>,
    /// Share of refusals that tell how long to wait, and how long (a count tells the rest of its span).
    pub tells: Range<Share>,
    pub wait: Range<Span>,
    /// Refused calls use up the limit too.
    #[serde(default)]
    pub refused_count: bool,
    /// Connections that an endpoint takes, over the calls that it serves at once, and the least; not given: any number.
    pub connections: Option<Range<f64>>,
    /// Each endpoint has a limit, an outage and a cold return of its own.
    #[serde(default)]
    pub separate_routes: bool,
    #[serde(default = "least_connections")]
    pub least_connections: Range<f64>,
}

fn least_connections() -> Range<f64> {
    Range(8.0, 16.0)
}

/// Two kinds of partners, not those of any customer.
fn kinds() -> Vec<Kind> {
    let ms = |ms: Ns| Span(ms * 1_000_000);
    vec![
        Kind {
            name: "large".into(),
            share: Share(0.2),
            large: true,
            limit: Limit::Rate,
            headroom: Range(0.9, 1.9),
            least: Range(2.5, 4.5),
            tells: Range(Share(0.5), Share(0.9)),
            wait: Range(ms(400), ms(900)),
            refused_count: false,
            connections: None,
            separate_routes: false,
            least_connections: least_connections(),
        },
        Kind {
            name: "small".into(),
            share: Share(0.8),
            large: false,
            limit: Limit::Count,
            headroom: Range(1.2, 1.9),
            least: Range(1.5, 4.0),
            tells: Range(Share(0.05), Share(0.5)),
            wait: Range(ms(0), ms(1_000)),
            refused_count: true,
            connections: Some(Range(2.0, 4.0)),
            separate_routes: false,
            least_connections: least_connections(),
        },
    ]
}

/// What goes wrong, when, for how long, and how much of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Trouble {
    pub at: Span,
    #[serde(rename = "for", default)]
    pub lasts: Option<Span>,
    pub what: What,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum What {
    /// Partners with this share of the traffic refuse connections, and come back cold.
    Down { part: Share },
    /// The same in silence: nothing is refused and nothing answered.
    Silent { part: Share },
    /// They take connections and requests and answer nothing; what came meanwhile they meet as they come back.
    Hung { part: Share },
    /// They fail this share of the calls quickly.
    Failing { part: Share, fails: Share },
    /// They refuse all, some with a wait until they open.
    Shut { part: Share },
    /// Their calls take so many times as long.
    Slow {
        part: Share,
        #[serde(deserialize_with = "factor")]
        times: f64,
    },
    /// Limits are this part of what they were.
    Lowered {
        part: Share,
        #[serde(deserialize_with = "factor")]
        to: f64,
    },
    /// This share of senders and this share of endpoints hear nothing of each other.
    Cut { senders: Share, endpoints: Share },
    /// Traffic is so many times what it was.
    Burst {
        #[serde(deserialize_with = "factor")]
        times: f64,
    },
    /// One sender gets this share of all messages.
    HotSender { share: Share },
    /// One large partner draws this share of all messages.
    HotPartner { share: Share },
    /// This share of senders is killed at once, with their folders kept; they are back after the span.
    Kill { part: Share, back: Range<Span> },
    /// This share of senders is replaced by a new process each, which is told what the old one knew.
    Upgrade { part: Share },
    /// All senders are restarted, so many groups one after the other; every second one without a warning.
    Roll {
        #[serde(deserialize_with = "count")]
        groups: usize,
    },
    /// This share of endpoints is replaced: told to drain, gone, and a cold one in its place.
    Replace { part: Share },
}

impl Scenario {
    /// Reads a scenario. The error names the place, what is there and what is allowed.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let fault = |what: String| Err(what);
        let share: f64 = scenario.classes.iter().map(|c| c.share.0).sum();
        if (share - 1.0).abs() > 1e-6 {
            return fault(format!("class: the shares add up to {share}, not to 1"));
        }
        for class in &scenario.classes {
            let known = |name: &String| scenario.kinds.iter().any(|k| k.name == *name);
            if class.only.as_ref().is_some_and(|name| !known(name)) {
                return fault(format!("class {}: only: no kind has that name", class.name));
            }
            if class.aim > class.deadline {
                return fault(format!("class {}: aim is after deadline", class.name));
            }
            if class.window.is_some_and(|window| window.0 == 0 || class.repeat == May::Never) {
                return fault(format!("class {}: window is a time in which it may be repeated", class.name));
            }
        }
        for trouble in &scenario.troubles {
            if trouble.at > scenario.length {
                return fault(format!("trouble {:?}: at is after the day's length", trouble.what));
            }
        }
        Ok(scenario)
    }
}
