//! How all hosts come to hold the current catalog while few of them read the store.
//!
//! One host, the reader, follows the store. It pushes changes and heartbeats down a tree of the hosts
//! of its failure domain, and to the first host of each other domain, which passes them down the tree
//! of its own. A host whose catalog has not been confirmed as current for a while asks others, and
//! then reads the store itself: the first of each domain, the second of each, and so on.
//!
//! This crate does no I/O and has no clock: messages, readings and a steady time go in, messages
//! come out. Who is alive is decided elsewhere (see `membership`).
//!
//! Architecture Invariant: the confirmed time of a catalog is never later than the moment at which
//! a reader knew it to be current.

mod config;
mod key_timestamps;
mod message;
mod reassembly;
mod relay;
mod store_health;
mod topology;

pub use crate::{
    config::Config,
    message::{Heartbeat, Message, Outgoing, Peer, Pull, RowBatch, Scope},
    relay::{Relay, Role, StoreUpdate},
};
