//! Decides what to do with each packet of a caller.

mod answers;
mod cold;
mod leaving;
mod loads;
mod opening;
mod placement;
mod targets;

use catalog::{Directory, FlowTag, Listener, Presence, Revision, TagOwner, TargetId};
use hashbrown::HashMap;
use rand::{SeedableRng, rngs::StdRng};

pub use self::loads::LoadUpdate;
use self::{
    loads::{OwnLoad, subtract_flow},
    opening::is_evacuated,
    placement::OpeningRate,
};
use crate::{
    Config, Counter, Counters, DomainExits, Event, FlowKey, FlowReport, Health, LatencySample,
    Reason, ReportedLoads, Segment, SegmentKind, Standing, StandingCause, Verdict,
    flows::{Flow, FlowSignal, FlowTable},
    openings::OpeningTable,
    precedence::Precedence,
    speed::TargetSpeeds,
    unknown_flows::UnknownFlowTable,
    warmup::Warmups,
};

/// The number of retransmissions of the same data at which a flow counts as stalled. Callers
/// retransmit after 200 ms, which is several round trips.
const STALLED_RETRANSMISSIONS: u8 = 1;

/// The interval between sweeps of the tables, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 500;

/// The maximum number of events kept between two calls of [`Dispatcher::take_events`].
const MAX_EVENTS: usize = 256;

/// The maximum number of samples kept between two calls of [`Dispatcher::take_samples`].
const MAX_SAMPLES: usize = 256;

/// The directory in force when a decision is made, and its age.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The listeners and targets.
    pub directory: &'a Directory,
    /// The time since the directory was last confirmed to be current, in milliseconds.
    pub age_ms: u64,
    /// Whether new flows may be placed by it. It may be too old for that until other hosts and the
    /// store have been asked for a newer one.
    pub can_place_flows: bool,
}

/// Decides, for one host, what to do with packets and targets.
#[derive(Debug)]
pub struct Dispatcher {
    config: Config,
    flows: FlowTable,
    openings: OpeningTable,
    unknown_flows: UnknownFlowTable,
    health: Health,
    /// The load of the targets as other hosts report it.
    reported: ReportedLoads,
    /// The load of the targets by the flows of this host.
    own_load: HashMap<TargetId, OwnLoad>,
    /// The targets of the directory in force, sorted by id.
    known: Vec<KnownTarget>,
    warmups: Warmups,
    speeds: TargetSpeeds,
    precedence: Precedence,
    /// The number of hosts alive, with this one.
    host_count: usize,
    domain_exits: DomainExits,
    /// This host's rate of openings to each service, sorted by service.
    opening_rates: Vec<OpeningRate>,
    counters: Counters,
    events: Vec<Event>,
    events_left_out: u64,
    samples: Vec<LatencySample>,
    swept_at_ms: u64,
    /// Whether the load changed since the last [`LoadUpdate`].
    has_load_changes: bool,
    /// Whether a target was found dead since the last [`LoadUpdate`].
    has_new_deaths: bool,
    /// Resets to be sent without a packet from the caller.
    pending_resets: Vec<Segment>,
    /// The revision of the view in force.
    revision: Revision,
    rng: StdRng,
}

/// A target of the directory in force.
#[derive(Debug, Clone, Copy)]
struct KnownTarget {
    id: TargetId,
    domain_seed: u64,
    started_at_ms: u64,
    slots: u16,
    is_listed: bool,
}

