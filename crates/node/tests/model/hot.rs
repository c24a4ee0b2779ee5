//! A tenant with a quota: its clients send far more than that through all edges.
use super::endpoints::Sent;
use super::tenants::Credential;
use super::{queue_id, request, Ms, World};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

/// The tenant's name, and the key that its clients send.
const NAME: &str = "hot";
const KEY: &str = "secret-of-hot";

/// One message of the tenant, and what its client was told.
#[derive(Clone, Debug)]
pub struct Handed {
    id: String,
    sent: Ms,
    told: Option<(Ms, u16)>,
}

/// All messages of the tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant(Rc<RefCell<Vec<Handed>>>);

impl Tenant {
    /// How many clients were told a status.
    pub fn count(&self, status: u16) -> usize {
        self.0.borrow().iter().filter(|handed| handed.told.is_some_and(|(_, told)| told == status)).count()
    }

    /// Messages that were accepted from one time to another.
    pub fn accepted_between(&self, from: Ms, to: Ms) -> usize {
        let handed = self.0.borrow();
        let accepted = handed.iter().filter_map(|handed| handed.told).filter(|(_, status)| *status == 202);
        accepted.filter(|(at, _)| (from..to).contains(at)).count()
    }
}

fn ip_of_edge(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 2, number + 1))
}

impl World {
    /// A new version of the configuration: the tenant has this quota.
    pub fn set_tenant_quota(&self, rate_per_s: f64, burst: f64) {
        let mut listed = self.tenants.listed();
        listed.retain(|tenant| tenant.name != NAME);
        listed.push(settings::Tenant {
            name: NAME.to_string(),
            keys: vec![KEY.to_string()],
            rate_per_s: Some(rate_per_s),
            burst: Some(burst),
        });
        self.configure(listed);
    }

    /// A client of the tenant sends one message; the edges take turns.
    pub fn send_of_tenant(&mut self, tenant: &Tenant) {
        let number = tenant.0.borrow().len();
        let (process, edge) = self.edges[number % self.edges.len()].clone();
        let id = format!("hot-{number}");
        let credential = Credential::Key(KEY.to_string());
        let message = Sent { credential, api_key: Some(KEY.to_string()), ..Sent::default() };
        let request = request(&id, &message, 0);
        self.endpoints.sent(&id, message);
        tenant.0.borrow_mut().push(Handed { id: id.clone(), sent: self.now(), told: None });
        let (all, endpoints, simulation) =
            (tenant.0.clone(), self.endpoints.clone(), self.simulation.clone());
        self.simulation.spawn_in(process, async move {
            let answer = edge.answer(request).await;
            endpoints.told(&id, answer.status, &queue_id(&answer));
            all.borrow_mut()[number].told = Some((simulation.ms(), answer.status));
        });
    }

    /// The most messages of the tenant that were both sent and run first within one span.
    pub fn most_run_within(&self, tenant: &Tenant, span: Ms) -> usize {
        let handed = tenant.0.borrow();
        let first_run = |handed: &Handed| self.begins(&handed.id).first().map(|(at, _)| (handed.sent, *at));
        let runs: Vec<(Ms, Ms)> = handed.iter().filter_map(first_run).collect();
        let within =
            |from: Ms| runs.iter().filter(|(sent, ran)| *sent >= from && *ran <= from + span).count();
        runs.iter().map(|(sent, _)| within(*sent)).max().unwrap_or(0)
    }

    /// Cuts some stores and the first edge off from the others and from control.
    pub fn split_off(&mut self, machines: &[usize], span: Ms) {
        let store = |i: &usize| self.machines[*i].ip;
        let apart: Vec<IpAddr> = machines.iter().map(store).chain([ip_of_edge(0)]).collect();
        let others = (0..self.machines.len()).filter(|i| !machines.contains(i)).map(|i| store(&i));
        let others: Vec<IpAddr> = others.chain([ip_of_edge(1), super::ip_of_control()]).collect();
        for one in &apart {
            for other in &others {
                self.network.cut(*one, *other);
                self.network.cut(*other, *one);
            }
        }
        self.cut_until = self.now() + span;
    }

    /// The process of a machine stands still.
    pub fn freeze_machine(&mut self, i: usize, span: Ms) {
        let machine = &mut self.machines[i];
        machine.frozen_until = self.simulation.ms() + span;
        machine.running.iter().for_each(|running| self.simulation.freeze(running.id));
    }
}
