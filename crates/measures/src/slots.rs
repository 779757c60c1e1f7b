//! Simulates how long openings wait for a slot, depending on how their target is chosen.
//!
//! The model has fifteen targets with three slots each, Poisson arrivals and exponential service
//! times. All times are in units of the mean service time. It reproduces the table of trials in
//! the design document.

use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

/// How the target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// A random target; each target has its own queue.
    RandomHash,
    /// The less loaded of two random targets, by loads that are up to one service time old.
    TwoChoices,
    /// A random one of the given number of homes; each has a queue and an equal share of all slots.
    Homes(usize),
}

/// How long openings waited for a slot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlotWait {
    /// How the target is chosen.
    pub choice: Choice,
    /// Utilization of the slots, in percent.
    pub use_percent: u32,
    /// The share of openings that waited.
    pub waited_share: f64,
    /// Mean wait over all openings, in units of the mean service time.
    pub mean_wait: f64,
}

const TARGETS: usize = 15;
const SLOTS_PER_TARGET: usize = 3;
const OPENINGS: usize = 400_000;

/// Simulates `choice` at a utilization of `use_percent`.
pub fn slot_wait(choice: Choice, use_percent: u32, seed: u64) -> SlotWait {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = f64::from(use_percent) / 100.0 * (TARGETS * SLOTS_PER_TARGET) as f64;
    let slots_per_queue = match choice {
        Choice::RandomHash | Choice::TwoChoices => vec![SLOTS_PER_TARGET; TARGETS],
        Choice::Homes(homes) => slots_per_home(homes),
    };
    let mut queues: Vec<SlotQueue> = slots_per_queue.into_iter().map(SlotQueue::new).collect();
    let mut now = 0.0;
    let mut reported_work = vec![0; queues.len()];
    let mut reported_at = 0.0;
    let (mut waited, mut total_wait) = (0, 0.0);
    for _ in 0..OPENINGS {
        now += exponential(&mut rng) / rate;
        let queue = match choice {
            Choice::TwoChoices => {
                if now - reported_at >= 1.0 {
                    reported_at = now;
                    for (report, queue) in reported_work.iter_mut().zip(&mut queues) {
                        *report = queue.remaining_work(now);
                    }
                }
                let first = rng.random_range(0..queues.len());
                let second = rng.random_range(0..queues.len());
                if reported_work[first] <= reported_work[second] { first } else { second }
            }
            _ => rng.random_range(0..queues.len()),
        };
        let wait = queues[queue].serve(now, exponential(&mut rng));
        waited += usize::from(wait > 0.0);
        total_wait += wait;
    }
    SlotWait {
        choice,
        use_percent,
        waited_share: waited as f64 / OPENINGS as f64,
        mean_wait: total_wait / OPENINGS as f64,
    }
}

/// A queue in front of a group of slots: the times at which its slots become free, as integers in
/// units of 1/`UNITS_PER_SERVICE_TIME` of the mean service time, since a heap needs a total order.
#[derive(Debug)]
struct SlotQueue {
    free_at: BinaryHeap<std::cmp::Reverse<u64>>,
}

const UNITS_PER_SERVICE_TIME: f64 = 1e9;

impl SlotQueue {
    fn new(count: usize) -> SlotQueue {
        SlotQueue { free_at: (0..count).map(|_| std::cmp::Reverse(0)).collect() }
    }

    /// Returns the wait of a request that arrives at `now` and takes `service_time`.
    fn serve(&mut self, now: f64, service_time: f64) -> f64 {
        let free_at =
            self.free_at.pop().map_or(0.0, |entry| entry.0 as f64 / UNITS_PER_SERVICE_TIME);
        let start = free_at.max(now);
        self.free_at
            .push(std::cmp::Reverse(((start + service_time) * UNITS_PER_SERVICE_TIME) as u64));
        start - now
    }

    fn remaining_work(&self, now: f64) -> u64 {
        self.free_at
            .iter()
            .map(|entry| entry.0.saturating_sub((now * UNITS_PER_SERVICE_TIME) as u64))
            .sum()
    }
}

fn slots_per_home(homes: usize) -> Vec<usize> {
    let total_slots = TARGETS * SLOTS_PER_TARGET;
    (0..homes).map(|home| total_slots / homes + usize::from(home < total_slots % homes)).collect()
}

fn exponential(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random_range(1e-12..1.0);
    -uniform.ln()
}
