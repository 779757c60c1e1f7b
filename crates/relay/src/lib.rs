//! Distributes the current catalog to all hosts while only a few of them read the store.
//!
//! One host, the reader, follows the store. It pushes changes and heartbeats down a tree of the
//! hosts in its failure domain, and to the first host of each other domain, which forwards them
//! down the tree of its own domain. A host whose catalog has not been confirmed as current for a
//! while polls its peers, and then reads the store itself, in rank order: the first host of each
//! domain, then the second of each, and so on, in waves that grow until one of them is served.
//!
//! A push carries at most one batch of rows, and the most urgent of a larger change. The others pull
//! the rest from the host that has it, one window of batches at a time, so that no change, however
//! large, fills a link's queue; rows travel in the order of their keys, listeners last.
//!
//! This crate does no I/O and has no clock: messages, store updates and a monotonic time go in,
//! messages come out. Failure detection is in `membership`.
//!
//! Architecture Invariant: the confirmed time of a catalog is never later than the time at which a
//! reader knew it to be current.

mod config;
mod key_timestamps;
mod message;
mod relay;
mod store_health;
mod topology;
mod transfer;

pub use crate::{
    config::Config,
    message::{Heartbeat, KeyRange, Message, Outgoing, Peer, Pull, RowBatch, Scope},
    relay::{Relay, Role, Settings, StoreUpdate},
};
