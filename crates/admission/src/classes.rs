//! How the slots of a pool are shared between classes.

use settings::ListenerPolicy;

use crate::queue::Queue;

/// One class of work before a pool.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) listener_key: u32,
    pub(crate) policy: ListenerPolicy,
    pub(crate) queue: Queue,
    /// The slots that the class occupies.
    pub(crate) used: u32,
    /// When the class last had an opening, in milliseconds.
    pub(crate) last_opened_at_ms: Option<u64>,
}

/// How long after its last opening a class keeps a slot in reserve, in milliseconds.
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
    // All slots are lent but for one, so that a more urgent class that is active finds one at once.
    let needs_reserve = |other: &Class| {
        other.policy.priority < class.policy.priority
            && other.used < other.cap(slots.total)
            && other.is_recently_active(now_ms)
    };
    let reserve = u32::from(classes.iter().any(needs_reserve));
    slots.used + reserve < slots.total
}

/// The class whose opening is next, among those that wait and may take a slot.
pub(crate) fn next_class(classes: &[Class], slots: Slots, now_ms: u64) -> Option<usize> {
    (0..classes.len())
        .filter(|index| classes[*index].queue.len() > 0)
        .filter(|index| may_take_slot(classes, *index, slots, now_ms))
        .min_by_key(|index| {
            let class = &classes[*index];
            (!class.is_below_guarantee(slots.total), class.policy.priority, class.used)
        })
}
