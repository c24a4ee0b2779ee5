//! The figures that operators read: the counters, each bumped at the one place where its thing happens, and the text.
use crate::connections::Turnover;
use crate::life::{Life, STAGES};
use crate::pool::{Count, REASONS};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
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

/// Upper bounds of the buckets of a span, in seconds: from what the program itself takes to the longest deadlines.
const BUCKETS: [f64; 12] = [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 60.0];

#[derive(Default)]
struct Histogram {
    counts: [u64; BUCKETS.len()],
    count: u64,
    sum: Duration,
}

impl Histogram {
    fn observe(&mut self, span: Duration) {
        if let Some(bucket) = BUCKETS.iter().position(|&b| span.as_secs_f64() <= b) {
            self.counts[bucket] += 1;
        }
        self.count += 1;
        self.sum += span;
    }
}

/// Where the time of a class's messages went, and where it ran out.
#[derive(Default)]
struct Times {
    stages: [Histogram; STAGES.len()],
    ran_out: [u64; STAGES.len()],
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
}

#[derive(Default)]
pub struct Fleet {
    pub states: Vec<(&'static str, usize)>,
    pub conflicts: usize,
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
        for (histogram, span) in times.stages.iter_mut().zip(life.end(at)) {
            span.into_iter().for_each(|span| histogram.observe(span));
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

    /// In the Prometheus text format.
    pub fn text(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        family(&mut text, "downstream_requests", "counter", "Messages from clients, by how they ended.");
        for (class, row) in self.ends.borrow().iter() {
            let lane = escaped(class);
            for (end, result) in ENDS {
                let count = row.get(&end).unwrap_or(&0);
                let _ = writeln!(
                    text,
                    "sender_downstream_requests{{lane=\"{lane}\",result=\"{result}\"}} {count}"
                );
            }
        }
        let counters = [
            ("upstream_requests", self.written.get(), "Messages written in full to endpoints."),
            ("config_reloads", self.reloads.get(), "Configurations taken at SIGHUP."),
            ("config_reload_errors", self.reload_errors.get(), "Configurations turned down at SIGHUP."),
        ];
        let journal = &gauges.journal;
        let totals = [
            ("journal_writes_total", journal.writes, "Writes to the journal."),
            ("journal_syncs_total", journal.syncs, "Writes that were synced to stable storage."),
            ("journal_rewrites_total", journal.rewrites, "Rewrites of the journal with what still lives."),
            ("journal_faults_total", journal.faults, "Writes, syncs and rewrites that failed."),
        ];
        let turnover = &gauges.turnover;
        let connections = [
            ("connections_opened_total", turnover.opened, "Connections made to endpoints."),
            ("connections_refused_total", turnover.refused, "Connections that could not be made."),
            ("connections_reused_total", turnover.reused, "Calls that found one standing idle."),
            (
                "connection_waits_total",
                turnover.waited,
                "Calls that waited for one, as enough were being made.",
            ),
            ("connections_spare_total", turnover.spare, "Connections made that nobody waited for any more."),
        ];
        let (links, fleet) = (gauges.links, &gauges.fleet);
        let bytes = gauges.journal_bytes as usize;
        let gauges = [
            ("pending", gauges.pending, "Messages taken on that have not ended."),
            ("members", gauges.members, "Endpoints in discovery's list."),
            ("members_unavailable", gauges.unavailable, "Listed endpoints that get nothing for now."),
            ("journal_bytes", bytes, "Size of the journal's file."),
        ];
        for (name, count, help) in counters.into_iter().chain(totals).chain(connections) {
            single(&mut text, name, "counter", help, count);
        }
        for (name, value, help) in gauges {
            single(&mut text, name, "gauge", help, value as u64);
        }
        let text_ref = &mut text;
        family(text_ref, "connections", "gauge", "Connections to endpoints that take work, and to others.");
        for (count, endpoint) in links.iter().zip(["usable", "other"]) {
            for (state, n) in [("idle", count.idle), ("busy", count.busy), ("dialling", count.dialling)] {
                let labels = format!("endpoint=\"{endpoint}\",state=\"{state}\"");
                let _ = writeln!(text_ref, "sender_connections{{{labels}}} {n}");
            }
        }
        family(text_ref, "connections_closed_total", "counter", "Connections closed, by reason.");
        for (reason, name) in REASONS {
            let n = turnover.closed[reason as usize];
            let _ = writeln!(text_ref, "sender_connections_closed_total{{reason=\"{name}\"}} {n}");
        }
        family(text_ref, "dial_seconds_total", "counter", "Time in which connections were made.");
        let _ = writeln!(text_ref, "sender_dial_seconds_total {}", turnover.dial_time.as_secs_f64());
        if let Some(fleet) = fleet {
            family(&mut text, "fleet_members", "gauge", "Members of the fleet, as this one sees it.");
            for (state, n) in &fleet.states {
                let _ = writeln!(text, "sender_fleet_members{{state=\"{state}\"}} {n}");
            }
            single(
                &mut text,
                "fleet_conflicts",
                "gauge",
                "Members whose name another has too.",
                fleet.conflicts as u64,
            );
            family(&mut text, "fleet_dropped_total", "counter", "Datagrams that are none of the fleet's.");
            for (reason, n) in &fleet.dropped {
                let _ = writeln!(text, "sender_fleet_dropped_total{{reason=\"{reason}\"}} {n}");
            }
        }
        self.write_times(&mut text);
        text
    }

    fn write_times(&self, text: &mut String) {
        let times = self.times.borrow();
        let rows = || {
            let lanes = times.iter().map(|(class, times)| (escaped(class), times));
            lanes.flat_map(|(lane, times)| STAGES.map(|(stage, name)| (lane.clone(), name, stage, times)))
        };
        family(text, "stage_seconds", "histogram", "Time of ended messages by stage.");
        for (lane, name, stage, times) in rows() {
            let histogram = &times.stages[stage as usize];
            let labels = format!("lane=\"{lane}\",stage=\"{name}\"");
            let mut below = 0;
            for (bound, count) in BUCKETS.iter().zip(histogram.counts) {
                below += count;
                let _ = writeln!(text, "sender_stage_seconds_bucket{{{labels},le=\"{bound}\"}} {below}");
            }
            let (count, sum) = (histogram.count, histogram.sum.as_secs_f64());
            let _ = writeln!(text, "sender_stage_seconds_bucket{{{labels},le=\"+Inf\"}} {count}");
            let _ = writeln!(text, "sender_stage_seconds_sum{{{labels}}} {sum}");
            let _ = writeln!(text, "sender_stage_seconds_count{{{labels}}} {count}");
        }
        family(text, "expired_total", "counter", "Messages that ended for lack of time, by stage.");
        for (lane, name, stage, times) in rows() {
            let count = times.ran_out[stage as usize];
            let _ = writeln!(text, "sender_expired_total{{lane=\"{lane}\",stage=\"{name}\"}} {count}");
        }
    }
}

fn family(text: &mut String, name: &str, kind: &str, help: &str) {
    let _ = writeln!(text, "# HELP sender_{name} {help}\n# TYPE sender_{name} {kind}");
}

fn single(text: &mut String, name: &str, kind: &str, help: &str, value: u64) {
    family(text, name, kind, help);
    let _ = writeln!(text, "sender_{name} {value}");
}

/// A label's value as the format asks.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::life::Stage;

    #[test]
    fn each_class_has_its_three_ends_and_labels_are_escaped() {
        let figures = Figures::default();
        figures.show(&["plain".into()]);
        figures.ended("o\"d\\d\n", End::Rejected);
        figures.written.set(5);
        bump(&figures.reload_errors);
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
        let (links, lines): (Vec<&str>, Vec<&str>) =
            text.lines().filter(|l| !l.starts_with('#')).partition(|l| of_links(l));
        assert_eq!(links.len(), 5 + 6 + REASONS.len() + 1);
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
        assert_eq!(families, 22);
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
        let queue = "sender_stage_seconds_bucket{lane=\"plain\",stage=\"queue\",le=";
        assert_eq!((figure(&format!("{queue}\"5\"")), figure(&format!("{queue}\"10\""))), (0.0, 1.0));
        let ran_out =
            STAGES.map(|(_, s)| figure(&format!("sender_expired_total{{lane=\"plain\",stage=\"{s}\"")));
        assert_eq!(ran_out, [0.0, 1.0, 0.0, 0.0, 0.0]);
    }
}
