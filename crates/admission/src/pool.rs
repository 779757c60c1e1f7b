//! The targets of one service in one failure domain, and the openings that wait for them.

use std::net::IpAddr;

use flow::FlowHash;
use routing::{HostId, weighted_score};
use settings::{Kind, ListenerPolicy, TargetPolicy};

use crate::{
    budget::RetryBudget,
    classes::{self, Class, Slots},
    counts::{Counts, Grant, Usage},
    health::Health,
    queue::Waiting,
};

/// How far a target may exceed its weighted share of flows before new sessions go to another, in
/// percent of that share.
const SESSION_EXCESS_PERCENT: u32 = 2;

/// A target of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolTarget {
    /// The address.
    pub address: IpAddr,
    /// A hash of the address, the same on every host.
    pub seed: u64,
    /// The effective policy.
    pub policy: TargetPolicy,
}

/// A new flow that needs a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// The flow.
    pub hash: FlowHash,
    /// The caller's address.
    pub caller: IpAddr,
    /// The listener.
    pub listener_key: u32,
    /// The home of the flow.
    pub home: HostId,
    /// The target that failed to accept the flow, when the opening is a retry.
    pub avoid: Option<IpAddr>,
}

/// Why an opening was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The pool has no such listener.
    UnknownListener,
    /// No target accepts new flows.
    NoTarget,
    /// The queue is full, or the opening would have to wait but may not.
    QueueFull,
    /// The opening reached its queue deadline.
    Deadline,
}

/// The immediate decision about an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The opening is assigned to this target.
    Granted(IpAddr),
    /// The opening is queued; an [`Outcome`] follows.
    Waiting,
    /// The opening is refused.
    Refused(Refusal),
}

/// The final decision about a queued opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The flow.
    pub hash: FlowHash,
    /// The home that requested the target.
    pub home: HostId,
    /// The listener.
    pub listener_key: u32,
    /// The target or the refusal; never [`Verdict::Waiting`].
    pub verdict: Verdict,
}

/// A target with its load and health.
#[derive(Debug)]
struct TargetEntry {
    target: PoolTarget,
    usage: Usage,
    health: Health,
    /// When the target was added, if it ramps up by slow start.
    added_at_ms: Option<u64>,
}

impl TargetEntry {
    fn is_usable(&self, now_ms: u64) -> bool {
        self.target.policy.state == settings::TargetState::Active && !self.health.is_paused(now_ms)
    }

    /// The target's slots; during slow start they grow linearly from one.
    fn slots(&self, now_ms: u64) -> u32 {
        let slots = self.target.policy.slots;
        let slow_start_ms = self.target.policy.slow_start_ms;
        let age_ms = self.added_at_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        if age_ms >= slow_start_ms {
            return slots;
        }
        ((u64::from(slots) * age_ms / slow_start_ms) as u32).max(1)
    }

    fn has_capacity(&self, kind: Kind, now_ms: u64) -> bool {
        if self.usage.flows >= self.target.policy.connections {
            return false;
        }
        kind == Kind::Session || self.usage.requests < self.slots(now_ms)
    }
}

/// The targets of one service in one failure domain.
#[derive(Debug, Default)]
pub struct Pool {
    entries: Vec<TargetEntry>,
    classes: Vec<Class>,
    counts: Counts,
    budget: RetryBudget,
    /// Whether a settings revision was applied, so that targets added from now on are new.
    is_configured: bool,
    /// Refusals of openings evicted from full queues; returned by the next tick.
    evicted: Vec<Outcome>,
}

