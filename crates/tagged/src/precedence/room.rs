//! What the targets of a service bear within the callers' aim.

/// How many requests one after the other a slot runs within the aim of its callers. Most requests
/// take a quarter of it.
const ROUNDS_IN_AIM: u64 = 4;

/// Up to how many requests per slot the least urgent openings are placed. The rest of
/// [`ROUNDS_IN_AIM`] is left to more urgent ones: the loads of other hosts are up to 2 s old.
const LEAST_URGENT_ROUNDS: u64 = 2;

/// By how many standard deviations the requests of this host must exceed its part of the room to
/// count as a burst that other hosts see too.
const BURST_DEVIATIONS: f64 = 2.0;

/// How many requests a target queues beside those that it runs; it rejects the others.
const TARGET_QUEUE: u64 = 8;

/// The room of a service over its targets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Room {
    slots: u64,
    /// The requests that the targets run or queue within the aim.
    capacity: u64,
    busy: u64,
    /// Those of `busy` that this host sees.
    own_busy: u64,
    flows_max: u32,
    capped_targets: usize,
    open_targets: usize,
}

impl Room {
    /// The room of a service whose targets hold `flows_max` flows each.
    pub(crate) fn new(flows_max: u32) -> Room {
        Room { flows_max, ..Room::default() }
    }

    /// Counts a target. Returns whether it may hold one more flow.
    pub(crate) fn add_flows(&mut self, flows: u32) -> bool {
        let is_open = flows < self.flows_max;
        self.open_targets += usize::from(is_open);
        self.capped_targets += usize::from(!is_open);
        is_open
    }

    /// Adds the slots of a sound target and its requests in flight.
    pub(crate) fn add_slots(&mut self, slots: u16, busy: u32, own_busy: u32) {
        let slots = u64::from(slots.max(1));
        let held_max = slots + TARGET_QUEUE;
        self.slots += slots;
        self.capacity += held_max.min(slots * ROUNDS_IN_AIM);
        self.own_busy += u64::from(own_busy);
        self.busy += u64::from(busy).min(held_max);
    }

    /// Whether no target may hold one more flow.
    pub(crate) fn is_capped(&self) -> bool {
        self.open_targets == 0 && self.capped_targets > 0
    }

    /// Whether the service's targets hold no flows at all.
    pub(crate) fn holds_no_flows(&self) -> bool {
        self.flows_max == 0
    }

    /// Whether no sound target was counted.
    pub(crate) fn is_unknown(&self) -> bool {
        self.slots == 0
    }

    /// Whether openings may be placed whose order is `less_urgent_share`: 1 for the least urgent.
    pub(crate) fn has_room(&self, less_urgent_share: f64) -> bool {
        (self.busy as f64) < self.limit(less_urgent_share)
    }

    /// Whether the requests that this host sees in flight are more than its part of what the targets
    /// bear, so that the other hosts, of which nothing is known, likely see as many.
    pub(crate) fn exceeds_part(&self, less_urgent_share: f64, host_count: usize) -> bool {
        let part = self.limit(less_urgent_share) / host_count.max(1) as f64;
        self.own_busy as f64 > part + BURST_DEVIATIONS * part.max(1.0).sqrt()
    }

    /// Up to how many requests in flight openings of this order are placed.
    fn limit(&self, less_urgent_share: f64) -> f64 {
        let least_urgent = self.capacity.min(self.slots * LEAST_URGENT_ROUNDS);
        self.capacity as f64 - (self.capacity - least_urgent) as f64 * less_urgent_share
    }
}
