//! Collects the candidate targets for a new flow, with their load and health.

use catalog::{Listener, TargetId, TargetIndex};
use rand::RngExt;

use super::loads::OVERDUE_WEIGHT;
use crate::{
    Admission, Candidate, ChoiceParams, Dispatcher, ExitRule, Penalty, Reason, Standing, View,
    choose_target, precedence::Room,
};

/// The weight of a request in flight relative to an open flow. Callers that keep flows open have a
/// request in flight on them about a tenth of the time.
const BUSY_WEIGHT: f64 = 0.5;

/// How many targets of a failure domain must be suspect or dead, while none makes progress, for the
/// domain to count as silent.
const MIN_SILENT_TARGETS: usize = 2;

/// The time constant of the average in [`OpeningRate`], in milliseconds; the same as the maximum
/// age that a load report contributes to the unreported flows.
const RATE_DECAY_MS: f64 = 2_000.0;

/// The rate at which this host opens flows to a service, as an exponentially decaying average.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpeningRate {
    service_seed: u64,
    /// Openings per millisecond as of `at_ms`.
    per_ms: f64,
    at_ms: u64,
}

impl OpeningRate {
    fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_ms * (-passed_ms / RATE_DECAY_MS).exp()
    }

    fn add(&mut self, now_ms: u64) {
        self.per_ms = self.at(now_ms) + 1.0 / RATE_DECAY_MS;
        self.at_ms = now_ms;
    }
}

/// Why an opening is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unplaced {
    /// The caller's next copy of the opening may be placed.
    Waiting(Reason),
    /// It is refused.
    Refused(Reason),
}

impl Dispatcher {
    /// Chooses the target for a new flow; `tried` did not answer earlier openings of it.
    pub(super) fn place_flow(
        &mut self,
        view: View<'_>,
        listener: &Listener,
        tried: &[TargetId],
        now_ms: u64,
    ) -> Result<TargetIndex, Unplaced> {
        let Some(service_seed) = self.draw_service(listener) else {
            return Err(no_target(view, listener));
        };
        let params = ChoiceParams {
            has_far_loads: self.reported.has_far_loads(),
            unreported_flows: self.unreported_flows(service_seed, now_ms),
            random_fraction: self.rng.random(),
            tie_seed: self.rng.random(),
            exit_rule: ExitRule::FixedExcess,
        };
        self.record_opening(service_seed, now_ms);
        let tried_domains: Vec<u64> = tried
            .iter()
            .filter_map(|target| view.directory.find_target(*target))
            .map(|index| view.directory.target(index).domain_seed)
            .collect();
        let silent_domains = self.silent_domains(view, now_ms);
        let mut room = Room::new(self.flows_max(view, service_seed));
        let mut candidates = Vec::new();
        for index in view.directory.open_targets(service_seed) {
            let target = view.directory.target(index);
            let is_near = target.domain_seed == self.config.domain_seed;
            let penalty = match self.health.standing(target.id) {
                _ if tried.contains(&target.id) => Penalty::Tried,
                Standing::Dead => Penalty::Dead,
                Standing::Suspect => Penalty::Suspect,
                Standing::Good if self.speeds.is_set_aside(target.id) => Penalty::Suspect,
                Standing::Good if silent_domains.contains(&target.domain_seed) => {
                    Penalty::DomainSilent
                }
                Standing::Good if !is_near && tried_domains.contains(&target.domain_seed) => {
                    Penalty::DomainTried
                }
                Standing::Good => Penalty::None,
            };
            let usage = self.usage(target.id);
            if !room.add_flows(usage.flows) {
                continue;
            }
            if penalty < Penalty::Suspect && (is_near || params.has_far_loads) {
                room.add_slots(target.slots, usage.live_busy(), usage.own_busy);
            }
            let load = usage.load(target.slots) / self.speeds.relative(target.id);
            candidates.push(Candidate { index, is_near, penalty, slots: target.slots, load });
        }
        match self.admit(listener, service_seed, &room, tried, now_ms) {
            Admission::Place => {}
            Admission::Wait => return Err(Unplaced::Waiting(Reason::Crowded)),
            Admission::Refuse => return Err(Unplaced::Refused(Reason::Crowded)),
        }
        if candidates.is_empty() {
            return Err(no_target(view, listener));
        }
        let mut candidates = self.apply_slow_start(view, candidates, now_ms);
        self.hold_back_cold(view, &mut candidates, params.tie_seed, now_ms)?;
        let exit_rule = self.exit_rule(view, service_seed, listener, &candidates, now_ms);
        choose_target(&candidates, ChoiceParams { exit_rule, ..params })
            .ok_or(Unplaced::Waiting(Reason::Cold))
    }

    /// Estimates how many flows other hosts of this failure domain have opened to a service since
    /// their last reports, assuming that each opens as many as this host.
    fn unreported_flows(&self, service_seed: u64, now_ms: u64) -> f64 {
        let rate = self.opening_rates.iter().find(|rate| rate.service_seed == service_seed);
        rate.map_or(0.0, |rate| rate.at(now_ms) * self.reported.unreported_ms(now_ms) as f64)
    }

