//! Decides whose openings are placed when a service has too little room.
//!
//! Load pattern: targets vanish, a class of callers surges, or all callers return at once, and the
//! openings of a service exceed what its targets bear within the callers' aim. Without an order,
//! the targets' queues overflow and reject whoever comes last. The openings of less urgent
//! listeners are therefore held back while room is left for the more urgent ones.
//!
//! An opening is held by dropping it: the caller's copies are the queue. Nothing is held if the
//! listeners from which openings came recently have equal priorities.

use catalog::Listener;

use crate::Evidence;

mod room;

pub(crate) use self::room::Room;

/// The share of a service's openings that each less urgent rank may place without room, divided by
/// the number of such ranks.
const FLOOR_SHARE: f64 = 0.125;

/// How long ago a rank must have had room for its openings to wait for it. Callers send their last
/// copy after 600 ms and give up after 1.4 s.
const ROOM_IN_SIGHT_MS: u64 = 1_000;

/// How long a rank without openings keeps its place in the order.
const RANK_RETENTION_MS: u64 = 10_000;

/// How long nothing was held when a shortage counts as ended.
const SHORTAGE_GAP_MS: u64 = 2_000;

/// Whether an opening is placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is placed.
    Place,
    /// It is dropped; a copy of it may find room.
    Wait,
    /// It is refused.
    Refuse,
}

/// The beginning or the end of a shortage of a service's room, as seen by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// The hash of the service's name.
    pub service_seed: u64,
    /// The priority of the first opening that was held.
    pub priority: u8,
    /// How long it lasted, in milliseconds; `None` if it has just begun.
    pub lasted_ms: Option<u64>,
    /// The openings dropped during it, copies included.
    pub waited: u32,
    /// The openings for which no room was in sight.
    pub refused: u32,
    /// The openings placed without room, by the share of less urgent ranks.
    pub floor_placed: u32,
}

/// The order of a listener; the least is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    aim_ms: u32,
    timeout_ms: u32,
}

impl Rank {
    /// A time of 0 states no wish and comes last.
    fn of(listener: &Listener) -> Rank {
        let or_last = |time_ms: u32| if time_ms == 0 { u32::MAX } else { time_ms };
        Rank {
            priority: listener.priority,
            aim_ms: or_last(listener.aim_ms),
            timeout_ms: or_last(listener.timeout_ms),
        }
    }
}

/// The recent openings of one rank.
#[derive(Debug, Clone, Copy)]
struct Lane {
    rank: Rank,
    seen_at_ms: u64,
    room_at_ms: u64,
    /// How many openings the rank may place without room.
    floor_credit: f64,
}

/// The openings to one service.
#[derive(Debug)]
struct Demand {
    service_seed: u64,
    /// Sorted by rank.
    lanes: Vec<Lane>,
    seen_at_ms: u64,
    shortage: Option<Shortage>,
    short_since_ms: u64,
    held_at_ms: u64,
}

/// The demand of the listeners of each service.
#[derive(Debug, Default)]
pub(crate) struct Precedence {
    /// Sorted by service.
    demands: Vec<Demand>,
    /// Changes that were not taken yet.
    changes: Vec<Shortage>,
}

impl Precedence {
    /// Decides on an opening of `listener` to a service with this room. It is refused only on recent
    /// evidence of a shortage.
    pub(crate) fn decide(
        &mut self,
        listener: &Listener,
        service_seed: u64,
        room: &Room,
        evidence: Evidence,
        now_ms: u64,
    ) -> Admission {
        if room.is_capped() {
            return if room.holds_no_flows() { Admission::Refuse } else { Admission::Wait };
        }
        let position =
            self.demands.binary_search_by_key(&service_seed, |demand| demand.service_seed);
        let position = position.unwrap_or_else(|position| {
            self.demands.insert(position, Demand::new(service_seed, now_ms));
            position
        });
        let demand = &mut self.demands[position];
        let admission = match demand.decide(Rank::of(listener), room, evidence, now_ms) {
            Admission::Refuse if evidence != Evidence::Recent => Admission::Wait,
            admission => admission,
        };
        match admission {
            Admission::Place => {}
            held => self.changes.extend(demand.record_held(held, listener.priority, now_ms)),
        }
        admission
    }