impl Dispatcher {
    /// Creates a dispatcher. Its random choices follow from `seed`.
    pub fn new(config: Config, seed: u64) -> Dispatcher {
        Dispatcher {
            config,
            flows: FlowTable::default(),
            openings: OpeningTable::default(),
            unknown_flows: UnknownFlowTable::default(),
            health: Health::default(),
            reported: ReportedLoads::default(),
            own_load: HashMap::new(),
            known: Vec::new(),
            warmups: Warmups::default(),
            speeds: TargetSpeeds::default(),
            precedence: Precedence::default(),
            host_count: 1,
            domain_exits: DomainExits::default(),
            opening_rates: Vec::new(),
            counters: Counters::default(),
            events: Vec::new(),
            events_left_out: 0,
            samples: Vec::new(),
            swept_at_ms: 0,
            has_load_changes: false,
            has_new_deaths: false,
            pending_resets: Vec::new(),
            revision: Revision::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of hosts alive, with this one.
    pub fn set_host_count(&mut self, host_count: usize) {
        self.host_count = host_count;
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The number of flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// The state of the flow `key`, or `None` if no packet of it came here recently.
    pub fn flow_report(&self, key: &FlowKey, now_ms: u64) -> Option<FlowReport> {
        let flow = self.flows.get(key)?;
        Some(FlowReport {
            target: flow.target,
            standing: self.health.standing(flow.target),
            silence_ms: now_ms.saturating_sub(flow.last_packet_ms),
            is_busy: flow.is_busy,
            repeats: flow.repeats,
        })
    }

    /// Takes the latencies of the requests answered since the last call. Some are left out if there
    /// were many.
    pub fn take_samples(&mut self) -> Vec<LatencySample> {
        std::mem::take(&mut self.samples)
    }

    /// Takes the events since the last call, and the number of those left out.
    pub fn take_events(&mut self) -> (Vec<Event>, u64) {
        (std::mem::take(&mut self.events), std::mem::take(&mut self.events_left_out))
    }

    /// Decides what to do with a packet.
    pub fn on_segment(&mut self, view: View<'_>, segment: &Segment, now_ms: u64) -> Verdict {
        let verdict = match segment.kind {
            SegmentKind::Open { copy } => self.on_opening(view, segment, copy, now_ms),
            _ => self.on_flow_packet(view, segment, now_ms),
        };
        match verdict {
            Verdict::Forward { target, .. } => {
                self.counters.count(Counter::Forwarded);
                if matches!(segment.kind, SegmentKind::Open { .. }) && is_evacuated(view, target) {
                    self.counters.count(Counter::SentToEvacuated);
                }
            }
            Verdict::Reset(reason) => self.record_reset(view, segment, reason),
            Verdict::Drop(reason) => self.counters.count_drop(reason),
        }
        verdict
    }

    /// If a sweep is due, expires flows, openings, load reports and suspicions, and counts overdue
    /// requests.
    pub fn on_tick(&mut self, view: View<'_>, now_ms: u64) {
        if now_ms < self.swept_at_ms + SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at_ms = now_ms;
        let own_load = &mut self.own_load;
        let mut has_expired = false;
        let idle_ms = self.config.flow_idle_ms;
        let retention_ms = view.directory.idle_timeout_ms.max(idle_ms);
        self.flows.expire(idle_ms, retention_ms, now_ms, |flow| {
            has_expired = true;
            subtract_flow(own_load, flow);
            if now_ms < flow.last_packet_ms + retention_ms {
                own_load.entry(flow.target).or_default().idle += 1;
            }
        });
        self.has_load_changes |= has_expired;
        self.count_overdue(view, now_ms);
        self.judge_answers(view, now_ms);
        self.openings.sweep(self.config.opening_retention_ms, now_ms);
        self.unknown_flows.sweep(2 * self.config.unknown_flow_timeout_ms, now_ms);
        self.reported.expire(&self.config, now_ms);
        for shortage in self.precedence.take_changes(now_ms) {
            self.push_event(Event::Shortage(shortage));
        }
        let directory = view.directory;
        let confirmed_at_ms = now_ms.saturating_sub(view.age_ms);
        let is_listed_after = |target, at_ms| {
            let index = directory.find_target(target);
            let is_listed =
                index.is_some_and(|index| directory.presence(index) == Presence::Listed);
            is_listed && confirmed_at_ms >= at_ms
        };
        let is_known = |target| directory.find_target(target).is_some();
        let cleared = self.health.expire(&self.config, now_ms, is_known, is_listed_after);
        for target in cleared {
            self.record_standing(target, StandingCause::Expiry);
        }
    }

    fn on_flow_packet(&mut self, view: View<'_>, segment: &Segment, now_ms: u64) -> Verdict {
        let Some(tag) = segment.tag else { return Verdict::Drop(Reason::NoTag) };
        let index = match self.owner_of_flow(view, segment, tag) {
            TagOwner::Target(index) => index,
            TagOwner::Unknown => {
                return self.refuse_unknown(view, segment, Reason::UnknownTag, now_ms);
            }
            // One of the targets may hold the flow, and none of the others must get its packets.
            TagOwner::Ambiguous => return Verdict::Drop(Reason::UnknownTag),
        };
        let target = view.directory.target(index);
        let presence = view.directory.presence(index);
        self.openings.remove(&segment.key);
        if presence == Presence::Gone {
            let is_current = view.age_ms <= self.config.max_view_age_ms;
            if is_current {
                self.record_gone(target.id);
            }
            let is_dead = is_current && self.health.standing(target.id) == Standing::Dead;
            if is_dead || view.directory.is_replaced(index) {
                self.remove_flow(segment);
                return Verdict::Reset(Reason::TargetGone);
            }
        }
        let Some(listener) = view.directory.find_listener(segment.key.listener) else {
            // The listener of a remembered flow was known before, so it was removed. The record is
            // kept until it expires, in case the reset is lost.
            return match self.flows.get(&segment.key) {
                Some(_) => self.refuse(view, Reason::NoListener),
                None => self.refuse_unknown(view, segment, Reason::NoListener, now_ms),
            };
        };
        self.update_flow(segment, listener, target.id, now_ms);
        let is_dead = self.health.standing(target.id) == Standing::Dead
            && self.health.has_failed_recently(target.id, &self.config, now_ms);
        if is_dead && segment.kind != SegmentKind::Abort {
            self.remove_flow(segment);
            return Verdict::Reset(Reason::TargetDead);
        }
        self.health.recheck_expired(target.id, &self.config, now_ms);
        if segment.kind == SegmentKind::Abort {
            self.remove_flow(segment);
        }
        Verdict::Forward { target: target.id, address: target.address, tag }
    }

    /// The target of an established flow. Of several with its tag, the one that this host remembers
    /// counts.
    fn owner_of_flow(&self, view: View<'_>, segment: &Segment, tag: FlowTag) -> TagOwner {
        let directory = view.directory;
        let remembered = self.flows.get(&segment.key).filter(|flow| !flow.is_opening);
        let remembered = remembered.filter(|flow| directory.has_tag(flow.target, tag));
        match remembered.and_then(|flow| directory.find_target(flow.target)) {
            Some(index) => TagOwner::Target(index),
            None => directory.tag_owner(tag),
        }
    }

    /// Resets the flow if the view proves that its target or listener is gone; otherwise drops the
    /// packet. An older view may lack a new one, and that of a host that has just started may lack
    /// targets that the store does not list.
    fn refuse_unknown(
        &mut self,
        view: View<'_>,
        segment: &Segment,
        reason: Reason,
        now_ms: u64,
    ) -> Verdict {
        let first_seen_ms = self.unknown_flows.first_seen_ms(segment.key, now_ms);
        let confirmed_at_ms = now_ms.saturating_sub(view.age_ms);
        let is_current = confirmed_at_ms >= first_seen_ms + self.config.unknown_flow_timeout_ms;
        if is_current && (view.directory.is_complete || reason != Reason::UnknownTag) {
            return Verdict::Reset(reason);
        }
        Verdict::Drop(reason)
    }

    /// Resets the flow if the view is recent enough for that; drops the packet otherwise.
    fn refuse(&self, view: View<'_>, reason: Reason) -> Verdict {
        if view.age_ms <= self.config.max_view_age_ms {
            return Verdict::Reset(reason);
        }
        Verdict::Drop(Reason::StaleView)
    }

    /// Updates the flow, its target's load and its target's health from a packet.
    fn update_flow(
        &mut self,
        segment: &Segment,
        listener: &Listener,
        target: TargetId,
        now_ms: u64,
    ) {
        let previous = self.flows.get(&segment.key).copied();
        if previous.is_none_or(|flow| flow.target != target) {
            self.remove_flow(segment);
            self.add_flow(segment, target, now_ms);
            return;
        }
        let signal = self.flows.update(segment, now_ms);
        let own_load = self.own_load.entry(target).or_default();
        previous.iter().for_each(|flow| own_load.subtract(flow));
        self.flows.get(&segment.key).into_iter().for_each(|flow| own_load.add(flow));
        self.record_crossing(segment, previous.as_ref(), target);
        if signal == FlowSignal::Progress {
            self.record_latency(previous.as_ref(), listener, now_ms);
            self.record_answer(previous.as_ref(), segment, listener, now_ms);
        }
        let (has_changed, cause) = match signal {
            FlowSignal::Progress => {
                (self.health.on_progress(target, now_ms), StandingCause::Progress)
            }
            FlowSignal::Retransmission(STALLED_RETRANSMISSIONS) => {
                let has_changed = self.health.on_stalled_flow(target, &self.config, now_ms);
                (has_changed, StandingCause::Evidence)
            }
            FlowSignal::None | FlowSignal::Retransmission(_) => return,
        };
        if has_changed {
            if self.health.standing(target) == Standing::Suspect {
                self.counters.count(Counter::Suspected);
            }
            self.record_standing(target, cause);
        }
    }

    /// Records the latency of an answered request. `previous` is the flow before the answer came.
    fn record_latency(&mut self, previous: Option<&Flow>, listener: &Listener, now_ms: u64) {
        let Some(flow) = previous.filter(|flow| flow.is_busy) else { return };
        if self.config.domain_exit.is_some() {
            let answer_ms = now_ms.saturating_sub(flow.busy_since_ms);
            let age_ms = now_ms.saturating_sub(flow.added_at_ms);
            self.domain_exits.record_answer(listener.address, answer_ms, age_ms);
        }
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(LatencySample {
                listener: listener.address,
                kind: listener.kind,
                answer_ms: now_ms.saturating_sub(flow.busy_since_ms),
            });
        }
    }

    fn record_reset(&mut self, view: View<'_>, segment: &Segment, reason: Reason) {
        self.counters.count_reset(reason);
        let target = segment.tag.and_then(|tag| view.directory.find_target_by_tag(tag));
        self.push_event(Event::Reset {
            key: segment.key,
            target: target.map(|index| view.directory.target(index).id),
            reason,
            revision: view.directory.revision,
            view_age_ms: view.age_ms,
        });
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        } else {
            self.events_left_out += 1;
        }
    }
}
