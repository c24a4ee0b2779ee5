//! The figures that operators read: the counters, each bumped at the one place where its thing happens, and the text.
use crate::connections::Turnover;
use crate::life::{Life, STAGES};
use crate::pool::{Count, REASONS};
use machine::{process, Machine, Metered, Traffic};
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::encoding::{EncodeGaugeValue, EncodeMetric, MetricEncoder};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How a message has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Completed,
    /// Refused at the door or handed back: its client may come again.
    Rejected,
    Failed,
}

const ENDS: [(End, &str); 3] =
    [(End::Completed, "completed"), (End::Rejected, "rejected"), (End::Failed, "failed")];

/// For what a sender spends on control: what is neither a client's nor an endpoint's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The fleet's datagrams.
    Membership,
    /// The list, and the watch of it.
    Discovery,
    /// Duties.
    Store,
    Notices,
    /// The control address.
    Operators,
}

const ROLES: [(Role, &str); 5] = [
    (Role::Membership, "membership"),
    (Role::Discovery, "discovery"),
    (Role::Store, "store"),
    (Role::Notices, "notices"),
    (Role::Operators, "operators"),
];

/// Upper bounds of the buckets of a span, in seconds: from what the program itself takes to the longest deadlines.
const BUCKETS: [f64; 12] = [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 60.0];

/// Where the time of a class's messages went, and where it ran out.
struct Times {
    stages: [Histogram; STAGES.len()],
    ran_out: [u64; STAGES.len()],
}

impl Default for Times {
    fn default() -> Times {
        Times { stages: STAGES.map(|_| Histogram::new(BUCKETS)), ran_out: [0; STAGES.len()] }
    }
}

/// What stands at this moment; the core knows.
#[derive(Default)]
pub struct Gauges {
    pub pending: usize,
    pub members: usize,
    pub unavailable: usize,
    pub journal: journal::Figures,
    pub journal_bytes: u64,
    pub links: [Count; 2],
    pub turnover: Turnover,
    /// Members of the fleet by state, and those of them whose name another has too; None while that is off.
    pub fleet: Option<Fleet>,
    pub process: Process,
}

/// What the whole process takes of its machine, other senders in it too; None where the system does not tell.
#[derive(Default)]
pub struct Process {
    pub cpu: Option<Duration>,
    pub memory: Option<u64>,
}

impl Process {
    pub fn now() -> Process {
        Process { cpu: process::cpu_time(), memory: process::resident_memory() }
    }
}

