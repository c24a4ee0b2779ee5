//! What a backup keeps, what a lease rests on, and what a member waits for before it goes.
use control::{
    Command, DurableState, Group, GroupSettings, LeaveStep, Member, Message, Ms, Outgoing, Position,
    Rejected, State, Storage, View,
};
use rstest::rstest;
use settings::{Location, Tolerance};
use std::net::{IpAddr, Ipv4Addr};

#[derive(Default)]
struct Memory;

impl Storage for Memory {
    fn save(&mut self, _: &DurableState) {}
}

fn ip(i: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, i))
}

fn member(i: u8) -> Member {
    Member { disk: u64::from(i), name: format!("m{i}"), ip: ip(i), location: Location::default() }
}

fn machine(i: u8, founder: bool) -> Group<Memory> {
    let founders = (1..=3).map(ip).collect();
    let settings = GroupSettings { me: member(i), founders, founder, tolerance: Tolerance::of_machines(1) };
    let durable = DurableState { disk: u64::from(i), ..DurableState::default() };
    Group::new(settings, durable, Memory, 1)
}

fn state(epoch: u64, number: u64) -> State {
    State { position: Position { epoch, number }, version: number, ..State::default() }
}

/// A state that was sent again over a new connection arrives after a newer one that was acknowledged: the backup went
/// back to it, and could lead with it next.
#[rstest]
#[case::older_of_the_same_epoch((64, 6), (64, 5), (64, 6))]
#[case::newer_of_the_same_epoch((64, 6), (64, 7), (64, 7))]
#[case::the_same_twice((64, 6), (64, 6), (64, 6))]
#[case::a_new_epoch_without_a_change_that_was_not_acknowledged((64, 6), (128, 5), (128, 5))]
fn a_backup_never_goes_back_to_an_older_state(
    #[case] first: (u64, u64),
    #[case] second: (u64, u64),
    #[case] kept: (u64, u64),
) {
    let mut backup = machine(2, false);
    for (epoch, number) in [first, second] {
        let (reply, _) = backup.handle(ip(1), Message::Replicate(epoch, state(epoch, number)), 10);
        assert!(reply.accepted, "what it holds includes what it was asked to hold");
    }
    assert_eq!(backup.durable().state, state(kept.0, kept.1));
}

#[test]
fn a_state_of_an_epoch_that_is_over_is_refused() {
    let mut backup = machine(2, false);
    backup.handle(ip(1), Message::Replicate(128, state(128, 3)), 10);
    let (reply, _) = backup.handle(ip(3), Message::Replicate(64, state(64, 9)), 20);
    assert!(!reply.accepted);
    assert_eq!(backup.durable().state, state(128, 3));
}

/// Three machines in memory: messages arrive at once, but for those to machines that are cut off.
struct Trio {
    machines: Vec<Group<Memory>>,
    now: Ms,
    cut: Vec<u8>,
}

impl Trio {
    fn new(count: u8) -> Trio {
        let machines = (1..=count).map(|i| machine(i, i <= 3)).collect();
        Trio { machines, now: 1, cut: Vec::new() }
    }

    fn deliver(&mut self, from: u8, out: Vec<Outgoing>) {
        let mut queue: Vec<(u8, Outgoing)> = out.into_iter().map(|out| (from, out)).collect();
        while let Some((from, Outgoing { to, message })) = queue.pop() {
            let to = (1..=self.machines.len() as u8).find(|i| ip(*i) == to).unwrap();
            if self.cut.contains(&from) || self.cut.contains(&to) {
                continue;
            }
            let (reply, out) = self.machines[to as usize - 1].handle(ip(from), message.clone(), self.now);
            queue.extend(out.into_iter().map(|out| (to, out)));
            let out = self.machines[from as usize - 1].handle_reply(&message, self.now, reply, self.now);
            queue.extend(out.into_iter().map(|out| (from, out)));
        }
    }

