//! Flows leave the failure domain when that is worth its cost, and in the right number.

mod support;

use catalog::TargetIndex;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{FAR, Host, NEAR, data, listener};
use tagged::{
    Candidate, ChoiceParams, Config, Counter, Dispatcher, DomainExit, DomainExits, ExitChange,
    ExitInputs, ExitRule, Penalty, choose_target,
};

const STEP_MS: u64 = 10;

/// How long a target works on a request, in milliseconds.
const WORK_MS: u64 = 60;

/// The slots of each of the three domains.
const SLOTS: usize = 120;

const COST: DomainExit = DomainExit { round_trip_us: 2_800, price_us_per_kb: 10_000 };
const FIXED_EXCESS: Option<DomainExit> = None;

/// The target counts of the domains and the load on each as a fraction of `SLOTS`.
#[derive(Debug, Clone, Copy)]
struct Phase {
    slots: [usize; 3],
    load: [f64; 3],
    steps: u64,
}

/// Domains as single queues, whose hosts see the loads of `report_age_ms` ago.
struct Replay {
    /// Those of all three domains.
    hosts: Vec<DomainExits>,
    /// `None`: flows leave at a fixed excess of load.
    settings: Option<DomainExit>,
    in_flight: [f64; 3],
    history: Vec<[f64; 3]>,
    report_age_ms: u64,
    far_penalty: [Penalty; 3],
    now_ms: u64,
    /// The requests from domain 0, and those of them that left.
    opened: f64,
    left: f64,
    changes: usize,
    worst_wait_ms: f64,
}

impl Replay {
    fn new(hosts_per_domain: usize, settings: Option<DomainExit>) -> Replay {
        Replay {
            hosts: (0..3 * hosts_per_domain).map(|_| DomainExits::default()).collect(),
            settings,
            in_flight: [0.0; 3],
            history: Vec::new(),
            report_age_ms: 1_500,
            far_penalty: [Penalty::None; 3],
            now_ms: 10_000,
            opened: 0.0,
            left: 0.0,
            changes: 0,
            worst_wait_ms: 0.0,
        }
    }

    fn run(&mut self, rng: &mut StdRng, phase: Phase) {
        let per_domain = self.hosts.len() / 3;
        (self.opened, self.left, self.changes, self.worst_wait_ms) = (0.0, 0.0, 0, 0.0);
        for _ in 0..phase.steps {
            self.now_ms += STEP_MS;
            self.history.push(self.in_flight);
            let age = (self.report_age_ms / STEP_MS) as usize;
            let seen = self.history[self.history.len().saturating_sub(age + 1)];
            for domain in 0..3 {
                let openings = phase.load[domain] * SLOTS as f64 * STEP_MS as f64 / WORK_MS as f64;
                let openings =
                    openings.floor() as usize + usize::from(rng.random::<f64>() < openings.fract());
                for _ in 0..openings {
                    let host = domain * per_domain + rng.random_range(0..per_domain);
                    self.open(rng, domain, host, phase.slots, seen);
                }
            }
            for domain in 0..3 {
                let slots = phase.slots[domain] as f64;
                let done = self.in_flight[domain].min(slots) * STEP_MS as f64 / WORK_MS as f64;
                self.in_flight[domain] -= done;
            }
            let waiting = (self.in_flight[0] - phase.slots[0] as f64).max(0.0);
            let wait_ms = waiting / phase.slots[0].max(1) as f64 * WORK_MS as f64;
            self.worst_wait_ms = self.worst_wait_ms.max(wait_ms);
        }
    }

    fn open(
        &mut self,
        rng: &mut StdRng,
        domain: usize,
        host: usize,
        slots: [usize; 3],
        seen: [f64; 3],
    ) {
        let candidates: Vec<Candidate> = (0..3)
            .filter(|other| slots[*other] > 0)
            .map(|other| Candidate {
                index: TargetIndex(other),
                is_near: other == domain,
                penalty: if other == domain { Penalty::None } else { self.far_penalty[other] },
                slots: slots[other] as u16,
                load: 1.5 * seen[other] / slots[other] as f64,
            })
            .collect();
        let exits = &mut self.hosts[host];
        exits.record_bytes(listener(), 1_500);
        let queue = (seen[domain] / slots[domain].max(1) as f64 - 1.0).max(0.0);
        let answer_ms = WORK_MS + (queue * WORK_MS as f64) as u64;
        exits.record_answer(listener(), answer_ms, answer_ms);
        let inputs = ExitInputs {
            listener: listener(),
            candidates: &candidates,
            busy_ratio: 1.0,
            has_far_loads: true,
        };
        let change = self.settings.and_then(|settings| exits.adjust(settings, inputs, self.now_ms));
        let far_share = exits.share(listener());
        let params = ChoiceParams {
            has_far_loads: true,
            unreported_flows: 20.0,
            random_fraction: rng.random(),
            tie_seed: rng.random(),
            exit_rule: match rng.random::<f64>() < far_share {
                _ if self.settings.is_none() => ExitRule::FixedExcess,
                true => ExitRule::Leave { far_share },
                false => ExitRule::Stay { far_share },
            },
        };
        let Some(TargetIndex(chosen)) = choose_target(&candidates, params) else { return };
        self.in_flight[chosen] += 1.0;
        if domain == 0 {
            self.opened += 1.0;
            self.left += f64::from(u8::from(chosen != 0));
            self.changes += usize::from(change.is_some());
        }
    }

