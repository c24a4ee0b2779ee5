//! One day, drawn from a scenario by a seed: partners, senders, weights, and when what happens.
use crate::scenario::{self, Limit, LimitsTold, Range, Scenario, Share, Span, What};
use policy::api::{self, DedupScope, Ns, Settings, MS, SECOND};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// Random numbers of one purpose: what is drawn for one does not shift another.
pub fn random(seed: u64, purpose: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose)
}

#[derive(Clone, Copy, Debug)]
pub enum Allows {
    Rate { per_s: f64 },
    Count { in_span: f64, refused_count: bool },
}

/// BRIEF, The rules in figures.
#[derive(Clone, Copy, Debug)]
pub struct Safety {
    pub start: f64,
    pub cold: Ns,
    pub fall_multiple: f64,
    pub overload_for: Ns,
    /// What gets too much falls and stays down; else it serves on, and the counts tell what would have been.
    pub falls: bool,
}

#[derive(Clone, Debug)]
pub struct PartnerPlan {
    pub kind: usize,
    /// Its part of the traffic, and its calls a second at full load.
    pub weight: f64,
    pub full_rate: f64,
    pub allows: Allows,
    pub tells: f64,
    pub wait: (Ns, Ns),
    /// Calls a second that it can serve, warm.
    pub capacity: f64,
    /// Its calls take so many times as long as usual.
    pub pace: f64,
    /// Addresses, calls served at once at each, and calls that wait there.
    pub desks: usize,
    pub workers: usize,
    pub depth: usize,
    /// Connections that each takes.
    pub table: Option<usize>,
    /// Each address has a limit, a capacity and a cold return of its own: an equal part of those above.
    pub separate_routes: bool,
    /// Answers tell the limit and what is left of it.
    pub reports: bool,
}

impl PartnerPlan {
    pub fn limit(&self) -> f64 {
        match self.allows {
            Allows::Rate { per_s } => per_s,
            Allows::Count { in_span, .. } => in_span,
        }
    }

    pub fn routes(&self) -> usize {
        if self.separate_routes {
            self.desks
        } else {
            1
        }
    }

    /// The route that an address belongs to.
    pub fn route(&self, desk: usize) -> usize {
        if self.separate_routes {
            desk
        } else {
            0
        }
    }