impl Pool {
    /// Applies the targets, sorted by address, and the listeners of a settings revision.
    pub fn configure(
        &mut self,
        targets: &[PoolTarget],
        listeners: &[(u32, ListenerPolicy)],
        now_ms: u64,
    ) {
        let mut old = std::mem::take(&mut self.entries);
        for target in targets {
            let present = old.iter().position(|entry| entry.target.address == target.address);
            let entry = match present {
                Some(position) => TargetEntry { target: *target, ..old.swap_remove(position) },
                None => TargetEntry {
                    target: *target,
                    usage: Usage::default(),
                    health: Health::default(),
                    // A new opener takes over running targets; only targets that are added later
                    // need a slow start.
                    added_at_ms: self.is_configured.then_some(now_ms),
                },
            };
            self.entries.push(entry);
        }
        self.is_configured = true;
        for (listener_key, policy) in listeners {
            match self.class_index(*listener_key) {
                Some(index) => self.classes[index].policy = *policy,
                None => self.classes.push(Class::new(*listener_key, *policy)),
            }
        }
        self.recount();
    }

    /// Assigns an opening to a target. `wait` says whether it is queued if there is no capacity.
    ///
    /// A repeated opening gets the same answer as long as its grant is recent or it waits.
    pub fn open(&mut self, opening: &Opening, wait: Wait, now_ms: u64) -> Verdict {
        if let Some(grant) = self.counts.recent(opening.hash) {
            return Verdict::Granted(grant.target);
        }
        let Some(index) = self.class_index(opening.listener_key) else {
            return Verdict::Refused(Refusal::UnknownListener);
        };
        if self.classes[index].queue.contains(opening.hash) {
            return Verdict::Waiting;
        }
        self.budget.deposit();
        self.classes[index].last_opened_at_ms = Some(now_ms);
        if !self.entries.iter().any(|entry| entry.is_usable(now_ms)) {
            return Verdict::Refused(Refusal::NoTarget);
        }
        if self.classes[index].queue.len() == 0
            && let Some(target) = self.try_grant(index, opening, now_ms)
        {
            return Verdict::Granted(target);
        }
        if wait == Wait::No {
            return Verdict::Refused(Refusal::QueueFull);
        }
        self.enqueue(index, opening, now_ms)
    }

