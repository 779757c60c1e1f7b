//! Sharing of a pool's slots between classes by guarantee, cap and priority.

use settings::ListenerPolicy;

use crate::queue::Queue;

/// The class of one listener: its policy, its queue and its share of the pool's slots.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) listener_key: u32,
    pub(crate) policy: ListenerPolicy,
    pub(crate) queue: Queue,
    /// The number of slots that the class occupies.
    pub(crate) used: u32,
    /// When the class last had an opening, in milliseconds.
    pub(crate) last_opened_at_ms: Option<u64>,
}

/// How long after its last opening a class keeps a slot reserved against less urgent classes, in
/// milliseconds.
const RESERVE_HOLD_MS: u64 = 5_000;

impl Class {
    pub(crate) fn new(listener_key: u32, policy: ListenerPolicy) -> Class {
        Class { listener_key, policy, queue: Queue::default(), used: 0, last_opened_at_ms: None }
    }

    /// The slots that the class can always get, of `total`.
    pub(crate) fn guaranteed(&self, total: u32) -> u32 {
        total * u32::from(self.policy.guaranteed_percent) / 100
    }

    /// The slots that the class never exceeds, of `total`.
    pub(crate) fn cap(&self, total: u32) -> u32 {
        (total * u32::from(self.policy.cap_percent)).div_ceil(100).max(1)
    }

    fn is_below_guarantee(&self, total: u32) -> bool {
        self.used < self.guaranteed(total)
    }

    fn is_recently_active(&self, now_ms: u64) -> bool {
        self.last_opened_at_ms.is_some_and(|at_ms| now_ms < at_ms + RESERVE_HOLD_MS)
    }
}

/// The slots of a pool at one moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slots {
    pub(crate) total: u32,
    pub(crate) used: u32,
}

/// Whether the class at `index` may occupy one more slot.
pub(crate) fn may_take_slot(classes: &[Class], index: usize, slots: Slots, now_ms: u64) -> bool {
    let class = &classes[index];
    if slots.used >= slots.total || class.used >= class.cap(slots.total) {
        return false;
    }
    if class.is_below_guarantee(slots.total) {
        return true;
    }
    // Beyond its guarantee a class may use any free slot but the last, which is reserved while a
    // more urgent class is active, so that its next opening need not wait.
    let needs_reserve = |other: &Class| {
        other.policy.priority < class.policy.priority
            && other.used < other.cap(slots.total)
            && other.is_recently_active(now_ms)
    };
    let reserve = u32::from(classes.iter().any(needs_reserve));
    slots.used + reserve < slots.total
}

/// The class to serve next, among those with waiting openings that may occupy another slot.
///
/// Classes below their guarantee come first, then the more urgent, then those with fewer slots.
pub(crate) fn next_class(classes: &[Class], slots: Slots, now_ms: u64) -> Option<usize> {
    (0..classes.len())
        .filter(|index| classes[*index].queue.len() > 0)
        .filter(|index| may_take_slot(classes, *index, slots, now_ms))
        .min_by_key(|index| {
            let class = &classes[*index];
            (!class.is_below_guarantee(slots.total), class.policy.priority, class.used)
        })
}
