//! What happens to each packet of a caller.

mod loads;
mod placing;
mod targets;

use catalog::{Directory, Listener, Presence, TargetId};
use hashbrown::HashMap;
use rand::{SeedableRng, rngs::StdRng};

pub use self::loads::LoadNews;
use self::{
    loads::{OwnLoad, release},
    placing::OpeningRate,
};
use crate::{
    Config, Counter, Counters, Event, FlowKey, FlowReport, Health, LoadBoard, Reason, Sample,
    Segment, SegmentKind, Standing, Verdict,
    flows::{Flow, FlowTable, Signal},
    openings::OpeningTable,
    unknown::UnknownTable,
};

/// The n-th repetition of the same data that counts as a flow without progress. Callers repeat
/// after 200 ms, several times a round trip.
const STALLED_REPEATS: u8 = 1;

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
        let Some(index) = view.directory.find_target_by_tag(tag) else {
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

    fn note_reset(&mut self, view: View<'_>, segment: &Segment, reason: Reason) {
        self.counters.count_reset(reason);
        let target = segment.tag.and_then(|tag| view.directory.find_target_by_tag(tag));
        self.note(Event::Reset {
            key: segment.key,
            target: target.map(|index| view.directory.target(index).id),
            reason,
            revision: view.directory.revision,
            view_age_ms: view.age_ms,
        });
    }

    fn note(&mut self, event: Event) {
        if self.events.len() < EVENTS_MAX {
            self.events.push(event);
        } else {
            self.events_left_out += 1;
        }
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
