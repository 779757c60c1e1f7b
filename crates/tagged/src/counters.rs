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
    /// Openings forwarded to a target of an evacuated failure domain: copies for established flows.
    SentToEvacuated,
    /// Openings retried on another target.
    Retried,
    /// Times a target became suspect on this host's own evidence.
    Suspected,
    /// Times a target was declared dead.
    Dead,
    /// Times a target was set aside because of how it answers.
    SetAside,
    /// Openings assigned to a target of another failure domain.
    LeftDomain,
    /// Bytes of callers and targets on flows to targets of other failure domains; only counted if
    /// the cost of leaving decides.
    LeftDomainBytes,
    /// Openings assigned to a cold target whose openings are limited.
    OpenedCold,
}

/// The number of priorities that are counted one by one; less urgent ones count as the last.
const PRIORITY_COUNT: usize = 8;

const COUNTER_COUNT: usize = Counter::OpenedCold as usize + 1;

/// The counters of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    counts: [u64; COUNTER_COUNT],
    resets: [u64; Reason::ALL.len()],
    drops: [u64; Reason::ALL.len()],
    held: [u64; PRIORITY_COUNT],
}

impl Counters {
    /// Every counter with its metric name.
    pub const NAMES: [(Counter, &'static str); COUNTER_COUNT] = [
        (Counter::Forwarded, "packets_forwarded"),
        (Counter::Opened, "flows_opened"),
        (Counter::SentToEvacuated, "openings_to_evacuated"),
        (Counter::Retried, "openings_retried"),
        (Counter::Suspected, "targets_suspected"),
        (Counter::Dead, "targets_dead"),
        (Counter::SetAside, "targets_set_aside"),
        (Counter::LeftDomain, "flows_left_domain"),
        (Counter::LeftDomainBytes, "bytes_left_domain"),
        (Counter::OpenedCold, "flows_opened_cold"),
    ];

    /// Increments `counter`.
    pub fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increases `counter` by `amount`.
    pub fn add(&mut self, counter: Counter, amount: u64) {
        self.counts[counter as usize] += amount;
    }

    /// Counts a flow that was reset.
    pub fn count_reset(&mut self, reason: Reason) {
        self.resets[reason.index()] += 1;
    }

    /// Counts a dropped packet.
    pub fn count_drop(&mut self, reason: Reason) {
        self.drops[reason.index()] += 1;
    }

    /// Counts an opening that was held back for more urgent ones.
    pub fn count_held(&mut self, priority: u8) {
        self.held[usize::from(priority).min(PRIORITY_COUNT - 1)] += 1;
    }

    /// How many openings of each priority were held back; those of the last one and of less urgent
    /// ones are counted together.
    pub fn held(&self) -> &[u64] {
        &self.held
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
