//! What a class of work keeps while another floods in.

use admission::{Opening, Pool, PoolTarget, Verdict, Wait};
use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, plane::Plane, tree};
use flow::FlowHash;
use routing::{HostId, mix};
use serde::Serialize;
use settings::{Kind, ListenerPolicy, Policy, TargetPolicy};

use crate::{TableOnly, Way, percentile};

/// The port of the class that is watched.
const WATCHED_PORT: u16 = 445;

/// The port of the class that floods in.
const FLOODING_PORT: u16 = 446;

/// How long a request takes in the mean, in milliseconds.
const WORK_MS: u64 = 100;

/// Slots of the service.
const SLOTS: u64 = 45;

/// What to measure.
#[derive(Debug, Clone, PartialEq)]
pub struct FloodPlan {
    /// How packets are forwarded.
    pub way: Way,
    /// The load of the watched class, in percent of the slots.
    pub watched_percent: u64,
    /// The load of the flooding class, in percent of the slots.
    pub flood_percent: u64,
    /// The priority of the flooding class.
    pub flood_priority: u8,
    /// Hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// How long openings arrive, in milliseconds.
    pub run_ms: u64,
    /// The seed.
    pub seed: u64,
    /// What fails during the flood.
    pub fault: FloodFault,
}

/// What fails during the flood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodFault {
    /// Nothing.
    None,
    /// A host dies.
    HostDeath,
    /// A target stops answering.
    TargetDeath,
}

impl Default for FloodPlan {
    fn default() -> FloodPlan {
        FloodPlan {
            way: Way::Homes,
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

/// The result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Flood {
    /// Openings of the watched class.
    pub watched: usize,
    /// Those that completed.
    pub watched_completed: usize,
    /// The share that completed.
    pub watched_goodput: f64,
    /// The wait until a target accepted, 50th percentile, in milliseconds.
    pub watched_wait_p50_ms: u64,
    /// The wait until a target accepted, 99th percentile, in milliseconds.
    pub watched_wait_p99_ms: u64,
    /// The time until the whole answer came, 99th percentile, in milliseconds.
    pub watched_duration_p99_ms: u64,
    /// Openings of the flooding class.
    pub flooding: usize,
    /// Those that completed.
    pub flooding_completed: usize,
    /// Those that were refused.
    pub flooding_refused: usize,
    /// The share of slots in use while the flood lasts, in the mean.
    pub slots_used_share: f64,
    /// The most requests at one target, where it has three slots.
    pub most_requests: usize,
    /// Refused flows whose data a target took.
    pub refused_but_taken: usize,
    /// Flows whose data two targets took.
    pub taken_twice: usize,
}

/// Measures `plan`.
pub fn flood(plan: &FloodPlan) -> Flood {
    let watched = Policy {
        priority: Some(0),
        guaranteed_percent: Some(40),
        cap_percent: Some(80),
        ..Policy::default()
    };
    let flooding = Policy {
        priority: Some(plan.flood_priority),
        cap_percent: if plan.flood_priority == 0 { Some(60) } else { None },
        queue_limit: Some(64),
        queue_deadline_ms: Some(1_000),
        ..Policy::default()
    };
    let spec = ServiceSpec {
        classes: vec![(WATCHED_PORT, watched), (FLOODING_PORT, flooding)],
        ..ServiceSpec::default()
    };
    let config = LanConfig {
        tree: tree(&[spec]),
        seed: plan.seed,
        hosts_per_domain: plan.hosts_per_domain,
        ..LanConfig::default()
    };
    match plan.way {
        Way::Homes => run(&mut Lan::new(config), plan),
        _ => run(&mut Lan::with_plane(config, |_, _| TableOnly::default()), plan),
    }
}

fn run<P: Plane>(lan: &mut Lan<P>, plan: &FloodPlan) -> Flood {
    const STEP_MS: u64 = 10;
    lan.set_work_ms(WORK_MS);
    // Openings a step, in 100ths, of a class with a load in percent of the slots.
    let per_step = |percent: u64| percent * SLOTS * STEP_MS / WORK_MS;
    let (mut watched_due, mut flooding_due) = (0, 0);
    let mut watched_ids = Vec::new();
    let mut flooding_ids = Vec::new();
    let mut used = Vec::new();
    let steps = plan.run_ms / STEP_MS;
    for step in 0..steps {
        watched_due += per_step(plan.watched_percent);
        flooding_due += per_step(plan.flood_percent);
        // The counts of a step vary, so that arrivals are not evenly spaced.
        let is_burst = mix(step, plan.seed) % 3 == 0;
        if is_burst {
            let watched = CallerKind::RequestTo { port: WATCHED_PORT };
            let flooding = CallerKind::RequestTo { port: FLOODING_PORT };
            open(lan, watched, &mut watched_due, &mut watched_ids);
            open(lan, flooding, &mut flooding_due, &mut flooding_ids);
        }
        if step == steps / 2 {
            match plan.fault {
                FloodFault::None => {}
                FloodFault::HostDeath => lan.kill(2),
                FloodFault::TargetDeath => {
                    let address = std::net::IpAddr::from([10, 1, 1, 1]);
                    lan.set_manner(address, fakes::Manner::Dead);
                }
            }
        }
        lan.run_ms(STEP_MS);
        if step > steps / 4 {
            used.push(lan.running(1) as f64 / SLOTS as f64);
        }
    }
    lan.run_ms(30_000);
    let completed = |ids: &[usize]| {
        ids.iter().filter(|id| lan.ending(**id) == Some(fakes::Ending::Completed)).count()
    };
    let refused = |ids: &[usize]| {
        ids.iter().filter(|id| lan.ending(**id) == Some(fakes::Ending::Refused)).count()
    };
    let waits: Vec<u64> = watched_ids.iter().flat_map(|id| lan.waits_ms(*id..*id + 1)).collect();
    let durations: Vec<u64> =
        watched_ids.iter().flat_map(|id| lan.durations_ms(*id..*id + 1)).collect();
    let report = lan.report();
    Flood {
        watched: watched_ids.len(),
        watched_completed: completed(&watched_ids),
        watched_goodput: completed(&watched_ids) as f64 / watched_ids.len().max(1) as f64,
        watched_wait_p50_ms: percentile(&waits, 50),
        watched_wait_p99_ms: percentile(&waits, 99),
        watched_duration_p99_ms: percentile(&durations, 99),
        flooding: flooding_ids.len(),
        flooding_completed: completed(&flooding_ids),
        flooding_refused: refused(&flooding_ids),
        slots_used_share: used.iter().sum::<f64>() / used.len().max(1) as f64,
        most_requests: lan.most_requests(),
        refused_but_taken: report.refused_but_taken,
        taken_twice: report.taken_twice,
    }
}

fn open<P: Plane>(lan: &mut Lan<P>, kind: CallerKind, due: &mut u64, ids: &mut Vec<usize>) {
    let count = (*due / 100) as usize;
    *due %= 100;
    let first = lan.open(1, kind, count);
    ids.extend(first..first + count);
}

/// Offers a pool of 15 slots openings of a flood and of a watched class, fifty times its capacity.
///
/// Gives the largest number of waiting openings, which is what memory is bounded by.
pub fn pools_flood(openings: u64) -> usize {
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
    let mut most = 0;
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
        most = most.max(pool.waiting());
    }
    most
}
