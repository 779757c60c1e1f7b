//! Limits the openings that targets in their warm-up get from all hosts together.

use catalog::{Directory, TargetId};
use hashbrown::HashMap;

/// The period after its start during which a target is slow.
#[derive(Debug, Clone, Copy)]
struct Warmup {
    ends_at_ms: u64,
    total_ms: u32,
}

/// The targets in their warm-up.
#[derive(Debug, Default)]
pub(crate) struct Warmups {
    warmups: HashMap<TargetId, Warmup>,
}

impl Warmups {
    /// Applies a new directory.
    pub(crate) fn on_directory(&mut self, directory: &Directory, now_ms: u64) {
        self.warmups.retain(|target, _| directory.find_target(*target).is_some());
        for target in directory.targets().filter(|target| target.warmup_ms > 0) {
            let total_ms = target.warmup_ms;
            let ends_at_ms = now_ms + u64::from(total_ms);
            self.warmups.entry(target.id).or_insert(Warmup { ends_at_ms, total_ms });
        }
    }

    /// The share of its warm-up that `target` has before it, or `None` if it is warm.
    pub(crate) fn share_left(&self, target: TargetId, now_ms: u64) -> Option<f64> {
        let warmup = self.warmups.get(&target)?;
        let left_ms = warmup.ends_at_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)?;
        Some(left_ms as f64 / f64::from(warmup.total_ms))
    }

    /// Whether this host may send an opening to `target` now.
    pub(crate) fn may_open(&self, _target: TargetId, _now_ms: u64) -> bool {
        true
    }

    /// Records that this host sends an opening to `target`.
    pub(crate) fn record_opening(&mut self, _target: TargetId, _now_ms: u64) {}
}
