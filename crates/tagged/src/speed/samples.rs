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

/// How long callers commonly wait with the acknowledgement of a single packet, in milliseconds,
/// unless they have data to send.
const DELAYED_ACK_MS: f64 = 40.0;

/// An answer of at most this many bytes arrives in a single packet on any path.
const MAX_SHORT_BYTES: u32 = 536;

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
    /// The length of an answer in bytes.
    answer_bytes: Median,
}

impl Usual {
    /// Whether most of the time to an answer is the target's work.
    fn is_comparable(&self) -> bool {
        let min_ms = MIN_ROUND_TRIPS * self.round_trip_ms.value + MIN_WORK_MS;
        self.answer_ms.count >= MIN_LISTENER_ANSWERS && self.answer_ms.value >= min_ms
    }

    /// Whether an answer came within a round trip, so that the target did no work for it.
    fn is_too_fast(&self, answer: &Answer) -> bool {
        let over_ms = answer.answer_ms as f64 - self.round_trip_ms.value;
        // Where most answers are short, one that took as long as the delay is nothing unusual.
        let may_be_delayed = answer.may_be_delayed
            && answer.bytes <= MAX_SHORT_BYTES
            && self.answer_bytes.value > f64::from(MAX_SHORT_BYTES);
        over_ms <= FAST_MARGIN_MS
            || (may_be_delayed && (over_ms - DELAYED_ACK_MS).abs() <= FAST_MARGIN_MS)
    }
}

/// An answer to a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    /// The time from the request to the acknowledgement.
    pub(crate) answer_ms: u64,
    /// How many bytes were acknowledged.
    pub(crate) bytes: u32,
    /// Whether the caller may have waited for more packets before it acknowledged.
    pub(crate) may_be_delayed: bool,
    /// The requests in flight at the target for each that it runs concurrently.
    pub(crate) queue_factor: f64,
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

    /// Records that `target` answered a request.
    pub(crate) fn add_answer(&mut self, listener: &Listener, target: TargetId, answer: &Answer) {
        let usual = self.usual_mut(listener);
        let answer_ms = answer.answer_ms as f64;
        let is_too_fast = usual.is_too_fast(answer);
        let may_be_rejected = answer.queue_factor > MAX_QUEUE_FACTOR;
        let is_comparable = usual.is_comparable();
        let (min_ratio, max_ratio) = SAMPLE_RATIO;
        let ratio = answer_ms / usual.answer_ms.value;
        usual.answer_ms.add(answer_ms);
        usual.answer_bytes.add(f64::from(answer.bytes));
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
            let usual = Usual {
                listener,
                round_trip_ms: Median::default(),
                answer_ms: Median::default(),
                answer_bytes: Median::default(),
            };
            self.usual.insert(position, usual);
            position
        });
        &mut self.usual[position]
    }
}
