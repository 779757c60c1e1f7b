//! The answers that this host sees.

use std::net::SocketAddrV4;

use catalog::{Listener, TargetId};
use hashbrown::HashMap;

use super::AnswerStats;

/// How long answers are collected before they count as old, in milliseconds. They are forgotten
/// after twice this time.
const GENERATION_MS: u64 = 3_000;

/// The median to which the times at each listener are scaled, in microseconds.
const SCALED_MEDIAN_US: f64 = 100_000.0;

/// How many answers at a listener are needed before its times are compared.
const MIN_LISTENER_ANSWERS: u32 = 20;

/// The smallest relative step of a [`Median`].
const MIN_MEDIAN_STEP: f64 = 0.03;

/// How much longer than a round trip an answer takes at most to count as too fast, in
/// milliseconds: the difference between failure domains, and the clock's resolution.
const FAST_MARGIN_MS: f64 = 4.0;

/// A listener's times are compared only if their median is at least this many round trips, and
/// [`MIN_WORK_MS`] more.
const MIN_ROUND_TRIPS: f64 = 2.0;

/// See [`MIN_ROUND_TRIPS`].
const MIN_WORK_MS: f64 = 10.0;

/// The shortest and the longest time, relative to the median, that a sample counts as.
const SAMPLE_RATIO: (f64, f64) = (1.0 / 16.0, 16.0);

/// A target with more requests in flight than this many times those that it runs concurrently may
/// reject requests at once, so its fast answers say nothing.
const MAX_QUEUE_FACTOR: f64 = 1.0;

/// A running estimate of a median.
#[derive(Debug, Clone, Copy, Default)]
struct Median {
    value: f64,
    count: u32,
}

impl Median {
    fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.value = sample;
            return;
        }
        let step = (1.0 / f64::from(self.count)).max(MIN_MEDIAN_STEP);
        let factor = if sample > self.value { 1.0 + step } else { 1.0 / (1.0 + step) };
        // The floor lets the estimate leave 0.
        self.value = (self.value * factor).max(0.5);
    }
}

/// The usual times at one listener.
#[derive(Debug, Clone, Copy)]
struct Usual {
    listener: SocketAddrV4,
    /// The time from an opening to the caller's next packet, in milliseconds.
    round_trip_ms: Median,
    /// The time from a request to the acknowledgement of its answer, in milliseconds.
    answer_ms: Median,
}

impl Usual {
    /// Whether most of the time to an answer is the target's work.
    fn is_comparable(&self) -> bool {
        let min_ms = MIN_ROUND_TRIPS * self.round_trip_ms.value + MIN_WORK_MS;
        self.answer_ms.count >= MIN_LISTENER_ANSWERS && self.answer_ms.value >= min_ms
    }
}

/// The answers and failures of one target in one period.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    answers: u16,
    failures: u16,
    /// The sum over `answers` of the listener's median relative to the time.
    rate_sum: f32,
}

impl Tally {
    fn is_empty(&self) -> bool {
        self.answers == 0 && self.failures == 0
    }
}

/// The recent answers and failures of each target.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    /// Sorted by listener.
    usual: Vec<Usual>,
    /// Of each target, the current and the previous period.
    tallies: HashMap<TargetId, [Tally; 2]>,
    rotated_at_ms: u64,
}

impl Samples {
    /// The targets with recent answers or failures.
    pub(super) fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.tallies.keys().copied()
    }

    pub(super) fn stats(&self, target: TargetId) -> AnswerStats {
        let Some(tallies) = self.tallies.get(&target) else { return AnswerStats::default() };
        let sum = |count: fn(&Tally) -> u16| tallies.iter().map(|t| u32::from(count(t))).sum();
        let answers: u32 = sum(|tally| tally.answers);
        let rate_sum: f32 = tallies.iter().map(|tally| tally.rate_sum).sum();
        let mean_us = match answers {
            0 => 0.0,
            _ => SCALED_MEDIAN_US * f64::from(answers) / f64::from(rate_sum),
        };
        AnswerStats { answers, mean_us: mean_us as u32, failures: sum(|tally| tally.failures) }
    }

    /// Starts a new period if the current one has passed.
    pub(super) fn rotate(&mut self, now_ms: u64) {
        if now_ms < self.rotated_at_ms + GENERATION_MS {
            return;
        }
        self.rotated_at_ms = now_ms;
        self.tallies.retain(|_, tallies| {
            *tallies = [Tally::default(), tallies[0]];
            !tallies[1].is_empty()
        });
    }

    pub(super) fn forget(&mut self, target: TargetId) {
        self.tallies.remove(&target);
    }

    /// Records the time from an opening to the caller's next packet.
    pub(crate) fn add_round_trip(&mut self, listener: &Listener, round_trip_ms: u64) {
        self.usual_mut(listener).round_trip_ms.add(round_trip_ms as f64);
    }

    /// Records that `target` answered a request after `answer_ms`, with `queue_factor` times as many
    /// requests in flight as it runs concurrently.
    pub(crate) fn add_answer(
        &mut self,
        listener: &Listener,
        target: TargetId,
        answer_ms: u64,
        queue_factor: f64,
    ) {
        let usual = self.usual_mut(listener);
        let answer_ms = answer_ms as f64;
        let is_too_fast = answer_ms <= usual.round_trip_ms.value + FAST_MARGIN_MS;
        let may_be_rejected = queue_factor > MAX_QUEUE_FACTOR;
        let is_comparable = usual.is_comparable();
        let (min_ratio, max_ratio) = SAMPLE_RATIO;
        let ratio = answer_ms / usual.answer_ms.value;
        usual.answer_ms.add(answer_ms);
        if !is_comparable || (is_too_fast && may_be_rejected) {
            return;
        }
        let tally = &mut self.tallies.entry(target).or_default()[0];
        if is_too_fast {
            tally.failures = tally.failures.saturating_add(1);
        } else if tally.answers < u16::MAX {
            tally.answers += 1;
            tally.rate_sum += 1.0 / ratio.clamp(min_ratio, max_ratio) as f32;
        }
    }

    /// Records a request that `target` did not answer in time.
    pub(crate) fn add_unanswered(&mut self, target: TargetId) {
        let tally = &mut self.tallies.entry(target).or_default()[0];
        tally.failures = tally.failures.saturating_add(1);
    }

    fn usual_mut(&mut self, listener: &Listener) -> &mut Usual {
        let listener = listener.address;
        let found = self.usual.binary_search_by_key(&listener, |usual| usual.listener);
        let position = found.unwrap_or_else(|position| {
            let (round_trip_ms, answer_ms) = (Median::default(), Median::default());
            self.usual.insert(position, Usual { listener, round_trip_ms, answer_ms });
            position
        });
        &mut self.usual[position]
    }
}
