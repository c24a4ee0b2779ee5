//! Endpoints as lists name them: numbers for the module, places for the pool.
use super::*;
use crate::list::List;

impl Core {
    pub(super) fn list(&mut self, list: List, whole: bool) -> Event {
        let now = Instant::now();
        if whole {
            self.client.pool.withdraw_all();
            for known in self.endpoints.values_mut() {
                known.listed = false;
                known.closed.get_or_insert(now);
            }
        }
        self.generation = list.generation;
        let mut entries = Vec::new();
        for instance in (0..list.len()).filter_map(|entry| list.get(entry)) {
            let (condition, name) = (instance.condition, instance.name.as_str().to_string());
            let endpoint = *self.names.entry(name.clone()).or_insert_with(|| {
                self.next_endpoint += 1;
                self.next_endpoint
            });
            let kind = position(&self.around.kinds, list.kind(instance)).unwrap_or(usize::MAX);
            let zone = position(&self.around.zones, list.zone(instance)).unwrap_or(usize::MAX);
            let separate = self.settings.kinds.get(kind).is_some_and(|k| k.separate_routes);
            let ready = condition == Condition::Ready;
            let (dest, hint) = (instance.dest, instance.weight);
            let entry = Entry { endpoint, dest, kind, zone, condition, hint };
            let new = || Known { name, entry, listed: true, closed: None };
            let known = self.endpoints.entry(endpoint).or_insert_with(new);
            (known.entry, known.listed) = (entry, condition != Condition::Gone);
            known.closed = if ready { None } else { known.closed.or(Some(now)) };
            self.client.pool.place(endpoint, instance.address.get(), instance.dest, separate, ready);
            self.dests.insert(dest);
            entries.push(entry);
        }
        self.forget_endpoints(now);
        Event::List { whole, entries }
    }

    /// Sends nothing new to these endpoints until a list says otherwise.
    pub(super) fn close(&mut self, names: &[String]) -> Event {
        let mut entries = Vec::new();
        for endpoint in names.iter().filter_map(|name| self.names.get(name)) {
            let Some(known) = self.endpoints.get_mut(endpoint) else { continue };
            known.closed.get_or_insert_with(Instant::now);
            self.client.pool.withdraw(*endpoint);
            entries.push(Entry { condition: Condition::Draining, ..known.entry });
        }
        Event::List { whole: false, entries }
    }

    fn forget_endpoints(&mut self, now: Instant) {
        let pool = &self.client.pool;
        let busy: HashSet<EndpointId> = self.calls.values().map(|out| out.endpoint).collect();
        self.endpoints.retain(|id, known| {
            let keep = known.closed.is_none_or(|at| now - at < FORGET) || busy.contains(id);
            if keep || !pool.is_done_with(*id) {
                return true;
            }
            pool.forget(*id);
            self.names.remove(&known.name);
            false
        });
    }
}
