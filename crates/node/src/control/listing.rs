//! The primary reads the platform's list of endpoints and tells it to the stores.
use super::Control;
use crate::calls::Endpoint;
use net::client::{Client, Identity};
use net::http::encode_request;
use net::repeat::Repeat;
use net::runtime;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often the list is read.
const EVERY: Duration = Duration::from_millis(1_000);
/// After a call that failed.
const AGAIN: Duration = Duration::from_millis(300);
const CALL: Duration = Duration::from_millis(1_000);
/// More pages than this are no list.
const MOST_PAGES: usize = 10_000;

/// Reads the list for good, as long as this machine leads.
pub async fn read_list(control: Rc<Control>) {
    let Some(cloud) = control.process.settings.cloud.clone() else { return };
    let Ok(address) = cloud.address.parse::<SocketAddr>() else { return };
    let pause = Duration::from_secs_f64(2.0 / cloud.rate_per_s.max(1.0));
    let client = Client::default();
    let mut number = 0;
    loop {
        let epoch = control.group.borrow().leads(control.now()).map(|view| view.epoch);
        let Some(epoch) = epoch else {
            runtime::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Some(endpoints) = read_all(&client, address, pause).await else {
            runtime::sleep(AGAIN).await;
            continue;
        };
        number += 1;
        control.publish_list((epoch, number), endpoints);
        runtime::sleep(EVERY).await;
    }
}

impl Control {
    fn publish_list(&self, number: (u64, u64), endpoints: Vec<Endpoint>) {
        if self.published.borrow_mut().publish_list(number, endpoints) {
            self.changes.raise();
        }
    }
}

async fn read_all(client: &Client, address: SocketAddr, pause: Duration) -> Option<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MOST_PAGES {
        let target = match &token {
            Some(token) => format!("/instances?PageToken={token}"),
            None => "/instances".to_string(),
        };
        let host = address.to_string();
        let request = encode_request("GET", &target, &[("Host", &host)], b"");
        let response = client
            .call(address, request, CALL, Identity::NONE, Repeat::Freely)
            .await
            .ok()
            .filter(|r| r.status.as_u16() == 200)?;
        let page: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        for entry in page.get("Instances")?.as_array()? {
            endpoints.push(endpoint(entry)?);
        }
        token = page.get("NextPageToken").and_then(|token| token.as_str()).map(str::to_string);
        if token.is_none() {
            return Some(endpoints);
        }
        runtime::sleep(pause).await;
    }
    None
}

fn endpoint(entry: &serde_json::Value) -> Option<Endpoint> {
    let text = |key: &str| entry.get(key).and_then(|value| value.as_str()).map(str::to_string);
    Some(Endpoint {
        id: text("Id")?,
        service: text("Backend")?,
        address: text("Address")?,
        zone: text("Zone").unwrap_or_default(),
        capacity: entry.get("Capacity").and_then(|value| value.as_u64()).unwrap_or(1),
        draining: text("State").as_deref() == Some("draining"),
    })
}
