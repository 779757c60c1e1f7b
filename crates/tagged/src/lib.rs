//! Decisions about flows whose packets carry a tag that names their target.
//!
//! Targets answer callers directly and both ends repeat the tag, so any host can forward any packet
//! of a flow without having seen the flow before. There are no pins, homes, backups or searches;
//! `host` has those, for transports that carry no tag. What [`Dispatcher`] remembers of flows is soft
//! state that only serves the choice of targets and the detection of dead ones.
//!
//! This crate has no sockets, clocks or threads: segments and a steady time go in, verdicts come
//! out.
//!
//! Architecture Invariant: a flow is reset only if its target was replaced at its address, proven
//! dead or its listener was removed, and never on a view that may be out of date.

mod choice;
mod config;
mod counters;
mod dispatcher;
mod event;
mod flows;
mod health;
mod load;
mod openings;
mod segment;
mod unknown_tags;

pub use crate::{
    choice::{Candidate, ChoiceParams, Penalty, choose_target},
    config::Config,
    counters::{Counter, Counters},
    dispatcher::{Dispatcher, LoadUpdate, View},
    event::{Event, FlowReport, LatencySample, Reason},
    health::{DueCheck, Health, Standing, Verdict as CheckVerdict},
    load::{HostLoad, ReportedLoads, TargetLoad},
    segment::{FlowKey, Segment, SegmentKind, Verdict},
};
