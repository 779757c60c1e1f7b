//! What happens to each packet of a caller.

mod placing;

use catalog::{Directory, Listener, Presence, TargetId, TargetIndex};
use hashbrown::HashMap;
use rand::{SeedableRng, rngs::StdRng};

use self::placing::OpeningRate;
use crate::{
    CheckVerdict, Config, Counter, Counters, DueCheck, Event, FlowKey, FlowReport, Health,
    HostLoad, LoadBoard, Reason, Sample, Segment, SegmentKind, Standing, TargetLoad, Verdict,
    flows::{Flow, FlowTable, Signal},
    openings::OpeningTable,
    unknown::UnknownTable,
};

/// The n-th repetition of the same data that counts as a flow without progress. Callers repeat
/// after 200 ms, several times a round trip.
const STALLED_REPEATS: u8 = 1;

/// By how many times its aim a request has to be under way to be overdue. Most take a quarter of it.
const OVERDUE_AIMS: u64 = 2;

/// How many requests an overdue one counts as: as many as keep new flows away while other targets of
/// the users' larger sites hold 30 flows for each slot.
const OVERDUE_WEIGHT: u32 = 20;

/// How often tables are swept, in milliseconds.
const SWEEP_MS: u64 = 500;

/// How many events are kept between two calls of [`Traffic::take_events`].
const EVENTS_MAX: usize = 256;

/// How many samples are kept between two calls of [`Traffic::take_samples`].
const SAMPLES_MAX: usize = 256;

/// What a host knows when a packet comes.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Listeners and targets.
    pub directory: &'a Directory,
    /// How long ago they were known to be current, in milliseconds.
    pub age_ms: u64,
}

/// What others should hear of this host's flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadNews {
    /// The flows of each target, sorted by target.
    pub loads: Vec<TargetLoad>,
    /// Whether a target was found dead, so that others should hear of it at once.
    pub is_urgent: bool,
}

/// The state of one host's decisions.
#[derive(Debug)]
pub struct Traffic {
    config: Config,
    flows: FlowTable,
    openings: OpeningTable,
    unknown: UnknownTable,
    health: Health,
    others: LoadBoard,
    own: HashMap<TargetId, OwnLoad>,
    warmups: HashMap<TargetId, Warmup>,
    /// Sorted by service.
    openings_each_ms: Vec<OpeningRate>,
    counters: Counters,
    events: Vec<Event>,
    events_left_out: u64,
    samples: Vec<Sample>,
    swept_at_ms: u64,
    has_load_news: bool,
    has_dead_news: bool,
    resets: Vec<Segment>,
    /// The revision of the view in force.
    revision: u64,
    rng: StdRng,
}

/// For how long a target is slow after its start.
#[derive(Debug, Clone, Copy)]
struct Warmup {
    ends_at_ms: u64,
    total_ms: u32,
}

/// The flows of one target that this host sees.
#[derive(Debug, Clone, Copy, Default)]
struct OwnLoad {
    flows: u32,
    /// Those of them with a request under way.
    busy: u32,
    /// The flows that may have moved to another host.
    idle: u32,
    /// The requests that are under way for much longer than they should.
    overdue: u32,
}

impl OwnLoad {
    /// The requests under way, as placement counts them.
    ///
    /// Load pattern: a target that hangs takes requests, answers none, and turns away what its queue
    /// does not hold, quickly. It looks no fuller than others.
    fn weighed_busy(&self) -> u32 {
        self.busy + OVERDUE_WEIGHT * self.overdue
    }

    fn add(&mut self, flow: &Flow) {
        match flow.is_idle {
            true => self.idle += 1,
            false => {
                self.flows += 1;
                self.busy += u32::from(flow.is_busy);
            }
        }
    }

    fn subtract(&mut self, flow: &Flow) {
        match flow.is_idle {
            true => self.idle = self.idle.saturating_sub(1),
            false => {
                self.flows = self.flows.saturating_sub(1);
                self.busy = self.busy.saturating_sub(u32::from(flow.is_busy));
            }
        }
    }
}