    fn left_percent(&self) -> f64 {
        100.0 * self.left / self.opened.max(1.0)
    }
}

/// Runs the `phases` with several numbers of hosts and checks the percentage of flows that leave
/// domain 0 in the last one; returns the longest wait there.
fn check(
    settings: Option<DomainExit>,
    phases: &[Phase],
    left_percent: std::ops::RangeInclusive<f64>,
) -> f64 {
    let mut worst_wait_ms = 0.0_f64;
    for (seed, hosts_per_domain) in [(1, 10), (2, 48), (3, 100)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut replay = Replay::new(hosts_per_domain, settings);
        phases.iter().for_each(|phase| replay.run(&mut rng, *phase));
        let left = replay.left_percent();
        assert!(left_percent.contains(&left), "{hosts_per_domain} hosts: {left:.1} % left");
        worst_wait_ms = worst_wait_ms.max(replay.worst_wait_ms);
    }
    worst_wait_ms
}

fn phase(slots: [usize; 3], load: [f64; 3]) -> Phase {
    Phase { slots, load, steps: 1_500 }
}

const WHOLE: [usize; 3] = [SLOTS; 3];
const THIRD_GONE: [usize; 3] = [SLOTS * 2 / 3, SLOTS, SLOTS];

#[test]
fn too_few_targets() {
    // 72 % of the former slots' work for 67 % of them: at least 7 % must leave, and no more than
    // levels the domains.
    let load = [0.72, 0.4, 0.4];
    let calm = phase(WHOLE, load);
    let short = phase(THIRD_GONE, load);
    let wait_ms = check(Some(COST), &[calm, short, short], 8.0..=30.0);
    // A quarter of an aim of 400 ms.
    assert!(wait_ms < 100.0, "{wait_ms:.0} ms");
    let wait_ms = check(FIXED_EXCESS, &[calm, short, short], 0.0..=100.0);
    assert!(wait_ms > 100.0, "{wait_ms:.0} ms: the fixed excess leaves too late");
}

#[test]
fn enough_room() {
    for load in [[0.4; 3], [0.46, 0.4, 0.34], [0.62, 0.4, 0.18]] {
        check(Some(COST), &[phase(WHOLE, [0.4; 3]), phase(WHOLE, load)], 0.0..=0.0);
    }
}

#[test]
fn burst_and_return() {
    let calm = phase(WHOLE, [0.4; 3]);
    let burst = phase(WHOLE, [1.1, 0.4, 0.4]);
    check(Some(COST), &[calm, burst], 15.0..=45.0);
    check(Some(COST), &[calm, burst, calm, calm], 0.0..=0.0);
}

#[test]
fn dear_bytes() {
    let dear = DomainExit { price_us_per_kb: 150_000, ..COST };
    let short = phase(THIRD_GONE, [0.72, 0.4, 0.4]);
    check(Some(dear), &[short, short], 6.0..=16.0);
    let prohibitive = DomainExit { price_us_per_kb: u32::MAX, ..COST };
    check(Some(prohibitive), &[short], 0.0..=0.0);
}

#[test]
fn no_own_targets() {
    check(Some(COST), &[phase([0, SLOTS, SLOTS], [0.4; 3])], 100.0..=100.0);
}

#[test]
fn cut_domain() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut replay = Replay::new(48, Some(COST));
    let short = phase(THIRD_GONE, [0.72, 0.4, 0.4]);
    replay.run(&mut rng, short);
    assert!(replay.left > 0.0);
    replay.far_penalty = [Penalty::DomainSilent; 3];
    replay.run(&mut rng, short);
    assert_eq!(replay.left, 0.0, "silent domains get nothing");
}

