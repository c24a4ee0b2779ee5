//! The operator's API.
use super::{Changed, Control};
use crate::calls::Call;
use control::{Command, Rejected, Retirement};
use net::http::{Answer, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a store may take to tell its status.
const STATUS: Duration = Duration::from_millis(500);

/// Answers one request of the operator.
pub async fn answer(control: Rc<Control>, request: Request) -> Answer {
    match (request.method.as_str(), request.path()) {
        ("POST", "/v1/config/replace") => replace(&control, &request).await,
        ("GET", "/v1/config/read") => read(&control, &request).await,
        ("GET", "/v1/status") => Answer::json(200, whole_status(&control).await),
        ("POST" | "GET", path) if path.starts_with("/v1/retire/") => retire(&control, &request).await,
        _ => Answer::text(404, "no such call; the operator's calls are under /v1/config and /v1/retire"),
    }
}

/// The status of this machine and of all stores that answer.
async fn whole_status(control: &Rc<Control>) -> String {
    let mut stores = Vec::new();
    let active: Vec<_> = control.group.borrow().durable().state.stores.active().cloned().collect();
    for store in active {
        let to = SocketAddr::new(store.ip, control.process.settings.store_port());
        let answer = control.peers.call::<Call, String>(to, &Call::Status, STATUS).await;
        let status = answer.ok().and_then(|text| serde_json::from_str(&text).ok());
        stores.push(status.unwrap_or_else(|| serde_json::json!({"node": store.name, "answers": false})));
    }
    let control: serde_json::Value = serde_json::from_str(&control.status()).unwrap_or_default();
    serde_json::json!({"control": control, "stores": stores}).to_string()
}

/// Where the primary serves the operator, if it isn't here: all machines use one port.
fn elsewhere(control: &Control, request: &Request) -> Answer {
    let settings = &control.process.settings;
    let port =
        settings.listen.control.as_ref().and_then(|address| address.rsplit(':').next().map(str::to_string));
    let primary = control.group.borrow().primary().filter(|ip| *ip != settings.own_ip());
    match (primary, port) {
        (Some(ip), Some(port)) if control.group.borrow().another_machine_leads() => {
            Answer::empty(307).with("Location", format!("http://{ip}:{port}{}", request.target))
        }
        _ => Answer::text(503, "no primary is known yet; ask again").with("Retry-After", "1"),
    }
}

async fn replace(control: &Rc<Control>, request: &Request) -> Answer {
    if control.group.borrow().leads(control.now()).is_none() && control.group.borrow().another_machine_leads()
    {
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
        Changed::Rejected(Rejected::BaseTooOld { base }) => {
            Answer::text(503, &Rejected::BaseTooOld { base }.to_string())
        }
        Changed::Rejected(stale) => refuse(control, request, 412, &stale).await,
        Changed::Unknown => elsewhere(control, request),
    }
}

/// Refuses an order, if a majority says from now on that this machine leads: what it refuses by may be old otherwise.
async fn refuse(control: &Rc<Control>, request: &Request, status: u16, why: &Rejected) -> Answer {
    match control.confirm().await {
        true => Answer::text(status, &why.to_string()),
        false => elsewhere(control, request),
    }
}

async fn read(control: &Rc<Control>, request: &Request) -> Answer {
    if control.committed_state().is_none() || !control.confirm().await {
        return elsewhere(control, request);
    }
    // The lead may have passed on meanwhile: a state that isn't known here is no state without a configuration.
    match control.committed_state() {
        Some(state) if state.version == 0 => {
            Answer::text(404, "there is no configuration yet; send the first")
        }
        Some(state) => Answer::json(200, state.body.clone()),
        None => elsewhere(control, request),
    }
}

/// Empties a store, or tells how far that is.
async fn retire(control: &Rc<Control>, request: &Request) -> Answer {
    let path = request.path().trim_start_matches("/v1/retire/").to_string();
    let Some((name, verb)) = path.split_once('/') else {
        return Answer::text(404, "no such call; it is /v1/retire/NODE/start or /read");
    };
    if control.group.borrow().leads(control.now()).is_none() {
        return elsewhere(control, request);
    }
    match (request.method.as_str(), verb) {
        ("POST", "start") => start_retiring(control, request, name).await,
        ("GET", "read") => read_retiring(control, request, name).await,
        _ => Answer::text(404, "no such call; it is /v1/retire/NODE/start or /read"),
    }
}

async fn start_retiring(control: &Rc<Control>, request: &Request, name: &str) -> Answer {
    let tolerance = control.process.settings.tolerance();
    match control.change(Command::Retire { name: name.to_string(), tolerance }).await {
        Changed::Done => Answer::json(200, "{}"),
        Changed::Rejected(unknown @ Rejected::UnknownStore) => refuse(control, request, 404, &unknown).await,
        Changed::Rejected(rejected) => refuse(control, request, 409, &rejected).await,
        Changed::Unknown => elsewhere(control, request),
    }
}

async fn read_retiring(control: &Rc<Control>, request: &Request, name: &str) -> Answer {
    if !control.confirm().await {
        return elsewhere(control, request);
    }
    let Some(state) = control.committed_state() else { return elsewhere(control, request) };
    match state.stores.retirement(name) {
        Some(Retirement::Completed) => Answer::json(200, r#"{"State":"completed"}"#),
        Some(Retirement::Running) => Answer::json(200, r#"{"State":"running"}"#),
        None => Answer::text(404, "no store of this name was asked to retire; start it first"),
    }
}
