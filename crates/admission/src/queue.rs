//! The queue of one class's openings that wait for a slot.

use std::net::IpAddr;

use flow::FlowHash;
use routing::HostId;

/// A queued opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) hash: FlowHash,
    pub(crate) caller: IpAddr,
    pub(crate) home: HostId,
    pub(crate) deadline_ms: u64,
}

/// A bounded queue that serves callers fairly, whatever the number of their openings.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// In the order in which they were queued.
    waiting: Vec<Waiting>,
    /// How many openings of each caller were served, sorted by caller.
    served_counts: Vec<(IpAddr, u32)>,
}

/// The number of callers at which the counts of served openings are cleared, to bound their memory.
const SERVED_CALLERS_MAX: usize = 1024;

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn contains(&self, hash: FlowHash) -> bool {
        self.waiting.iter().any(|waiting| waiting.hash == hash)
    }

    /// Adds an opening. A full queue evicts the newest opening of the caller with the most openings
    /// in it, if that caller has at least two more than the caller of `opening`: with a difference
    /// of one, the two would only swap places.
    ///
    /// Returns the opening that is refused: the evicted one or `opening` itself.
    pub(crate) fn push(&mut self, opening: Waiting, limit: usize) -> Option<Waiting> {
        if self.waiting.len() < limit {
            self.waiting.push(opening);
            return None;
        }
        let own_count = self.waiting_count(opening.caller);
        let busiest = self.waiting.iter().max_by_key(|waiting| self.waiting_count(waiting.caller));
        let Some(busiest) = busiest.map(|waiting| waiting.caller) else { return Some(opening) };
        if self.waiting_count(busiest) <= own_count + 1 {
            return Some(opening);
        }
        let newest = self.waiting.iter().rposition(|waiting| waiting.caller == busiest);
        let refused = newest.map(|position| self.waiting.remove(position));
        self.waiting.push(opening);
        refused
    }

    /// Removes and returns the oldest opening among those of the least-served callers.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let position = (0..self.waiting.len())
            .min_by_key(|index| (self.served_count(self.waiting[*index].caller), *index))?;
        let opening = self.waiting.remove(position);
        self.record_served(opening.caller);
        Some(opening)
    }

    pub(crate) fn remove(&mut self, hash: FlowHash) -> Option<Waiting> {
        let position = self.waiting.iter().position(|waiting| waiting.hash == hash)?;
        Some(self.waiting.remove(position))
    }

    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<Waiting> {
        self.waiting.extract_if(.., |waiting| waiting.deadline_ms <= now_ms).collect()
    }

    fn waiting_count(&self, caller: IpAddr) -> usize {
        self.waiting.iter().filter(|waiting| waiting.caller == caller).count()
    }

    fn served_count(&self, caller: IpAddr) -> u32 {
        let found = self.served_counts.binary_search_by_key(&caller, |entry| entry.0);
        found.map_or(0, |position| self.served_counts[position].1)
    }

    fn record_served(&mut self, caller: IpAddr) {
        // Fairness is only tracked while openings wait.
        if self.waiting.is_empty() || self.served_counts.len() >= SERVED_CALLERS_MAX {
            self.served_counts.clear();
        }
        match self.served_counts.binary_search_by_key(&caller, |entry| entry.0) {
            Ok(position) => self.served_counts[position].1 += 1,
            Err(position) => self.served_counts.insert(position, (caller, 1)),
        }
    }
}
