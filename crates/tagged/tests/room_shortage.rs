//! Openings of two priorities exceed what the targets bear; hosts know each other's load by old
//! reports.

mod support;

use std::collections::VecDeque;

use catalog::FlowTag;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use routing::HostId;
use support::{Host, data, opening, rows_with_priorities, to_port};
use tagged::{Config, Dispatcher, HostLoad, Segment, SegmentKind, Verdict, View};

const HOSTS: usize = 12;
const TARGETS: u64 = 40;
const SLOTS: usize = 2;
/// How many requests a target queues; it rejects the others.
const QUEUE_LIMIT: usize = 8;
const REPORT_INTERVAL_MS: u64 = 600;
const AIM_MS: u64 = 400;
const WORK_MS: std::ops::Range<u64> = 40..80;
/// When a caller sends copies of its opening, and when it gives up.
const COPIES_MS: [u64; 3] = [200, 600, 1_400];
const PORTS: [u16; 2] = [443, 444];

struct Call {
    host: usize,
    caller: u16,
    class: usize,
    began_at_ms: u64,
    copy: u32,
    tag: FlowTag,
}

#[derive(Default)]
struct Target {
    running: Vec<(u64, Call)>,
    queue: VecDeque<Call>,
}

/// The fates of the calls of one class.
#[derive(Debug, Clone, Copy, Default)]
struct Fates {
    begun: usize,
    in_time: usize,
}

struct Fleet {
    hosts: Vec<Host>,
    targets: Vec<Target>,
    waiting: Vec<(u64, Call)>,
    rng: StdRng,
    callers: u16,
    now_ms: u64,
    fates: [Fates; 2],
    /// The part of the calls whose callers give up without a packet.
    silent_percent: u32,
}

