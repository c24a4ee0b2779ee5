//! The events of a day, in order: clients hand in, senders decide, calls meet partners, things happen.
use crate::account::{Account, Day};
use crate::partner::{Caller, Heard, Knows, Partner, State};
use crate::plan::{random, Happening, Plan};
use crate::referee::{Referee, Seen};
use crate::scenario::What;
use crate::{Decider, Maker, Truth};
use policy::api::*;
use rand::RngExt;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Where the senders' clock starts: attempts of earlier processes lie before it.
const START: Ns = 1_000 * SECOND;
/// PROTOCOL: the next start comes 0.6 s after SIGKILL; one that was told to end is killed no sooner than 3.7 s later.
const RESTART: Ns = 600 * MS;
const EXCUSED: Ns = 1_500 * MS;
const WIND_DOWN: Ns = 2_600 * MS;
/// A new connection costs the endpoint and its first request so much (PROTOCOL, as a TLS handshake would).
const HANDSHAKE: Ns = 20 * MS;
/// WIRE: a send beyond the slots comes back moot, a tick later.
const MOOT: Ns = 5 * MS;
/// A quick failure.
const QUICK: Ns = 5 * MS;
/// What a client whose sender is away waits before it tries again.
const AWAY: Ns = 400 * MS;

type CallId = usize;

enum Occurrence {
    /// The next message or clump of the day.
    Arrive,
    Clump,
    /// A client hands in: for the first time, or again.
    HandIn(MsgId),
    Wake {
        node: usize,
        life: u32,
    },
    /// A call's request is at its endpoint; its service is over; its answer is back.
    Reach(CallId),
    Done(CallId),
    Back {
        call: CallId,
        outcome: Outcome,
        wait: Ns,
    },
    /// A call that is given up if it is still out.
    GiveUp(CallId),
    /// An idle connection has stood long enough.
    IdleEnd {
        node: usize,
        endpoint: EndpointId,
        since: Ns,
    },
    Begin(usize),
    End(usize),
    Told {
        node: usize,
        endpoint: EndpointId,
        condition: Condition,
    },
    Terminate {
        node: usize,
    },
    Kill {
        node: usize,
        back: Ns,
    },
    Start {
        node: usize,
    },
    Second,
}

struct Queue {
    heap: BinaryHeap<Reverse<(Ns, u64, usize)>>,
    /// Events by place; places are used again.
    events: Vec<Option<Occurrence>>,
    free: Vec<usize>,
    next: u64,
}

impl Queue {
    fn push(&mut self, at: Ns, event: Occurrence) {
        let place = match self.free.pop() {
            Some(place) => {
                self.events[place] = Some(event);
                place
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.heap.push(Reverse((at, self.next, place)));
        self.next += 1;
    }

    fn pop(&mut self) -> Option<(Ns, Occurrence)> {
        let Reverse((at, _, place)) = self.heap.pop()?;
        self.free.push(place);
        Some((at, self.events[place].take()?))
    }
}

struct Attempt {
    call: CallId,
    endpoint: EndpointId,
    sent: Ns,
    out: bool,
    never_ran: bool,
}

struct Msg {
    /// Its first try, which all count for.
    first: usize,
    node: usize,
    class: usize,
    dest: DestId,
    born: Ns,
    end: Ns,
    work: Ns,
    attempts: Vec<Attempt>,
    taken: bool,
    over: bool,
    /// Of a first try: it was delivered, or some later try of it.
    delivered: bool,
    tries: u32,
}

struct Call {
    msg: MsgId,
    attempt: u32,
    node: usize,
    life: u32,
    endpoint: EndpointId,
    fresh: bool,
    /// The sender waits for it.
    out: bool,
    /// It has not met its partner yet.
    coming: bool,
    /// Its request was written, and it has a connection.
    written: bool,
    connected: bool,
    /// When its service began, and at which of its partner's lives.
    served_since: Ns,
    epoch: u32,
    /// What its sender knew of an outage there as it sent it.
    from: Caller,
    /// It met its partner while an outage lasted there.
    met_in_outage: bool,
    limit: Ns,
    by: Ns,
}

struct Node {
    decider: Option<Box<dyn Decider>>,
    life: u32,
    /// Takes new messages.
    takes: bool,
    /// Calls that it waits for.
    out: BTreeSet<CallId>,
    out_to: Vec<usize>,
    /// By endpoint: since when connections stand idle, the oldest first.
    idle: BTreeMap<EndpointId, Vec<Ns>>,
    conditions: Vec<Condition>,
    closed: Vec<Option<Ns>>,
    /// By route, until when it was told to wait there.
    wait_until: Vec<Ns>,
    /// By route, what it knows of the outage there, and how many failures it has heard since that began.
    knows: Vec<Knows>,
    heard: Vec<usize>,
    held: BTreeSet<MsgId>,
    /// PROTOCOL: no end is overdue from a restart until 1.5 s after the sender is ready again.
    excused: Ns,
}

struct View<'a> {
    partners: &'a [Partner<CallId>],
    coming: &'a [usize],
    first: &'a [EndpointId],
    now: Ns,
}

impl Truth for View<'_> {
    fn room(&self, dest: DestId) -> usize {
        let partner = dest as usize;
        self.partners[partner].room(self.now).saturating_sub(self.coming[partner])
    }

    fn best(&self, dest: DestId) -> EndpointId {
        self.first[dest as usize] + self.partners[dest as usize].emptiest() as EndpointId
    }
}

