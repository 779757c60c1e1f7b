//! Logging of numbered events, and metrics.
//!
//! This crate makes no decisions. `docs/EVENTS.md` documents the events.
//!
//! Architecture Invariant: the core crates, which do no input or output, do not depend on it. The
//! crates that run them translate what they report into events and metrics.

mod event;
mod logging;
mod metrics;
mod output;

pub use crate::{
    event::Event,
    logging::{Field, emit, field, init},
    metrics::{Histogram, Label, Metrics},
    output::{LogGuard, lines_dropped, print_error},
};
