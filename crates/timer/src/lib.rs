//! A timer service with one-time and periodic subscriptions.
//!
//! Subscriptions are kept in a vector sorted by deadline. The service has no clock: the user passes
//! the current time, so that tests can control it.
//!
//! This crate is not meant for the timeouts of flows, of which there are too many for a sorted vector:
//! expired flows are found by scans.

/// Identifies a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubscriptionId(u64);

#[derive(Debug)]
struct Subscription<T> {
    deadline_ms: u64,
    id: SubscriptionId,
    period_ms: Option<u64>,
    /// Tells the user what has expired.
    topic: T,
}

/// A set of timers. Each has a topic `T`, which is returned when it expires.
#[derive(Debug)]
pub struct TimerService<T> {
    subscriptions: Vec<Subscription<T>>,
    next_id: u64,
}

impl<T> Default for TimerService<T> {
    fn default() -> TimerService<T> {
        TimerService { subscriptions: Vec::new(), next_id: 0 }
    }
}

impl<T: Copy> TimerService<T> {
    /// Adds a timer with `topic` that expires once, at `deadline_ms`.
    pub fn subscribe_at(&mut self, deadline_ms: u64, topic: T) -> SubscriptionId {
        self.subscribe(deadline_ms, None, topic)
    }

    /// Adds a timer with `topic` that expires every `period_ms`, first at `first_ms`.
    pub fn subscribe_every(&mut self, first_ms: u64, period_ms: u64, topic: T) -> SubscriptionId {
        self.subscribe(first_ms, Some(period_ms.max(1)), topic)
    }

    /// Ends a subscription. Does nothing if it has already ended.
    pub fn cancel(&mut self, id: SubscriptionId) {
        self.subscriptions.retain(|subscription| subscription.id != id);
    }

    /// The earliest deadline, in milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.subscriptions.first().map(|subscription| subscription.deadline_ms)
    }

    /// Returns the topics that are due at `now_ms`, in the order of their deadlines.
    ///
    /// A periodic subscription that missed several periods is returned once.
    pub fn poll(&mut self, now_ms: u64) -> Vec<T> {
        let due = self.subscriptions.partition_point(|entry| entry.deadline_ms <= now_ms);
        let expired: Vec<Subscription<T>> = self.subscriptions.drain(..due).collect();
        let topics = expired.iter().map(|subscription| subscription.topic).collect();
        for subscription in expired {
            let Some(period_ms) = subscription.period_ms else { continue };
            let missed = (now_ms - subscription.deadline_ms) / period_ms;
            let deadline_ms = subscription.deadline_ms + (missed + 1) * period_ms;
            self.insert(Subscription { deadline_ms, ..subscription });
        }
        topics
    }

    fn subscribe(&mut self, deadline_ms: u64, period_ms: Option<u64>, topic: T) -> SubscriptionId {
        let id = SubscriptionId(self.next_id);
        self.next_id += 1;
        self.insert(Subscription { deadline_ms, id, period_ms, topic });
        id
    }

    fn insert(&mut self, subscription: Subscription<T>) {
        let deadline_ms = subscription.deadline_ms;
        let position = self.subscriptions.partition_point(|entry| entry.deadline_ms <= deadline_ms);
        self.subscriptions.insert(position, subscription);
    }
}
