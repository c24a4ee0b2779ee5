//! Checked settings: the process's own file and the configuration that the operator sends.
//!
//! Both are declared with one macro, [`declare!`]: each setting with its type, its default and its check. A reader
//! goes through the whole text and names every fault at once, each with its remedy.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`declare`](mod@declare) | the macro and the types it can read |
//! | [`location`] | zones, regions and distances |
//! | [`process`] | the settings file of a process |
//! | [`routing`] | which route a request belongs to |
//! | [`tenants`] | who may send requests, with which keys, and how many |
//! | [`tolerance`] | what may be lost at once, and which sets of machines outlast it |
//! | [`configuration`] | routes, services and limits, as the operator sends them |
pub mod configuration;
pub mod declare;
pub mod location;
pub mod process;
pub mod routing;
pub mod tenants;
pub mod tolerance;

pub use configuration::{Configuration, Limits, Route, Service};
pub use declare::{Fault, Faults};
pub use location::{Distance, Location, Topology};
pub use process::ProcessSettings;
pub use routing::{Destination, RouteKey, RouteTable};
pub use tenants::{Quota, Tenant};
pub use tolerance::Tolerance;
