//! Goodput and latency of one class of requests (the watched class) while another class floods the
//! service.

use admission::{Opening, Pool, PoolTarget, Verdict, Wait};
use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, data_plane::DataPlane, tree};
use flow::FlowHash;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use routing::HostId;
use serde::Serialize;
use settings::{Kind, ListenerPolicy, Policy, TargetPolicy};

use crate::{Forwarding, StatelessHashPlane, percentile};

/// The listener port of the watched class.
const WATCHED_PORT: u16 = 445;

/// The listener port of the flooding class.
const FLOODING_PORT: u16 = 446;

/// Mean time that a target works on a request, in milliseconds.
const WORK_MS: u64 = 100;

/// Total slots of the service.
const SLOTS: u64 = 45;

/// The load, the size and the fault of a flood measure.
#[derive(Debug, Clone, PartialEq)]
pub struct FloodScenario {
    /// How packets are forwarded.
    pub forwarding: Forwarding,
    /// The load of the watched class, in percent of the slots.
    pub watched_percent: u64,
    /// The load of the flooding class, in percent of the slots.
    pub flood_percent: u64,
    /// The priority of the flooding class. That of the watched class is 0, the most urgent.
    pub flood_priority: u8,
    /// Hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// How long new openings arrive, in milliseconds.
    pub run_ms: u64,
    /// The seed of arrivals and of the simulated network.
    pub seed: u64,
    /// The fault halfway through the flood.
    pub fault: FloodFault,
}

/// A fault during the flood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodFault {
    /// No fault.
    None,
    /// The host with this index dies.
    HostDeath(usize),
    /// A target stops answering.
    TargetDeath,
}

impl Default for FloodScenario {
    fn default() -> FloodScenario {
        FloodScenario {
            forwarding: Forwarding::Homes,
            watched_percent: 30,
            flood_percent: 1_000,
            flood_priority: 2,
            hosts_per_domain: 5,
            run_ms: 6_000,
            seed: 1,
            fault: FloodFault::None,
        }
    }
}

/// Results of a flood measure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FloodResult {
    /// Openings of the watched class.
    pub watched: usize,
    /// Openings of the watched class that completed.
    pub watched_completed: usize,
    /// The share of openings of the watched class that completed.
    pub watched_goodput: f64,
    /// Time until a target accepted, 50th percentile, in milliseconds.
    pub watched_wait_p50_ms: u64,
    /// Time until a target accepted, 99th percentile, in milliseconds.
    pub watched_wait_p99_ms: u64,
    /// Time until the whole response arrived, 99th percentile, in milliseconds.
    pub watched_duration_p99_ms: u64,
    /// Openings of the flooding class.
    pub flooding: usize,
    /// Openings of the flooding class that completed.
    pub flooding_completed: usize,
    /// Openings of the flooding class that were refused.
    pub flooding_refused: usize,
    /// Mean share of slots that are assigned, after the first quarter of the run.
    pub slots_assigned_share: f64,
    /// Mean share of slots that run a request, after the first quarter of the run. The other
    /// assigned slots are in a handshake or closing.
    pub slots_running_share: f64,
    /// The largest number of concurrent requests on a target, which has three slots.
    pub most_requests: usize,
    /// Refused flows whose data a target accepted.
    pub refused_but_taken: usize,
    /// Flows whose data two targets accepted.
    pub taken_twice: usize,
}

/// Measures `scenario`.
pub fn flood(scenario: &FloodScenario) -> FloodResult {
    let watched = Policy {
        priority: Some(0),
        guaranteed_percent: Some(40),
        cap_percent: Some(80),
        ..Policy::default()
    };
    let flooding = Policy {
        priority: Some(scenario.flood_priority),
        cap_percent: if scenario.flood_priority == 0 { Some(60) } else { None },
        queue_limit: Some(64),
        queue_deadline_ms: Some(1_000),
        ..Policy::default()
    };
    let spec = ServiceSpec {
        extra_request_listeners: vec![(WATCHED_PORT, watched), (FLOODING_PORT, flooding)],
        ..ServiceSpec::default()
    };
    let config = LanConfig {
        tree: tree(&[spec]),
        seed: scenario.seed,
        hosts_per_domain: scenario.hosts_per_domain,
        ..LanConfig::default()
    };
    match scenario.forwarding {
        Forwarding::Homes => run(&mut Lan::new(config), scenario),
        _ => run(&mut Lan::with_data_plane(config, |_, _| StatelessHashPlane::default()), scenario),
    }
}

