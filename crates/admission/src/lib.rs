//! Admission control: assigns an opening (a new flow) to a target, queues it or refuses it.
//!
//! A [`Pool`] holds the targets of one service in one failure domain. One host of that domain, the
//! opener, owns the pool, so that a single queue per class feeds all of its slots. A slot is the
//! capacity of a target for one request at a time; a class comprises the flows of one listener,
//! with a priority and a share of the slots.
//!
//! This crate does no I/O and parses no packets; `host` exchanges the messages.
//!
//! Architecture Invariant: the state of a pool can be rebuilt from the reports of the homes. There
//! are no sockets and no clock here; times are arguments.

mod budget;
mod classes;
mod counts;
mod health;
mod pool;
mod queue;

pub use crate::{
    budget::RetryBudget,
    counts::Usage,
    health::Health,
    pool::{Opening, Outcome, Pool, PoolTarget, Refusal, Verdict, Wait},
};