    fn pass(&mut self, span: Ms) {
        for _ in 0..span / 10 {
            self.now += 10;
            for i in 1..=self.machines.len() as u8 {
                if !self.cut.contains(&i) {
                    let out = self.machines[i as usize - 1].tick(self.now);
                    self.deliver(i, out);
                }
            }
        }
    }

    fn machine(&mut self, i: u8) -> &mut Group<Memory> {
        &mut self.machines[i as usize - 1]
    }

    /// Sends an order to a machine; whether it is in force, or why it is refused.
    fn order(&mut self, i: u8, base: u64, version: u64) -> Result<bool, Rejected> {
        let body = format!(r#"{{"Version":{version},"Routes":[],"Backends":[]}}"#).into_bytes();
        let now = self.now;
        let Some(proposed) = self.machine(i).try_propose(&Command::Configure { base, body }, now) else {
            return Ok(false);
        };
        let (change, out) = proposed?;
        self.deliver(i, out);
        Ok(self.machine(i).is_committed(change, now) == Some(true))
    }

    fn leader(&self) -> u8 {
        let leads = |i: &u8| self.machines[*i as usize - 1].leads(self.now).is_some();
        (1..=self.machines.len() as u8).find(leads).expect("nobody leads")
    }

    fn view(&self) -> View {
        self.machines[self.leader() as usize - 1].view().unwrap().clone()
    }
}

/// A primary that was frozen finds answers in its sockets when it wakes: they tell of the time before. The planted
/// mistake, a lease that counts from when they are read, makes it lead again, and refuse what the others have taken.
#[rstest]
#[case::from_when_the_question_was_sent(false)]
#[case::planted_from_when_the_answer_is_read(true)]
fn an_answer_renews_the_lease_from_when_its_question_was_sent(#[case] planted: bool) {
    let mut trio = Trio::new(3);
    trio.pass(1_000);
    let old = trio.leader();
    let asked = trio.now;
    let (_, questions) = trio.machine(old).confirm_leadership(asked).unwrap();
    let mut unread = Vec::new();
    for Outgoing { to, message } in questions {
        let to = (1..=3).find(|i| ip(*i) == to).unwrap();
        let (reply, _) = trio.machine(to).handle(ip(old), message.clone(), asked);
        unread.push((message, reply));
    }
    trio.cut.push(old);
    trio.pass(4_000);
    let new = trio.leader();
    assert_ne!(new, old);
    assert!(trio.order(new, 0, 1).is_ok_and(|done| done), "the new primary takes an order");
    let woken = trio.now;
    for (message, reply) in unread {
        let sent = if planted { woken } else { asked };
        trio.machine(old).handle_reply(&message, sent, reply, woken);
    }
    let leads = trio.machine(old).leads(woken).is_some();
    assert_eq!(leads, planted);
    // What it would say of an order on the version that the others have: by the mistake, and unconfirmed, a refusal.
    let refused = trio.order(old, 1, 2) == Err(Rejected::Stale { current: 0 });
    assert_eq!(refused, planted, "a refusal must be confirmed by a majority, which it doesn't reach");
    // Even then a majority's word is missing: nobody answers what it asks now.
    let confirmation = trio.machine(old).confirm_leadership(woken).map(|(confirmation, _)| confirmation);
    assert!(confirmation.is_none_or(|confirmation| !confirmation.has_majority()));
}

/// A planned replacement: the newcomer has the place, and another the copy, before the old member goes.
#[rstest]
fn a_member_that_stops_waits_until_a_newcomer_has_its_place(#[values(1, 2, 3)] which: u8) {
    let mut group = Trio::new(4);
    group.pass(1_500);
    assert_eq!(group.view().members.len(), 3);
    let mut waited = 0;
    loop {
        let mut waits = false;
        match group.machines[which as usize - 1].next_leave_step() {
            LeaveStep::Ready => {}
            LeaveStep::Wait => waits = true,
            LeaveStep::Request(question) => {
                let is_leave = matches!(question.message, Message::Leave(_));
                let to = (1..=4).find(|i| ip(*i) == question.to).unwrap();
                let (reply, out) =
                    group.machines[to as usize - 1].handle(ip(which), question.message, group.now);
                waits |= reply.accepted || !is_leave;
                group.deliver(to, out);
            }
        }
        if !waits {
            break;
        }
        group.pass(100);
        waited += 100;
        assert!(waited < 2_000, "it waits for ever");
    }
    group.cut.push(which);
    group.pass(50);
    let view = group.view();
    assert!(!view.is_member(u64::from(which)) && view.is_member(4), "{view:?}");
    assert!(!view.holds_state(u64::from(which)));
    // The next loss may come at once: any one of those that are left.
    let lost = *[1, 2, 3, 4].iter().find(|i| **i != which).unwrap();
    group.cut.push(lost);
    group.pass(4_000);
    assert!(group.view().members.len() >= 3);
}

/// Where nobody can take its place, a member that stops is away for a short time: it only sees that others hold the
/// state.
#[test]
fn a_member_that_stops_without_a_newcomer_leaves_its_copy_to_another() {
    let mut group = Trio::new(3);
    group.pass(1_500);
    let backup = group.view().backups[0];
    for _ in 0..20 {
        if let LeaveStep::Request(question) = group.machines[backup as usize - 1].next_leave_step() {
            group.deliver(backup as u8, vec![question]);
        }
        group.pass(100);
    }
    assert!(!group.view().holds_state(backup), "{:?}", group.view());
    assert!(group.view().is_member(backup), "it stays a member");
}

/// A message that was meant for a member whose place, at the same address, another disk has now.
#[test]
fn an_answer_counts_for_the_disk_that_gave_it() {
    let mut group = Trio::new(3);
    group.pass(1_500);
    let leader = group.leader();
    let before = group.view();
    let wiped = *before.backups.first().unwrap() as u8;
    let settings = GroupSettings {
        me: Member { disk: 77, ..member(wiped) },
        founders: (1..=3).map(ip).collect(),
        founder: false,
        tolerance: Tolerance::of_machines(1),
    };
    let durable = DurableState { disk: 77, ..DurableState::default() };
    let mut stranger = Group::new(settings, durable, Memory, group.now);
    let message = Message::Replicate(before.epoch, state(before.epoch, 50));
    let (reply, _) = stranger.handle(ip(leader), message.clone(), group.now);
    let committed_change_number = group.machines[leader as usize - 1].committed_change_number();
    let now = group.now;
    group.machines[leader as usize - 1].handle_reply(&message, now, reply, now);
    assert_eq!(group.machines[leader as usize - 1].committed_change_number(), committed_change_number);
}

/// There is no log: a member that missed hundreds of changes gets one state, when it is to hold it again.
#[test]
fn a_member_that_missed_changes_has_them_all_with_one_message() {
    let mut trio = Trio::new(3);
    trio.pass(1_500);
    let (leader, away) = (trio.leader(), trio.view().backups[0] as u8);
    trio.cut.push(away);
    trio.pass(2_500);
    assert_eq!(trio.leader(), leader);
    for base in 0..500 {
        assert_eq!(trio.order(leader, base, base + 1), Ok(true));
    }
    trio.cut.clear();
    let other = (1..=3).find(|i| *i != leader && *i != away).unwrap();
    trio.cut.push(other);
    let begun = trio.now;
    while trio.machine(away).durable().state.version != 500 {
        trio.pass(10);
        assert!(trio.now < begun + 4_500, "it never catches up");
    }
    let bytes = borsh::to_vec(&trio.machine(away).durable().state).unwrap().len();
    println!(
        "500 changes: caught up {} ms after the other backup was lost, with {bytes} bytes",
        trio.now - begun
    );
    assert!(bytes < 100_000);
}
