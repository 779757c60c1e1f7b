//! Whether a host reads the store, and when it asks others instead.

use rand::seq::SliceRandom;

use super::{Relay, Role};
use crate::{Message, Outgoing, Scope};

/// How many hosts read at the same time while the store fails and they hear of each other. The store
/// may turn a third of the hosts away; more readers than this would only add calls.
const FAILING_READERS_MAX: usize = 8;

impl Relay {
    pub(super) fn ask_if_stale(&mut self, now_ms: u64) -> Vec<Outgoing> {
        // Others are asked early enough that their answers come before the catalog is stale.
        let limit_ms = self.config.fresh_ms - self.config.answer_ms;
        let is_due = self
            .asked_at_ms
            .is_none_or(|asked_at_ms| now_ms >= asked_at_ms + 2 * self.config.answer_ms);
        if self.age_ms(self.told_at_ms, now_ms) < limit_ms
            || !is_due
            || self.hosts.peers().is_empty()
        {
            return Vec::new();
        }
        if self.role == Role::Reader && self.age_ms(self.confirmed_at_ms, now_ms) < limit_ms {
            return Vec::new();
        }
        self.asked_at_ms = Some(now_ms);
        let message = Message::Pull(self.pull(Scope::Changes));
        let mut peers = self.hosts.peers().to_vec();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.config.asked);
        peers.iter().map(|peer| Outgoing { to: peer.address, message: message.clone() }).collect()
    }

    pub(super) fn decide_role(&self, now_ms: u64) -> Role {
        let rank = self.hosts.rank();
        if self.confirmed_at_ms.is_none() {
            // Callers wait for it, and whom it has heard of may know as little.
            let wait_ms = self.config.newcomer_ms + rank as u64 * self.config.newcomer_step_ms;
            let is_due = now_ms >= self.started_at_ms + wait_ms;
            return if is_due { Role::Reader } else { Role::Listener };
        }
        // All hosts start at once after an outage of power, and each takes itself for the first. What
        // one has just read is as good as what it would hear.
        let is_settling = now_ms < self.started_at_ms + self.config.settle_ms;
        if is_settling && self.age_ms(self.confirmed_at_ms, now_ms) < self.config.fresh_ms {
            return Role::Listener;
        }
        let told_age_ms = self.age_ms(self.told_at_ms, now_ms);
        let is_reader = match rank {
            0 => true,
            // Of two readers the one that is to read before the other goes on.
            _ if self.role == Role::Reader => {
                self.age_ms(self.told_by_earlier_at_ms, now_ms) >= self.config.fresh_ms
            }
            _ if told_age_ms < self.config.fresh_ms => false,
            // Nobody tells anything: this host is alone and has to read by itself.
            _ if !self.is_heard(now_ms) => true,
            rank if rank < FAILING_READERS_MAX => {
                told_age_ms >= self.config.fresh_ms + rank as u64 * self.config.rank_step_ms
            }
            _ => false,
        };
        if is_reader { Role::Reader } else { Role::Listener }
    }

    pub(super) fn is_heard(&self, now_ms: u64) -> bool {
        self.heard_at_ms.is_some_and(|heard_at_ms| now_ms < heard_at_ms + self.config.fresh_ms)
    }

    /// How long ago `moment` was; before the first, since the start of this host.
    pub(super) fn age_ms(&self, moment: Option<u64>, now_ms: u64) -> u64 {
        match moment {
            Some(at_ms) => now_ms.saturating_sub(at_ms),
            // A host that knows nothing is stale as soon as others had time to answer.
            None => {
                let waited_ms = now_ms.saturating_sub(self.started_at_ms);
                self.config.fresh_ms - self.config.answer_ms + waited_ms
            }
        }
    }
}
