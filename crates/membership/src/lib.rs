//! Failure detection among hosts: SWIM-style probes, indirect probes, suspicion and incarnation
//! numbers.
//!
//! Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002. Each host probes one other host at a time, so the load per host
//! does not grow with the number of hosts, apart from the size of the table.
//!
//! This crate provides no consensus: hosts may disagree about who is alive for seconds, and every
//! user of the table has to be safe under that.
//!
//! Architecture Invariant: no I/O, no clock. Messages and a time go in, messages come out.

mod config;
mod member;
mod message;
mod probing;
mod table;

pub use crate::{
    config::Config,
    member::{Member, MemberState},
    message::{Outgoing, Probe, ProbeKind},
    probing::Membership,
    table::Table,
};
