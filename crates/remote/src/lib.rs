//! What more than one program asks over HTTP: a sender's control address, and an outside store of keys.
//!
//! Both are clients alone: they keep no state but a connection, decide nothing, and every call ends within the
//! patience that it is given. `control::call` makes one connection a call; `store::Store` keeps one to the first of
//! its addresses that answers, and speaks the JSON gateway of etcd's API.
pub mod control;
pub mod store;
