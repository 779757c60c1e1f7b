//! Decides whether a host reads the store or polls its peers instead.

use rand::seq::SliceRandom;

use super::{Relay, Role};
use crate::{Message, Outgoing};

/// How many hosts, the first in the reading order, go on calling a store that fails. The others call
/// it once each and then at long intervals: the store may reject any of the hosts and serve the rest.
const OUTAGE_READERS: usize = 4;

/// By this factor more hosts become readers after each `rank_step_ms` in which nobody has read the store.
const WAVE_GROWTH: usize = 3;

impl Relay {
    /// Polls random peers if the catalog is about to become stale.
    pub(super) fn poll_peers_if_stale(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let poll_after_ms = self.poll_after_ms();
        let is_due = self
            .last_poll_at_ms
            .is_none_or(|polled_at_ms| now_ms >= polled_at_ms + 2 * self.config.poll_timeout_ms);
        if self.age_ms(self.peer_confirmed_at_ms, now_ms) < poll_after_ms
            || !is_due
            || self.topology.peers().is_empty()
        {
            return Vec::new();
        }
        if self.role == Role::Reader && self.age_ms(self.confirmed_at_ms, now_ms) < poll_after_ms {
            return Vec::new();
        }
        self.last_poll_at_ms = Some(now_ms);
        let mut peers = self.topology.peers().to_vec();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.config.poll_fanout);
        peers.iter().map(|peer| Outgoing { to: peer.address, message: Message::Poll }).collect()
    }

    /// The age of a confirmation at which peers are polled: early enough for their answers to arrive
    /// before the catalog is stale.
    pub(super) fn poll_after_ms(&self) -> u64 {
        self.config.stale_after_ms - self.config.poll_timeout_ms
    }

    pub(super) fn update_role(&mut self, now_ms: u64) {
        self.role = self.decide_role(now_ms);
        self.has_taken_over =
            self.role == Role::Reader && (self.has_taken_over || self.confirmed_at_ms.is_some());
    }

    fn decide_role(&self, now_ms: u64) -> Role {
        let rank = self.topology.rank();
        if self.confirmed_at_ms.is_none() {
            // Callers are waiting, and the known peers may not have a catalog either.
            let wait_ms =
                self.config.initial_wait_ms + rank as u64 * self.config.initial_wait_step_ms;
            let is_due = now_ms >= self.started_at_ms + wait_ms;
            return if is_due { Role::Reader } else { Role::Listener };
        }
        // After a power outage all hosts start at once, and each ranks itself first. What a host
        // has just read itself is as good as what a reader would send it. Once views are stale, the
        // host that reads first goes on, and the others hear of it.
        let in_startup_grace = now_ms < self.started_at_ms + self.config.startup_grace_ms;
        let follows_for_peers = self.has_taken_over && !self.topology.peers().is_empty();
        if in_startup_grace
            && !follows_for_peers
            && self.age_ms(self.confirmed_at_ms, now_ms) < self.config.stale_after_ms
        {
            return Role::Listener;
        }
        let peer_confirmation_age_ms = self.age_ms(self.peer_confirmed_at_ms, now_ms);
        let is_reader = match rank {
            0 => true,
            _ if self.waits_for_retry(rank, now_ms) => false,
            // Of two readers, the one with the lower rank stays reader.
            _ if self.role == Role::Reader => {
                self.age_ms(self.lower_rank_confirmed_at_ms, now_ms) >= self.config.stale_after_ms
            }
            _ if peer_confirmation_age_ms < self.config.stale_after_ms => false,
            // No peer sends anything: this host is isolated and has to read the store itself.
            _ if !self.hears_peers(now_ms) => true,
            _ => {
                let wait_ms = wave(rank) * self.config.rank_step_ms;
                peer_confirmation_age_ms >= self.config.stale_after_ms + wait_ms
            }
        };
        if is_reader { Role::Reader } else { Role::Listener }
    }

    /// Whether this host leaves the store to others: its own last call failed, and nobody has read
    /// the store since.
    fn waits_for_retry(&self, rank: usize, now_ms: u64) -> bool {
        let hosts = self.topology.peers().len() as u64 + 1;
        let retry_ms =
            self.config.outage_retry_ms.max(hosts * self.config.outage_retry_per_host_ms);
        let has_just_failed = self.store_failed_at_ms.is_some_and(|failed_at_ms| {
            self.confirmed_at_ms < Some(failed_at_ms) && now_ms < failed_at_ms + retry_ms
        });
        rank >= OUTAGE_READERS
            && has_just_failed
            && self.hears_peers(now_ms)
            && self.age_ms(self.confirmed_at_ms, now_ms) >= self.config.stale_after_ms
    }

    /// Whether a peer has sent a heartbeat or rows recently.
    pub(super) fn hears_peers(&self, now_ms: u64) -> bool {
        self.last_received_at_ms
            .is_some_and(|received_at_ms| now_ms < received_at_ms + self.config.stale_after_ms)
    }

    /// The age of `moment`; without one, an age that reaches `stale_after_ms` at `poll_timeout_ms`
    /// after the start of this host.
    pub(super) fn age_ms(&self, moment: Option<u64>, now_ms: u64) -> u64 {
        match moment {
            Some(at_ms) => now_ms.saturating_sub(at_ms),
            // A host without a catalog is stale once its peers have had time to answer.
            None => {
                let waited_ms = now_ms.saturating_sub(self.started_at_ms);
                self.poll_after_ms() + waited_ms
            }
        }
    }
}

/// The wave in which the host with this rank, which is not the first one, tries to read the store. Each
/// wave has [`WAVE_GROWTH`] times as many hosts as the one before: rank 1, then 2 to 4, then 5 to 13.
fn wave(rank: usize) -> u64 {
    u64::from((rank * (WAVE_GROWTH - 1)).ilog(WAVE_GROWTH)) + 1
}
