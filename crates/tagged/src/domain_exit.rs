//! Decides which share of new flows leaves the host's failure domain.
//!
//! Load pattern: the targets of a failure domain are too few for its callers for a while, and other
//! domains have room. The way there is longer, its bytes cost money, and a network partition breaks
//! the flows that cross.
//!
//! Each host adjusts a share by integral control and draws each opening by it. The hosts of a
//! domain see the same reports and arrive at about the same share, so the sum does not depend on
//! their number.

use std::net::SocketAddrV4;

use crate::{Candidate, DomainExit, Penalty};

/// How long the share takes to rise with the excess of load, in milliseconds. Of the order of the
/// interval between load reports, so that the effect of a change is seen before many more follow.
const RISE_MS: f64 = 1_500.0;

/// The part of the excess that leaves at once, before the share has risen.
const IMMEDIATE_RATIO: f64 = 0.25;

/// How long it takes to fall. Flows that leave without need cost less than a second overload.
const FALL_MS: f64 = 8_000.0;

/// The longest time between openings that counts for an adjustment, in milliseconds.
const MAX_STEP_MS: u64 = 1_000;

/// The share falls only when leaving gains less than this part of its cost.
const RETURN_COST_RATIO: f64 = 0.5;

/// The share below which nothing leaves.
const MIN_SHARE: f64 = 0.01;

/// The part of a flow's age that a caller may rather wait than be exposed to a partition that long.
const CUT_RISK: f64 = 0.01;

/// The same while other domains count as unreliable.
const RECENT_CUT_RISK: f64 = 0.1;

/// The ratio of suspect or silent slots to good ones from which other domains count as unreliable.
const MAX_UNRELIABLE_RATIO: f64 = 0.1;

/// How long they count as unreliable after that, in milliseconds.
const RISK_MEMORY_MS: u64 = 20_000;

/// The utilization below which targets count as unused.
const MIN_UTILIZATION: f64 = 0.01;

/// How long a count of the flows with a request in flight is used, in milliseconds.
const BUSY_RATIO_TTL_MS: u64 = 250;

/// How many answers the averages of a listener extend over, and the weight of the initial values.
const AVERAGED_ANSWERS: f64 = 256.0;
const INITIAL_ANSWERS: f64 = 8.0;
const INITIAL_BYTES: f64 = 2_000.0;
const INITIAL_ANSWER_US: f64 = 50_000.0;
const INITIAL_AGE_US: f64 = 500_000.0;

/// The estimates that a decision rests on, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ExitEstimate {
    /// How long a request waits at targets of the own failure domain.
    pub near_wait_us: u64,
    /// How long it waits elsewhere.
    pub far_wait_us: u64,
    /// The cost of a request that crosses.
    pub cost_us: u64,
}

/// A change from staying to leaving or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitChange {
    /// Flows begin to leave.
    Began(ExitEstimate),
    /// No more flows leave.
    Ended(ExitEstimate),
}

/// Averages over the answers to one listener's callers, and the share of its flows that leaves.
#[derive(Debug, Clone, Copy)]
struct ListenerExit {
    address: SocketAddrV4,
    answers: f64,
    bytes: f64,
    /// Without the time that requests waited for a slot.
    answer_us: f64,
    age_us: f64,
    /// By how much waiting multiplies the time to an answer.
    queue_factor: f64,
    /// The share of new flows that leaves as long as there is no excess.
    settled_share: f64,
    /// The share that leaves now.
    share: f64,
    adjusted_at_ms: u64,
}

impl ListenerExit {
    fn new(address: SocketAddrV4) -> ListenerExit {
        ListenerExit {
            address,
            answers: INITIAL_ANSWERS,
            bytes: INITIAL_ANSWERS * INITIAL_BYTES,
            answer_us: INITIAL_ANSWERS * INITIAL_ANSWER_US,
            age_us: INITIAL_ANSWERS * INITIAL_AGE_US,
            queue_factor: 1.0,
            settled_share: 0.0,
            share: 0.0,
            adjusted_at_ms: 0,
        }
    }
}

/// What an opening's decision is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExitInputs<'a> {
    /// The listener of the opening.
    pub listener: SocketAddrV4,
    /// The targets that could take it.
    pub candidates: &'a [Candidate],
    /// The flows with a request in flight as a fraction of all flows of the service.
    pub busy_ratio: f64,
    /// Whether enough loads of other failure domains are known.
    pub has_far_loads: bool,
}

