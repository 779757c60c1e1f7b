//! Which target takes an opening, and which openings wait or are refused.
//!
//! A [`Pool`] stands for the targets of one service in one failure domain. One host of that domain,
//! the opener, owns it, so that there is one queue before all of the pool's slots.
//!
//! This crate does not send anything and does not know packets; see `host` for the messages.
//!
//! Architecture Invariant: everything a pool knows can be rebuilt from the reports of the homes.
//! No socket, no clock; times are arguments.

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
