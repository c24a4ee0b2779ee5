//! The figures that operators read: the counters, each bumped at the one place where its thing happens, and the text.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

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

/// What stands at this moment; the core knows.
pub struct Gauges {
    pub pending: usize,
    pub members: usize,
    pub unavailable: usize,
}

/// All counts are since the start of the process.
#[derive(Default)]
pub struct Figures {
    ends: RefCell<BTreeMap<String, BTreeMap<End, u64>>>,
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
        let gauges = [
            ("pending", gauges.pending, "Messages taken on that have not ended."),
            ("members", gauges.members, "Endpoints in discovery's list."),
            ("members_unavailable", gauges.unavailable, "Listed endpoints that get nothing for now."),
        ];
        for (name, count, help) in counters {
            single(&mut text, name, "counter", help, count);
        }
        for (name, value, help) in gauges {
            single(&mut text, name, "gauge", help, value as u64);
        }
        text
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

    #[test]
    fn each_class_has_its_three_ends_and_labels_are_escaped() {
        let figures = Figures::default();
        figures.show(&["plain".into()]);
        figures.ended("o\"d\\d\n", End::Rejected);
        figures.written.set(5);
        bump(&figures.reload_errors);
        let text = figures.text(&Gauges { pending: 14, members: 3, unavailable: 1 });
        let lines: Vec<&str> = text.lines().filter(|l| !l.starts_with('#')).collect();
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
            "sender_pending 14".into(),
            "sender_members 3".into(),
            "sender_members_unavailable 1".into(),
        ];
        assert_eq!(lines, expected);
        let families = text.lines().filter(|l| l.starts_with("# TYPE sender_")).count();
        assert_eq!(families, 7);
    }
}
