//! Decides until when new flows may be placed by the catalog.

use super::Relay;

impl Relay {
    /// Until when new flows may be placed by this catalog, by the monotonic clock.
    ///
    /// A catalog of any age may be used while peers and the store have nothing newer. A host that
    /// has just started, or resumed after a pause, has to ask them before it uses an old one.
    pub fn placement_until_ms(&self) -> u64 {
        let Some(confirmed_at_ms) = self.confirmed_at_ms else { return 0 };
        let fresh_until_ms = confirmed_at_ms + self.config.max_placement_age_ms;
        let has_asked = self.old_since_ms.is_some_and(|since_ms| {
            self.last_tick_at_ms >= since_ms + self.config.placement_wait_ms
        });
        if !has_asked {
            return fresh_until_ms;
        }
        // A pause of the process ends the permission, since hosts renew it only while they run.
        fresh_until_ms.max(self.last_tick_at_ms + self.config.placement_lease_ms)
    }

    pub(super) fn track_age(&mut self, now_ms: u64) {
        let was_paused = now_ms >= self.last_tick_at_ms + self.config.placement_wait_ms;
        self.last_tick_at_ms = now_ms;
        if self.age_ms(self.confirmed_at_ms, now_ms) < self.poll_after_ms() {
            self.old_since_ms = None;
        } else if was_paused || self.old_since_ms.is_none() {
            self.old_since_ms = Some(now_ms);
        }
    }
}
