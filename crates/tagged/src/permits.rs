//! Deals the permits for openings of cold targets to hosts.
//!
//! Load pattern: each host decides for itself, and the sum over all hosts is bounded. The permits of a
//! target go to the hosts with the highest scores of rendezvous hashing, so that hosts which know the
//! same members agree without a message, and a changed member moves few permits.

use routing::{HostId, mix};

/// How long after its start a host uses no permit, in milliseconds: until it knows the members, and
/// they know it.
const SETTLING_MS: u64 = 5_000;

/// How long a host that vanished keeps its permits, in milliseconds. It may be cut off and use them.
const HANDOVER_MS: u64 = 10_000;

/// How long a host that vanished is remembered, in milliseconds.
const MEMORY_MS: u64 = 600_000;

#[derive(Debug, Clone, Copy)]
struct Remembered {
    host: HostId,
    domain_seed: u64,
    /// When it vanished; `None` if it is there.
    vanished_at_ms: Option<u64>,
}

/// The hosts among which permits are dealt.
#[derive(Debug, Default)]
pub(crate) struct Members {
    me: Option<HostId>,
    /// The hosts that are there or vanished, sorted by id.
    hosts: Vec<Remembered>,
    started_at_ms: u64,
    /// The hosts that hold permits, sorted, each with its failure domain.
    dealt: Vec<(HostId, u64)>,
    version: u64,
    /// When `dealt` changes without a message.
    next_change_ms: Option<u64>,
}

impl Members {
    /// Applies the hosts that are there now, sorted by id.
    pub(crate) fn update(&mut self, me: HostId, members: &[(HostId, u64)], now_ms: u64) {
        if self.me.is_none() {
            self.started_at_ms = now_ms;
        }
        self.me = Some(me);
        for remembered in &mut self.hosts {
            let is_there = members.binary_search_by_key(&remembered.host, |member| member.0);
            remembered.vanished_at_ms = match is_there {
                Ok(_) => None,
                Err(_) => remembered.vanished_at_ms.or(Some(now_ms)),
            };
        }
        for (host, domain_seed) in members {
            match self.hosts.binary_search_by_key(host, |remembered| remembered.host) {
                Ok(position) => self.hosts[position].domain_seed = *domain_seed,
                Err(position) => {
                    let host =
                        Remembered { host: *host, domain_seed: *domain_seed, vanished_at_ms: None };
                    self.hosts.insert(position, host);
                }
            }
        }
        let earlier = std::mem::take(&mut self.dealt);
        self.deal(now_ms);
        self.version += u64::from(self.dealt != earlier);
    }

    /// Whether this host plausibly knows the others.
    pub(crate) fn is_settled(&self, now_ms: u64) -> bool {
        self.me.is_some() && now_ms >= self.started_at_ms + SETTLING_MS
    }

    /// Changes whenever the shares change.
    pub(crate) fn version(&mut self, now_ms: u64) -> u64 {
        if self.next_change_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.deal(now_ms);
            self.version += 1;
        }
        self.version
    }

    /// The number of `permits` of a target that are this host's. They are dealt within the target's
    /// failure domain, whose hosts prefer it.
    pub(crate) fn share(
        &self,
        target_seed: u64,
        domain_seed: u64,
        permits: u64,
        now_ms: u64,
    ) -> u64 {
        let Some(me) = self.me.filter(|_| self.is_settled(now_ms)) else { return 0 };
        let has_domain = self.dealt.iter().any(|host| host.1 == domain_seed);
        let hosts = self.dealt.iter().filter(|host| !has_domain || host.1 == domain_seed);
        let rank_of = |host: HostId| (mix(host.0, target_seed), host);
        let (mut count, mut rank, mut is_dealt) = (0, 0, false);
        for (host, _) in hosts {
            count += 1;
            rank += u64::from(rank_of(*host) > rank_of(me));
            is_dealt |= *host == me;
        }
        match is_dealt {
            true => permits / count + u64::from(rank < permits % count),
            false => 0,
        }
    }

    /// Chooses the hosts that hold permits. Those that vanished lose theirs after a while, but only
    /// if most hosts are there: otherwise this host may be the one that is cut off.
    fn deal(&mut self, now_ms: u64) {
        let is_remembered = |host: &Remembered| {
            host.vanished_at_ms.is_none_or(|vanished_at_ms| now_ms < vanished_at_ms + MEMORY_MS)
        };
        self.hosts.retain(is_remembered);
        let present = self.hosts.iter().filter(|host| host.vanished_at_ms.is_none()).count();
        let is_majority = 2 * present > self.hosts.len();
        let keeps_ms = if is_majority { HANDOVER_MS } else { MEMORY_MS };
        let holds = |host: &&Remembered| {
            host.vanished_at_ms.is_none_or(|vanished_at_ms| now_ms < vanished_at_ms + keeps_ms)
        };
        self.dealt =
            self.hosts.iter().filter(holds).map(|host| (host.host, host.domain_seed)).collect();
        let changes = self.hosts.iter().filter_map(|host| host.vanished_at_ms);
        let changes = changes.flat_map(|at_ms| [at_ms + keeps_ms, at_ms + MEMORY_MS]);
        let settled_at_ms = self.started_at_ms + SETTLING_MS;
        self.next_change_ms = changes.chain([settled_at_ms]).filter(|at_ms| *at_ms > now_ms).min();
    }
}
