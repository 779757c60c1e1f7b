//! The number of flows on each target, derived from recent grants and the homes' reports.
//!
//! A flow is recent for [`RECENT_GRANT_MS`] after its grant and settled from then on. Homes report
//! their settled flows as counts.

use std::net::IpAddr;

use flow::FlowHash;
use hashbrown::HashMap;
use routing::HostId;

/// How long a grant is counted individually, until the home's reports cover it, in milliseconds.
pub(crate) const RECENT_GRANT_MS: u64 = 1_000;

/// The load on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Open requests.
    pub requests: u32,
    /// Open flows of any kind.
    pub flows: u32,
}

/// The assignment of a flow to a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    pub(crate) target: IpAddr,
    pub(crate) listener_key: u32,
    pub(crate) home: HostId,
    pub(crate) at_ms: u64,
}

/// The number of settled flows of one home, target and listener.
#[derive(Debug, Clone, Copy)]
struct Settled {
    home: HostId,
    target: IpAddr,
    listener_key: u32,
    flows: u32,
}

/// The counted flows of a pool.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    recent: HashMap<FlowHash, Grant>,
    /// Sorted by home, target and listener.
    settled: Vec<Settled>,
}

impl Counts {
    /// The grant of the flow `hash`, while it is recent.
    pub(crate) fn recent(&self, hash: FlowHash) -> Option<&Grant> {
        self.recent.get(&hash)
    }

    /// Counts a new grant.
    pub(crate) fn add(&mut self, hash: FlowHash, grant: Grant) {
        self.recent.insert(hash, grant);
    }

    /// Stops counting a flow that has ended. Returns its target and listener if it was counted.
    ///
    /// A recent grant is found by `hash`; otherwise `ended` names the settled count to decrement.
    pub(crate) fn remove(&mut self, hash: FlowHash, ended: &Grant) -> Option<(IpAddr, u32)> {
        if let Some(grant) = self.recent.remove(&hash) {
            return Some((grant.target, grant.listener_key));
        }
        let position = self.position(ended.home, ended.target, ended.listener_key).ok()?;
        let row = &mut self.settled[position];
        if row.flows == 0 {
            return None;
        }
        row.flows -= 1;
        Some((row.target, row.listener_key))
    }

    /// Moves grants that are no longer recent to the settled counts.
    pub(crate) fn settle(&mut self, now_ms: u64) {
        let is_old = |grant: &Grant| grant.at_ms + RECENT_GRANT_MS <= now_ms;
        let old: Vec<(FlowHash, Grant)> =
            self.recent.extract_if(|_, grant| is_old(grant)).collect();
        for (_, grant) in old {
            let row = Settled {
                home: grant.home,
                target: grant.target,
                listener_key: grant.listener_key,
                flows: 1,
            };
            match self.position(row.home, row.target, row.listener_key) {
                Ok(position) => self.settled[position].flows += 1,
                Err(position) => self.settled.insert(position, row),
            }
        }
    }

    /// Replaces the settled counts of `home` by its report: target, listener and flow count.
    pub(crate) fn report(&mut self, home: HostId, loads: &[(IpAddr, u32, u32)]) {
        self.settled.retain(|row| row.home != home);
        for (target, listener_key, flows) in loads {
            let row = Settled { home, target: *target, listener_key: *listener_key, flows: *flows };
            match self.position(home, *target, *listener_key) {
                Ok(position) => self.settled[position].flows += flows,
                Err(position) => self.settled.insert(position, row),
            }
        }
    }

    /// Drops the flows of homes that are no longer present.
    pub(crate) fn retain_homes(&mut self, is_present: impl Fn(HostId) -> bool) {
        self.settled.retain(|row| is_present(row.home));
        self.recent.retain(|_, grant| is_present(grant.home));
    }

    /// All counted flows as target, listener and flow count.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (IpAddr, u32, u32)> {
        let settled = self.settled.iter().map(|row| (row.target, row.listener_key, row.flows));
        let recent = self.recent.values().map(|grant| (grant.target, grant.listener_key, 1));
        settled.chain(recent)
    }

    fn position(&self, home: HostId, target: IpAddr, listener_key: u32) -> Result<usize, usize> {
        let key = (home, target, listener_key);
        self.settled.binary_search_by_key(&key, |row| (row.home, row.target, row.listener_key))
    }
}
