//! All hosts together open few flows to a cold target, whatever they know of each other.

mod support;

use std::collections::VecDeque;

use catalog::{Evacuation, FlowTag, Record, Revision, Row, Service};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use routing::HostId;
use support::{FAR, Host, NEAR, SERVICE, data, opening, rows};
use tagged::{Config, Dispatcher, HostLoad, Reason, Segment, SegmentKind, Verdict, WarmupLimit};

/// The targets of the own failure domain, which become cold; as many others stay warm.
const COLD_TARGETS: u64 = 10;
const STARTED_AT_MS: u64 = 10_000;
const COLD_AT_MS: u64 = 20_000;
const WARMUP_MS: u32 = 8_000;

/// 0 openings a second, times 1.5, and 5 more.
const LIMIT: usize = 5;

fn warmup_rows(warmup_ms: u32, edition: u64, rate_per_ks: Option<u32>) -> Vec<Row> {
    let targets: Vec<(u64, u64)> = (1..=2 * COLD_TARGETS)
        .map(|id| (id, if id <= COLD_TARGETS { NEAR } else { FAR }))
        .collect();
    let mut all = rows(&targets);
    let service = Record::Service(Service {
        seed: SERVICE,
        health_path: String::new(),
        flows_max: 1_000,
        warmup_openings_per_ks: rate_per_ks,
    });
    all.push(Row::written(Revision::new(1, 1), 1, service));
    for row in &mut all {
        if let Record::Target(target) = &mut row.record {
            row.edition = edition;
            target.warmup_ms = if target.domain_seed == NEAR { warmup_ms } else { 0 };
        }
    }
    all
}

/// A call with one request.
struct Call {
    host: usize,
    caller: u16,
    tag: FlowTag,
}

/// The calls at a target.
#[derive(Default)]
struct Queue {
    /// Each with the time at which it ends.
    running: Vec<(u64, Call)>,
    waiting: VecDeque<Call>,
}