impl Traffic {
    /// Creates the state. `seed` makes its choices repeatable.
    pub fn new(config: Config, seed: u64) -> Traffic {
        Traffic {
            config,
            flows: FlowTable::default(),
            openings: OpeningTable::default(),
            unknown: UnknownTable::default(),
            health: Health::default(),
            others: LoadBoard::default(),
            own: HashMap::new(),
            warmups: HashMap::new(),
            openings_each_ms: Vec::new(),
            counters: Counters::default(),
            events: Vec::new(),
            events_left_out: 0,
            samples: Vec::new(),
            swept_at_ms: 0,
            has_load_news: false,
            has_dead_news: false,
            resets: Vec::new(),
            revision: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many flows are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// What this host knows of the flow `key`; nothing if no packet of it came here lately.
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

    /// Takes the waits of requests that were answered since the last call. Some are left out if
    /// there were many.
    pub fn take_samples(&mut self) -> Vec<Sample> {
        std::mem::take(&mut self.samples)
    }

    /// Takes the events since the last call, and how many did not fit.
    pub fn take_events(&mut self) -> (Vec<Event>, u64) {
        (std::mem::take(&mut self.events), std::mem::take(&mut self.events_left_out))
    }

    /// Decides what to do with a packet.
    pub fn on_segment(&mut self, view: View<'_>, segment: &Segment, now_ms: u64) -> Verdict {
        let verdict = match segment.kind {
            SegmentKind::Open { copy } => self.on_opening(view, segment, copy, now_ms),
            _ => self.on_flow(view, segment, now_ms),
        };
        match verdict {
            Verdict::Forward { .. } => self.counters.count(Counter::Forwarded),
            Verdict::Reset(reason) => self.note_reset(view, segment, reason),
            Verdict::Drop(reason) => self.counters.count_drop(reason),
        }
        verdict
    }

    /// Sweeps the tables now and then.
    pub fn on_tick(&mut self, view: View<'_>, now_ms: u64) {
        if now_ms < self.swept_at_ms + SWEEP_MS {
            return;
        }
        self.swept_at_ms = now_ms;
        let own = &mut self.own;
        let mut has_expired = false;
        let idle_ms = self.config.flow_idle_ms;
        let memory_ms = view.directory.idle_timeout_ms.max(idle_ms);
        self.flows.expire(idle_ms, memory_ms, now_ms, |flow| {
            has_expired = true;
            release(own, flow);
            if now_ms < flow.last_packet_ms + memory_ms {
                own.entry(flow.target).or_default().idle += 1;
            }
        });
        self.has_load_news |= has_expired;
        self.count_overdue(view, now_ms);
        self.openings.sweep(self.config.opening_memory_ms, now_ms);
        self.unknown.sweep(2 * self.config.unknown_ms, now_ms);
        self.others.expire(&self.config, now_ms);
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
            self.note_standing(target);
        }
    }

    fn count_overdue(&mut self, view: View<'_>, now_ms: u64) {
        self.own.values_mut().for_each(|own| own.overdue = 0);
        for (key, target, under_way_ms) in self.flows.busy(now_ms) {
            let Some(listener) = view.directory.find_listener(key.listener) else { continue };
            if under_way_ms > OVERDUE_AIMS * u64::from(listener.aim_ms) {
                self.own.entry(target).or_default().overdue += 1;
                self.has_load_news = true;
            }
        }
    }

    /// A new view is in force: targets that are gone are checked if this host sees flows of them,
    /// and targets that are slow after their start are noted.
    pub fn on_directory(&mut self, directory: &Directory, now_ms: u64) {
        self.revision = directory.revision;
        let is_listed = |index| directory.presence(index) != Presence::Gone;
        self.health.on_listed(|target| directory.find_target(target).is_some_and(is_listed));
        let own = self.own.keys().filter_map(|target| directory.find_target(*target));
        let gone: Vec<TargetIndex> = own.filter(|index| !is_listed(*index)).collect();
        for index in gone {
            let target = directory.target(index).id;
            self.health.on_gone(target, now_ms);
            if directory.is_replaced(index) || self.health.standing(target) == Standing::Dead {
                self.reset_flows(target, Reason::TargetGone);
            }
        }
        self.warmups.retain(|target, _| directory.find_target(*target).is_some());
        for position in 0..directory.target_count() {
            let target = directory.target(TargetIndex(position));
            if target.warmup_ms > 0 {
                let total_ms = target.warmup_ms;
                let ends_at_ms = now_ms + u64::from(total_ms);
                self.warmups.entry(target.id).or_insert(Warmup { ends_at_ms, total_ms });
            }
        }
    }

    /// The checks that are to be made now. `drained_at_ms` is when no packet waited last: what came
    /// before has been seen.
    pub fn take_due_checks(&mut self, drained_at_ms: u64, now_ms: u64) -> Vec<DueCheck> {
        for target in self.openings.take_unanswered(self.config.handshake_ms, drained_at_ms) {
            self.note_unanswered(target, now_ms);
        }
        let own = &self.own;
        let has_flows = |target| own.contains_key(&target);
        self.health.take_due_checks(has_flows, &self.config, now_ms)
    }

    /// A check that was started at `started_at_ms` has ended.
    pub fn on_check(
        &mut self,
        target: TargetId,
        verdict: CheckVerdict,
        started_at_ms: u64,
        now_ms: u64,
    ) {
        if self.health.on_check(target, verdict, started_at_ms, &self.config, now_ms) {
            self.follow_standing(target);
        }
    }

    /// Another host tells what it sees.
    pub fn on_report(&mut self, load: HostLoad, now_ms: u64) {
        let dead: Vec<TargetId> =
            load.targets.iter().filter(|load| load.is_dead).map(|load| load.target).collect();
        self.others.on_report(load, now_ms);
        for target in dead {
            let has_flows = self.own.contains_key(&target);
            if self.health.on_reported_dead(target, has_flows, &self.config, now_ms) {
                self.follow_standing(target);
            }
        }
    }

    /// The flows that are to be reset at once, since their targets are gone or dead. A caller may
    /// wait for an answer without sending anything.
    pub fn take_resets(&mut self) -> Vec<Segment> {
        std::mem::take(&mut self.resets)
    }

    /// The flows that this host sees, for the others, if they changed since the last call.
    pub fn take_load_news(&mut self) -> Option<LoadNews> {
        let is_urgent = std::mem::take(&mut self.has_dead_news);
        let loads = std::mem::take(&mut self.has_load_news).then(|| self.loads())?;
        Some(LoadNews { loads, is_urgent })
    }

    /// The flows that this host sees, sorted by target.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let mut loads: Vec<TargetLoad> = self
            .own
            .iter()
            .map(|(target, own)| TargetLoad {
                target: *target,
                flows: own.flows,
                busy: own.weighed_busy(),
                is_dead: self.health.standing(*target) == Standing::Dead,
            })
            .collect();
        let idle = self.health.dead().filter(|target| !self.own.contains_key(target));
        loads.extend(idle.map(|target| TargetLoad { target, flows: 0, busy: 0, is_dead: true }));
        loads.sort_unstable_by_key(|load| load.target);
        loads
    }