impl Fleet {
    fn new(orders_by_priority: bool, seed: u64) -> Fleet {
        let config = Config { domain_seed: 1, orders_by_priority, ..Config::default() };
        let new_host = |index| {
            let mut host = Host::with_priorities(&[1, 2], TARGETS, 1_000);
            host.dispatcher = Dispatcher::new(config.clone(), seed + index as u64);
            host.dispatcher.set_host_count(HOSTS);
            host
        };
        Fleet {
            hosts: (0..HOSTS).map(new_host).collect(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            waiting: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            callers: 0,
            now_ms: 10_000,
            fates: [Fates::default(); 2],
            silent_percent: 0,
        }
    }

    /// Advances by 1 ms, with these mean openings of each class per second.
    fn step(&mut self, per_second: [u32; 2]) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for host in &mut self.hosts {
            host.now_ms = now_ms;
            let view = View { directory: &host.directory, age_ms: 0, can_place_flows: true };
            host.dispatcher.on_tick(view, now_ms);
        }
        for position in 0..self.targets.len() {
            let running = std::mem::take(&mut self.targets[position].running);
            let (done, running) = running.into_iter().partition(|(end_ms, _)| *end_ms <= now_ms);
            self.targets[position].running = running;
            for (_, call) in done {
                let is_in_time = now_ms <= call.began_at_ms + AIM_MS;
                self.fates[call.class].in_time += usize::from(is_in_time);
                if self.rng.random_range(0..100) >= self.silent_percent {
                    self.packet(&call, 7, SegmentKind::Abort);
                }
            }
            let target = &mut self.targets[position];
            while target.running.len() < SLOTS
                && let Some(call) = target.queue.pop_front()
            {
                target.running.push((now_ms + self.rng.random_range(WORK_MS), call));
            }
        }
        let (due, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.waiting = waiting;
        due.into_iter().for_each(|(_, call)| self.open(call));
        for (class, per_second) in per_second.into_iter().enumerate() {
            if self.rng.random_range(0..1_000) < per_second {
                self.begin(class);
            }
        }
        for from in 0..HOSTS {
            if now_ms % REPORT_INTERVAL_MS == from as u64 * REPORT_INTERVAL_MS / HOSTS as u64 {
                let targets = self.hosts[from].dispatcher.loads();
                for to in (0..HOSTS).filter(|to| *to != from) {
                    let host = HostId(from as u64 + 1);
                    let load = HostLoad { host, is_near: true, targets: targets.clone() };
                    self.hosts[to].dispatcher.on_report(load, now_ms);
                }
            }
        }
    }

    fn list_targets(&mut self, count: u64) {
        let rows = rows_with_priorities(&[1, 2], count, 1_000);
        self.hosts.iter_mut().for_each(|host| host.set_rows(rows.clone()));
    }

    fn begin(&mut self, class: usize) {
        let host = self.rng.random_range(0..HOSTS);
        self.callers += 1;
        self.fates[class].begun += 1;
        let (caller, began_at_ms) = (self.callers, self.now_ms);
        self.open(Call { host, caller, class, began_at_ms, copy: 0, tag: FlowTag(0) });
    }

    fn open(&mut self, mut call: Call) {
        let segment = to_port(PORTS[call.class], opening(call.caller, call.copy));
        match self.hosts[call.host].send(&segment) {
            Verdict::Forward { target, tag, .. } => {
                call.tag = tag;
                self.packet(&call, 6, SegmentKind::Data);
                let target = &mut self.targets[target.0 as usize - 1];
                match target.queue.len() < QUEUE_LIMIT {
                    true => target.queue.push_back(call),
                    false => self.packet(&call, 7, SegmentKind::Abort),
                }
            }
            Verdict::Drop(_) if call.copy < 2 => {
                let next_ms = call.began_at_ms + COPIES_MS[call.copy as usize];
                call.copy += 1;
                self.waiting.push((next_ms, call));
            }
            Verdict::Drop(_) | Verdict::Reset(_) => {}
        }
    }

    fn packet(&mut self, call: &Call, number: u32, kind: SegmentKind) {
        let segment = Segment { kind, ..data(call.caller, call.tag, number, number) };
        self.hosts[call.host].send(&to_port(PORTS[call.class], segment));
    }
}

/// Half of the targets vanish, so that both classes together exceed the room by half.
fn lose_half(orders_by_priority: bool, seed: u64) -> [Fates; 2] {
    let mut fleet = Fleet::new(orders_by_priority, seed);
    (0..2_000).for_each(|_| fleet.step([200, 800]));
    fleet.list_targets(TARGETS / 2);
    (0..1_000).for_each(|_| fleet.step([200, 800]));
    fleet.fates = [Fates::default(); 2];
    (0..6_000).for_each(|_| fleet.step([200, 800]));
    fleet.fates
}

#[test]
fn urgent_in_time() {
    for seed in 1..=3 {
        let [urgent, patient] = lose_half(true, seed);
        assert!(urgent.in_time * 100 >= urgent.begun * 95, "seed {seed}: {urgent:?}");
        assert!(patient.in_time * 8 >= patient.begun, "seed {seed}: {patient:?}");
        let [urgent, _] = lose_half(false, seed);
        assert!(urgent.in_time * 100 < urgent.begun * 95, "seed {seed}, unordered: {urgent:?}");
    }
}

/// Lost targets return, and the requests of callers that gave up in the shortage seem in flight.
fn regain_targets(orders_by_priority: bool, seed: u64) -> [Fates; 2] {
    let mut fleet = Fleet::new(orders_by_priority, seed);
    (0..2_000).for_each(|_| fleet.step([200, 800]));
    fleet.list_targets(TARGETS / 4);
    fleet.silent_percent = 10;
    (0..3_000).for_each(|_| fleet.step([200, 800]));
    fleet.list_targets(TARGETS);
    fleet.silent_percent = 0;
    (0..1_000).for_each(|_| fleet.step([100, 400]));
    fleet.fates = [Fates::default(); 2];
    (0..2_000).for_each(|_| fleet.step([100, 400]));
    fleet.fates
}

#[test]
fn room_returns() {
    // Nobody is held back any longer, so the order changes little.
    let [ordered, unordered] = [true, false].map(|is_on| {
        let mut total = [Fates::default(); 2];
        for seed in 1..=3 {
            for (total, fates) in total.iter_mut().zip(regain_targets(is_on, seed)) {
                total.begun += fates.begun;
                total.in_time += fates.in_time;
            }
        }
        total.map(|fates| fates.in_time as f64 / fates.begun as f64)
    });
    for (ordered, unordered) in ordered.into_iter().zip(unordered) {
        assert!(ordered >= 0.95 * unordered, "{ordered:.3}, unordered {unordered:.3}");
    }
}

/// All callers return at once to hosts that have just started.
fn return_all(orders_by_priority: bool, seed: u64) -> [Fates; 2] {
    let mut fleet = Fleet::new(orders_by_priority, seed);
    for _ in 0..300 {
        [0, 1, 1].into_iter().for_each(|class| fleet.begin(class));
        if fleet.callers.is_multiple_of(10) {
            fleet.step([0, 0]);
        }
    }
    (0..2_000).for_each(|_| fleet.step([0, 0]));
    fleet.fates
}

#[test]
fn urgent_return_first() {
    for seed in 1..=3 {
        let [ordered, unordered] = [true, false].map(|is_on| return_all(is_on, seed)[0].in_time);
        assert!(ordered > unordered, "seed {seed}: {ordered}, unordered {unordered}");
    }
}
