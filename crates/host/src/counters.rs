//! Counters for the metrics of a host.

use flow::DropReason;

/// A kind of event that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Counter {
    /// Packets forwarded to a target.
    Forwarded,
    /// Packets returned to a caller.
    Returned,
    /// Packets relayed to their home.
    Relayed,
    /// Flows that were assigned a target.
    Opened,
    /// Flows that were refused.
    Refused,
    /// Openings retried on another target.
    Retried,
    /// Flows whose target was searched for.
    Searched,
    /// Searches that found the target.
    Found,
    /// Searches that failed because all targets reset the flow.
    Lost,
    /// Flows reset because the target no longer answered them while it answered others.
    Silent,
    /// Pins sent to other hosts.
    PinsSent,
    /// Pins received from other hosts.
    PinsReceived,
    /// Packets sent to the previous holder of their bucket, to ask for a pin.
    AskedHolder,
    /// Bytes of control messages that traffic sent.
    ControlBytes,
    /// Detected pauses of the process.
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
    /// All counters with their names in metrics.
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

    /// Increments `counter` by one.
    pub fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments `counter` by `amount`.
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

    /// The number of packets dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drops[reason.index()]
    }
}
