//! Counters of what a host did.

use flow::DropReason;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Counter {
    /// Packets towards a target.
    Forwarded,
    /// Packets towards a caller.
    Returned,
    /// Packets passed to another host.
    Relayed,
    /// Flows that got a target.
    Opened,
    /// Flows that were refused.
    Refused,
    /// Openings that were tried on another target.
    Retried,
    /// Flows that a target was searched for.
    Searched,
    /// Searches that found the target.
    Found,
    /// Searches that no target answered.
    Lost,
    /// Flows that were reset because they had gone silent.
    Silent,
    /// Pins sent to other hosts.
    PinsSent,
    /// Pins received from other hosts.
    PinsReceived,
    /// Packets that asked an earlier holder of a bucket.
    AskedHolder,
    /// Bytes of control messages sent by traffic.
    ControlBytes,
    /// Pauses of the process that were noticed.
    Freezes,
}

const COUNTER_COUNT: usize = Counter::Freezes as usize + 1;

/// The counters of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    counts: [u64; COUNTER_COUNT],
    drops: [u64; DropReason::ALL.len()],
}

impl Counters {
    /// Every counter with its name in metrics.
    pub const NAMES: [(Counter, &'static str); COUNTER_COUNT] = [
        (Counter::Forwarded, "packets_forwarded"),
        (Counter::Returned, "packets_returned"),
        (Counter::Relayed, "packets_relayed"),
        (Counter::Opened, "flows_opened"),
        (Counter::Refused, "flows_refused"),
        (Counter::Retried, "openings_retried"),
        (Counter::Searched, "flows_searched"),
        (Counter::Found, "flows_found"),
        (Counter::Lost, "flows_lost"),
        (Counter::Silent, "flows_silent"),
        (Counter::PinsSent, "pins_sent"),
        (Counter::PinsReceived, "pins_received"),
        (Counter::AskedHolder, "packets_asked_holder"),
        (Counter::ControlBytes, "control_bytes"),
        (Counter::Freezes, "freezes"),
    ];

    /// Adds one.
    pub fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount`.
    pub fn add(&mut self, counter: Counter, amount: u64) {
        self.counts[counter as usize] += amount;
    }

    /// Counts a dropped packet.
    pub fn count_drop(&mut self, reason: DropReason) {
        self.drops[reason.index()] += 1;
    }

    /// The value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }

    /// How many packets were dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drops[reason.index()]
    }
}