#[test]
fn late_reports() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut replay = Replay::new(48, Some(COST));
    replay.report_age_ms = 4_000;
    let short = phase(THIRD_GONE, [0.72, 0.4, 0.4]);
    replay.run(&mut rng, short);
    for _ in 0..5 {
        replay.run(&mut rng, short);
        let (left, wait_ms) = (replay.left_percent(), replay.worst_wait_ms);
        assert!(left < 30.0 && wait_ms < 100.0, "{left:.1} % left, {wait_ms:.0} ms");
    }
}

#[test]
fn steady_edge() {
    // The load at which leaving just pays.
    let mut rng = StdRng::seed_from_u64(1);
    let mut replay = Replay::new(10, Some(COST));
    let edge = phase(THIRD_GONE, [0.52, 0.4, 0.4]);
    replay.run(&mut rng, edge);
    replay.run(&mut rng, edge);
    assert!(replay.changes <= replay.hosts.len() / 3, "{} changes in 15 s", replay.changes);
}

#[test]
fn without_reports() {
    let mut exits = DomainExits::default();
    let candidate = |is_near, load| Candidate {
        index: TargetIndex(usize::from(is_near)),
        is_near,
        penalty: Penalty::None,
        slots: 2,
        load,
    };
    let candidates = [candidate(true, 20.0), candidate(false, 0.0)];
    let mut inputs = ExitInputs {
        listener: listener(),
        candidates: &candidates,
        busy_ratio: 1.0,
        has_far_loads: false,
    };
    assert_eq!(exits.adjust(COST, inputs, 1_000), None);
    assert_eq!(exits.share(listener()), 0.0);
    inputs.has_far_loads = true;
    let began = exits.adjust(COST, inputs, 1_500);
    assert!(matches!(began, Some(ExitChange::Began(estimate))
        if estimate.near_wait_us > estimate.far_wait_us + estimate.cost_us));
    inputs.has_far_loads = false;
    assert!(matches!(exits.adjust(COST, inputs, 2_000), Some(ExitChange::Ended(_))));
}

#[test]
fn counted_bytes() {
    let config = Config { domain_seed: NEAR, domain_exit: Some(COST), ..Config::default() };
    let targets = [(1, FAR), (2, FAR)];
    let mut host = Host { dispatcher: Dispatcher::new(config, 1), ..Host::new(&targets) };
    host.dispatcher.on_directory(&host.directory, host.now_ms);
    let (_, tag) = host.open(1, 0);
    host.send(&data(1, tag, 6, 50));
    host.send(&data(1, tag, 106, 1_050));
    let counters = host.dispatcher.counters();
    assert_eq!(counters.get(Counter::LeftDomain), 1);
    // Two packets of 100 bytes, and the answer of 1,000.
    assert_eq!(counters.get(Counter::LeftDomainBytes), 1_200);
}

proptest! {
    #[test]
    fn extremes(
        loads in prop::collection::vec(
            (any::<bool>(), prop_oneof![Just(0.0), Just(1e300), 0.0..50.0], any::<u16>()),
            0..8,
        ),
        round_trip_us: u32,
        price_us_per_kb: u32,
        busy_ratio in prop_oneof![Just(f64::NAN), Just(0.0), -1.0..2.0],
        answer_ms in prop_oneof![Just(0), Just(u64::MAX), 0..10_000_u64],
        bytes: u32,
    ) {
        let candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(index, &(is_near, load, slots))| Candidate {
                index: TargetIndex(index),
                is_near,
                penalty: Penalty::None,
                slots,
                load,
            })
            .collect();
        let mut exits = DomainExits::default();
        exits.record_bytes(listener(), bytes);
        exits.record_answer(listener(), answer_ms, answer_ms);
        let settings = DomainExit { round_trip_us, price_us_per_kb };
        for now_ms in [0, 1, 500, 10_000, u64::MAX / 2] {
            let inputs = ExitInputs {
                listener: listener(),
                candidates: &candidates,
                busy_ratio,
                has_far_loads: true,
            };
            exits.adjust(settings, inputs, now_ms);
            let far_share = exits.share(listener());
            prop_assert!((0.0..=1.0).contains(&far_share), "{far_share}");
            let params = ChoiceParams {
                has_far_loads: true,
                unreported_flows: 3.0,
                random_fraction: 0.5,
                tie_seed: 1,
                exit_rule: ExitRule::Leave { far_share },
            };
            prop_assert_eq!(choose_target(&candidates, params).is_some(), !candidates.is_empty());
        }
    }
}
