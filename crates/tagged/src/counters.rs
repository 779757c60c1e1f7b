//! Counters of the dispatcher's decisions.

use crate::Reason;

/// A counted action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Counter {
    /// Packets forwarded to a target.
    Forwarded,
    /// Openings assigned to a target, retries included.
    Opened,
    /// Openings retried on another target.
    Retried,
    /// Times a target became suspect on this host's own evidence.
    Suspected,
    /// Times a target was declared dead.
    Dead,
    /// Openings assigned to a cold target whose openings are limited.
    OpenedCold,
}

const COUNTER_COUNT: usize = Counter::OpenedCold as usize + 1;

/// The counters of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    counts: [u64; COUNTER_COUNT],
    resets: [u64; Reason::ALL.len()],
    drops: [u64; Reason::ALL.len()],
}

impl Counters {
    /// Every counter with its metric name.
    pub const NAMES: [(Counter, &'static str); COUNTER_COUNT] = [
        (Counter::Forwarded, "packets_forwarded"),
        (Counter::Opened, "flows_opened"),
        (Counter::Retried, "openings_retried"),
        (Counter::Suspected, "targets_suspected"),
        (Counter::Dead, "targets_dead"),
        (Counter::OpenedCold, "flows_opened_cold"),
    ];

    /// Increments `counter`.
    pub fn count(&mut self, counter: Counter) {
        self.counts[counter as usize] += 1;
    }

    /// Counts a flow that was reset.
    pub fn count_reset(&mut self, reason: Reason) {
        self.resets[reason.index()] += 1;
    }

    /// Counts a dropped packet.
    pub fn count_drop(&mut self, reason: Reason) {
        self.drops[reason.index()] += 1;
    }

    /// The value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }

    /// How many flows were reset for `reason`.
    pub fn resets(&self, reason: Reason) -> u64 {
        self.resets[reason.index()]
    }

    /// How many packets were dropped for `reason`.
    pub fn drops(&self, reason: Reason) -> u64 {
        self.drops[reason.index()]
    }
}