    fn on_opening(&mut self, view: View<'_>, segment: &Segment, copy: u32, now_ms: u64) -> Verdict {
        let Some(listener) = view.directory.find_listener(segment.key.listener) else {
            return self.refuse(view, Reason::NoListener);
        };
        let earlier = self.openings.get(&segment.key);
        let mut tried: Vec<TargetId> = Vec::new();
        if let Some(opening) = earlier {
            let last = opening.tried.last().copied();
            let is_waiting = now_ms < opening.sent_at_ms + self.config.copy_ms;
            let is_noted = opening.is_noted;
            // A copy that comes early was delayed on its way or is a duplicate.
            if is_waiting && let Some(verdict) = last.and_then(|last| forward(view, last)) {
                return verdict;
            }
            tried.extend(&opening.tried);
            if let Some(last) = last {
                self.counters.count(Counter::Retried);
                self.release_flow(segment);
                if !is_noted {
                    self.note_unanswered(last, now_ms);
                }
            }
        }
        let Some(index) = self.place(view, listener, &tried, now_ms) else {
            return match view.directory.has_targets(listener) {
                true => self.refuse(view, Reason::NoTarget),
                // Announcements that lapsed in an outage come back; the caller's copy may find them.
                false => Verdict::Drop(Reason::NoTarget),
            };
        };
        let target = view.directory.target(index);
        let Some(tag) = view.directory.tag_for(index) else {
            return Verdict::Drop(Reason::NoTarget);
        };
        self.openings.sent(segment.key, target.id, now_ms);
        self.add_flow(segment, target.id, now_ms);
        self.counters.count(Counter::Opened);
        let flows = self.own.get(&target.id).map_or(0, |own| own.flows);
        self.note(Event::Opened {
            key: segment.key,
            target: target.id,
            copy,
            flows,
            is_near: target.domain_seed == self.config.domain_seed,
            revision: view.directory.revision,
            view_age_ms: view.age_ms,
        });
        Verdict::Forward { target: target.id, address: target.address, tag }
    }