    fn record_opening(&mut self, service_seed: u64, now_ms: u64) {
        let rates = &mut self.opening_rates;
        let position = rates.binary_search_by_key(&service_seed, |rate| rate.service_seed);
        let position = position.unwrap_or_else(|position| {
            rates.insert(position, OpeningRate { service_seed, per_ms: 0.0, at_ms: now_ms });
            position
        });
        rates[position].add(now_ms);
    }

    /// The other failure domains in which several targets are silent and none makes progress. They
    /// are likely cut off from this host.
    fn silent_domains(&self, view: View<'_>, now_ms: u64) -> Vec<u64> {
        let since_ms = now_ms.saturating_sub(self.config.recent_progress_ms);
        let mut silent: Vec<u64> = Vec::new();
        let mut responsive: Vec<u64> = Vec::new();
        for position in 0..view.directory.target_count() {
            let target = view.directory.target(TargetIndex(position));
            if target.domain_seed == self.config.domain_seed {
                continue;
            }
            if self.health.has_progress_since(target.id, since_ms) {
                responsive.push(target.domain_seed);
            } else if self.health.standing(target.id) != Standing::Good {
                silent.push(target.domain_seed);
            }
        }
        silent.sort_unstable();
        let domains = silent.chunk_by(|left, right| left == right);
        domains
            .filter(|domain| domain.len() >= MIN_SILENT_TARGETS && !responsive.contains(&domain[0]))
            .map(|domain| domain[0])
            .collect()
    }

    /// Draws a service of the listener at random, by the weights of its shares.
    fn draw_service(&mut self, listener: &Listener) -> Option<u64> {
        let total: u32 = listener.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..total);
        for share in &listener.shares {
            if drawn < share.weight {
                return Some(share.service_seed);
            }
            drawn -= share.weight;
        }
        None
    }

    /// Whether an opening is placed now. One that was placed before goes on to another target.
    fn admit(
        &mut self,
        listener: &Listener,
        service_seed: u64,
        room: &Room,
        tried: &[TargetId],
        now_ms: u64,
    ) -> Admission {
        if !self.config.orders_by_priority || (!tried.is_empty() && !room.is_capped()) {
            return Admission::Place;
        }
        let evidence = self.reported.evidence(self.host_count, now_ms);
        let admission = self.precedence.decide(listener, service_seed, room, evidence, now_ms);
        if admission != Admission::Place {
            self.counters.count_held(listener.priority);
        }
        admission
    }

    /// The number of flows that each target of a service holds.
    fn flows_max(&self, view: View<'_>, service_seed: u64) -> u32 {
        let service = view.directory.find_service(service_seed);
        let service = service.filter(|_| self.config.orders_by_priority);
        service.map_or(u32::MAX, |service| service.flows_max)
    }

    fn usage(&self, target: TargetId) -> Usage {
        let own = self.own_load.get(&target).copied().unwrap_or_default();
        let reported = self.reported.get(target);
        Usage {
            flows: own.flows.saturating_add(reported.flows),
            busy: own.weighted_busy().saturating_add(reported.busy),
            own_busy: own.busy.saturating_sub(own.overdue),
        }
    }
}

/// The use of a target by all hosts.
#[derive(Debug, Clone, Copy)]
struct Usage {
    flows: u32,
    /// The requests in flight, with extra weight for overdue ones.
    busy: u32,
    /// The requests in flight that this host sees, without overdue ones.
    own_busy: u32,
}

impl Usage {
    /// The requests in flight without overdue ones, whose callers have mostly left: a caller that
    /// gives up sends nothing, so its request counts until the flow is idle.
    fn live_busy(&self) -> u32 {
        (self.busy % OVERDUE_WEIGHT).saturating_sub(self.busy / OVERDUE_WEIGHT)
    }

    /// The weighted flows per slot.
    fn load(&self, slots: u16) -> f64 {
        let weighted = f64::from(self.flows) + BUSY_WEIGHT * f64::from(self.busy);
        weighted / f64::from(slots.max(1))
    }
}

/// Why no target takes flows of `listener`.
fn no_target(view: View<'_>, listener: &Listener) -> Unplaced {
    let directory = view.directory;
    let has_evacuated = directory.targets().any(|target| {
        let is_served =
            listener.shares.iter().any(|share| share.service_seed == target.service_seed);
        is_served && directory.is_evacuated(target.domain_seed)
    });
    match directory.has_targets(listener) {
        true if has_evacuated => Unplaced::Refused(Reason::Evacuated),
        true => Unplaced::Refused(Reason::NoTarget),
        // Announcements that lapsed in an outage of the store return, so the caller's next copy of
        // the opening may find a target.
        false => Unplaced::Waiting(Reason::NoTarget),
    }
}