/// The shares of new flows that leave the failure domain, by listener.
#[derive(Debug, Default)]
pub struct DomainExits {
    /// Sorted by address.
    listeners: Vec<ListenerExit>,
    /// When many targets of other domains were last suspect or silent.
    far_trouble_at_ms: Option<u64>,
    /// Sorted by service.
    busy_ratios: Vec<BusyRatio>,
}

/// The flows of a service with a request in flight, as a fraction of all.
#[derive(Debug, Clone, Copy)]
struct BusyRatio {
    service_seed: u64,
    value: f64,
    counted_at_ms: u64,
}

impl DomainExits {
    /// The fraction of a service's flows with a request in flight, if it was counted recently.
    pub fn busy_ratio(&self, service_seed: u64, now_ms: u64) -> Option<f64> {
        let position = self.busy_ratios.binary_search_by_key(&service_seed, |it| it.service_seed);
        let ratio = self.busy_ratios[position.ok()?];
        (now_ms < ratio.counted_at_ms + BUSY_RATIO_TTL_MS).then_some(ratio.value)
    }

    /// Keeps that fraction as counted now, and returns it.
    pub fn set_busy_ratio(&mut self, service_seed: u64, value: f64, now_ms: u64) -> f64 {
        let ratio = BusyRatio { service_seed, value, counted_at_ms: now_ms };
        match self.busy_ratios.binary_search_by_key(&service_seed, |it| it.service_seed) {
            Ok(position) => self.busy_ratios[position] = ratio,
            Err(position) => self.busy_ratios.insert(position, ratio),
        }
        value
    }

    /// Records `bytes` in either direction on flows of a listener.
    pub fn record_bytes(&mut self, listener: SocketAddrV4, bytes: u32) {
        self.listener(listener).bytes += f64::from(bytes);
    }

    /// Records an answer after `answer_ms` on a flow that has been open for `age_ms`.
    pub fn record_answer(&mut self, listener: SocketAddrV4, answer_ms: u64, age_ms: u64) {
        let exit = self.listener(listener);
        exit.answers += 1.0;
        exit.answer_us += 1_000.0 * answer_ms as f64 / exit.queue_factor;
        exit.age_us += 1_000.0 * age_ms as f64;
        if exit.answers > AVERAGED_ANSWERS {
            exit.answers /= 2.0;
            exit.bytes /= 2.0;
            exit.answer_us /= 2.0;
            exit.age_us /= 2.0;
        }
    }

    /// The share of the listener's new flows that leaves, as of the last adjustment.
    pub fn share(&self, listener: SocketAddrV4) -> f64 {
        let position = self.listeners.binary_search_by_key(&listener, |exit| exit.address);
        position.map_or(0.0, |position| self.listeners[position].share)
    }

    /// Adjusts the share of new flows that leaves.
    pub fn adjust(
        &mut self,
        settings: DomainExit,
        inputs: ExitInputs<'_>,
        now_ms: u64,
    ) -> Option<ExitChange> {
        let sides = Sides::of(inputs.candidates);
        if sides.unreliable_slots > MAX_UNRELIABLE_RATIO * sides.far_slots {
            self.far_trouble_at_ms = Some(now_ms);
        }
        let is_troubled =
            self.far_trouble_at_ms.is_some_and(|at_ms| now_ms < at_ms + RISK_MEMORY_MS);
        let risk = if is_troubled { RECENT_CUT_RISK } else { CUT_RISK };
        let exit = self.listener(inputs.listener);
        let passed_ms = now_ms.saturating_sub(exit.adjusted_at_ms).min(MAX_STEP_MS);
        exit.adjusted_at_ms = now_ms;

        let busy_ratio = inputs.busy_ratio.clamp(0.0, 1.0).max(f64::MIN_POSITIVE);
        let wait = Wait {
            // Loads count a busy flow one and a half times.
            requests_per_load: busy_ratio / (1.0 + 0.5 * busy_ratio),
            answer_us: (exit.answer_us / exit.answers).max(1.0),
        };
        let served_load = if sides.near_slots > 0.0 { sides.near_load } else { sides.far_load };
        exit.queue_factor = 1.0 + wait.at(served_load) / wait.answer_us;
        let cost_us = f64::from(settings.round_trip_us)
            + f64::from(settings.price_us_per_kb) * exit.bytes / exit.answers / 1_000.0
            + risk * exit.age_us / exit.answers;
        let (near_us, far_us) = (wait.at(sides.near_load), wait.at(sides.far_load));
        let gain_us = near_us - far_us;
        let can_compare = inputs.has_far_loads && sides.near_slots > 0.0 && sides.far_slots > 0.0;
        let previous = exit.share;
        // The fraction of the near work that would have to be elsewhere for both sides to be level.
        let excess = |cost_us: f64| {
            let far_load = wait.load_with(far_us + cost_us);
            let total_slots = sides.near_slots + sides.far_slots;
            let level =
                (sides.near_load * sides.near_slots + far_load * sides.far_slots) / total_slots;
            let near_utilization = wait.utilization(sides.near_load).max(MIN_UTILIZATION);
            (1.0 - wait.utilization(level) / near_utilization).clamp(-1.0, 1.0)
        };
        let passed_ms = passed_ms as f64;
        let (change, immediate) = match () {
            () if !can_compare => (-1.0, 0.0),
            () if gain_us > cost_us => {
                let excess = excess(cost_us).max(0.0);
                (passed_ms / RISE_MS * excess, IMMEDIATE_RATIO * excess)
            }
            () if gain_us < RETURN_COST_RATIO * cost_us => {
                (passed_ms / FALL_MS * excess(RETURN_COST_RATIO * cost_us).min(0.0), 0.0)
            }
            () => (0.0, 0.0),
        };
        exit.settled_share = (exit.settled_share + change).clamp(0.0, 1.0);
        if change < 0.0 && exit.settled_share < MIN_SHARE {
            exit.settled_share = 0.0;
        }
        exit.share = (exit.settled_share + immediate).clamp(0.0, 1.0);
        let estimate = ExitEstimate {
            near_wait_us: near_us as u64,
            far_wait_us: far_us as u64,
            cost_us: cost_us as u64,
        };
        match (previous >= MIN_SHARE, exit.share >= MIN_SHARE) {
            (false, true) => Some(ExitChange::Began(estimate)),
            (true, false) => Some(ExitChange::Ended(estimate)),
            _ => None,
        }
    }

