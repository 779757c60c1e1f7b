//! The targets of one service in one failure domain, and the openings that want them.

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

/// By how much a target may exceed the mean before the hash's choice is passed over.
const SESSION_EXCESS_PERCENT: u32 = 2;

/// A target as the pool sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolTarget {
    /// The address.
    pub address: IpAddr,
    /// A number that depends on the address alone.
    pub seed: u64,
    /// The effective policy.
    pub policy: TargetPolicy,
}

/// A flow that wants a target.
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
    /// A target that failed to accept the flow just now.
    pub avoid: Option<IpAddr>,
}

/// Why an opening was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no such listener here.
    UnknownListener,
    /// No target takes new flows.
    NoTarget,
    /// Too many openings wait.
    QueueFull,
    /// The opening waited too long.
    Deadline,
}

/// What becomes of an opening at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target takes it.
    Granted(IpAddr),
    /// It waits; an [`Outcome`] follows.
    Waiting,
    /// Nobody takes it.
    Refused(Refusal),
}

/// What became of a waiting opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The flow.
    pub hash: FlowHash,
    /// The home that asked.
    pub home: HostId,
    /// The listener.
    pub listener_key: u32,
    /// The target or the refusal.
    pub verdict: Verdict,
}

#[derive(Debug)]
struct TargetEntry {
    target: PoolTarget,
    usage: Usage,
    health: Health,
    /// When the target appeared, if it has to be ramped up.
    appeared_at_ms: Option<u64>,
}

impl TargetEntry {
    fn is_usable(&self, now_ms: u64) -> bool {
        self.target.policy.state == settings::TargetState::Active && !self.health.is_paused(now_ms)
    }

    fn slots(&self, now_ms: u64) -> u32 {
        let slots = self.target.policy.slots;
        let slow_start_ms = self.target.policy.slow_start_ms;
        let age_ms = self.appeared_at_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        if age_ms >= slow_start_ms {
            return slots;
        }
        ((u64::from(slots) * age_ms / slow_start_ms) as u32).max(1)
    }

    fn has_room(&self, kind: Kind, now_ms: u64) -> bool {
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
    is_configured: bool,
    /// Openings that had to make room, until the next tick.
    evicted: Vec<Outcome>,
}

impl Pool {
    /// Takes over the targets, sorted by address, and the listeners of a settings revision.
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
                    // A new opener finds warm targets; only what appears later is cold.
                    appeared_at_ms: self.is_configured.then_some(now_ms),
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

    /// Decides about an opening. `wait` says whether it is queued if there is no room.
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

    /// Frees what the flow occupied.
    pub fn close(&mut self, opening: &Opening, target: IpAddr, now_ms: u64) {
        self.release(opening, target, now_ms);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.target.address == target) {
            entry.health.on_success();
        }
    }

    /// Frees what the flow occupied, notes the failure, and says whether it may be tried again.
    pub fn fail(&mut self, opening: &Opening, target: IpAddr, now_ms: u64) -> bool {
        self.release(opening, target, now_ms);
        let others = self.entries.iter().filter(|entry| entry.target.address != target);
        let has_other = others.into_iter().any(|entry| entry.is_usable(now_ms));
        // The last usable target is not paused: a bad target is better than none.
        if has_other
            && let Some(entry) =
                self.entries.iter_mut().find(|entry| entry.target.address == target)
        {
            entry.health.on_failure(now_ms);
        }
        self.budget.withdraw()
    }

    /// Removes a waiting opening whose caller gave up.
    pub fn cancel(&mut self, hash: FlowHash) {
        for class in &mut self.classes {
            class.queue.remove(hash);
        }
    }

    /// Takes over a home's report of its settled flows as target, listener and number.
    pub fn report(&mut self, home: HostId, loads: &[(IpAddr, u32, u32)]) {
        self.counts.report(home, loads);
        self.recount();
    }

    /// Forgets homes that are gone.
    pub fn retain_homes(&mut self, is_present: impl Fn(HostId) -> bool) {
        self.counts.retain_homes(is_present);
        self.recount();
    }

    /// Advances time. Gives what became of waiting openings.
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

    /// Grants freed slots to waiting openings.
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

    /// What occupies each target, by address.
    pub fn usage(&self) -> impl Iterator<Item = (IpAddr, Usage)> {
        self.entries.iter().map(|entry| (entry.target.address, entry.usage))
    }

    /// How many openings wait.
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

    // The target with the smallest share of its slots in use; the hash decides between equals.
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

    // The hash's choice, unless it holds clearly more than its share.
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
                && entry.has_room(kind, now_ms)
        })
    }

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
    /// It waits for a slot.
    Yes,
    /// It is granted at once or not at all.
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