    /// What one route takes.
    pub fn route_allows(&self) -> Allows {
        let part = self.routes() as f64;
        match self.allows {
            Allows::Rate { per_s } => Allows::Rate { per_s: per_s / part },
            Allows::Count { in_span, refused_count } => {
                Allows::Count { in_span: in_span / part, refused_count }
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct EndpointPlan {
    pub partner: usize,
    pub desk: usize,
}

/// Something that happens, with all that it strikes.
#[derive(Clone, Debug)]
pub struct Happening {
    pub at: Ns,
    pub ends: Ns,
    pub what: What,
    /// Partners, senders or endpoints, as it asks.
    pub partners: Vec<usize>,
    pub senders: Vec<usize>,
    pub endpoints: Vec<usize>,
}

pub struct Plan {
    pub seed: u64,
    pub length: Ns,
    pub classes: Vec<scenario::Class>,
    pub kinds: Vec<String>,
    pub partners: Vec<PartnerPlan>,
    pub endpoints: Vec<EndpointPlan>,
    /// By sender: its part of the traffic and its settings.
    pub weights: Vec<f64>,
    pub settings: Vec<Settings>,
    pub rate: f64,
    pub clumps: f64,
    pub clump: (Ns, Ns),
    pub again: f64,
    pub again_after: (Ns, Ns),
    pub delay: (Ns, Ns),
    pub lost: f64,
    pub reset: f64,
    pub lag: (Ns, Ns),
    pub happenings: Vec<Happening>,
    pub safety: Safety,
}

fn between(random: &mut Pcg64, range: Range<f64>) -> f64 {
    random.random_range(range.0..=range.1)
}

fn span(random: &mut Pcg64, range: Range<Span>) -> Ns {
    random.random_range(range.0 .0..=range.1 .0)
}

fn share(random: &mut Pcg64, range: Range<Share>) -> f64 {
    random.random_range(range.0 .0..=range.1 .0)
}

impl Plan {
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let mut random = random(seed, 1);
        let fleet = &scenario.fleet;
        let endpoints = random.random_range(fleet.endpoints.0..=fleet.endpoints.1);
        let each = between(&mut random, fleet.endpoints_each);
        let count = ((endpoints as f64 / each).round() as usize).max(1);
        let full_load = fleet.full_load.unwrap_or_else(|| {
            // BENCH, [fam] rate.
            (0..count).map(|_| random.random_range(2.0..=4.0)).sum()
        });
        let partners = partners(scenario, &mut random, count, endpoints, full_load);
        let places = partners.iter().enumerate();
        let places =
            places.flat_map(|(partner, p)| (0..p.desks).map(move |desk| EndpointPlan { partner, desk }));
        let endpoints: Vec<EndpointPlan> = places.collect();
        let weights = weights(fleet.senders, scenario.clients.spread, &mut random);
        let busy: f64 = partners.iter().map(|p| p.full_rate * mean_work(scenario, p) / 1e9).sum();
        let safety = safety(&scenario.cold, seed);
        let settings = |w: &f64| settings(scenario, &mut random, &safety, *w, busy, full_load);
        let settings = weights.iter().map(settings).collect();
        let clients = &scenario.clients;
        let mut plan = Plan {
            seed,
            length: scenario.length.0,
            classes: scenario.classes.clone(),
            kinds: scenario.kinds.iter().map(|k| k.name.clone()).collect(),
            rate: full_load * fleet.load,
            clumps: share(&mut random, clients.clumps),
            clump: (clients.clump.0 .0, clients.clump.1 .0),
            again: clients.again.0,
            again_after: (clients.again_after.0 .0, clients.again_after.1 .0),
            delay: (scenario.network.delay.0 .0, scenario.network.delay.1 .0),
            lost: scenario.network.lost.0,
            reset: scenario.network.reset.0,
            lag: (scenario.discovery.lag.0 .0, scenario.discovery.lag.1 .0),
            happenings: Vec::new(),
            safety,
            partners,
            endpoints,
            weights,
            settings,
        };
        plan.happenings = scenario.troubles.iter().map(|t| plan.happening(t, &mut random)).collect();
        plan
    }

    fn happening(&self, trouble: &scenario::Trouble, random: &mut Pcg64) -> Happening {
        let at = trouble.at.0;
        let ends = trouble.lasts.map_or(self.length, |s| at + s.0);
        let (mut partners, mut senders, mut endpoints) = (Vec::new(), Vec::new(), Vec::new());
        match trouble.what {
            What::Down { part }
            | What::Silent { part }
            | What::Hung { part }
            | What::Failing { part, .. }
            | What::Shut { part }
            | What::Slow { part, .. }
            | What::Lowered { part, .. } => partners = self.struck(part.0, random),
            What::Cut { senders: s, endpoints: e } => {
                senders = some(self.weights.len(), s.0, random);
                endpoints = some(self.endpoints.len(), e.0, random);
            }
            What::HotSender { .. } => senders = vec![random.random_range(0..self.weights.len())],
            What::HotPartner { .. } => {
                partners = vec![random.random_range(0..self.partners.len().div_ceil(4))]
            }
            What::Kill { part, .. } | What::Upgrade { part } => {
                senders = some(self.weights.len(), part.0, random)
            }
            What::Roll { .. } => senders = some(self.weights.len(), 1.0, random),
            What::Replace { part } => endpoints = some(self.endpoints.len(), part.0, random),
            What::Burst { .. } => {}
        }
        Happening { at, ends, what: trouble.what.clone(), partners, senders, endpoints }
    }

    /// Partners with about this part of the traffic.
    fn struck(&self, part: f64, random: &mut Pcg64) -> Vec<usize> {
        let all: f64 = self.partners.iter().map(|p| p.full_rate).sum();
        let mut order: Vec<usize> = (0..self.partners.len()).collect();
        order.shuffle(random);
        let (mut chosen, mut sum) = (Vec::new(), 0.0);
        for partner in order {
            let own = self.partners[partner].full_rate / all;
            if sum < part * 0.8 && sum + own <= part * 1.3 {
                chosen.push(partner);
                sum += own;
            }
        }
        chosen
    }

    /// Whether messages of a class may go to a partner.
    pub fn goes(&self, class: usize, partner: usize) -> bool {
        let kind = &self.kinds[self.partners[partner].kind];
        self.classes[class].only.as_ref().is_none_or(|only| only == kind)
    }
}

fn some(count: usize, part: f64, random: &mut Pcg64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    all.shuffle(random);
    all.truncate((count as f64 * part).round() as usize);
    all
}

/// How partners come back; drawn apart, so that no other draw is shifted by it.
fn safety(cold: &scenario::Cold, seed: u64) -> Safety {
    let mut random = random(seed, 5);
    Safety {
        start: share(&mut random, cold.start),
        cold: span(&mut random, cold.lasts),
        fall_multiple: between(&mut random, cold.fall_multiple),
        overload_for: span(&mut random, cold.overload_for),
        falls: cold.falls,
    }
}

/// Parts of the traffic, log-normal: some see several times the mean.
fn weights(count: usize, spread: f64, random: &mut Pcg64) -> Vec<f64> {
    let drawn: Vec<f64> = match LogNormal::new(0.0, spread) {
        Ok(law) => (0..count).map(|_| law.sample(random)).collect(),
        Err(_) => vec![1.0; count],
    };
    let all: f64 = drawn.iter().sum();
    drawn.iter().map(|w| w / all).collect()
}

fn goes(class: &scenario::Class, scenario: &Scenario, kind: usize) -> bool {
    class.only.as_ref().is_none_or(|only| scenario.kinds[kind].name == *only)
}

/// Of a call there, over the classes that go there; in nanoseconds.
fn mean_work(scenario: &Scenario, partner: &PartnerPlan) -> f64 {
    let classes = scenario.classes.iter().filter(|c| goes(c, scenario, partner.kind));
    let (sum, of) = classes.fold((0.0, 0.0), |(sum, of), c| {
        (sum + c.share.0 * (c.work.0 .0 + c.work.1 .0) as f64 / 2.0, of + c.share.0)
    });
    sum / f64::max(of, 1e-9) * partner.pace
}

fn partners(
    scenario: &Scenario,
    random: &mut Pcg64,
    count: usize,
    endpoints: usize,
    full_load: f64,
) -> Vec<PartnerPlan> {
    let zipf = between(random, scenario.clients.zipf);
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-zipf)).collect();
    // The busiest are of the large kinds.
    let mut of_kind: Vec<usize> = scenario
        .kinds
        .iter()
        .enumerate()
        .flat_map(|(k, kind)| vec![k; ((kind.share.0 * count as f64).round() as usize).max(1)])
        .collect();
    of_kind.sort_by_key(|&k| !scenario.kinds[k].large);
    of_kind.resize(count, *of_kind.last().unwrap_or(&0));
    let full_rate = |partner: usize| -> f64 {
        let part = |class: &scenario::Class| {
            if !goes(class, scenario, of_kind[partner]) {
                return 0.0;
            }
            let all: f64 =
                (0..count).filter(|&p| goes(class, scenario, of_kind[p])).map(|p| weights[p]).sum();
            class.share.0 * weights[partner] / all
        };
        full_load * scenario.classes.iter().map(part).sum::<f64>()
    };
    // Busier ones have more endpoints, four at most.
    let mut desks = vec![1; count];
    let mut left = endpoints.saturating_sub(count);
    for round in 0..3 {
        for (partner, desks) in desks.iter_mut().enumerate() {
            let busy = partner < count.div_ceil(round + 2);
            if left > 0 && busy {
                *desks += 1;
                left -= 1;
            }
        }
    }
    let pace = LogNormal::<f64>::new(0.0, 0.4).expect("a law with these figures");
    (0..count)
        .map(|p| {
            let kind = &scenario.kinds[of_kind[p]];
            let rate = full_rate(p);
            let limit = (between(random, kind.headroom) * rate).max(between(random, kind.least));
            let allows = match kind.limit {
                Limit::Rate => Allows::Rate { per_s: limit },
                Limit::Count => Allows::Count { in_span: limit.round(), refused_count: kind.refused_count },
            };
            let mut plan = PartnerPlan {
                kind: of_kind[p],
                weight: weights[p],
                full_rate: rate,
                allows,
                tells: share(random, kind.tells),
                wait: (kind.wait.0 .0, kind.wait.1 .0),
                // BENCH, [[fam.kind]]: spare and depth_s.
                capacity: limit * random.random_range(1.15..=1.6),
                pace: pace.sample(random).clamp(0.4, 2.5),
                desks: desks[p],
                workers: 1,
                depth: 1,
                table: None,
                separate_routes: kind.separate_routes,
                reports: scenario.fleet.limits_told == LimitsTold::InAnswers,
            };
            let seconds = mean_work(scenario, &plan) / 1e9;
            plan.workers = ((plan.capacity * seconds / plan.desks as f64).ceil() as usize).max(1);
            let depth = random.random_range(0.3..=1.0) * plan.capacity / plan.desks as f64;
            plan.depth = (depth.ceil() as usize).max(1);
            plan.table = kind.connections.map(|times| {
                let own = between(random, times) * plan.workers as f64;
                own.max(between(random, kind.least_connections)) as usize
            });
            plan
        })
        .collect()
}

/// What a sender is told of itself. PROTOCOL and WIRE name the settings.
fn settings(
    scenario: &Scenario,
    random: &mut Pcg64,
    safety: &Safety,
    weight: f64,
    busy: f64,
    full_load: f64,
) -> Settings {
    let fleet = &scenario.fleet;
    let class = |c: &scenario::Class| api::Class {
        target: c.aim.0,
        target_stretch: 0.0,
        deadline: c.deadline.0,
        effect: c.effect(),
        scope: DedupScope::All,
        window: c.window.map_or(0, |w| w.0),
        worth: c.worth,
        late_worth: c.late_worth.0,
        in_order: false,
        max_attempts: 8,
    };
    let slots = (between(random, fleet.slots_room) * weight * busy).round() as usize;
    let holds = span(random, fleet.holds) as f64 / 1e9 * weight * full_load;
    Settings {
        classes: scenario.classes.iter().map(class).collect(),
        kinds: scenario
            .kinds
            .iter()
            .map(|k| api::Kind { batch: 1, separate_routes: k.separate_routes })
            .collect(),
        n_instances: fleet.stated.unwrap_or(fleet.senders),
        tick: 5 * MS,
        slots: slots.max(fleet.least_slots),
        max_open: (holds as usize).max(fleet.least_open),
        max_retry_after: 2 * SECOND,
        may_duplicate: true,
        may_cancel: true,
        streams_per_conn: 1,
        idle_close: 10 * SECOND,
        dial_timeout: SECOND,
        hints: fleet.limits_told == LimitsTold::InLists,
        start_capacity: safety.start,
        warm_up: safety.cold,
        overload_multiple: safety.fall_multiple,
        overload_window: safety.overload_for,
        ..Settings::default()
    }
}
