//! What was served, what it cost, and the course of the day. Counted as the operators count (BRIEF, How we count).
use crate::partner::Return;
use crate::plan::Plan;
use crate::referee::{Breach, Rule, RULES};
use hdrhistogram::Histogram;
use policy::api::{DestId, Ns, MS, SECOND};
use serde::{Deserialize, Serialize};

/// Windows of which the worst counts.
const WINDOW: Ns = 10 * SECOND;

/// One second of the day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// First tries that came in it, and those of them that were delivered within what was wanted.
    pub offered: u32,
    pub in_time: u32,
    /// What happened in it: refusals to clients, calls at partners, those refused there, connections opened and open,
    /// calls that all limits together allow, and messages held.
    pub refused: u32,
    pub calls: u32,
    pub calls_refused: u32,
    pub opened: u32,
    pub open: u32,
    pub allowed: f64,
    pub held: u32,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassDay {
    pub name: String,
    pub offered: u64,
    pub offered_worth: f64,
    pub served_worth: f64,
    pub in_time: u64,
    pub delivered: u64,
    pub refused: u64,
    pub failed: u64,
    /// Of delivered messages, in milliseconds, by percentile: 50, 90, 99, 99.9 and the longest.
    pub latency_ms: [u64; 5],
}

/// Where the time of delivered messages went, in seconds: held, connecting, at partners, on the way.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Spent {
    pub held: f64,
    pub connecting: f64,
    pub at_partners: f64,
}

/// A day as it went.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Day {
    /// The whole score, and what it is made of.
    pub g: f64,
    pub served: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub price: f64,
    pub in_time: f64,
    pub messages: u64,
    pub calls: u64,
    pub calls_refused: u64,
    pub connections: u64,
    pub wasted: f64,
    pub late_fails: u64,
    /// Events that senders were told, and actions that they answered with.
    pub events: u64,
    pub actions: u64,
    pub classes: Vec<ClassDay>,
    pub seconds: Vec<Second>,
    pub spent: Spent,
    /// Breaches by rule, and the first of them in words.
    pub breaches: Vec<(String, u64)>,
    pub first_breaches: Vec<String>,
    /// Each cold return of a route, with its destination.
    #[serde(default)]
    pub returns: Vec<(DestId, Return)>,
}

impl Day {
    /// A broken rule makes a day count for nothing.
    pub fn score(&self) -> f64 {
        if self.breaches.is_empty() {
            self.g
        } else {
            0.0
        }
    }
}

pub struct Account {
    classes: Vec<ClassDay>,
    latency: Vec<Histogram<u32>>,
    /// Worth offered and served, by when it was first handed in.
    windows: Vec<(f64, f64)>,
    pub seconds: Vec<Second>,
    length: Ns,
    pub calls: u64,
    pub calls_refused: u64,
    pub connections: u64,
    /// Work at partners: asked for by first tries, and done for nothing.
    pub asked: f64,
    pub wasted: f64,
    late_fails: u64,
    pub events: u64,
    pub actions: u64,
    pub spent: Spent,
}

impl Account {
    pub fn new(plan: &Plan) -> Account {
        let class = |c: &crate::scenario::Class| ClassDay { name: c.name.clone(), ..ClassDay::default() };
        let latency = |_| Histogram::new(3).expect("three digits are allowed");
        Account {
            classes: plan.classes.iter().map(class).collect(),
            latency: plan.classes.iter().map(latency).collect(),
            windows: vec![(0.0, 0.0); (plan.length / WINDOW + 1) as usize],
            seconds: vec![Second::default(); (plan.length / SECOND + 1) as usize],
            length: plan.length,
            calls: 0,
            calls_refused: 0,
            connections: 0,
            asked: 0.0,
            wasted: 0.0,
            late_fails: 0,
            events: 0,
            actions: 0,
            spent: Spent::default(),
        }
    }

    /// The second of the day that a time lies in.
    pub fn second(&mut self, at: Ns) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at / SECOND) as usize).min(last)]
    }

    pub fn offered(&mut self, class: usize, born: Ns, worth: f64) {
        let row = &mut self.classes[class];
        row.offered += 1;
        row.offered_worth += worth;
        self.windows[(born / WINDOW) as usize].0 += worth;
        self.second(born).offered += 1;
    }

    /// A first try or a later one of it was delivered, and earns so much.
    pub fn delivered(&mut self, class: usize, born: Ns, at: Ns, worth: f64, in_time: bool) {
        let row = &mut self.classes[class];
        row.delivered += 1;
        row.in_time += u64::from(in_time);
        row.served_worth += worth;
        self.windows[(born / WINDOW) as usize].1 += worth;
        self.second(born).in_time += u32::from(in_time);
        self.latency[class].saturating_record(((at - born) / MS).max(0) as u64);
    }

    pub fn refused(&mut self, class: usize, at: Ns) {
        self.classes[class].refused += 1;
        self.second(at).refused += 1;
    }

    pub fn failed(&mut self, class: usize, is_late: bool) {
        self.classes[class].failed += 1;
        self.late_fails += u64::from(is_late);
    }

    pub fn close(mut self, counts: &std::collections::BTreeMap<Rule, u64>, first: &[Breach]) -> Day {
        for (row, latency) in self.classes.iter_mut().zip(&self.latency) {
            let at = |p: f64| latency.value_at_quantile(p);
            row.latency_ms = [at(0.5), at(0.9), at(0.99), at(0.999), latency.max()];
        }
        let share = |served: f64, offered: f64| if offered > 0.0 { served / offered } else { 1.0 };
        let offered: f64 = self.classes.iter().map(|c| c.offered_worth).sum();
        let served = share(self.classes.iter().map(|c| c.served_worth).sum(), offered);
        // The last one may be short: what little came in it tells nothing.
        let whole = (self.length / WINDOW).max(1) as usize;
        let windows = self.windows.iter().take(whole).filter(|(offered, _)| *offered > 0.0);
        let worst_window = windows.map(|&(o, s)| share(s, o)).fold(1.0, f64::min);
        let classes = self.classes.iter().filter(|c| c.offered > 0);
        let worst_class = classes.map(|c| share(c.served_worth, c.offered_worth)).fold(1.0, f64::min);
        let messages: u64 = self.classes.iter().map(|c| c.offered).sum();
        let of = |count: u64| count as f64 / messages.max(1) as f64;
        // BRIEF, Deductions, and the price of refused calls.
        let price = 0.086 * (self.wasted / self.asked.max(1e-9)).min(1.0)
            + 0.02 * of(self.connections).min(1.0)
            + 0.015 * of(self.late_fails).min(1.0)
            + 0.03 * of(self.calls_refused).min(1.0);
        let name = |rule: &Rule| RULES.iter().find(|(r, _)| r == rule).map_or("", |(_, name)| name);
        Day {
            g: 0.45 * served + 0.25 * worst_window + 0.30 * worst_class - price,
            served,
            worst_window,
            worst_class,
            price,
            in_time: of(self.classes.iter().map(|c| c.in_time).sum()),
            messages,
            calls: self.calls,
            calls_refused: self.calls_refused,
            connections: self.connections,
            wasted: self.wasted / self.asked.max(1e-9),
            late_fails: self.late_fails,
            events: self.events,
            actions: self.actions,
            classes: self.classes,
            seconds: self.seconds,
            spent: self.spent,
            breaches: counts.iter().map(|(rule, &n)| (name(rule).to_string(), n)).collect(),
            first_breaches: first.iter().map(|b| format!("{} ms: {}", b.at / MS, b.what)).collect(),
            returns: Vec::new(),
        }
    }
}