    fn on_flow(&mut self, view: View<'_>, segment: &Segment, now_ms: u64) -> Verdict {
        let Some(tag) = segment.tag else { return Verdict::Drop(Reason::NoTag) };
        let Some(index) = view.directory.find_tag(tag) else {
            return self.on_unknown_tag(view, segment, now_ms);
        };
        let target = view.directory.target(index);
        let presence = view.directory.presence(index);
        self.openings.remove(&segment.key);
        if presence == Presence::Gone {
            self.health.on_gone(target.id, now_ms);
            let is_dead = self.health.standing(target.id) == Standing::Dead;
            if is_dead || view.directory.is_replaced(index) {
                self.release_flow(segment);
                return Verdict::Reset(Reason::TargetGone);
            }
        }
        let Some(listener) = view.directory.find_listener(segment.key.listener) else {
            self.release_flow(segment);
            return self.refuse(view, Reason::NoListener);
        };
        self.observe(segment, listener, target.id, now_ms);
        if self.health.standing(target.id) == Standing::Dead && segment.kind != SegmentKind::Abort {
            self.release_flow(segment);
            return Verdict::Reset(Reason::TargetDead);
        }
        if segment.kind == SegmentKind::Abort {
            self.release_flow(segment);
        }
        Verdict::Forward { target: target.id, address: target.address, tag }
    }

    /// A target that a current view does not list is gone; one that an older view does not list may
    /// be new.
    fn on_unknown_tag(&mut self, view: View<'_>, segment: &Segment, now_ms: u64) -> Verdict {
        let first_seen_ms = self.unknown.first_seen_ms(segment.key, now_ms);
        let confirmed_at_ms = now_ms.saturating_sub(view.age_ms);
        if confirmed_at_ms >= first_seen_ms + self.config.unknown_ms {
            return Verdict::Reset(Reason::UnknownTag);
        }
        Verdict::Drop(Reason::UnknownTag)
    }

    fn refuse(&self, view: View<'_>, reason: Reason) -> Verdict {
        if view.age_ms <= self.config.view_age_max_ms {
            return Verdict::Reset(reason);
        }
        Verdict::Drop(Reason::StaleView)
    }

    fn observe(&mut self, segment: &Segment, listener: &Listener, target: TargetId, now_ms: u64) {
        let known = self.flows.get(&segment.key).copied();
        if known.is_none_or(|flow| flow.target != target) {
            self.release_flow(segment);
            self.add_flow(segment, target, now_ms);
            return;
        }
        let signal = self.flows.update(segment, now_ms);
        let own = self.own.entry(target).or_default();
        known.iter().for_each(|flow| own.subtract(flow));
        self.flows.get(&segment.key).into_iter().for_each(|flow| own.add(flow));
        if signal == Signal::Progress {
            self.sample(known.as_ref(), listener, now_ms);
        }
        let has_changed = match signal {
            Signal::None => false,
            Signal::Progress => self.health.on_progress(target, now_ms),
            Signal::Repeat(STALLED_REPEATS) => {
                self.health.on_stalled_flow(target, &self.config, now_ms)
            }
            Signal::Repeat(_) => false,
        };
        if has_changed {
            if self.health.standing(target) == Standing::Suspect {
                self.counters.count(Counter::Suspected);
            }
            self.note_standing(target);
        }
    }

