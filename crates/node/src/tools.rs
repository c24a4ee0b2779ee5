//! What operators run by hand: checks of files, the status of a running system, a look into a ring of files.
use anyhow::Context as _;
use control::DurableState;
use net::client::{Client, Identity};
use net::http::encode_request;
use net::repeat::Repeat;
use queue::{Entry, Queue};
use serde_json::Value;
use settings::{Configuration, ProcessSettings};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const ASK: Duration = Duration::from_secs(5);

/// Checks a settings file or a configuration, whichever the file holds; every fault is named at once.
pub fn check(path: &Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path).with_context(|| format!("{} cannot be read", path.display()))?;
    let is_configuration = text.trim_start().starts_with('{') || text.contains("Routes");
    if is_configuration {
        let configuration = Configuration::parse(text.as_bytes())?;
        let (routes, services) = (configuration.routes.len(), configuration.services.len());
        let tenants = match &configuration.tenants {
            Some(tenants) => format!("{} tenants", tenants.len()),
            None => "no list of tenants, so no request needs a key".to_string(),
        };
        let version = configuration.version;
        return Ok(format!(
            "a configuration, version {version}: {routes} routes, {services} services, {tenants}"
        ));
    }
    let settings = ProcessSettings::parse(&text)?;
    Ok(format!("settings of {} in zone {}", settings.node_name, settings.zone))
}

/// Asks a control machine how the system is.
pub fn status(address: &str) -> anyhow::Result<String> {
    let address: SocketAddr =
        address.parse().context("give the operator's address of a control machine, as IP:port")?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    let response = runtime.block_on(async move {
        let host = address.to_string();
        let request = encode_request("GET", "/v1/status", &[("Host", &host)], b"");
        Client::default().call(address, request, ASK, Identity::NONE, Repeat::Freely).await
    });
    let response =
        response.map_err(|error| anyhow::anyhow!("{address} doesn't answer ({error:?}); ask another"))?;
    let status: Value =
        serde_json::from_slice(&response.body).context("the answer is no status; is this control?")?;
    Ok(show(&status))
}

fn show(status: &Value) -> String {
    let mut lines = vec!["control".to_string()];
    let control = &status["control"];
    for key in ["node", "leads", "primary", "epoch", "members", "version", "change", "endpoints"] {
        lines.push(format!("  {key}: {}", plain(&control[key])));
    }
    for watcher in control["watchers"].as_array().into_iter().flatten() {
        let (name, role) = (plain(&watcher["name"]), plain(&watcher["role"]));
        lines.push(format!(
            "  {role} {name}: version {}, stores' view {}",
            watcher["version"], watcher["stores"]
        ));
    }
    for store in status["stores"].as_array().into_iter().flatten() {
        lines.push(format!("store {}", plain(&store["node"])));
        for (key, value) in store.as_object().into_iter().flatten().filter(|(key, _)| *key != "endpoints") {
            lines.push(format!("  {key}: {}", plain(value)));
        }
        for endpoint in store["endpoints"].as_array().into_iter().flatten() {
            let (service, address) = (plain(&endpoint["service"]), plain(&endpoint["address"]));
            let (cap, slots, out) = (&endpoint["cap"], &endpoint["slots"], &endpoint["in_flight"]);
            lines
                .push(format!("  endpoint {service} {address}: {out} in flight, cap {cap} of {slots} slots"));
        }
    }
    lines.join("\n")
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Tells what stands in a ring of files; nothing is changed.
pub fn inspect(folder: &Path) -> anyhow::Result<String> {
    let files = ringlog::read(folder)?;
    let records =
        files.iter().flat_map(|(_, records)| records.iter().map(|record| record.payload.as_slice()));
    let mut lines: Vec<String> = files
        .iter()
        .map(|(path, records)| {
            let bytes: usize = records.iter().map(|record| record.payload.len()).sum();
            format!("{}: {} records, {bytes} bytes", path.display(), records.len())
        })
        .collect();
    let entries: Option<Vec<Entry>> = records.clone().map(|bytes| borsh::from_slice(bytes).ok()).collect();
    match entries.filter(|entries| matches!(entries.first(), Some(Entry::Disk(_)))) {
        Some(entries) => lines.extend(store_lines(entries)),
        None => lines.extend(records.last().map(control_line).transpose()?),
    }
    Ok(lines.join("\n"))
}

fn store_lines(entries: Vec<Entry>) -> Vec<String> {
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    let mut queue = Queue::default();
    for entry in entries {
        let kind = match &entry {
            Entry::Disk(_) => "disk",
            Entry::Message { .. } => "message",
            Entry::AttemptFailed { .. } => "failed attempt",
            Entry::Finished(_) => "end",
            Entry::CallbackDone { .. } => "call-back",
            Entry::Dropped { .. } => "dropped copy",
            Entry::Fenced { .. } => "fence",
            Entry::TakenOver { .. } => "taken over",
            Entry::FinishedMessage { .. } => "ended message",
        };
        *kinds.entry(kind).or_default() += 1;
        queue.replay(entry);
    }
    queue.finish_recovery();
    let queue::Counts { waiting, finished, replicas, .. } = queue.counts();
    let mut lines: Vec<String> =
        kinds.iter().map(|(kind, count)| format!("{count} records: {kind}")).collect();
    lines.push(format!(
        "disk {:016x}: {waiting} messages waiting, {finished} ended, {replicas} copies",
        queue.disk()
    ));
    lines
}

fn control_line(bytes: &[u8]) -> anyhow::Result<String> {
    let durable: DurableState =
        borsh::from_slice(bytes).context("the last record is none of this version; update")?;
    let epoch = durable.accepted_view.as_ref().map_or(0, |view| view.epoch);
    let (version, change) = (durable.state.version, durable.state.position.number);
    Ok(format!(
        "control, disk {:016x}: epoch {epoch}, change {change}, configuration {version}",
        durable.disk
    ))
}
