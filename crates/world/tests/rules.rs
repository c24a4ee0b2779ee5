//! The referee catches one offender for each rule, and a day is a function of its inputs.
use policy::api::*;
use policy::rules::Sender;
use std::collections::BTreeMap;
use world::baselines::{Plain, BASELINES};
use world::fleet::play;
use world::plan::Plan;
use world::referee::{Rule, RULES};
use world::scenario::Scenario;
use world::{Decider, Truth};

const DAY: &str = r#"
name = "rules"
about = "Enough of everything to break each rule in."
length = "40s"
[fleet]
senders = 3
load = 1.1
endpoints = [2, 3]
full-load = 10.0
least-slots = 40
least-open = 200
[network]
lost = 0.05
[[trouble]]
at = "5s"
for = "10s"
what = { replace = { part = 0.5 } }
[[trouble]]
at = "18s"
for = "6s"
what = { down = { part = 0.9 } }
"#;

/// Sends at once and again at once, and heeds all rules but one.
struct Offender {
    breaks: Rule,
    settings: Settings,
    places: BTreeMap<EndpointId, (DestId, bool)>,
    held: BTreeMap<MsgId, (Message, u32, bool, bool)>,
    waits: BTreeMap<DestId, Ns>,
    out_to: BTreeMap<DestId, usize>,
}

impl Offender {
    fn go(&mut self, now: Ns, out: &mut Vec<Action>) {
        let top = (self.settings.slots * 3 / 4).max(1);
        for (&id, (message, attempts, is_out, may_have_run)) in &mut self.held {
            let class = &self.settings.classes[message.class];
            let dest = message.dest;
            let repeats = *may_have_run && class.effect == Effect::Unsafe && self.breaks != Rule::Repeat;
            let spent =
                *attempts >= class.max_attempts && !matches!(self.breaks, Rule::Attempts | Rule::Cold);
            let waits = self.waits.get(&dest).is_some_and(|&until| until > now);
            let in_flight = self.out_to.entry(dest).or_default();
            let full = *in_flight >= if self.breaks == Rule::Cap { self.settings.slots } else { top };
            if *is_out || repeats || spent || waits && !matches!(self.breaks, Rule::Wait | Rule::Cold) || full
            {
                continue;
            }
            let any = |&(of, open): &(DestId, bool)| match self.breaks {
                Rule::Cell => of != dest && open,
                Rule::Drain => of == dest,
                _ => of == dest && open,
            };
            // The last one, so that a closed one is among them.
            let Some((&endpoint, _)) = self.places.iter().rev().find(|(_, place)| any(place)) else {
                continue;
            };
            *in_flight += 1;
            *attempts += 1;
            *is_out = true;
            out.push(Action::Send { id, endpoint, timeout: SECOND, send_by: Ns::MAX / 2 });
        }
    }
}

impl Decider for Offender {
    fn handle(&mut self, now: Ns, events: &[Event], _: &dyn Truth, out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::List { entries, .. } => {
                    let row = |e: &Entry| (e.endpoint, (e.dest, e.condition == Condition::Ready));
                    self.places.extend(entries.iter().map(row));
                }
                Event::Message(m) => {
                    // From here on: until when.
                    let message = Message { time_left: now + m.time_left, ..*m };
                    self.held.insert(m.id, (message, 0, false, false));
                }
                Event::AttemptEnd(e) => {
                    let Some((message, _, is_out, may_have_run)) = self.held.get_mut(&e.id) else { continue };
                    *is_out = false;
                    *may_have_run |= !e.outcome.never_ran();
                    *self.out_to.entry(message.dest).or_insert(1) -= 1;
                    self.waits.insert(message.dest, now + e.wait);
                    if e.done {
                        self.held.remove(&e.id);
                        if self.breaks == Rule::OneEnd {
                            out.push(Action::Fail { id: e.id, late: false });
                        }
                    }
                }
                _ => {}
            }
        }
        // What it does not deliver runs out of time, and it never says so.
        self.held.retain(|_, (message, ..)| message.time_left > now);
        let ticks = events.iter().any(|e| matches!(e, Event::Timer | Event::List { complete: true, .. }));
        // All at each tick: that is what a partner that comes back cannot bear.
        if ticks || self.breaks != Rule::Cold {
            self.go(now, out);
        }
        if ticks {
            out.push(Action::Timer { at: now + 20 * MS });
        }
    }
}

fn breaches(make: &world::Maker) -> Vec<String> {
    let plan = Plan::draw(&Scenario::read(DAY).unwrap(), 3);
    play(&plan, make).breaches.into_iter().map(|(rule, _)| rule).collect()
}

#[test]
fn the_referee_catches_an_offender_for_each_rule_and_nobody_else() {
    for (rule, name) in RULES {
        let found = breaches(&move |settings: &Settings, _| {
            let (places, held, waits, out_to) = Default::default();
            Box::new(Offender { breaks: rule, settings: settings.clone(), places, held, waits, out_to })
        });

        assert!(found.contains(&name.to_string()), "{name} is not among {found:?}");
    }
    let found = breaches(&|settings: &Settings, seed| Box::new(Sender::new(settings.clone(), seed)));
    assert!(found.is_empty(), "the sender breaks {found:?}");
    for baseline in &BASELINES {
        let found =
            breaches(&move |settings: &Settings, seed| Box::new(Plain::new(settings, seed, baseline)));
        assert!(
            !found.contains(&"repeat".into()) && !found.contains(&"wait".into()),
            "{}: {found:?}",
            baseline.0
        );
    }
}

#[test]
fn a_day_is_the_same_each_time_and_its_traffic_the_same_for_all() {
    let plan = Plan::draw(&Scenario::read(DAY).unwrap(), 7);
    let sender =
        |settings: &Settings, seed| -> Box<dyn Decider> { Box::new(Sender::new(settings.clone(), seed)) };
    let [one, two] = [(); 2].map(|()| format!("{:?}", play(&plan, &sender)));
    assert_eq!(one, two);
    let offered = |make: &world::Maker| {
        let day = play(&plan, make);
        day.seconds.iter().map(|s| s.offered).collect::<Vec<_>>()
    };
    let random = |settings: &Settings, seed| -> Box<dyn Decider> {
        Box::new(Plain::new(settings, seed, &BASELINES[0]))
    };
    assert_eq!(offered(&sender), offered(&random));
}

#[test]
fn a_scenario_s_error_names_the_place_and_what_is_allowed() {
    for (text, expected) in [
        (DAY.replace("load = 1.1", "lode = 1.1"), vec!["line 7", "unknown field `lode`", "`load`"]),
        (DAY.replace("lost = 0.05", "lost = 5"), vec!["line 13", "no share from 0 to 1"]),
        (DAY.replace("for = \"10s\"", "for = \"10\""), vec!["line 16", "such as 200ms"]),
        (DAY.replace("load = 1.1", "load = 9.0"), vec!["line 7", "not from 0.01 to 5"]),
        (DAY.replace("replace =", "replaced ="), vec!["line 17", "unknown variant `replaced`"]),
        (DAY.replace("at = \"5s\"", "at = \"50s\""), vec!["after the day's length"]),
    ] {
        let error = Scenario::read(&text).unwrap_err();
        assert!(expected.iter().all(|part| error.contains(part)), "{expected:?} in: {error}");
    }
}
