//! What members of a system and their peers say over TCP, on `monoio`.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`http`] | requests and answers: heads and chunks by `monoio-http`'s decoders, behind stricter checks |
//! | [`server`] | serves HTTP/1.1 on a listener |
//! | [`client`] | one call on one connection |
//! | `pool` | connections that are kept from one call to the next |
//! | [`meter`] | bytes by peer and purpose |
//! | [`repeat`] | whether a call may be sent again |
//! | [`rpc`] | calls between members: numbered frames of `borsh` on one connection a pair |
//! | [`socket`] | options of sockets |
//! | [`runtime`] | tasks, timers and clocks, which a simulation may stand in for |
//! | [`wake`] | waking tasks of one thread |
pub mod client;
pub mod http;
pub mod meter;
mod pool;
pub mod repeat;
pub mod rpc;
pub mod runtime;
pub mod server;
pub mod socket;
pub mod wake;