    /// Notes how long the request of `known`, the flow before its answer came, has waited.
    fn sample(&mut self, known: Option<&Flow>, listener: &Listener, now_ms: u64) {
        let Some(flow) = known.filter(|flow| flow.is_busy) else { return };
        if self.samples.len() < SAMPLES_MAX {
            self.samples.push(Sample {
                listener: listener.address,
                kind: listener.kind,
                answer_ms: now_ms.saturating_sub(flow.busy_since_ms),
            });
        }
    }

    fn add_flow(&mut self, segment: &Segment, target: TargetId, now_ms: u64) {
        if self.flows.len() >= self.config.flows_max || segment.kind == SegmentKind::Abort {
            return;
        }
        self.flows.add(segment, target, now_ms);
        let own = self.own.entry(target).or_default();
        self.flows.get(&segment.key).into_iter().for_each(|flow| own.add(flow));
        self.has_load_news = true;
    }

    fn release_flow(&mut self, segment: &Segment) {
        if let Some(flow) = self.flows.remove(&segment.key) {
            release(&mut self.own, &flow);
            self.has_load_news = true;
        }
    }

    fn note_reset(&mut self, view: View<'_>, segment: &Segment, reason: Reason) {
        self.counters.count_reset(reason);
        let target = segment.tag.and_then(|tag| view.directory.find_tag(tag));
        self.note(Event::Reset {
            key: segment.key,
            target: target.map(|index| view.directory.target(index).id),
            reason,
            revision: view.directory.revision,
            view_age_ms: view.age_ms,
        });
    }

    fn note_unanswered(&mut self, target: TargetId, now_ms: u64) {
        if self.health.on_failed_opening(target, &self.config, now_ms) {
            self.counters.count(Counter::Suspected);
            self.note_standing(target);
        }
    }

    /// A target's standing changed: others hear of it, and the flows of a dead one are reset.
    fn follow_standing(&mut self, target: TargetId) {
        self.has_load_news = true;
        self.note_standing(target);
        if self.health.standing(target) == Standing::Dead {
            self.has_dead_news = true;
            self.reset_flows(target, Reason::TargetDead);
        }
    }

    fn reset_flows(&mut self, target: TargetId, reason: Reason) {
        let (revision, view_age_ms) = (self.revision, 0);
        for (key, acknowledged) in self.flows.of_target(target) {
            let segment = Segment {
                key,
                kind: SegmentKind::Data,
                tag: None,
                sequence: 0,
                acknowledged,
                data_bytes: 0,
            };
            self.release_flow(&segment);
            self.counters.count_reset(reason);
            self.note(Event::Reset { key, target: Some(target), reason, revision, view_age_ms });
            self.resets.push(segment);
        }
    }

    fn note_standing(&mut self, target: TargetId) {
        let standing = self.health.standing(target);
        if standing == Standing::Dead {
            self.counters.count(Counter::Dead);
        }
        let (failed_openings, stalled_flows) = self.health.evidence(target);
        self.note(Event::Standing { target, standing, failed_openings, stalled_flows });
    }

    fn note(&mut self, event: Event) {
        if self.events.len() < EVENTS_MAX {
            self.events.push(event);
        } else {
            self.events_left_out += 1;
        }
    }
}

fn release(own: &mut HashMap<TargetId, OwnLoad>, flow: &Flow) {
    let Some(load) = own.get_mut(&flow.target) else { return };
    load.subtract(flow);
    if load.flows + load.idle == 0 {
        own.remove(&flow.target);
    }
}

fn forward(view: View<'_>, target: TargetId) -> Option<Verdict> {
    let index = view.directory.find_target(target)?;
    let tag = view.directory.tag_for(index)?;
    let address = view.directory.target(index).address;
    (view.directory.presence(index) != Presence::Gone).then_some(Verdict::Forward {
        target,
        address,
        tag,
    })
}