    /// Takes the shortages that began or ended since the last call.
    pub(crate) fn take_changes(&mut self, now_ms: u64) -> Vec<Shortage> {
        let ended = self.demands.iter_mut().filter_map(|demand| demand.take_ended(now_ms));
        self.changes.extend(ended);
        std::mem::take(&mut self.changes)
    }
}

impl Demand {
    fn new(service_seed: u64, now_ms: u64) -> Demand {
        Demand {
            service_seed,
            lanes: Vec::new(),
            seen_at_ms: now_ms,
            shortage: None,
            short_since_ms: now_ms,
            held_at_ms: now_ms,
        }
    }

    fn decide(&mut self, rank: Rank, room: &Room, evidence: Evidence, now_ms: u64) -> Admission {
        let position = self.touch_lane(rank, now_ms);
        self.record_room(room, now_ms);
        let last = self.lanes.len() - 1;
        let has_unlike_priorities = self.lanes[0].rank.priority != self.lanes[last].rank.priority;
        if position == 0 || !has_unlike_priorities || room.is_unknown() {
            return Admission::Place;
        }
        let less_urgent_share = position as f64 / last as f64;
        let has_room = room.has_room(less_urgent_share);
        let is_burst = match evidence {
            Evidence::Missing { host_count } => room.exceeds_part(less_urgent_share, host_count),
            Evidence::Recent | Evidence::Old => false,
        };
        let lane = &mut self.lanes[position];
        if has_room && !is_burst {
            return Admission::Place;
        }
        if lane.floor_credit >= 1.0 {
            lane.floor_credit -= 1.0;
            self.shortage.iter_mut().for_each(|shortage| shortage.floor_placed += 1);
            return Admission::Place;
        }
        match now_ms.saturating_sub(lane.room_at_ms) <= ROOM_IN_SIGHT_MS {
            true => Admission::Wait,
            false => Admission::Refuse,
        }
    }

    /// Finds or adds the lane of `rank`, removes outdated ones, and credits the less urgent ones.
    fn touch_lane(&mut self, rank: Rank, now_ms: u64) -> usize {
        self.lanes.retain(|lane| lane.rank == rank || now_ms < lane.seen_at_ms + RANK_RETENTION_MS);
        let position = self.lanes.binary_search_by_key(&rank, |lane| lane.rank);
        let position = position.unwrap_or_else(|position| {
            let lane = Lane { rank, seen_at_ms: now_ms, room_at_ms: now_ms, floor_credit: 0.0 };
            self.lanes.insert(position, lane);
            position
        });
        let credit = FLOOR_SHARE / (self.lanes.len() - 1).max(1) as f64;
        for lane in self.lanes.iter_mut().skip(1) {
            lane.floor_credit = (lane.floor_credit + credit).min(1.0);
        }
        self.lanes[position].seen_at_ms = now_ms;
        position
    }

    /// Records which ranks have room. Before the first opening after a pause, room counts as seen.
    fn record_room(&mut self, room: &Room, now_ms: u64) {
        let is_after_pause = now_ms >= self.seen_at_ms + ROOM_IN_SIGHT_MS;
        self.seen_at_ms = now_ms;
        let last = (self.lanes.len() - 1).max(1) as f64;
        for (position, lane) in self.lanes.iter_mut().enumerate() {
            if is_after_pause || room.has_room(position as f64 / last) {
                lane.room_at_ms = now_ms;
            }
        }
    }

    /// Counts a held opening. Returns the shortage if it begins with it.
    fn record_held(&mut self, held: Admission, priority: u8, now_ms: u64) -> Option<Shortage> {
        self.held_at_ms = now_ms;
        let begun = self.shortage.is_none().then_some(Shortage {
            service_seed: self.service_seed,
            priority,
            lasted_ms: None,
            waited: 0,
            refused: 0,
            floor_placed: 0,
        });
        if begun.is_some() {
            self.shortage = begun;
            self.short_since_ms = now_ms;
        }
        if let Some(shortage) = &mut self.shortage {
            shortage.waited += u32::from(held == Admission::Wait);
            shortage.refused += u32::from(held == Admission::Refuse);
        }
        begun
    }

    fn take_ended(&mut self, now_ms: u64) -> Option<Shortage> {
        if now_ms < self.held_at_ms + SHORTAGE_GAP_MS {
            return None;
        }
        let lasted_ms = Some(self.held_at_ms.saturating_sub(self.short_since_ms));
        self.shortage.take().map(|shortage| Shortage { lasted_ms, ..shortage })
    }
}