#[derive(Default)]
pub struct Fleet {
    pub states: Vec<(&'static str, usize)>,
    pub conflicts: usize,
    /// Members that see the fleet otherwise than this one.
    pub disagreeing: usize,
    /// Members that can't do their work, by their own word.
    pub impaired: usize,
    /// Of those who are expected: how many are present, and how many there are.
    pub counts: (usize, usize),
    /// What part this sender is in, and how often that has changed.
    pub standing: Option<(&'static str, u64)>,
    pub dropped: Vec<(&'static str, u64)>,
}

/// All counts are since the start of the process.
#[derive(Default)]
pub struct Figures {
    ends: RefCell<BTreeMap<String, BTreeMap<End, u64>>>,
    times: RefCell<BTreeMap<String, Times>>,
    /// Shared with the sockets that write the calls.
    pub written: Rc<Cell<u64>>,
    pub reloads: Cell<u64>,
    pub reload_errors: Cell<u64>,
    pub list_errors: Cell<u64>,
    /// By role, counted where the bytes pass.
    control: [Rc<Traffic>; ROLES.len()],
}

pub fn bump(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Figures {
    pub fn ended(&self, class: &str, end: End) {
        self.of(class, |row| *row.entry(end).or_default() += 1);
    }

    /// A message is over: its life goes into the books stage by stage.
    pub fn lived(&self, class: &str, life: Life, at: Instant) {
        let mut times = self.times.borrow_mut();
        if !times.contains_key(class) {
            times.insert(class.to_string(), Times::default());
        }
        let Some(times) = times.get_mut(class) else { return };
        if let Some(stage) = life.ran_out_in() {
            times.ran_out[stage as usize] += 1;
        }
        for (histogram, span) in times.stages.iter().zip(life.end(at)) {
            span.into_iter().for_each(|span| histogram.observe(span.as_secs_f64()));
        }
    }

    fn of(&self, class: &str, change: impl FnOnce(&mut BTreeMap<End, u64>)) {
        let mut ends = self.ends.borrow_mut();
        match ends.get_mut(class) {
            Some(row) => change(row),
            None => change(ends.entry(class.to_string()).or_default()),
        }
    }

    /// A class is shown from when it is in force, with noughts.
    pub fn show(&self, classes: &[String]) {
        classes.iter().for_each(|class| self.of(class, |_| {}));
    }

    /// The machine as a role has it: what passes there is counted for that role.
    pub fn metered(&self, machine: &Rc<dyn Machine>, role: Role) -> Rc<dyn Machine> {
        Rc::new(Metered::new(machine.clone(), self.control[role as usize].clone()))
    }

    /// In the Prometheus text format.
    pub fn text(&self, gauges: &Gauges) -> String {
        let mut page = Page(Registry::with_prefix("sender"));
        let ends = self.ends.borrow();
        let ends = ends.iter().flat_map(|(class, row)| {
            ENDS.map(|(end, result)| {
                (vec![("lane", class.clone()), ("result", result.into())], *row.get(&end).unwrap_or(&0))
            })
        });
        page.counters("downstream_requests", "Messages from clients, by how they ended", ends);
        page.counter("upstream_requests", "Messages written in full to endpoints", self.written.get());
        page.counter("config_reloads", "Configurations taken at SIGHUP", self.reloads.get());
        page.counter(
            "config_reload_errors",
            "Configurations turned down at SIGHUP",
            self.reload_errors.get(),
        );
        page.counter("list_errors_total", "Lists turned down: none, or too large", self.list_errors.get());
        page.journal(&gauges.journal);
        page.gauge("pending", "Messages taken on that have not ended", gauges.pending);
        page.gauge("members", "Endpoints in discovery's list", gauges.members);
        page.gauge("members_unavailable", "Listed endpoints that get nothing for now", gauges.unavailable);
        page.gauge("journal_bytes", "Size of the journal's file", gauges.journal_bytes as usize);
        page.connections(gauges);
        gauges.fleet.iter().for_each(|fleet| page.fleet(fleet));
        self.write_control(&mut page);
        self.write_times(&mut page);
        page.text(&gauges.process)
    }

    fn write_control(&self, page: &mut Page) {
        let rows = |(role, name): (Role, &'static str)| {
            let Traffic { sent, received } = &*self.control[role as usize];
            [(sent, "out"), (received, "in")]
                .map(|(flow, direction)| (vec![("role", name.into()), ("direction", direction.into())], flow))
        };
        let bytes = ROLES.into_iter().flat_map(rows).map(|(labels, flow)| (labels, flow.bytes()));
        page.counters("control_bytes_total", "Bytes that control took, by role", bytes);
        let fleet = ROLES.into_iter().filter(|(role, _)| *role == Role::Membership);
        let datagrams = fleet.flat_map(rows).map(|(labels, flow)| (labels, flow.datagrams()));
        page.counters("control_datagrams_total", "Datagrams that control took, by role", datagrams);
    }

    fn write_times(&self, page: &mut Page) {
        let times = self.times.borrow();
        let rows = || {
            times.iter().flat_map(|(class, times)| {
                STAGES.map(|(stage, name)| {
                    (vec![("lane", class.clone()), ("stage", name.into())], stage as usize, times)
                })
            })
        };
        let spent = rows().map(|(labels, stage, times)| (labels, times.stages[stage].clone())).collect();
        page.family("stage_seconds", "Time of ended messages by stage", MetricType::Histogram, spent);
        let ran_out = rows().map(|(labels, stage, times)| (labels, times.ran_out[stage]));
        page.counters("expired_total", "Messages that ended for lack of time, by stage", ran_out);
    }
}

type Labels = Vec<(&'static str, String)>;

/// A number under a name that stands as it is: the library ends the names of its own counters in `_total`, and some
/// that operators know have no such end.
#[derive(Debug)]
struct Plain<N>(N);

/// The rows of a family, in order.
#[derive(Debug)]
struct Rows<M>(MetricType, Vec<(Labels, M)>);

impl<N: EncodeGaugeValue> EncodeMetric for Plain<N> {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), fmt::Error> {
        encoder.encode_gauge(&self.0)
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Counter
    }
}

impl<M: EncodeMetric> EncodeMetric for Rows<M> {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), fmt::Error> {
        match &self.1[..] {
            [(labels, value)] if labels.is_empty() => value.encode(encoder),
            rows => rows.iter().try_for_each(|(labels, value)| value.encode(encoder.encode_family(labels)?)),
        }
    }

    fn metric_type(&self) -> MetricType {
        self.0
    }
}

/// A page of figures that is being written.
struct Page(Registry);

impl Page {
    fn family<M>(&mut self, name: &str, help: &str, kind: MetricType, rows: Vec<(Labels, M)>)
    where
        M: EncodeMetric + Send + Sync + fmt::Debug + 'static,
    {
        self.0.register(name, help, Rows(kind, rows));
    }

    fn counters(&mut self, name: &str, help: &str, rows: impl Iterator<Item = (Labels, u64)>) {
        match name.strip_suffix("_total") {
            Some(stem) => {
                let rows = rows.map(|(labels, n)| (labels, ConstCounter::new(n))).collect();
                self.family(stem, help, MetricType::Counter, rows);
            }
            None => {
                let rows = rows.map(|(labels, n)| (labels, Plain(n))).collect();
                self.family(name, help, MetricType::Counter, rows);
            }
        }
    }

    fn gauges(&mut self, name: &str, help: &str, rows: impl Iterator<Item = (Labels, usize)>) {
        let rows = rows.map(|(labels, n)| (labels, Plain(n as u64))).collect();
        self.family(name, help, MetricType::Gauge, rows);
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.counters(name, help, [(Labels::new(), value)].into_iter());
    }

    fn gauge(&mut self, name: &str, help: &str, value: usize) {
        self.gauges(name, help, [(Labels::new(), value)].into_iter());
    }

    fn journal(&mut self, journal: &journal::Figures) {
        let journal::Figures { writes, syncs, rewrites, faults } = *journal;
        self.counter("journal_writes_total", "Writes to the journal", writes);
        self.counter("journal_syncs_total", "Writes that were synced to stable storage", syncs);
        self.counter("journal_rewrites_total", "Rewrites of the journal with what still lives", rewrites);
        self.counter("journal_faults_total", "Writes, syncs and rewrites that failed", faults);
    }

    fn connections(&mut self, gauges: &Gauges) {
        let Turnover { opened, refused, reused, waited, spare, closed, dial_time } = gauges.turnover;
        self.counter("connections_opened_total", "Connections made to endpoints", opened);
        self.counter("connections_refused_total", "Connections that could not be made", refused);
        self.counter("connections_reused_total", "Calls that found one standing idle", reused);
        self.counter(
            "connection_waits_total",
            "Calls that waited for one, as enough were being made",
            waited,
        );
        self.counter("connections_spare_total", "Connections made that nobody waited for any more", spare);
        let count = |(count, endpoint): (&Count, &str)| {
            [("idle", count.idle), ("busy", count.busy), ("dialling", count.dialling)]
                .map(|(state, n)| (vec![("endpoint", endpoint.into()), ("state", state.into())], n))
        };
        let counts = gauges.links.iter().zip(["usable", "other"]).flat_map(count);
        self.gauges("connections", "Connections to endpoints that take work, and to others", counts);
        let reasons = REASONS.iter().map(|&(r, name)| (vec![("reason", name.into())], closed[r as usize]));
        self.counters("connections_closed_total", "Connections closed, by reason", reasons);
        let dialled = vec![(Labels::new(), ConstCounter::new(dial_time.as_secs_f64()))];
        self.family("dial_seconds", "Time in which connections were made", MetricType::Counter, dialled);
    }

    fn fleet(&mut self, fleet: &Fleet) {
        let states = fleet.states.iter().map(|&(state, n)| (vec![("state", state.into())], n));
        self.gauges("fleet_members", "Members of the fleet, as this one sees it", states);
        self.gauge("fleet_conflicts", "Members whose name another has too", fleet.conflicts);
        self.gauge(
            "fleet_disagreeing",
            "Members that see the fleet otherwise than this one",
            fleet.disagreeing,
        );
        self.gauge("fleet_impaired", "Members that can't do their work, by their own word", fleet.impaired);
        self.gauge("fleet_present", "Members that are expected and present", fleet.counts.0);
        self.gauge("fleet_expected", "Members that are expected", fleet.counts.1);
        let standing = fleet.standing.iter().map(|(name, _)| (vec![("standing", (*name).into())], 1));
        self.gauges("fleet_standing", "What part of those who are expected this one is in", standing);
        let changes = fleet.standing.map_or(0, |(_, changes)| changes);
        self.counter("fleet_standing_changes_total", "Times that this has changed", changes);
        let dropped = fleet.dropped.iter().map(|&(reason, n)| (vec![("reason", reason.into())], n));
        self.counters("fleet_dropped_total", "Datagrams that are none of the fleet's", dropped);
    }

    /// The figures of the process have the names that they have in every program.
    fn text(&self, process: &Process) -> String {
        let mut own = Page(Registry::with_prefix("process"));
        if let Some(cpu) = process.cpu {
            let spent = vec![(Labels::new(), ConstCounter::new(cpu.as_secs_f64()))];
            own.family("cpu_seconds", "Processor time of the process", MetricType::Counter, spent);
        }
        if let Some(memory) = process.memory {
            own.gauge("resident_memory_bytes", "Memory of the process in the machine's", memory as usize);
        }
        let mut text = String::new();
        // Writing to memory does not fail.
        let _ = encode_registry(&mut text, &self.0);
        let _ = encode_registry(&mut text, &own.0);
        let _ = encode_eof(&mut text);
        text
    }
}

#[cfg(test)]
#[path = "figures_tests.rs"]
mod cost_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::life::Stage;
    use std::time::Duration;

    #[test]
    fn each_class_has_its_three_ends_and_labels_are_escaped() {
        let figures = Figures::default();
        figures.show(&["plain".into()]);
        figures.ended("o\"d\\d\n", End::Rejected);
        figures.written.set(5);
        bump(&figures.reload_errors);
        (0..2).for_each(|_| bump(&figures.list_errors));
        let journal = journal::Figures { writes: 9, syncs: 4, rewrites: 1, faults: 0 };
        let gauges = Gauges {
            pending: 14,
            members: 3,
            unavailable: 1,
            journal,
            journal_bytes: 640,
            ..Gauges::default()
        };
        let text = figures.text(&gauges);
        let of_links = |l: &&str| l.contains("connection") || l.contains("sender_dial");
        let of_control = |l: &&str| l.contains("_control_");
        let (links, lines): (Vec<&str>, Vec<&str>) =
            text.lines().filter(|l| !l.starts_with('#')).partition(|l| of_links(l));
        assert_eq!(links.len(), 5 + 6 + REASONS.len() + 1);
        let (control, lines): (Vec<&str>, Vec<&str>) = lines.into_iter().partition(|l| of_control(l));
        assert_eq!(control.len(), ROLES.len() * 2 + 2);
        let odd = r#"sender_downstream_requests{lane="o\"d\\d\n",result="#;
        let expected = [
            format!("{odd}\"completed\"}} 0"),
            format!("{odd}\"rejected\"}} 1"),
            format!("{odd}\"failed\"}} 0"),
            r#"sender_downstream_requests{lane="plain",result="completed"} 0"#.into(),
            r#"sender_downstream_requests{lane="plain",result="rejected"} 0"#.into(),
            r#"sender_downstream_requests{lane="plain",result="failed"} 0"#.into(),
            "sender_upstream_requests 5".into(),
            "sender_config_reloads 0".into(),
            "sender_config_reload_errors 1".into(),
            "sender_list_errors_total 2".into(),
            "sender_journal_writes_total 9".into(),
            "sender_journal_syncs_total 4".into(),
            "sender_journal_rewrites_total 1".into(),
            "sender_journal_faults_total 0".into(),
            "sender_pending 14".into(),
            "sender_members 3".into(),
            "sender_members_unavailable 1".into(),
            "sender_journal_bytes 640".into(),
        ];
        assert_eq!(lines, expected);
        let families = text.lines().filter(|l| l.starts_with("# TYPE sender_")).count();
        assert_eq!(families, 25);
    }

    #[test]
    fn the_stages_of_an_ended_message_add_up_to_its_life_in_the_figures() {
        let (figures, born) = (Figures::default(), Instant::now());
        let mut life = Life::begin(Stage::Read, born);
        for (stage, ms) in [(Stage::Queue, 3), (Stage::Dial, 40), (Stage::Attempt, 90), (Stage::Queue, 2_000)]
        {
            life.enter(stage, born + Duration::from_millis(ms));
        }
        life.run_out();
        figures.lived("plain", life, born + Duration::from_millis(9_000));
        let text = figures.text(&Gauges::default());
        let figure = |name: &str| {
            let line = text.lines().find(|l| l.starts_with(name)).unwrap_or_else(|| panic!("{name}: {text}"));
            line.rsplit_once(' ').unwrap().1.parse::<f64>().unwrap()
        };
        let of = |part: &str, stage: &str| {
            figure(&format!("sender_stage_seconds_{part}{{lane=\"plain\",stage=\"{stage}\"}}"))
        };
        let sums = STAGES.map(|(_, stage)| of("sum", stage));
        assert!((sums.iter().sum::<f64>() - 9.0).abs() < 1e-9, "{sums:?}");
        assert_eq!(STAGES.map(|(_, stage)| of("count", stage)), [1.0, 1.0, 1.0, 1.0, 0.0]);
        let below = |le: &str| {
            figure(&format!("sender_stage_seconds_bucket{{le=\"{le}\",lane=\"plain\",stage=\"queue\"}}"))
        };
        assert_eq!((below("5.0"), below("10.0"), below("+Inf")), (0.0, 1.0, 1.0));
        let ran_out =
            STAGES.map(|(_, s)| figure(&format!("sender_expired_total{{lane=\"plain\",stage=\"{s}\"")));
        assert_eq!(ran_out, [0.0, 1.0, 0.0, 0.0, 0.0]);
    }
}