    /// Frees the capacity of a flow that ended normally.
    pub fn close(&mut self, opening: &Opening, target: IpAddr, now_ms: u64) {
        self.release(opening, target, now_ms);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.target.address == target) {
            entry.health.on_success();
        }
    }

    /// Frees the capacity of an opening that `target` failed to accept, and records the failure.
    ///
    /// Returns whether the retry budget allows another attempt.
    pub fn fail(&mut self, opening: &Opening, target: IpAddr, now_ms: u64) -> bool {
        self.release(opening, target, now_ms);
        let others = self.entries.iter().filter(|entry| entry.target.address != target);
        let has_other = others.into_iter().any(|entry| entry.is_usable(now_ms));
        // The last usable target is never paused: a failing target is better than none.
        if has_other
            && let Some(entry) =
                self.entries.iter_mut().find(|entry| entry.target.address == target)
        {
            entry.health.on_failure(now_ms);
        }
        self.budget.withdraw()
    }

    /// Removes a queued opening whose caller gave up.
    pub fn cancel(&mut self, hash: FlowHash) {
        for class in &mut self.classes {
            class.queue.remove(hash);
        }
    }

    /// Applies a home's report of its settled flows: target, listener and flow count.
    pub fn report(&mut self, home: HostId, loads: &[(IpAddr, u32, u32)]) {
        self.counts.report(home, loads);
        self.recount();
    }

    /// Drops the flows of homes that are no longer present.
    pub fn retain_homes(&mut self, is_present: impl Fn(HostId) -> bool) {
        self.counts.retain_homes(is_present);
        self.recount();
    }

    /// Expires queued openings and grants free slots. Returns the decisions about queued openings.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outcome> {
        self.counts.settle(now_ms);
        let mut outcomes = std::mem::take(&mut self.evicted);
        for class in &mut self.classes {
            let listener_key = class.listener_key;
            for expired in class.queue.take_expired(now_ms) {
                outcomes.push(refused_outcome(&expired, listener_key, Refusal::Deadline));
            }
        }
        self.grant_waiting(now_ms, &mut outcomes);
        outcomes
    }

    /// Grants free slots to queued openings, and appends the grants to `outcomes`.
    pub fn grant_waiting(&mut self, now_ms: u64, outcomes: &mut Vec<Outcome>) {
        while let Some(index) = classes::next_class(&self.classes, self.slots(now_ms), now_ms) {
            let Some(waiting) = self.classes[index].queue.pop() else { return };
            let listener_key = self.classes[index].listener_key;
            let opening = Opening {
                hash: waiting.hash,
                caller: waiting.caller,
                listener_key,
                home: waiting.home,
                avoid: None,
            };
            let Some(target) = self.try_grant(index, &opening, now_ms) else {
                let limit = usize::MAX;
                self.classes[index].queue.push(waiting, limit);
                return;
            };
            outcomes.push(Outcome {
                hash: waiting.hash,
                home: waiting.home,
                listener_key,
                verdict: Verdict::Granted(target),
            });
        }
    }

    /// The load on each target, by address.
    pub fn usage(&self) -> impl Iterator<Item = (IpAddr, Usage)> {
        self.entries.iter().map(|entry| (entry.target.address, entry.usage))
    }

    /// The number of queued openings.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(|class| class.queue.len()).sum()
    }

    fn enqueue(&mut self, index: usize, opening: &Opening, now_ms: u64) -> Verdict {
        let class = &mut self.classes[index];
        let waiting = Waiting {
            hash: opening.hash,
            caller: opening.caller,
            home: opening.home,
            deadline_ms: now_ms + class.policy.queue_deadline_ms,
        };
        match class.queue.push(waiting, class.policy.queue_limit as usize) {
            None => Verdict::Waiting,
            Some(refused) if refused.hash == opening.hash => Verdict::Refused(Refusal::QueueFull),
            Some(evicted) => {
                let listener_key = opening.listener_key;
                self.evicted.push(refused_outcome(&evicted, listener_key, Refusal::QueueFull));
                Verdict::Waiting
            }
        }
    }

    fn try_grant(&mut self, index: usize, opening: &Opening, now_ms: u64) -> Option<IpAddr> {
        let kind = self.classes[index].policy.kind;
        if kind == Kind::Request
            && !classes::may_take_slot(&self.classes, index, self.slots(now_ms), now_ms)
        {
            return None;
        }
        let position = match kind {
            Kind::Request => self.least_used(opening, now_ms),
            Kind::Session => self.hash_preferred(opening, now_ms),
        }?;
        let entry = &mut self.entries[position];
        entry.usage.flows += 1;
        entry.usage.requests += u32::from(kind == Kind::Request);
        let target = entry.target.address;
        self.classes[index].used += u32::from(kind == Kind::Request);
        let grant =
            Grant { target, listener_key: opening.listener_key, home: opening.home, at_ms: now_ms };
        self.counts.add(opening.hash, grant);
        Some(target)
    }

    // The target with the smallest fraction of its slots in use; ties go to the higher rendezvous
    // score.
    fn least_used(&self, opening: &Opening, now_ms: u64) -> Option<usize> {
        let hash = opening.hash;
        self.candidates(opening, Kind::Request, now_ms).min_by(|left, right| {
            let (left, right) = (&self.entries[*left], &self.entries[*right]);
            let load = |entry: &TargetEntry, other: &TargetEntry| {
                u64::from(entry.usage.requests) * u64::from(other.slots(now_ms))
            };
            load(left, right).cmp(&load(right, left)).then_with(|| {
                rendezvous_score(hash, right).total_cmp(&rendezvous_score(hash, left))
            })
        })
    }

    // Weighted rendezvous hashing with bounded loads: the target with the highest score among those
    // that do not exceed their share by more than `SESSION_EXCESS_PERCENT`, or among all if all do.
    fn hash_preferred(&self, opening: &Opening, now_ms: u64) -> Option<usize> {
        let hash = opening.hash;
        let usable: Vec<usize> = self.candidates(opening, Kind::Session, now_ms).collect();
        let flows: u64 =
            usable.iter().map(|index| u64::from(self.entries[*index].usage.flows)).sum();
        let weight: u64 =
            usable.iter().map(|index| u64::from(self.entries[*index].target.policy.weight)).sum();
        let is_over_share = |entry: &TargetEntry| {
            let share = flows * u64::from(entry.target.policy.weight) / weight.max(1);
            let limit = share + share * u64::from(SESSION_EXCESS_PERCENT) / 100;
            u64::from(entry.usage.flows) > limit
        };
        let by_score = |left: &&usize, right: &&usize| {
            rendezvous_score(hash, &self.entries[**left])
                .total_cmp(&rendezvous_score(hash, &self.entries[**right]))
        };
        usable
            .iter()
            .filter(|index| !is_over_share(&self.entries[**index]))
            .max_by(by_score)
            .or_else(|| usable.iter().max_by(by_score))
            .copied()
    }

    fn candidates(
        &self,
        opening: &Opening,
        kind: Kind,
        now_ms: u64,
    ) -> impl Iterator<Item = usize> + '_ {
        let avoid = opening.avoid;
        (0..self.entries.len()).filter(move |index| {
            let entry = &self.entries[*index];
            avoid != Some(entry.target.address)
                && entry.is_usable(now_ms)
                && entry.has_capacity(kind, now_ms)
        })
    }

    // The slots of all usable targets.
    fn slots(&self, now_ms: u64) -> Slots {
        let usable = self.entries.iter().filter(|entry| entry.is_usable(now_ms));
        let mut slots = Slots { total: 0, used: 0 };
        for entry in usable {
            slots.total += entry.slots(now_ms);
            slots.used += entry.usage.requests.min(entry.slots(now_ms));
        }
        slots
    }

    fn release(&mut self, opening: &Opening, target: IpAddr, now_ms: u64) {
        let ended =
            Grant { target, listener_key: opening.listener_key, home: opening.home, at_ms: now_ms };
        let Some((target, listener_key)) = self.counts.remove(opening.hash, &ended) else {
            return;
        };
        self.update_usage(target, listener_key, |count| count.saturating_sub(1));
    }

    fn update_usage(&mut self, target: IpAddr, listener_key: u32, change: impl Fn(u32) -> u32) {
        let Some(index) = self.class_index(listener_key) else { return };
        let is_request = self.classes[index].policy.kind == Kind::Request;
        if is_request {
            self.classes[index].used = change(self.classes[index].used);
        }
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.target.address == target)
        else {
            return;
        };
        entry.usage.flows = change(entry.usage.flows);
        if is_request {
            entry.usage.requests = change(entry.usage.requests);
        }
    }

    // Recomputes the usage of targets and classes from the counts.
    fn recount(&mut self) {
        for entry in &mut self.entries {
            entry.usage = Usage::default();
        }
        for class in &mut self.classes {
            class.used = 0;
        }
        let counted: Vec<(IpAddr, u32, u32)> = self.counts.iter().collect();
        for (target, listener_key, flows) in counted {
            self.update_usage(target, listener_key, |count| count + flows);
        }
    }

    fn class_index(&self, listener_key: u32) -> Option<usize> {
        self.classes.iter().position(|class| class.listener_key == listener_key)
    }
}

/// Whether an opening may be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The opening is queued if there is no capacity.
    Yes,
    /// The opening is granted at once or refused.
    No,
}

fn rendezvous_score(hash: FlowHash, entry: &TargetEntry) -> f64 {
    weighted_score(hash.seed(), entry.target.seed, entry.target.policy.weight)
}

fn refused_outcome(waiting: &Waiting, listener_key: u32, refusal: Refusal) -> Outcome {
    Outcome {
        hash: waiting.hash,
        home: waiting.home,
        listener_key,
        verdict: Verdict::Refused(refusal),
    }
}
