//! Logs as numbered events, and metrics.
//!
//! This crate decides nothing. Its catalogue of events is `docs/EVENTS.md`.
//!
//! Architecture Invariant: the core crates do not depend on it; the shells translate what the core
//! reports.

mod event;
mod logging;
mod metrics;

pub use crate::{
    event::Event,
    logging::{Field, emit, field, init},
    metrics::{Histogram, Label, Metrics},
};
