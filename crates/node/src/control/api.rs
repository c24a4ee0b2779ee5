//! The operator's API.
use super::{Changed, Control};
use control::{Command, Rejected};
use net::http::{Answer, Request};
use std::rc::Rc;

/// Answers one request of the operator.
pub async fn answer(control: Rc<Control>, request: Request) -> Answer {
    match (request.method.as_str(), request.path()) {
        ("POST", "/v1/config/replace") => replace(&control, &request).await,
        ("GET", "/v1/config/read") => read(&control, &request).await,
        ("GET", "/v1/status") => Answer::json(200, control.status()),
        ("POST" | "GET", path) if path.starts_with("/v1/retire/") => retire(&control, &request).await,
        _ => Answer::text(404, "no such call; the operator's calls are under /v1/config and /v1/retire"),
    }
}

/// Where the primary serves the operator, if it isn't here: all machines use one port.
fn elsewhere(control: &Control, request: &Request) -> Answer {
    let settings = &control.process.settings;
    let port =
        settings.listen.control.as_ref().and_then(|address| address.rsplit(':').next().map(str::to_string));
    let primary = control.group.borrow().primary().filter(|ip| *ip != settings.own_ip());
    match (primary, port) {
        (Some(ip), Some(port)) if control.group.borrow().primary_elsewhere() => {
            Answer::empty(307).with("Location", format!("http://{ip}:{port}{}", request.target))
        }
        _ => Answer::text(503, "no primary is known yet; ask again").with("Retry-After", "1"),
    }
}

async fn replace(control: &Rc<Control>, request: &Request) -> Answer {
    if control.group.borrow().leads(control.now()).is_none() && control.group.borrow().primary_elsewhere() {
        return elsewhere(control, request);
    }
    let base = match request.header("x-base-version") {
        "" => 0,
        text => match text.parse() {
            Ok(base) => base,
            Err(_) => return Answer::text(400, "X-Base-Version is not a number; give the version built on"),
        },
    };
    let command = Command::Configure { base, body: request.body.to_vec() };
    match control.change(command).await {
        Changed::Done => Answer::json(200, "{}"),
        Changed::Rejected(Rejected::Invalid(faults)) => Answer::text(400, &faults.to_string()),
        Changed::Rejected(stale) => match control.confirm().await {
            true => Answer::text(412, &stale.to_string()),
            false => elsewhere(control, request),
        },
        Changed::Unknown => elsewhere(control, request),
    }
}

async fn read(control: &Rc<Control>, request: &Request) -> Answer {
    let state = control.committed_state();
    match state {
        Some(_) if control.confirm().await => {
            let state = control.committed_state().unwrap_or_default();
            match state.body.is_empty() {
                true => Answer::text(404, "there is no configuration yet; send the first"),
                false => Answer::json(200, state.body.clone()),
            }
        }
        _ => elsewhere(control, request),
    }
}

/// Emptying a store isn't built yet: it is refused, as it is where too few stores would remain.
async fn retire(control: &Rc<Control>, request: &Request) -> Answer {
    let Some(state) = control.committed_state() else { return elsewhere(control, request) };
    let name = request.path().trim_start_matches("/v1/retire/").split('/').next().unwrap_or_default();
    let known = state.stores.active().any(|store| store.name == name);
    match known {
        true => Answer::text(409, "too few stores would remain; add one first"),
        false => Answer::text(404, "no store has this name"),
    }
}
