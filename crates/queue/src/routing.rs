//! Which route an owned message belongs to, in whatever configuration is in force.
//!
//! A message belongs to the route that it was accepted on, identified by host and path prefix. The envelope tells the
//! version of the configuration that the edge went by, so the route is the one that this version selects for the
//! message's host and path. If this process never applied that version, the next one that it applied decides.
use crate::message::Envelope;
use settings::{Configuration, RouteKey, RouteTable};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of configurations whose routes are remembered: messages that were accepted under one of them may still arrive.
const MAX_VERSIONS: usize = 64;

/// The route of one owned message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum MessageRoute {
    /// No configuration has been applied yet, or only older ones than the message was accepted under, of which none has
    /// a route for it.
    #[default]
    Unknown,
    /// The route that an older configuration than the one of the acceptance selects.
    Provisional(Rc<RouteKey>),
    /// The route on which it was accepted, which is in force.
    Accepted(Rc<RouteKey>),
    /// A configuration has dropped the route on which it was accepted.
    Dropped,
}

impl MessageRoute {
    /// The route on which the message waits, if there is one.
    pub fn key(&self) -> Option<&Rc<RouteKey>> {
        match self {
            MessageRoute::Provisional(key) | MessageRoute::Accepted(key) => Some(key),
            MessageRoute::Unknown | MessageRoute::Dropped => None,
        }
    }
}

/// The routes of the configurations that this process has applied.
#[derive(Debug, Default)]
pub(crate) struct Routing {
    /// By version; the last one is in force.
    tables: BTreeMap<u64, Rc<RouteTable>>,
}

impl Routing {
    /// Applies a newer configuration.
    pub fn apply(&mut self, configuration: &Configuration) {
        let table = RouteTable::of(configuration);
        let before = self.tables.last_key_value().map(|(_, before)| before.clone());
        let unchanged = before.filter(|before| **before == table);
        self.tables.insert(configuration.version, unchanged.unwrap_or_else(|| Rc::new(table)));
        while self.tables.len() > MAX_VERSIONS {
            self.tables.pop_first();
        }
    }

    /// The present route of a message whose route was `known` until now.
    pub fn route_of(&self, envelope: &Envelope, known: &MessageRoute) -> MessageRoute {
        let Some((in_force, table)) = self.tables.last_key_value() else { return MessageRoute::Unknown };
        let accepted = match known {
            MessageRoute::Dropped => return MessageRoute::Dropped,
            MessageRoute::Accepted(key) => Some(key.clone()),
            MessageRoute::Unknown | MessageRoute::Provisional(_) => {
                let version = envelope.config_version;
                if *in_force < version {
                    let selected = table.select(envelope.destination()).cloned();
                    return selected.map_or(MessageRoute::Unknown, MessageRoute::Provisional);
                }
                let accepting = self.tables.range(version..).next().map_or(table, |(_, table)| table);
                accepting.select(envelope.destination()).cloned()
            }
        };
        match accepted.filter(|key| table.contains(key)) {
            Some(key) => MessageRoute::Accepted(key),
            None => MessageRoute::Dropped,
        }
    }
}