struct Fleet {
    hosts: Vec<Host>,
    is_alive: Vec<bool>,
    rng: StdRng,
    /// When each target got openings.
    openings_ms: Vec<Vec<u64>>,
    callers: u16,
    openings_per_ms: u32,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let limit = WarmupLimit { overshoot_permille: 1_500, slack: LIMIT as u32 };
        let config = Config { domain_seed: NEAR, warmup_limit: Some(limit), ..Config::default() };
        let hosts = (0..count).map(|number| {
            let dispatcher = Dispatcher::new(config.clone(), number as u64);
            let mut host = Host { dispatcher, ..Host::new(&[]) };
            host.set_rows(warmup_rows(0, 1, Some(0)));
            host
        });
        Fleet {
            hosts: hosts.collect(),
            is_alive: vec![true; count],
            rng: StdRng::seed_from_u64(seed),
            openings_ms: vec![Vec::new(); 2 * COLD_TARGETS as usize],
            callers: 0,
            openings_per_ms: 2,
        }
    }

    /// Tells each host the others that `knows` accepts.
    fn set_members(&mut self, mut knows: impl FnMut(usize, usize) -> bool) {
        for host in 0..self.hosts.len() {
            let others =
                (0..self.hosts.len()).filter(|other| *other == host || knows(host, *other));
            let members: Vec<(HostId, u64)> =
                others.map(|other| (HostId(other as u64 + 1), NEAR)).collect();
            let now_ms = self.hosts[host].now_ms;
            self.hosts[host].dispatcher.on_members(HostId(host as u64 + 1), &members, now_ms);
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.hosts[0].now_ms < end_ms {
            self.hosts.iter_mut().for_each(|host| host.now_ms += 1);
            for _ in 0..self.openings_per_ms {
                let host = self.rng.random_range(0..self.hosts.len());
                self.callers = self.callers.wrapping_add(1);
                let packet = opening(self.callers, 0);
                if self.is_alive[host]
                    && let Verdict::Forward { target, .. } = self.hosts[host].send(&packet)
                {
                    self.openings_ms[target.0 as usize - 1].push(self.hosts[host].now_ms);
                }
            }
        }
    }

    fn set_rows(&mut self, warmup_ms: u32, edition: u64) {
        for host in &mut self.hosts {
            host.set_rows(warmup_rows(warmup_ms, edition, Some(0)));
        }
    }

    /// The most openings that a cold target got in any second of the warm-up, and the fewest that
    /// one got in all.
    fn extremes(&self) -> (usize, usize) {
        let cold = self.openings_ms[..COLD_TARGETS as usize].iter().map(|openings_ms| {
            let end_ms = COLD_AT_MS + u64::from(WARMUP_MS);
            let during =
                openings_ms.iter().filter(|at_ms| (COLD_AT_MS + 1..end_ms).contains(at_ms));
            let during: Vec<u64> = during.copied().collect();
            let in_second = |at_ms: &u64| {
                during.iter().filter(|other| (*at_ms..at_ms + 1_000).contains(other)).count()
            };
            (during.iter().map(in_second).max().unwrap_or(0), during.len())
        });
        cold.fold((0, usize::MAX), |(most, fewest), (in_second, in_all)| {
            (most.max(in_second), fewest.min(in_all))
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Knowledge {
    All,
    /// Each host lacks a tenth of the others.
    Parts,
    /// The halves have lost each other long ago.
    OldCut,
    /// The halves lose each other during the warm-up.
    NewCut,
    /// Each host loses all others during the warm-up.
    Alone,
    /// A fifth of the hosts have started shortly before the warm-up, and know only themselves.
    Started,
    /// A third of the hosts die during the warm-up.
    Dead,
}

fn check(count: usize, knowledge: Knowledge, seed: u64) {
    let mut fleet = Fleet::new(count, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    fleet.set_members(|_, _| true);
    let is_cut = |host: usize, other: usize| host % 2 == other % 2;
    match knowledge {
        Knowledge::Parts => fleet.set_members(|_, _| rng.random_range(0..10) > 0),
        Knowledge::OldCut => {
            fleet.hosts.iter_mut().for_each(|host| host.now_ms += 1);
            fleet.set_members(is_cut);
        }
        _ => {}
    }
    fleet.hosts.iter_mut().for_each(|host| host.now_ms = COLD_AT_MS);
    if knowledge == Knowledge::Started {
        for number in (0..count).step_by(5) {
            let limit = WarmupLimit { overshoot_permille: 1_500, slack: LIMIT as u32 };
            let config = Config { warmup_limit: Some(limit), ..Config::default() };
            fleet.hosts[number].dispatcher = Dispatcher::new(config, seed);
            let me = HostId(number as u64 + 1);
            fleet.hosts[number].dispatcher.on_members(me, &[(me, NEAR)], COLD_AT_MS);
        }
    }
    fleet.set_rows(WARMUP_MS, 2);
    fleet.run_until(COLD_AT_MS + 1_000);
    match knowledge {
        Knowledge::NewCut => fleet.set_members(is_cut),
        Knowledge::Alone => fleet.set_members(|_, _| false),
        Knowledge::Started => fleet.set_members(|_, _| true),
        Knowledge::Dead => (0..count).step_by(3).for_each(|host| fleet.is_alive[host] = false),
        _ => {}
    }
    fleet.run_until(COLD_AT_MS + u64::from(WARMUP_MS));
    let (most, fewest) = fleet.extremes();
    assert!(most <= LIMIT, "{most} in a second; {count} hosts, {knowledge:?}, seed {seed}");
    if knowledge == Knowledge::All {
        assert!(fewest >= 3, "{fewest} in all; {count} hosts, seed {seed}");
    }
}

#[test]
fn sum_of_hosts() {
    for count in [30, 145, 300] {
        for knowledge in [
            Knowledge::All,
            Knowledge::Parts,
            Knowledge::OldCut,
            Knowledge::NewCut,
            Knowledge::Alone,
            Knowledge::Started,
            Knowledge::Dead,
        ] {
            (1..=2).for_each(|seed| check(count, knowledge, seed));
        }
    }
}

#[test]
fn holder_dies() {
    // Both holders of a target's permits may die; the others take over before long.
    let mut fleet = Fleet::new(30, 1);
    fleet.set_members(|_, _| true);
    fleet.hosts.iter_mut().for_each(|host| host.now_ms = COLD_AT_MS);
    fleet.set_rows(60_000, 2);
    (0..30).step_by(3).for_each(|host| fleet.is_alive[host] = false);
    fleet.set_members(|_, other| other % 3 > 0);
    fleet.run_until(COLD_AT_MS + 16_000);
    for openings_ms in &fleet.openings_ms[..COLD_TARGETS as usize] {
        let late = openings_ms.iter().filter(|at_ms| **at_ms > COLD_AT_MS + 11_000).count();
        assert!(late > 0, "a target gets nothing after a holder died");
    }
}

#[test]
fn cold_again() {
    let mut fleet = Fleet::new(30, 1);
    fleet.set_members(|_, _| true);
    fleet.set_rows(1_000, 2);
    fleet.run_until(STARTED_AT_MS + 500);
    fleet.set_rows(0, 3);
    fleet.hosts.iter_mut().for_each(|host| host.now_ms = COLD_AT_MS);
    fleet.set_rows(WARMUP_MS, 4);
    // A row that only arrives again does not prolong the warm-up.
    fleet.run_until(COLD_AT_MS + 4_000);
    fleet.set_rows(WARMUP_MS, 4);
    fleet.run_until(COLD_AT_MS + u64::from(WARMUP_MS) + 6_000);
    let (most, fewest) = fleet.extremes();
    assert!(most <= LIMIT && fewest > 0, "{most} in a second, {fewest} in all");
    let end_ms = COLD_AT_MS + u64::from(WARMUP_MS) + 5_000;
    let after = fleet.openings_ms[0].iter().filter(|at_ms| **at_ms > end_ms).count();
    assert!(after > LIMIT, "{after} in the second after the share has grown");
}

fn evacuation(domain_seed: u64) -> Row {
    let evacuation = Evacuation { domain_seed, domain: String::new() };
    Row::written(Revision::new(1, 1), 1, Record::Evacuation(evacuation))
}

#[test]
fn lifted_before_cold() {
    // Hosts hear that an evacuation is lifted before they hear that its targets became cold, and
    // meanwhile get an announcement from before.
    let check = |count, seed| {
        let mut fleet = Fleet::new(count, seed);
        fleet.set_members(|_, _| true);
        for host in &mut fleet.hosts {
            host.set_rows(
                warmup_rows(0, 1, Some(0)).into_iter().chain([evacuation(NEAR)]).collect(),
            );
            host.now_ms = COLD_AT_MS;
        }
        fleet.set_rows(0, 1);
        fleet.run_until(COLD_AT_MS + 770);
        fleet.set_rows(0, 2);
        fleet.run_until(COLD_AT_MS + 1_540);
        fleet.set_rows(WARMUP_MS, 3);
        fleet.run_until(COLD_AT_MS + u64::from(WARMUP_MS));
        let (most, fewest) = fleet.extremes();
        assert!(most <= LIMIT && fewest > 0, "{most} in a second, {fewest} in all; {count} hosts");
    };
    [30, 145, 300].into_iter().for_each(|count| (1..=2).for_each(|seed| check(count, seed)));
}

#[test]
fn lifted_and_warm() {
    // The share of targets that stayed warm grows soon after the evacuation; without a rate, they
    // take flows at once.
    let near_share = |rate_per_ks, from_ms: u64| {
        let mut fleet = Fleet::new(30, 1);
        fleet.set_members(|_, _| true);
        for host in &mut fleet.hosts {
            let rows = warmup_rows(0, 1, rate_per_ks);
            host.set_rows(rows.clone().into_iter().chain([evacuation(NEAR)]).collect());
            host.now_ms = COLD_AT_MS;
            host.set_rows(rows);
        }
        fleet.run_until(COLD_AT_MS + from_ms + 1_000);
        let in_time = |at_ms: &&u64| **at_ms > COLD_AT_MS + from_ms;
        let count = |targets: &[Vec<u64>]| targets.iter().flatten().filter(in_time).count();
        count(&fleet.openings_ms[..COLD_TARGETS as usize]) as f64 / count(&fleet.openings_ms) as f64
    };
    for (rate_per_ks, from_ms, is_near) in
        [(Some(0), 0, false), (Some(0), 8_000, true), (None, 0, true)]
    {
        let share = near_share(rate_per_ks, from_ms);
        assert_eq!(share > 0.9, is_near, "{share} from {from_ms}, rate {rate_per_ks:?}");
    }
}

#[test]
fn only_cold_targets() {
    // A host without a permit lets a caller wait only for a warm-up that ends in time.
    for (warmup_ms, expected) in
        [(500, Verdict::Drop(Reason::Cold)), (8_000, Verdict::Reset(Reason::Cold))]
    {
        let mut fleet = Fleet::new(30, 1);
        fleet.set_members(|_, _| true);
        let mut cold = warmup_rows(warmup_ms, 2, Some(0));
        cold.retain(|row| !matches!(&row.record, Record::Target(target) if target.id.0 > 1));
        let verdicts = fleet.hosts.iter_mut().map(|host| {
            host.now_ms = COLD_AT_MS;
            host.set_rows(cold.clone());
            host.send(&opening(1, 0))
        });
        let verdicts: Vec<Verdict> = verdicts.collect();
        assert_eq!(verdicts.iter().filter(|verdict| **verdict == expected).count(), 28);
    }
}

#[test]
fn share_grows() {
    // Once warm, the targets of the own failure domain would get all flows at once.
    let mut fleet = Fleet::new(30, 1);
    fleet.set_members(|_, _| true);
    fleet.hosts.iter_mut().for_each(|host| host.now_ms = COLD_AT_MS);
    fleet.set_rows(1_000, 2);
    let near_in = |fleet: &mut Fleet, from_ms: u64| {
        fleet.run_until(from_ms + 1_000);
        let count = |targets: &[Vec<u64>]| {
            targets.iter().flatten().filter(|at_ms| **at_ms > from_ms).count() as f64
        };
        count(&fleet.openings_ms[..COLD_TARGETS as usize]) / count(&fleet.openings_ms)
    };
    let shares: Vec<f64> =
        (0..7).map(|second| near_in(&mut fleet, COLD_AT_MS + 1_000 * second)).collect();
    assert!(shares[1] < 0.25 && shares[3] < 0.75, "{shares:.2?}");
    assert!(shares[6] > 0.95, "{shares:.2?}");
}

#[test]
fn unlimited_services() {
    // A limit in the settings changes no choice for a service without a rate.
    let targets_with = |warmup_limit| {
        let config = Config { domain_seed: NEAR, warmup_limit, ..Config::default() };
        let mut host = Host { dispatcher: Dispatcher::new(config, 1), ..Host::new(&[]) };
        host.set_rows(warmup_rows(0, 1, None));
        let targets = (0..300).map(|caller| {
            host.now_ms += 20;
            if caller == 100 {
                host.set_rows(warmup_rows(2_000, 2, None));
            }
            host.open(caller, 0).0
        });
        targets.collect::<Vec<_>>()
    };
    let limit = WarmupLimit { overshoot_permille: 1_500, slack: LIMIT as u32 };
    assert_eq!(targets_with(Some(limit)), targets_with(None));
}

#[test]
fn all_returned() {
    // Flows are not kept from targets that are warm again if there are no others.
    let mut host = Fleet::new(1, 1).hosts.remove(0);
    let mut cold = warmup_rows(1_000, 2, Some(0));
    cold.retain(|row| !matches!(&row.record, Record::Target(target) if target.domain_seed == FAR));
    host.set_rows(cold);
    host.now_ms += 1_000;
    (0..50).for_each(|caller| _ = host.open(caller, 0));
}

/// The calls that returned targets rejected since their queues were full, within 14 s of their
/// return. They are three times slower while they are cold. Hosts report their loads rarely.
fn rejected_calls(warmup_limit: Option<WarmupLimit>, seed: u64) -> usize {
    const HOSTS: usize = 27;
    const REPORT_INTERVAL_MS: u64 = 1_350;
    const SLOTS: usize = 3;
    const QUEUE_LIMIT: usize = 8;
    const OPENINGS_PER_SECOND: u64 = 250;
    let mut fleet = Fleet::new(HOSTS, seed);
    fleet.set_members(|_, _| true);
    for (number, host) in fleet.hosts.iter_mut().enumerate() {
        let config = Config { domain_seed: NEAR, warmup_limit, ..Config::default() };
        if warmup_limit.is_none() {
            host.dispatcher = Dispatcher::new(config, number as u64);
        }
        host.now_ms = COLD_AT_MS;
        host.set_rows(warmup_rows(WARMUP_MS, 2, Some(0)));
    }
    let mut queues: Vec<Queue> = Vec::new();
    queues.resize_with(2 * COLD_TARGETS as usize, Queue::default);
    let mut rejected = 0;
    let close = |fleet: &mut Fleet, call: &Call| {
        let last = data(call.caller, call.tag, 7, 7);
        fleet.hosts[call.host].send(&Segment { kind: SegmentKind::Abort, ..last });
    };
    for now_ms in COLD_AT_MS + 1..COLD_AT_MS + 14_000 {
        fleet.hosts.iter_mut().for_each(|host| host.now_ms = now_ms);
        for (number, Queue { running, waiting }) in queues.iter_mut().enumerate() {
            running.extract_if(.., |run| run.0 <= now_ms).for_each(|run| close(&mut fleet, &run.1));
            let is_cold =
                number < COLD_TARGETS as usize && now_ms < COLD_AT_MS + u64::from(WARMUP_MS);
            while running.len() < SLOTS
                && let Some(call) = waiting.pop_front()
            {
                let work_ms = fleet.rng.random_range(30..70) * if is_cold { 3 } else { 1 };
                running.push((now_ms + work_ms, call));
            }
        }
        if fleet.rng.random_range(0..1_000) < OPENINGS_PER_SECOND {
            let host = fleet.rng.random_range(0..HOSTS);
            fleet.callers += 1;
            let (target, tag) = fleet.hosts[host].open(fleet.callers, 0);
            let call = Call { host, caller: fleet.callers, tag };
            fleet.hosts[host].send(&data(call.caller, tag, 6, 6));
            let number = target.0 as usize - 1;
            match queues[number].waiting.len() < QUEUE_LIMIT {
                true => queues[number].waiting.push_back(call),
                false => {
                    rejected += usize::from(number < COLD_TARGETS as usize);
                    close(&mut fleet, &call);
                }
            }
        }
        for from in 0..HOSTS {
            if now_ms % REPORT_INTERVAL_MS == from as u64 * REPORT_INTERVAL_MS / HOSTS as u64 {
                let targets = fleet.hosts[from].dispatcher.loads();
                for to in (0..HOSTS).filter(|to| *to != from) {
                    let host = HostId(from as u64 + 1);
                    let load = HostLoad { host, is_near: true, targets: targets.clone() };
                    fleet.hosts[to].dispatcher.on_report(load, now_ms);
                }
            }
        }
    }
    rejected
}

#[test]
fn queues_after_return() {
    let limit = WarmupLimit { overshoot_permille: 1_500, slack: LIMIT as u32 };
    for seed in 1..=3 {
        assert_eq!(rejected_calls(Some(limit), seed), 0, "seed {seed}");
        assert!(rejected_calls(None, seed) > 0, "seed {seed}, without a limit");
    }
}