pub struct World<'a> {
    plan: &'a Plan,
    make: &'a Maker,
    now: Ns,
    queue: Queue,
    nodes: Vec<Node>,
    partners: Vec<Partner<CallId>>,
    /// By partner, when its last outage began and ended.
    outages: Vec<(Ns, Ns)>,
    messages: Vec<Msg>,
    calls: Vec<Call>,
    cut: Vec<(Vec<bool>, Vec<bool>)>,
    referee: Referee,
    account: Account,
    burst: f64,
    hot_sender: Option<(usize, f64)>,
    hot_partner: Option<(usize, f64)>,
    traffic: Pcg64,
    /// Of clients that were refused: what comes first is the same for every way to decide.
    habits: Pcg64,
    network: Pcg64,
    /// By partner: calls that are on their way there.
    coming: Vec<usize>,
    by_class: WeightedAliasIndex<f64>,
    by_node: WeightedAliasIndex<f64>,
    by_partner: Vec<WeightedAliasIndex<f64>>,
    /// By partner: its first endpoint.
    first: Vec<EndpointId>,
    actions: Vec<Action>,
    starts: u64,
}

fn alias(weights: impl Iterator<Item = f64>) -> WeightedAliasIndex<f64> {
    WeightedAliasIndex::new(weights.collect()).expect("some weight is positive")
}

