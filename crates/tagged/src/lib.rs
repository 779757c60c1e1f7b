//! Packet forwarding decisions for flows whose packets carry a tag that identifies their target.
//!
//! Targets reply to callers directly, and both ends echo the tag in every packet, so any host can
//! forward any packet of a flow without having seen the flow before. No pins, homes, backups or
//! searches are needed; the `host` crate has those, for transports that carry no tag. The flow
//! state in [`Dispatcher`] is soft: it is only used to choose targets and to detect dead ones.
//!
//! This crate has no sockets, clocks or threads: its inputs are segments and a monotonic time, its
//! outputs are verdicts.
//!
//! Architecture Invariant: a flow is reset only if its target was replaced at its address, its
//! target was found dead or its listener was removed, and never based on a view that may be stale.

mod choice;
mod config;
mod counters;
mod dispatcher;
mod domain_exit;
mod event;
mod flows;
mod health;
mod load;
mod openings;
mod permits;
mod precedence;
mod segment;
mod speed;
mod unknown_flows;
mod warmup;

pub use crate::{
    choice::{Candidate, ChoiceParams, ExitRule, Penalty, choose_target},
    config::{Config, DomainExit, WarmupLimit},
    counters::{Counter, Counters},
    dispatcher::{Dispatcher, LoadUpdate, View},
    domain_exit::{DomainExits, ExitChange, ExitEstimate, ExitInputs},
    event::{Event, FlowReport, LatencySample, Reason, StandingCause},
    health::{CheckOutcome, DueCheck, Health, Standing, Verdict as CheckVerdict, judge_check},
    load::{Evidence, HostLoad, ReportedLoads, TargetLoad},
    precedence::{Admission, Shortage},
    segment::{FlowKey, Segment, SegmentKind, Verdict},
    speed::{AnswerStats, SpeedSummary},
};