    fn listener(&mut self, address: SocketAddrV4) -> &mut ListenerExit {
        let position = self.listeners.binary_search_by_key(&address, |exit| exit.address);
        let position = position.unwrap_or_else(|position| {
            self.listeners.insert(position, ListenerExit::new(address));
            position
        });
        &mut self.listeners[position]
    }
}

/// The harmonic mean of the loads, to which a few targets that hang contribute little, and the
/// slots of the preferred candidates in the own domain and elsewhere.
#[derive(Debug, Clone, Copy, Default)]
struct Sides {
    near_load: f64,
    near_slots: f64,
    far_load: f64,
    far_slots: f64,
    /// The slots elsewhere that are suspect or in silent domains.
    unreliable_slots: f64,
}

impl Sides {
    fn of(candidates: &[Candidate]) -> Sides {
        let mut sides = Sides::default();
        for candidate in candidates {
            let slots = f64::from(candidate.slots.max(1));
            match candidate.penalty {
                Penalty::None if candidate.is_near => {
                    sides.near_load += slots / (1.0 + candidate.load.max(0.0));
                    sides.near_slots += slots;
                }
                Penalty::None => {
                    sides.far_load += slots / (1.0 + candidate.load.max(0.0));
                    sides.far_slots += slots;
                }
                Penalty::DomainSilent | Penalty::Suspect if !candidate.is_near => {
                    sides.unreliable_slots += slots;
                }
                _ => {}
            }
        }
        let mean_load = |sum: f64, slots: f64| match sum > 0.0 {
            true => slots / sum - 1.0,
            false => 0.0,
        };
        sides.near_load = mean_load(sides.near_load, sides.near_slots);
        sides.far_load = mean_load(sides.far_load, sides.far_slots);
        sides
    }
}

/// How long requests wait, as in a queue with random arrivals and two servers.
#[derive(Debug, Clone, Copy)]
struct Wait {
    /// The requests in flight per unit of load.
    requests_per_load: f64,
    /// How long a target works on a request.
    answer_us: f64,
}

impl Wait {
    /// The fraction of the time that the slots of targets with `load` work.
    fn utilization(self, load: f64) -> f64 {
        let requests = self.requests_per_load * load.max(0.0);
        // The same as (sqrt(1 + 4 r^2) - 1) / 2r, without cancellation.
        2.0 * requests / (1.0 + (1.0 + 4.0 * requests * requests).sqrt())
    }

    /// The wait of a request at targets with `load`.
    fn at(self, load: f64) -> f64 {
        let requests = self.requests_per_load * load.max(0.0);
        0.5 * self.answer_us * ((1.0 + 4.0 * requests * requests).sqrt() - 1.0)
    }

    /// The load with which a request waits for `wait_us`.
    fn load_with(self, wait_us: f64) -> f64 {
        let root = 1.0 + 2.0 * wait_us / self.answer_us;
        0.5 * (root * root - 1.0).max(0.0).sqrt() / self.requests_per_load
    }
}
