//! The platform's key-value service: its client, and how settings are accepted through it.
//!
//! The client speaks the published HTTP interface of Consul's key-value store: `GET /v1/kv/KEY` with
//! `index` and `wait` for a waiting read, `PUT /v1/kv/KEY?cas=INDEX` for a compare-and-swap, and
//! `GET /v1/catalog/service/NAME` for the list of hosts.
//!
//! This crate decides nothing about flows. No decision of the system depends on holding a lease, so
//! sessions are not used.
//!
//! Architecture Invariant: the only write that can change what is in force is one compare-and-swap
//! of the root record in [`accept`].

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
