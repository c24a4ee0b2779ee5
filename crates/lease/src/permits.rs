//! The first duty: at most so many machines drain at a time.

/// A machine that wants to drain, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRequest {
    pub machine: String,
    /// The revision at which it asked: who asked first goes first.
    pub request_revision: i64,
}

/// Who may begin to drain now, given who asks, who drains, and how many may.
pub fn next_permit(wanted: &[DrainRequest], given: &[String], bound: usize) -> Option<DrainRequest> {
    let mut waiting: Vec<&DrainRequest> = wanted.iter().filter(|w| !given.contains(&w.machine)).collect();
    waiting.sort_by_key(|w| w.request_revision);
    (given.len() < bound).then(|| waiting.first().copied().cloned()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_asked_first_goes_first_and_no_more_than_may() {
        let request =
            |machine: &str, request_revision| DrainRequest { machine: machine.into(), request_revision };
        let wanted = [request("c", 9), request("a", 4), request("b", 7)];
        assert_eq!(next_permit(&wanted, &[], 1), Some(wanted[1].clone()));
        assert_eq!(next_permit(&wanted, &["a".into()], 1), None);
        assert_eq!(next_permit(&wanted, &["a".into()], 2), Some(wanted[2].clone()));
        assert_eq!(next_permit(&wanted, &["x".into(), "y".into()], 2), None);
        assert_eq!(next_permit(&[], &[], 2), None);
        assert_eq!(next_permit(&wanted, &[], 0), None);
    }
}
