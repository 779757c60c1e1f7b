//! Access to key-value stores: a client of Consul, the acceptance of settings through it, and the
//! interface of stores that report changes by prefix.
//!
//! The client uses Consul's HTTP interface: `GET /v1/kv/KEY` with `index` and `wait` for a blocking
//! read, `PUT /v1/kv/KEY?cas=INDEX` for a compare-and-swap, and `GET /v1/catalog/service/NAME` for the
//! list of hosts.
//!
//! This crate makes no decisions about flows. Nothing in the system depends on holding a lease, so
//! Consul's sessions are not used.
//!
//! Architecture Invariant: the only write that can change the settings in force is one
//! compare-and-swap of the root record in [`accept`].

mod accept;
mod client;
mod error;
mod http;
mod key_value;
mod ranges;

pub use crate::{
    accept::{Accepted, Edit, Rejection, accept, history, load, read_root},
    client::{ConsulClient, ServiceHost},
    error::StoreError,
    http::{Connection, HttpResponse, get_text, post_text, probe},
    key_value::{Entry, KeyValue, Read, SwapResult, Wait},
    ranges::{Change, ChangeList, Item, Listing, RangeStore},
};
