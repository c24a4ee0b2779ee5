//! The first duty: at most so many machines drain at a time.

/// A machine that wants to drain, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub machine: String,
    /// The revision at which it asked: who asked first goes first.
    pub asked: i64,
}

/// Who may begin to drain now, given who asks, who drains, and how many may.
pub fn grants(wanted: &[Request], given: &[String], bound: usize) -> Option<Request> {
    let mut waiting: Vec<&Request> = wanted.iter().filter(|w| !given.contains(&w.machine)).collect();
    waiting.sort_by_key(|w| w.asked);
    (given.len() < bound).then(|| waiting.first().copied().cloned()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_asked_first_goes_first_and_no_more_than_may() {
        let request = |machine: &str, asked| Request { machine: machine.into(), asked };
        let wanted = [request("c", 9), request("a", 4), request("b", 7)];
        assert_eq!(grants(&wanted, &[], 1), Some(wanted[1].clone()));
        assert_eq!(grants(&wanted, &["a".into()], 1), None);
        assert_eq!(grants(&wanted, &["a".into()], 2), Some(wanted[2].clone()));
        assert_eq!(grants(&wanted, &["x".into(), "y".into()], 2), None);
        assert_eq!(grants(&[], &[], 2), None);
        assert_eq!(grants(&wanted, &[], 0), None);
    }
}