/// Plays a whole day.
pub fn play(plan: &Plan, make: &Maker) -> Day {
    let mut world = World::new(plan, make);
    world.queue.push(0, Occurrence::Arrive);
    world.queue.push(0, Occurrence::Second);
    if plan.clumps > 0.0 {
        let first = world.clump_gap();
        world.queue.push(first, Occurrence::Clump);
    }
    for (i, happening) in plan.happenings.iter().enumerate() {
        world.queue.push(happening.at, Occurrence::Begin(i));
    }
    for node in 0..world.nodes.len() {
        world.start(node);
    }
    // Until the last message's time is up.
    let deadline = plan.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
    let end = plan.length + deadline + SECOND;
    while let Some((at, event)) = world.queue.pop().filter(|(at, _)| *at <= end) {
        world.now = at;
        world.on(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, make: &'a Maker) -> World<'a> {
        let (partners, endpoints) = (plan.partners.len(), plan.endpoints.len());
        let node = |_| Node {
            decider: None,
            life: 0,
            takes: false,
            out: BTreeSet::new(),
            out_to: vec![0; partners],
            idle: BTreeMap::new(),
            conditions: vec![Condition::Ready; endpoints],
            closed: vec![None; endpoints],
            wait_until: vec![Ns::MIN; endpoints],
            knows: vec![Knows::Nothing; endpoints],
            heard: vec![0; endpoints],
            held: BTreeSet::new(),
            excused: 0,
        };
        let of_class = |class: usize| {
            let weight = |p: usize| if plan.goes(class, p) { plan.partners[p].weight } else { 0.0 };
            alias((0..partners).map(weight))
        };
        World {
            plan,
            make,
            now: 0,
            queue: Queue { heap: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), next: 0 },
            nodes: (0..plan.weights.len()).map(node).collect(),
            partners: plan
                .partners
                .iter()
                .enumerate()
                .map(|(i, p)| Partner::new(p.clone(), plan.safety, random(plan.seed, 1_000 + i as u64)))
                .collect(),
            outages: vec![(Ns::MAX, Ns::MAX); partners],
            messages: Vec::new(),
            calls: Vec::new(),
            cut: Vec::new(),
            referee: Referee::default(),
            account: Account::new(plan),
            burst: 1.0,
            hot_sender: None,
            hot_partner: None,
            traffic: random(plan.seed, 2),
            habits: random(plan.seed, 4),
            coming: vec![0; partners],
            network: random(plan.seed, 3),
            by_class: alias(plan.classes.iter().map(|c| c.share.0)),
            by_node: alias(plan.weights.iter().copied()),
            by_partner: (0..plan.classes.len()).map(of_class).collect(),
            first: (0..partners)
                .map(|p| plan.endpoints.iter().position(|e| e.partner == p).unwrap_or(0) as EndpointId)
                .collect(),
            actions: Vec::new(),
            starts: 0,
        }
    }

    fn on(&mut self, event: Occurrence) {
        match event {
            Occurrence::Arrive => self.arrive(),
            Occurrence::Clump => self.clump(),
            Occurrence::HandIn(id) => self.hand_in(id),
            Occurrence::Wake { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].decider.is_some() {
                    self.tell(node, vec![Event::Timer]);
                }
            }
            Occurrence::Reach(call) => self.reach(call),
            Occurrence::Done(call) => self.done(call),
            Occurrence::Back { call, outcome, wait } => self.back(call, outcome, wait),
            Occurrence::GiveUp(call) => self.give_up(call, Outcome::NoAnswer),
            Occurrence::IdleEnd { node, endpoint, since } => self.idle_end(node, endpoint, since),
            Occurrence::Begin(i) => self.begin(i),
            Occurrence::End(i) => self.end(i),
            Occurrence::Told { node, endpoint, condition } => self.told(node, endpoint, condition),
            Occurrence::Terminate { node } => self.nodes[node].takes = false,
            Occurrence::Kill { node, back } => self.kill(node, back),
            Occurrence::Start { node } => self.start(node),
            Occurrence::Second => self.sample(),
        }
    }

    fn sample(&mut self) {
        let open: usize = self.partners.iter().map(Partner::connections).sum();
        let held: usize = self.nodes.iter().map(|n| n.held.len()).sum();
        let up = |p: &(usize, &Partner<CallId>)| matches!(p.1.state, State::Up | State::Failing(_));
        let limits = self.partners.iter().enumerate().filter(up).map(|(i, _)| self.plan.partners[i].limit());
        let allowed: f64 = limits.sum();
        let second = self.account.second(self.now);
        (second.open, second.held, second.allowed) = (open as u32, held as u32, allowed);
        if self.now < self.plan.length {
            self.queue.push(self.now + SECOND, Occurrence::Second);
        }
    }

    // Clients.

    fn rate(&self) -> f64 {
        self.plan.rate * self.burst
    }

    fn arrive(&mut self) {
        if self.now >= self.plan.length {
            return;
        }
        let single = self.rate() * (1.0 - self.plan.clumps);
        let gap: f64 = Exp1.sample(&mut self.traffic);
        self.queue.push(self.now + (gap / single * 1e9) as Ns + 1, Occurrence::Arrive);
        let class = self.by_class.sample(&mut self.traffic);
        let hot = self.hot_partner.filter(|(_, share)| self.traffic.random_bool(*share));
        let drawn = self.by_partner[class].sample(&mut self.traffic);
        let partner = hot.map(|(p, _)| p).filter(|&p| self.plan.goes(class, p)).unwrap_or(drawn);
        self.first_try(class, partner, self.now);
    }

    fn clump_gap(&mut self) -> Ns {
        let seconds = (self.plan.clump.0 + self.plan.clump.1) as f64 / 2e9;
        let weights: f64 = self.plan.partners.iter().map(|p| p.weight).sum();
        let size: f64 = self.plan.partners.iter().map(|p| p.weight / weights * p.limit() * seconds).sum();
        let gap: f64 = Exp1.sample(&mut self.traffic);
        (gap * size.max(1.0) / (self.rate() * self.plan.clumps) * 1e9) as Ns + 1
    }

    /// As many messages for one partner as it takes in some time, within a fifth of a second.
    fn clump(&mut self) {
        if self.now >= self.plan.length {
            return;
        }
        let gap = self.clump_gap();
        self.queue.push(self.now + gap, Occurrence::Clump);
        let class = self.by_class.sample(&mut self.traffic);
        let partner = self.by_partner[class].sample(&mut self.traffic);
        let (low, high) = self.plan.clump;
        let seconds = self.traffic.random_range(low..=high) as f64 / 1e9;
        for _ in 0..((self.plan.partners[partner].limit() * seconds) as usize).max(1) {
            let at = self.now + self.traffic.random_range(0..200 * MS);
            self.first_try(class, partner, at);
        }
    }

    fn first_try(&mut self, class: usize, partner: usize, at: Ns) {
        if at >= self.plan.length {
            return;
        }
        let spec = &self.plan.classes[class];
        let hot = self.hot_sender.filter(|(_, share)| self.traffic.random_bool(*share));
        let drawn = self.by_node.sample(&mut self.traffic);
        let node = hot.map_or(drawn, |(node, _)| node);
        let work = self.traffic.random_range(spec.work.0 .0..=spec.work.1 .0);
        let first = self.messages.len();
        self.account.offered(class, at, spec.worth);
        self.account.asked += work as f64;
        self.messages.push(Msg {
            first,
            node,
            class,
            dest: partner as DestId,
            born: at,
            end: at + spec.deadline.0,
            work,
            attempts: Vec::new(),
            taken: false,
            over: false,
            delivered: false,
            tries: 1,
        });
        self.queue.push(at, Occurrence::HandIn(first as MsgId));
    }

    fn hand_in(&mut self, id: MsgId) {
        let msg = &self.messages[id as usize];
        let (node, left) = (msg.node, msg.end - self.now);
        if !self.nodes[node].takes {
            // Its sender is away: it is handed in once that is back.
            if left > AWAY {
                self.queue.push(self.now + AWAY, Occurrence::HandIn(id));
            }
            return;
        }
        let full = self.nodes[node].held.len() >= self.plan.settings[node].max_open;
        if full {
            self.account.refused(msg.class, self.now);
            self.messages[id as usize].over = true;
            return self.again(id, 0);
        }
        let message = self.message(id, left);
        self.messages[id as usize].taken = true;
        self.nodes[node].held.insert(id);
        self.tell(node, vec![Event::Message(message)]);
    }

    fn message(&self, id: MsgId, time_left: Ns) -> Message {
        let msg = &self.messages[id as usize];
        Message { id, class: msg.class, dest: msg.dest, time_left, cost: 0, key: None, tenant: 0 }
    }

    /// A client that was refused may come again, once.
    fn again(&mut self, id: MsgId, told: Ns) {
        let msg = &self.messages[id as usize];
        let (low, high) = self.plan.again_after;
        let comes = msg.tries == 1 && self.habits.random_bool(self.plan.again);
        let at = self.now + told.max(self.habits.random_range(low..=high));
        if !comes || at >= msg.end {
            return;
        }
        let (first, node, class, dest) = (msg.first, msg.node, msg.class, msg.dest);
        let (born, end, work, tries) = (msg.born, msg.end, msg.work, msg.tries + 1);
        let attempts = Vec::new();
        let (taken, over, delivered) = (false, false, false);
        let next = Msg { first, node, class, dest, born, end, work, attempts, taken, over, delivered, tries };
        self.messages.push(next);
        self.queue.push(at, Occurrence::HandIn((self.messages.len() - 1) as MsgId));
    }

    // Senders.

    fn tell(&mut self, node: usize, events: Vec<Event>) {
        let Some(mut decider) = self.nodes[node].decider.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        self.account.events += events.len() as u64;
        let view = View { partners: &self.partners, coming: &self.coming, first: &self.first, now: self.now };
        decider.handle(START + self.now, &events, &view, &mut actions);
        self.nodes[node].decider = Some(decider);
        self.account.actions += actions.len() as u64;
        for action in actions.drain(..) {
            self.act(node, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout, send_by } => {
                self.send(node, id, endpoint, timeout, send_by - START)
            }
            Action::Refuse { id, backoff, .. } => self.ends(node, id, action, Some(backoff)),
            Action::Fail { id, .. } => self.ends(node, id, action, None),
            Action::Cancel { id, attempt } => {
                if let Some(call) = self.messages[id as usize].attempts.get(attempt as usize).map(|a| a.call)
                {
                    self.give_up(call, Outcome::CalledOff);
                }
            }
            Action::Close { endpoint } => {
                let closed = self.nodes[node].idle.remove(&endpoint).unwrap_or_default().len();
                (0..closed).for_each(|_| self.disconnect(endpoint));
            }
            Action::Timer { at } => {
                let life = self.nodes[node].life;
                self.queue.push((at - START).max(self.now), Occurrence::Wake { node, life });
            }
        }
    }

    fn disconnect(&mut self, endpoint: EndpointId) {
        let place = self.plan.endpoints[endpoint as usize];
        self.partners[place.partner].disconnect(place.desk);
    }

    /// A message is refused (with when to come again) or has failed.
    fn ends(&mut self, node: usize, id: MsgId, action: Action, backoff: Option<Ns>) {
        let msg = &self.messages[id as usize];
        let may_have_run = msg.attempts.iter().any(|a| a.out || !a.never_ran);
        let class = &self.plan.classes[msg.class];
        let (effect, over) = (class.repeat.effect(), msg.over);
        self.referee.end(id, self.now, &action, over, effect, may_have_run);
        if self.now > self.nodes[node].excused {
            self.referee.left(id, msg.end, self.now);
        }
        let (class, is_late) = (msg.class, self.now - msg.born > class.aim.0);
        if over {
            return;
        }
        self.messages[id as usize].over = true;
        self.nodes[node].held.remove(&id);
        match backoff {
            Some(backoff) => {
                self.account.refused(class, self.now);
                self.again(id, backoff);
            }
            None => self.account.failed(class, is_late),
        }
    }

    // Calls.

    fn delay(&mut self) -> Ns {
        let (low, high) = self.plan.delay;
        self.network.random_range(low..=high)
    }

    fn is_cut(&self, node: usize, endpoint: EndpointId) -> bool {
        self.cut.iter().any(|(nodes, endpoints)| nodes[node] && endpoints[endpoint as usize])
    }

    fn send(&mut self, node: usize, id: MsgId, endpoint: EndpointId, limit: Ns, by: Ns) {
        let place = self.plan.endpoints[endpoint as usize];
        let life = self.nodes[node].life;
        let attempt = self.messages[id as usize].attempts.len() as u32;
        let (route, at) = (self.route(endpoint), &self.nodes[node]);
        let from = Caller { knows: at.knows[route], heard: at.heard[route], held: false };
        self.judge(node, id, endpoint);
        let is_new =
            Attempt { call: self.calls.len(), endpoint, sent: self.now, out: true, never_ran: false };
        self.messages[id as usize].attempts.push(is_new);
        let call = self.calls.len();
        let (msg, sent) = (id, self.now);
        let mut new = Call {
            msg,
            attempt,
            node,
            life,
            endpoint,
            fresh: false,
            out: true,
            coming: true,
            written: false,
            connected: false,
            served_since: sent,
            epoch: 0,
            from,
            met_in_outage: false,
            limit,
            by,
        };
        let slots = self.plan.settings[node].slots;
        self.nodes[node].out.insert(call);
        self.nodes[node].out_to[place.partner] += 1;
        self.coming[place.partner] += 1;
        if self.nodes[node].out.len() > slots {
            self.calls.push(new);
            return self
                .queue
                .push(self.now + MOOT, Occurrence::Back { call, outcome: Outcome::NotSent, wait: 0 });
        }
        // PROTOCOL: a connection that has stood idle too long is closed; this side closes it before.
        let kept = self.nodes[node].idle.get_mut(&endpoint).and_then(Vec::pop);
        if kept.is_some() {
            new.connected = true;
            self.calls.push(new);
            return self.write(call);
        }
        new.fresh = true;
        self.calls.push(new);
        let trip = 2 * self.delay();
        let partner = &self.partners[place.partner];
        // What hangs can't answer that it has no place left: the connection never comes up (WIRE, no_connection).
        let hung = partner.state == State::Hung && !partner.has_room(place.desk);
        let silent = matches!(partner.state, State::Silent | State::Fallen);
        if hung || silent || self.is_cut(node, endpoint) {
            let dial = self.plan.settings[node].dial_timeout;
            // Its message's time may be up before that.
            self.bound(call);
            return self
                .queue
                .push(self.now + dial, Occurrence::Back { call, outcome: Outcome::NoConnection, wait: 0 });
        }
        if self.partners[place.partner].state == State::Down {
            return self
                .queue
                .push(self.now + trip, Occurrence::Back { call, outcome: Outcome::NoConnection, wait: 0 });
        }
        self.account.connections += 1;
        self.account.second(self.now).opened += 1;
        if !self.partners[place.partner].connect(place.desk) {
            // It lives, but holds all the connections that it takes.
            return self
                .queue
                .push(self.now + trip, Occurrence::Back { call, outcome: Outcome::Crowded, wait: 0 });
        }
        self.calls[call].connected = true;
        self.account.spent.connecting += (trip + HANDSHAKE) as f64 / 1e9;
        let at = self.now + trip + HANDSHAKE;
        self.queue.push(at, Occurrence::Reach(call));
        self.bound(call);
    }

    /// An endpoint's route: the first endpoint of those that share one limit.
    fn route(&self, endpoint: EndpointId) -> usize {
        let place = self.plan.endpoints[endpoint as usize];
        self.first[place.partner] as usize + self.plan.partners[place.partner].route(place.desk)
    }

    fn judge(&mut self, node: usize, id: MsgId, endpoint: EndpointId) {
        let msg = &self.messages[id as usize];
        let place = self.plan.endpoints[endpoint as usize];
        let settings = &self.plan.settings[node];
        let at = &self.nodes[node];
        let seen = Seen {
            at: self.now,
            dest: msg.dest,
            endpoint,
            cell: place.partner as DestId,
            effect: self.plan.classes[msg.class].repeat.effect(),
            attempts: msg.attempts.len() as u32,
            may_have_run: msg.attempts.iter().any(|a| a.out || !a.never_ran),
            most_attempts: settings.classes[msg.class].max_attempts,
            closed: at.closed[endpoint as usize],
            wait_until: at.wait_until[self.route(endpoint)],
            in_flight: at.out_to[place.partner] + 1,
            slots: settings.slots,
        };
        self.referee.send(id, &seen);
    }

    fn write(&mut self, call: CallId) {
        let at = self.now + self.delay();
        self.queue.push(at, Occurrence::Reach(call));
        self.bound(call);
    }

    /// When a call is given up: its limit, or its message's time.
    fn bound(&mut self, call: CallId) {
        let c = &self.calls[call];
        let end = self.messages[c.msg as usize].end;
        let until = if c.limit > 0 { (self.now + c.limit).min(end) } else { end };
        self.queue.push(until.max(self.now + 1), Occurrence::GiveUp(call));
    }

    fn arrived(&mut self, call: CallId) {
        if std::mem::take(&mut self.calls[call].coming) {
            self.coming[self.plan.endpoints[self.calls[call].endpoint as usize].partner] -= 1;
        }
    }

    /// The request is at its endpoint.
    fn reach(&mut self, call: CallId) {
        self.arrived(call);
        let c = &self.calls[call];
        let (node, endpoint) = (c.node, c.endpoint);
        if !c.out {
            return;
        }
        let closed = self.nodes[node].closed[endpoint as usize].is_some();
        let waits = self.nodes[node].wait_until[self.route(endpoint)] > self.now;
        // What the sender has heard since it began to connect: the call is not written.
        if c.fresh && (closed || waits || self.now > c.by) {
            self.rest(call);
            return self.back(call, Outcome::NotSent, 0);
        }
        self.calls[call].written = true;
        self.account.calls += 1;
        self.account.second(self.now).calls += 1;
        if !self.is_cut(node, endpoint) {
            self.meet(call);
        }
    }

    /// The request meets its partner, whoever still waits for it.
    fn meet(&mut self, call: CallId) {
        let c = &self.calls[call];
        let (endpoint, msg, from) = (c.endpoint, c.msg as usize, c.from);
        let place = self.plan.endpoints[endpoint as usize];
        let reset = self.plan.reset > 0.0 && self.network.random_bool(self.plan.reset);
        let work = self.messages[msg].work;
        let partner = &mut self.partners[place.partner];
        let (was, had) = (partner.state, partner.pushed_over);
        self.calls[call].met_in_outage = !matches!(was, State::Up | State::Fallen);
        let heard = partner.offer(self.now, place.desk, call, work, from);
        if partner.pushed_over && !had {
            self.referee.pushed_over(place.partner as DestId, self.now);
        }
        let trip = self.delay();
        match heard {
            Heard::Serves(takes) => {
                self.serves(call);
                self.queue.push(self.now + takes, Occurrence::Done(call));
            }
            // Nobody is there any more.
            Heard::Silence if was == State::Down => {
                let at = self.now + trip;
                self.queue.push(at, Occurrence::Back { call, outcome: Outcome::ConnectionLost, wait: 0 });
            }
            Heard::Queued | Heard::Silence => {}
            Heard::Fails => {
                let at = self.now + QUICK + trip;
                self.queue.push(at, Occurrence::Back { call, outcome: Outcome::ServerError, wait: 0 });
            }
            Heard::Refused(wait) => {
                self.account.calls_refused += 1;
                self.account.second(self.now).calls_refused += 1;
                let wait = wait.unwrap_or(0);
                let at = self.now + trip;
                self.queue.push(at, Occurrence::Back { call, outcome: Outcome::TurnedAway, wait });
            }
        }
        if reset && matches!(heard, Heard::Serves(_) | Heard::Queued) {
            self.queue
                .push(self.now + trip, Occurrence::Back { call, outcome: Outcome::ConnectionLost, wait: 0 });
        }
    }

    fn serves(&mut self, call: CallId) {
        let partner = self.plan.endpoints[self.calls[call].endpoint as usize].partner;
        self.calls[call].served_since = self.now;
        self.calls[call].epoch = self.partners[partner].epoch;
    }

    /// A partner has done its work, whoever still waits for it.
    fn done(&mut self, call: CallId) {
        let (endpoint, since) = (self.calls[call].endpoint, self.calls[call].served_since);
        let place = self.plan.endpoints[endpoint as usize];
        if self.calls[call].epoch != self.partners[place.partner].epoch {
            return;
        }
        if let Some(turn) = self.partners[place.partner].next(place.desk) {
            self.serves(turn.call);
            self.queue.push(self.now + turn.takes, Occurrence::Done(turn.call));
        }
        let took = (self.now - since) as f64;
        let c = &self.calls[call];
        let (node, msg) = (c.node, c.msg as usize);
        let is_wanted = c.out && !self.messages[msg].over;
        let is_lost = self.plan.lost > 0.0 && self.network.random_bool(self.plan.lost);
        if !is_wanted || is_lost || self.is_cut(node, endpoint) {
            self.account.wasted += took;
            return;
        }
        self.account.spent.at_partners += took / 1e9;
        let at = self.now + self.delay();
        self.queue.push(at, Occurrence::Back { call, outcome: Outcome::Served, wait: 0 });
    }

    /// A call's connection is at rest, and kept.
    fn rest(&mut self, call: CallId) {
        let c = &mut self.calls[call];
        if !std::mem::take(&mut c.connected) {
            return;
        }
        let (node, endpoint) = (c.node, c.endpoint);
        let life = c.life;
        let gone = self.nodes[node].life != life || self.nodes[node].closed[endpoint as usize].is_some();
        if gone {
            return self.disconnect(endpoint);
        }
        self.nodes[node].idle.entry(endpoint).or_default().push(self.now);
        let stands = self.plan.settings[node].idle_close * 9 / 10;
        self.queue.push(self.now + stands, Occurrence::IdleEnd { node, endpoint, since: self.now });
    }

    fn idle_end(&mut self, node: usize, endpoint: EndpointId, since: Ns) {
        let Some(idle) = self.nodes[node].idle.get_mut(&endpoint) else { return };
        if let Ok(at) = idle.binary_search(&since) {
            idle.remove(at);
            self.disconnect(endpoint);
        }
    }

    fn give_up(&mut self, call: CallId, outcome: Outcome) {
        let c = &mut self.calls[call];
        if !c.out {
            return;
        }
        let written = c.written;
        // Its connection is closed with it.
        if std::mem::take(&mut c.connected) {
            let endpoint = c.endpoint;
            self.disconnect(endpoint);
        }
        let outcome = if written || outcome == Outcome::NoAnswer { outcome } else { Outcome::NotSent };
        let outcome = if !written && outcome == Outcome::NoAnswer { Outcome::NoConnection } else { outcome };
        self.back(call, outcome, 0);
    }

    /// The sender hears how an attempt ended.
    fn back(&mut self, call: CallId, outcome: Outcome, wait: Ns) {
        self.arrived(call);
        let c = &mut self.calls[call];
        if !std::mem::replace(&mut c.out, false) {
            return;
        }
        let (node, life, endpoint, id, attempt) = (c.node, c.life, c.endpoint, c.msg, c.attempt);
        let place = self.plan.endpoints[endpoint as usize];
        if matches!(outcome, Outcome::Served | Outcome::TurnedAway | Outcome::ServerError) {
            self.rest(call);
        } else if std::mem::take(&mut self.calls[call].connected) {
            self.disconnect(endpoint);
        }
        if self.nodes[node].life != life {
            return;
        }
        self.nodes[node].out.remove(&call);
        self.nodes[node].out_to[place.partner] -= 1;
        let sent = self.messages[id as usize].attempts[attempt as usize].sent;
        let at = &mut self.messages[id as usize].attempts[attempt as usize];
        (at.out, at.never_ran) = (false, outcome.never_ran());
        let failed = !matches!(outcome, Outcome::Served | Outcome::CalledOff | Outcome::NotSent);
        // WIRE, rule 4: told is who has learned of a call that failed or was refused there while the outage lasted;
        // what is answered fails as it is met, all else as it is heard.
        let (from, to) = self.outages[place.partner];
        let answered = matches!(outcome, Outcome::TurnedAway | Outcome::ServerError);
        let lasted = if answered { self.calls[call].met_in_outage } else { self.now <= to };
        let route = self.route(endpoint);
        if failed && lasted && self.now > from {
            self.nodes[node].knows[route] = Knows::Told;
            self.nodes[node].heard[route] += 1;
        }
        if wait > 0 {
            let until = &mut self.nodes[node].wait_until[route];
            *until = (*until).max(self.now + wait);
        }
        let over = self.messages[id as usize].over;
        if outcome == Outcome::Served && !over {
            self.delivered(node, id, sent);
        }
        let done = outcome == Outcome::Served || over;
        let took = self.now - sent;
        let tells = matches!(outcome, Outcome::Served | Outcome::TurnedAway);
        let report = self.partners[place.partner].report(self.now, place.desk).filter(|_| tells);
        let end =
            AttemptEnd { id, attempt, endpoint, outcome, took, done, wait, report, reused_connection: false };
        self.tell(node, vec![Event::AttemptEnd(end)]);
    }

    fn delivered(&mut self, node: usize, id: MsgId, sent: Ns) {
        let now = self.now;
        let msg = &mut self.messages[id as usize];
        msg.over = true;
        let (first, class, born, end) = (msg.first, msg.class, msg.born, msg.end);
        self.account.spent.held += (sent - born) as f64 / 1e9;
        self.nodes[node].held.remove(&id);
        if std::mem::replace(&mut self.messages[first].delivered, true) {
            return;
        }
        let settings = &self.plan.settings[node].classes[class];
        let worth = settings.worth_with_time_left(end - now, 0, false);
        self.account.delivered(class, born, now, worth, now - born <= settings.target);
    }

    // What happens.

    fn begin(&mut self, i: usize) {
        let happening = self.plan.happenings[i].clone();
        self.queue.push(happening.ends, Occurrence::End(i));
        let strike = |state: State, world: &mut World<'a>| {
            for &p in &happening.partners {
                // Their senders hear of it as of all other calls there.
                let _ = world.partners[p].strike(state);
                world.outages[p] = (world.now, Ns::MAX);
                for (place, _) in world.plan.endpoints.iter().enumerate().filter(|(_, e)| e.partner == p) {
                    world
                        .nodes
                        .iter_mut()
                        .for_each(|n| (n.knows[place], n.heard[place]) = (Knows::Nothing, 0));
                }
                world.forget(p, state);
            }
        };
        match happening.what {
            What::Down { .. } => strike(State::Down, self),
            What::Silent { .. } => strike(State::Silent, self),
            What::Hung { .. } => strike(State::Hung, self),
            What::Failing { fails, .. } => strike(State::Failing(fails.0), self),
            What::Shut { .. } => strike(State::Shut(happening.ends), self),
            What::Slow { times, .. } => {
                happening.partners.iter().for_each(|&p| self.partners[p].slow_down(times))
            }
            What::Lowered { to, .. } => happening.partners.iter().for_each(|&p| self.partners[p].lower(to)),
            What::Burst { times } => self.burst = times,
            What::HotSender { share } => self.hot_sender = happening.senders.first().map(|&n| (n, share.0)),
            What::HotPartner { share } => {
                self.hot_partner = happening.partners.first().map(|&p| (p, share.0))
            }
            What::Cut { .. } => {
                let mut of = (vec![false; self.nodes.len()], vec![false; self.plan.endpoints.len()]);
                happening.senders.iter().for_each(|&n| of.0[n] = true);
                happening.endpoints.iter().for_each(|&e| of.1[e] = true);
                self.cut.push(of);
            }
            What::Kill { back, .. } => {
                for &node in &happening.senders {
                    let back = self.network.random_range(back.0 .0..=back.1 .0);
                    self.kill(node, back);
                }
            }
            What::Upgrade { .. } => happening.senders.iter().for_each(|&node| self.upgrade(node)),
            What::Roll { groups } => self.roll(&happening, groups),
            What::Replace { .. } => {
                for &endpoint in &happening.endpoints {
                    self.announce(endpoint as EndpointId, Condition::Draining);
                }
            }
        }
    }

    fn end(&mut self, i: usize) {
        let happening = self.plan.happenings[i].clone();
        match happening.what {
            What::Down { .. }
            | What::Silent { .. }
            | What::Hung { .. }
            | What::Failing { .. }
            | What::Shut { .. } => {
                for &p in &happening.partners {
                    self.outages[p].1 = self.now;
                    self.partners[p].come_back(self.now);
                    for call in self.partners[p].take_hung() {
                        self.calls[call].from.held = true;
                        self.meet(call);
                    }
                }
            }
            What::Slow { .. } => happening.partners.iter().for_each(|&p| self.partners[p].slow_down(1.0)),
            What::Lowered { .. } => happening.partners.iter().for_each(|&p| self.partners[p].lower(1.0)),
            What::Burst { .. } => self.burst = 1.0,
            What::HotSender { .. } => self.hot_sender = None,
            What::HotPartner { .. } => self.hot_partner = None,
            What::Cut { .. } => {
                self.cut.pop();
            }
            What::Kill { .. } | What::Upgrade { .. } | What::Roll { .. } => {}
            What::Replace { .. } => {
                for &endpoint in &happening.endpoints {
                    self.announce(endpoint as EndpointId, Condition::Ready);
                }
            }
        }
    }

    /// An outage takes a partner's connections with it; who had calls there hears that they broke, or nothing.
    fn forget(&mut self, partner: usize, state: State) {
        let silent = matches!(state, State::Silent | State::Fallen);
        if !matches!(state, State::Down) && !silent {
            return;
        }
        let ours = |e: &EndpointId| self.plan.endpoints[*e as usize].partner == partner;
        for node in &mut self.nodes {
            node.idle.retain(|e, _| !ours(e));
        }
        let hit = |c: &Call| c.out && c.written && ours(&c.endpoint);
        let all = self.nodes.iter().flat_map(|n| n.out.iter().copied());
        let broken: Vec<CallId> = all.filter(|&c| hit(&self.calls[c])).collect();
        for call in broken {
            self.calls[call].connected = false;
            if !silent {
                let at = self.now + MS;
                self.queue.push(at, Occurrence::Back { call, outcome: Outcome::ConnectionLost, wait: 0 });
            }
        }
    }

    /// Every sender is told of a change, each at a moment of its own.
    fn announce(&mut self, endpoint: EndpointId, condition: Condition) {
        let (low, high) = self.plan.lag;
        for node in 0..self.nodes.len() {
            let at = self.now + self.network.random_range(low..=high);
            self.queue.push(at, Occurrence::Told { node, endpoint, condition });
        }
    }

    fn told(&mut self, node: usize, endpoint: EndpointId, condition: Condition) {
        let place = endpoint as usize;
        self.nodes[node].conditions[place] = condition;
        let closed = condition != Condition::Ready;
        self.nodes[node].closed[place] = closed.then_some(self.now);
        let entry = self.entry(node, place);
        self.tell(node, vec![Event::List { complete: false, entries: vec![entry] }]);
    }

    fn entry(&self, node: usize, place: usize) -> Entry {
        let partner = self.plan.endpoints[place].partner;
        let spec = &self.plan.partners[partner];
        // BRIEF: the list gives the rate that each partner takes from all senders together.
        Entry {
            endpoint: place as EndpointId,
            dest: partner as DestId,
            kind: spec.kind,
            zone: 0,
            condition: self.nodes[node].conditions[place],
            hint: spec.limit() / spec.routes() as f64,
        }
    }

    /// One group after the other, in the time that is given; every second sender without a warning.
    fn roll(&mut self, happening: &Happening, groups: usize) {
        let span = happening.ends - happening.at;
        for (i, &node) in happening.senders.iter().enumerate() {
            let group = i * groups / happening.senders.len();
            let at = happening.at + span * group as Ns / groups as Ns;
            if i % 2 == 0 {
                self.queue.push(at, Occurrence::Terminate { node });
                self.queue.push(at + WIND_DOWN, Occurrence::Kill { node, back: RESTART });
            } else {
                self.queue.push(at, Occurrence::Kill { node, back: RESTART });
            }
        }
    }

    fn kill(&mut self, node: usize, back: Ns) {
        let at = &mut self.nodes[node];
        if at.decider.take().is_none() {
            return;
        }
        at.takes = false;
        at.life += 1;
        at.knows.iter_mut().filter(|k| **k == Knows::Told).for_each(|k| *k = Knows::Once);
        at.heard.iter_mut().for_each(|heard| *heard = 0);
        let out = std::mem::take(&mut at.out);
        at.out_to.iter_mut().for_each(|n| *n = 0);
        let idle = std::mem::take(&mut at.idle);
        for (endpoint, connections) in idle {
            connections.iter().for_each(|_| self.disconnect(endpoint));
        }
        // Its connections are reset; what it had out may have run.
        for call in out {
            self.arrived(call);
            self.calls[call].out = false;
            if std::mem::take(&mut self.calls[call].connected) {
                let endpoint = self.calls[call].endpoint;
                self.disconnect(endpoint);
            }
        }
        self.queue.push(self.now + back, Occurrence::Start { node });
    }

    /// A new process takes over at once and is told what the old one knew; what that had out is lost with it.
    fn upgrade(&mut self, node: usize) {
        let Some(old) = &self.nodes[node].decider else { return };
        let route_states = old.route_states(START + self.now);
        let (knows, heard) = (self.nodes[node].knows.clone(), self.nodes[node].heard.clone());
        self.kill(node, 0);
        (self.nodes[node].knows, self.nodes[node].heard) = (knows, heard);
        self.start_with(node, route_states);
    }

    /// A process starts, with the list and with what the one before had taken on.
    fn start(&mut self, node: usize) {
        // One that was told to take over is there already.
        if self.nodes[node].decider.is_none() {
            self.start_with(node, Vec::new());
        }
    }

    fn start_with(&mut self, node: usize, route_states: Vec<RouteState>) {
        self.starts += 1;
        let seed = self.plan.seed ^ self.starts.wrapping_mul(0xd134_2543_de82_ef95);
        let decider = (self.make)(&self.plan.settings[node], seed);
        let at = &mut self.nodes[node];
        at.decider = Some(decider);
        at.takes = true;
        at.excused = self.now + EXCUSED;
        // PROTOCOL: a restart ends the wait.
        at.wait_until.iter_mut().for_each(|w| *w = Ns::MIN);
        let entries = (0..self.plan.endpoints.len()).map(|place| self.entry(node, place)).collect();
        let mut events = vec![Event::List { complete: true, entries }];
        if !route_states.is_empty() {
            events.push(Event::RestoredRoutes(route_states));
        }
        let held: Vec<MsgId> = self.nodes[node].held.iter().copied().collect();
        for id in held {
            let msg = &mut self.messages[id as usize];
            msg.attempts.iter_mut().for_each(|a| a.out = false);
            let past = msg.attempts.iter().map(|a| PastAttempt {
                endpoint: Some(a.endpoint),
                sent: START + a.sent,
                may_have_run: !a.never_ran,
            });
            let past = past.collect();
            let left = (msg.end - self.now).max(0);
            events.push(Event::Resumed { message: self.message(id, left), past });
        }
        self.tell(node, events);
    }

    fn finish(mut self) -> Day {
        let end = self.now.max(self.plan.length);
        for (id, msg) in self.messages.iter().enumerate() {
            if msg.taken && !msg.over {
                self.referee.left(id as u64, msg.end, end);
            }
        }
        let mut day = self.account.close(&self.referee.counts, &self.referee.first);
        let routes = self
            .partners
            .iter()
            .enumerate()
            .flat_map(|(p, partner)| partner.returns().flatten().map(move |seen| (p as DestId, *seen)));
        day.returns = routes.collect();
        day
    }
}
