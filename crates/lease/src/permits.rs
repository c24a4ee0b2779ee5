//! Drain permits: the first duty. It limits how many machines drain at the same time.

/// A machine's request for a drain permit, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRequest {
    pub machine: String,
    /// The create revision of the request: the earliest request is granted first.
    pub request_revision: i64,
}

/// The request to grant next, given the pending requests, the machines that have a permit, and how many may
/// have one.
pub fn next_permit(
    requests: &[DrainRequest],
    granted: &[String],
    max_draining: usize,
) -> Option<DrainRequest> {
    let mut waiting: Vec<&DrainRequest> =
        requests.iter().filter(|request| !granted.contains(&request.machine)).collect();
    waiting.sort_by_key(|request| request.request_revision);
    (granted.len() < max_draining).then(|| waiting.first().copied().cloned()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_earliest_request_gets_the_permit_and_the_bound_holds() {
        let request =
            |machine: &str, request_revision| DrainRequest { machine: machine.into(), request_revision };
        let requests = [request("c", 9), request("a", 4), request("b", 7)];
        assert_eq!(next_permit(&requests, &[], 1), Some(requests[1].clone()));
        assert_eq!(next_permit(&requests, &["a".into()], 1), None);
        assert_eq!(next_permit(&requests, &["a".into()], 2), Some(requests[2].clone()));
        assert_eq!(next_permit(&requests, &["x".into(), "y".into()], 2), None);
        assert_eq!(next_permit(&[], &[], 2), None);
        assert_eq!(next_permit(&requests, &[], 0), None);
    }
}