fn run<P: DataPlane>(lan: &mut Lan<P>, scenario: &FloodScenario) -> FloodResult {
    const STEP_MS: u64 = 10;
    lan.set_work_ms(WORK_MS);
    let mut watched = Arrivals::new(WATCHED_PORT, scenario.watched_percent, scenario.seed);
    let mut flooding = Arrivals::new(FLOODING_PORT, scenario.flood_percent, scenario.seed + 1);
    let mut running_shares = Vec::new();
    let mut assigned_shares = Vec::new();
    let steps = scenario.run_ms / STEP_MS;
    for step in 0..steps {
        watched.open_until((step * STEP_MS) as f64, lan);
        flooding.open_until((step * STEP_MS) as f64, lan);
        if step == steps / 2 {
            match scenario.fault {
                FloodFault::None => {}
                FloodFault::HostDeath(host) => lan.kill(host),
                FloodFault::TargetDeath => {
                    let address = std::net::IpAddr::from([10, 1, 1, 1]);
                    lan.set_target_behavior(address, fakes::TargetBehavior::Dead);
                }
            }
        }
        lan.run_ms(STEP_MS);
        // The first quarter of the run, in which the load builds up, is not sampled.
        if step > steps / 4 {
            running_shares.push(lan.running_requests(1) as f64 / SLOTS as f64);
            let sum: u32 = lan.nodes.iter().map(|node| node.data_plane.assigned_slots()).sum();
            assigned_shares.push(f64::from(sum) / SLOTS as f64);
        }
    }
    lan.run_ms(30_000);
    let (watched_ids, flooding_ids) = (watched.ids, flooding.ids);
    let completed = |ids: &[usize]| {
        ids.iter()
            .filter(|id| lan.flow_outcome(**id) == Some(fakes::FlowOutcome::Completed))
            .count()
    };
    let refused = |ids: &[usize]| {
        ids.iter().filter(|id| lan.flow_outcome(**id) == Some(fakes::FlowOutcome::Refused)).count()
    };
    let waits: Vec<u64> = watched_ids.iter().flat_map(|id| lan.waits_ms(*id..*id + 1)).collect();
    let durations: Vec<u64> =
        watched_ids.iter().flat_map(|id| lan.durations_ms(*id..*id + 1)).collect();
    let report = lan.report();
    FloodResult {
        watched: watched_ids.len(),
        watched_completed: completed(&watched_ids),
        watched_goodput: completed(&watched_ids) as f64 / watched_ids.len().max(1) as f64,
        watched_wait_p50_ms: percentile(&waits, 50),
        watched_wait_p99_ms: percentile(&waits, 99),
        watched_duration_p99_ms: percentile(&durations, 99),
        flooding: flooding_ids.len(),
        flooding_completed: completed(&flooding_ids),
        flooding_refused: refused(&flooding_ids),
        slots_assigned_share: mean(&assigned_shares),
        slots_running_share: mean(&running_shares),
        most_requests: lan.most_requests(),
        refused_but_taken: report.refused_but_taken,
        taken_twice: report.taken_twice,
    }
}

/// Openings of one class as a Poisson process.
struct Arrivals {
    kind: CallerKind,
    openings_per_ms: f64,
    next_at_ms: f64,
    rng: StdRng,
    ids: Vec<usize>,
}

impl Arrivals {
    fn new(port: u16, load_percent: u64, seed: u64) -> Arrivals {
        Arrivals {
            kind: CallerKind::RequestTo { port },
            openings_per_ms: load_percent as f64 / 100.0 * SLOTS as f64 / WORK_MS as f64,
            next_at_ms: 0.0,
            rng: StdRng::seed_from_u64(seed),
            ids: Vec::new(),
        }
    }

    fn open_until<P: DataPlane>(&mut self, now_ms: f64, lan: &mut Lan<P>) {
        while self.openings_per_ms > 0.0 && self.next_at_ms <= now_ms {
            self.ids.push(lan.open(1, self.kind, 1));
            let uniform: f64 = self.rng.random_range(1e-12..1.0);
            self.next_at_ms -= uniform.ln() / self.openings_per_ms;
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Opens flows of a flooding and a watched class in a pool of 15 slots, at fifty times its capacity.
///
/// Returns the largest number of waiting openings, which bounds the memory of the pool.
pub fn max_waiting_openings(openings: u64) -> usize {
    let targets: Vec<PoolTarget> = (1..=5u8)
        .map(|number| PoolTarget {
            address: [10, 1, 1, number].into(),
            seed: u64::from(number),
            policy: TargetPolicy::default(),
        })
        .collect();
    let policy = ListenerPolicy { kind: Kind::Request, ..ListenerPolicy::default() };
    let mut pool = Pool::default();
    pool.configure(&targets, &[(1, policy), (2, ListenerPolicy { priority: 0, ..policy })], 0);
    let mut max_waiting = 0;
    // 50 openings arrive per millisecond; one of them is of the watched class.
    for number in 0..openings {
        let opening = Opening {
            hash: FlowHash(u128::from(number) << 64 | 1),
            caller: [172, 16, 0, (number % 5) as u8].into(),
            listener_key: 1 + u32::from(number % 50 == 0),
            home: HostId(1),
            avoid: None,
        };
        let verdict = pool.open(&opening, Wait::Yes, number / 50);
        if let Verdict::Granted(target) = verdict
            && number % 3 == 0
        {
            pool.close(&opening, target, number / 50);
        }
        pool.tick(number / 50);
        max_waiting = max_waiting.max(pool.waiting());
    }
    max_waiting
}
