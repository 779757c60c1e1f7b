//! Targets of one service that differ in speed or fail requests, seen by several hosts.

mod support;

use std::collections::{BTreeMap, VecDeque};

use catalog::{FlowTag, TargetId};
use proptest::{arbitrary::any, prelude::ProptestConfig, prop_assert};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use routing::HostId;
use support::{Host, NEAR, data};
use tagged::{AnswerStats, Config, Counter, Dispatcher, HostLoad, SegmentKind, TargetLoad, View};

const HOSTS: usize = 12;
const TARGETS: usize = 30;
const SLOTS: usize = 2;
const CALLERS: usize = 120;
const REQUESTS_PER_FLOW: u32 = 20;
const THINK_MS: std::ops::Range<u64> = 50..150;
const WORK_MS: std::ops::Range<u64> = 20..70;
const ROUND_TRIP_MS: u64 = 6;
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long a caller waits for an answer.
const TIMEOUT_MS: u64 = 1_500;
/// How long callers that delay acknowledgements wait for a second packet.
const ACK_DELAY_MS: u64 = 40;
/// The listener's aim.
const AIM_MS: u64 = 250;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Errors,
    /// Errors of one packet, whose acknowledgement callers delay; other answers are longer.
    DelayedErrors,
    Resets,
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    host: usize,
    target: usize,
    caller: u16,
    tag: FlowTag,
    requests: u32,
    /// What the caller acknowledges once it has the answer.
    acknowledged: u32,
    sent_at_ms: u64,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Request(Flow),
    Done(Flow),
    Answer(Flow),
}

struct Target {
    slowness: f64,
    fault: Fault,
    running: usize,
    queue: VecDeque<Flow>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    requests: u32,
    late: u32,
    failed: u32,
}

struct Fleet {
    hosts: Vec<Host>,
    targets: Vec<Target>,
    steps: BTreeMap<(u64, u64), Step>,
    rng: StdRng,
    step_count: u64,
    last_caller: u16,
    /// The target of each opening.
    choices: Vec<usize>,
    outcome: Outcome,
    /// The hosts that have not died; the first ones.
    live_hosts: usize,
    answer_bytes: u32,
    work_ms: std::ops::Range<u64>,
    think_ms: std::ops::Range<u64>,
    report_delay_ms: u64,
    late_reports: VecDeque<(u64, usize, HostLoad)>,
}

impl Fleet {
    fn new(weighs_answers: bool, slowness: impl Fn(usize) -> f64) -> Fleet {
        let ids: Vec<(u64, u64)> = (1..=TARGETS as u64).map(|id| (id, NEAR)).collect();
        let mut rows = support::rows(&ids);
        for row in &mut rows {
            if let catalog::Record::Target(target) = &mut row.record {
                target.slots = SLOTS as u16;
            }
        }
        let hosts = (0..HOSTS).map(|index| {
            let mut host = Host::new(&ids);
            let config = Config { domain_seed: NEAR, weighs_answers, ..Config::default() };
            host.dispatcher = Dispatcher::new(config, index as u64);
            host.set_rows(rows.clone());
            host
        });
        let target = |index| Target {
            slowness: slowness(index),
            fault: Fault::None,
            running: 0,
            queue: VecDeque::new(),
        };
        let mut fleet = Fleet {
            hosts: hosts.collect(),
            targets: (0..TARGETS).map(target).collect(),
            steps: BTreeMap::new(),
            rng: StdRng::seed_from_u64(1),
            step_count: 0,
            last_caller: 0,
            choices: Vec::new(),
            outcome: Outcome::default(),
            live_hosts: HOSTS,
            answer_bytes: 100,
            work_ms: WORK_MS,
            think_ms: THINK_MS,
            report_delay_ms: 0,
            late_reports: VecDeque::new(),
        };
        for caller in 0..CALLERS as u64 {
            fleet.plan(10 * caller + 1, Step::Open);
        }
        fleet
    }

    fn now_ms(&self) -> u64 {
        self.hosts[0].now_ms
    }

    fn plan(&mut self, delay_ms: u64, step: Step) {
        self.step_count += 1;
        self.steps.insert((self.now_ms() + delay_ms, self.step_count), step);
    }

    /// Runs for `seconds` and returns what callers saw.
    fn run(&mut self, seconds: u64) -> Outcome {
        self.outcome = Outcome::default();
        for _ in 0..seconds * 1_000 {
            let now_ms = self.now_ms() + 1;
            self.hosts.iter_mut().for_each(|host| host.now_ms = now_ms);
            while let Some(entry) = self.steps.first_entry()
                && entry.key().0 <= now_ms
            {
                let step = entry.remove();
                self.take(step);
            }
            self.exchange_reports(now_ms);
        }
        self.outcome
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Open => self.open(),
            Step::Request(flow) => self.request(flow),
            Step::Done(flow) => {
                let target = &mut self.targets[flow.target];
                target.running -= 1;
                if let Some(next) = target.queue.pop_front() {
                    self.work(next);
                }
                self.plan(ROUND_TRIP_MS, Step::Answer(flow));
            }
            Step::Answer(flow) => self.answer(flow),
        }
    }

    fn open(&mut self) {
        self.last_caller = self.last_caller.wrapping_add(1);
        let (caller, host) = (self.last_caller, self.rng.random_range(0..self.live_hosts));
        let (target, tag) = self.hosts[host].open(caller, 0);
        let target = target.0 as usize - 1;
        self.choices.push(target);
        let flow =
            Flow { host, target, caller, tag, requests: 0, acknowledged: 100, sent_at_ms: 0 };
        self.plan(ROUND_TRIP_MS, Step::Request(flow));
    }

    fn request(&mut self, flow: Flow) {
        let mut flow = Flow { requests: flow.requests + 1, sent_at_ms: self.now_ms(), ..flow };
        let sequence = 100 * flow.requests;
        self.hosts[flow.host].send(&data(flow.caller, flow.tag, sequence, flow.acknowledged));
        self.outcome.requests += 1;
        // Drawn also for good targets, so that all runs draw the same numbers.
        let is_failed = self.rng.random_bool(0.4);
        let fault = self.targets[flow.target].fault;
        let is_short = is_failed && fault == Fault::DelayedErrors;
        flow.acknowledged += if is_short { 100 } else { self.answer_bytes };
        match fault {
            Fault::Errors if is_failed => {
                self.outcome.failed += 1;
                self.plan(ROUND_TRIP_MS + 1, Step::Answer(flow));
            }
            Fault::DelayedErrors if is_failed => {
                self.outcome.failed += 1;
                self.plan(ROUND_TRIP_MS + 1 + ACK_DELAY_MS, Step::Answer(flow));
            }
            Fault::Resets if is_failed => {
                self.outcome.failed += 1;
                self.plan(ROUND_TRIP_MS, Step::Open);
            }
            _ if self.targets[flow.target].running < SLOTS => self.work(flow),
            _ => self.targets[flow.target].queue.push_back(flow),
        }
    }

    fn work(&mut self, flow: Flow) {
        let work_ms = self.rng.random_range(self.work_ms.clone()) as f64;
        let target = &mut self.targets[flow.target];
        target.running += 1;
        let done_ms = (work_ms * target.slowness) as u64;
        self.plan(done_ms, Step::Done(flow));
    }

    fn answer(&mut self, flow: Flow) {
        let took_ms = self.now_ms() - flow.sent_at_ms;
        self.outcome.late += u32::from(took_ms > AIM_MS);
        let sequence = 100 * flow.requests;
        let mut segment = data(flow.caller, flow.tag, sequence + 100, flow.acknowledged);
        segment.data_bytes = 0;
        self.hosts[flow.host].send(&segment);
        let think_ms = self.rng.random_range(self.think_ms.clone());
        if flow.requests < REQUESTS_PER_FLOW && took_ms <= TIMEOUT_MS {
            self.plan(think_ms, Step::Request(flow));
        } else {
            segment.kind = SegmentKind::Abort;
            self.hosts[flow.host].send(&segment);
            self.plan(think_ms, Step::Open);
        }
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        for host in &mut self.hosts[..self.live_hosts] {
            let directory = &host.directory;
            let view = View { directory, age_ms: 100, can_place_flows: true };
            host.dispatcher.on_tick(view, now_ms);
        }
        for from in 0..self.live_hosts {
            if now_ms % REPORT_INTERVAL_MS == from as u64 * REPORT_INTERVAL_MS / HOSTS as u64 {
                let targets = self.hosts[from].dispatcher.loads();
                let load = HostLoad { host: HostId(from as u64 + 1), is_near: true, targets };
                self.late_reports.push_back((now_ms + self.report_delay_ms, from, load));
            }
        }
        while let Some((_, from, load)) =
            self.late_reports.pop_front_if(|report| report.0 <= now_ms)
        {
            for to in (0..self.live_hosts).filter(|to| *to != from) {
                self.hosts[to].dispatcher.on_report(load.clone(), now_ms);
            }
        }
    }

    /// The targets that the first host sets aside.
    fn set_aside(&self) -> Vec<usize> {
        let dispatcher = &self.hosts[0].dispatcher;
        (0..TARGETS).filter(|index| dispatcher.is_set_aside(TargetId(*index as u64 + 1))).collect()
    }

    fn relative(&self, target: usize) -> f64 {
        self.hosts[0].dispatcher.relative_speed(TargetId(target as u64 + 1))
    }
}

/// A quarter of the targets is slower, as on sites with machines of two kinds.
fn two_speeds(target: usize) -> f64 {
    if target.is_multiple_of(4) { 1.0 / 0.55 } else { 1.0 / 1.2 }
}

#[test]
fn two_kinds() {
    let outcome = |weighs_answers| {
        let mut fleet = Fleet::new(weighs_answers, two_speeds);
        fleet.run(12);
        fleet.run(20)
    };
    let (before, after) = (outcome(false), outcome(true));
    assert!(2 * after.late < before.late, "{before:?} {after:?}");
    assert!(100 * after.late <= after.requests, "{after:?}");
}

#[test]
fn slow_spell() {
    let mut fleet = Fleet::new(true, |_| 1.0);
    fleet.run(8);
    fleet.targets[3].slowness = 8.0;
    fleet.run(10);
    assert!(fleet.relative(3) < 0.5, "{}", fleet.relative(3));
    fleet.targets[3].slowness = 1.0;
    fleet.run(25);
    assert_eq!(fleet.relative(3), 1.0);
}

/// The first `count` targets fail with `fault`. As many as may be are set aside at some time, and
/// all are taken back afterwards.
fn check_grey(fault: Fault, count: usize) {
    let mut fleet = Fleet::new(true, |_| 1.0);
    if fault == Fault::DelayedErrors {
        fleet.answer_bytes = 3_000;
    }
    fleet.run(8);
    fleet.targets[..count].iter_mut().for_each(|target| target.fault = fault);
    let mut seen_aside = [false; TARGETS];
    for _ in 0..15 {
        fleet.run(1);
        assert!(fleet.set_aside().len() <= TARGETS / 5, "{fault:?}: {:?}", fleet.set_aside());
        fleet.set_aside().into_iter().for_each(|target| seen_aside[target] = true);
    }
    let found = seen_aside[..count].iter().filter(|is_aside| **is_aside).count();
    assert!(found >= count.min(TARGETS / 5), "{fault:?}: {found} of {count}");
    assert!(seen_aside[count..].iter().all(|is_aside| !is_aside), "{fault:?}: a good target");
    fleet.targets.iter_mut().for_each(|target| target.fault = Fault::None);
    fleet.run(60);
    assert_eq!(fleet.set_aside(), [], "{fault:?}");
    let counters = fleet.hosts[0].dispatcher.counters();
    assert!(counters.get(Counter::SetAside) >= found as u64, "{fault:?}");
}

#[test]
fn grey_errors() {
    check_grey(Fault::Errors, 3);
    check_grey(Fault::Errors, TARGETS / 2);
}

#[test]
fn delayed_errors() {
    check_grey(Fault::DelayedErrors, 3);
    check_grey(Fault::DelayedErrors, TARGETS / 2);
}

#[test]
fn grey_resets() {
    check_grey(Fault::Resets, 3);
}

#[test]
fn fewer_failures() {
    let outcome = |weighs_answers| {
        let mut fleet = Fleet::new(weighs_answers, |_| 1.0);
        fleet.run(8);
        fleet.targets[..4].iter_mut().for_each(|target| target.fault = Fault::Errors);
        fleet.run(4);
        fleet.run(10)
    };
    let (before, after) = (outcome(false), outcome(true));
    assert!(2 * after.failed < before.failed, "{before:?} {after:?}");
}

#[test]
fn fast_work() {
    let mut fleet = Fleet::new(true, |_| 1.0);
    fleet.work_ms = 2..6;
    fleet.run(15);
    assert_eq!(fleet.set_aside(), []);
    assert!((0..TARGETS).all(|target| fleet.relative(target) == 1.0));
}

#[test]
fn even_targets() {
    let choices = |weighs_answers| {
        let mut fleet = Fleet::new(weighs_answers, |_| 1.0);
        // No target is so full that it answers late.
        fleet.think_ms = 150..350;
        assert_eq!(fleet.run(20).late, 0);
        fleet.choices
    };
    assert!(choices(true) == choices(false));
}

#[test]
fn lost_hosts() {
    let mut fleet = Fleet::new(true, two_speeds);
    fleet.report_delay_ms = 1_500;
    fleet.run(12);
    assert!(fleet.relative(0) < 1.0);
    fleet.live_hosts = HOSTS / 2;
    fleet.run(12);
    assert!(fleet.relative(0) < 1.0);
    assert_eq!(fleet.set_aside(), []);
}

#[test]
fn restarted() {
    let mut fleet = Fleet::new(true, two_speeds);
    fleet.run(12);
    assert!(fleet.relative(0) < 1.0);
    let mut rows = support::rows(&(1..=TARGETS as u64).map(|id| (id, NEAR)).collect::<Vec<_>>());
    for row in &mut rows {
        if let catalog::Record::Target(target) = &mut row.record
            && target.id == TargetId(1)
        {
            target.started_at_ms = 5;
        }
    }
    fleet.hosts[0].set_rows(rows);
    assert_eq!(fleet.relative(0), 1.0);
}

proptest::proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn any_reports(stats in proptest::collection::vec(any::<(u32, u32, u32)>(), TARGETS)) {
        let mut fleet = Fleet::new(true, |_| 1.0);
        let targets = stats.iter().zip(1..).map(|((answers, mean_us, failures), id)| TargetLoad {
            target: TargetId(id),
            flows: 0,
            busy: 0,
            is_dead: false,
            answers: AnswerStats { answers: *answers, mean_us: *mean_us, failures: *failures },
        });
        let load = HostLoad { host: HostId(99), is_near: true, targets: targets.collect() };
        for _ in 0..4 {
            let now_ms = fleet.now_ms();
            fleet.hosts[0].dispatcher.on_report(load.clone(), now_ms);
            fleet.run(1);
            for target in 0..TARGETS {
                let relative = fleet.relative(target);
                prop_assert!((0.15..=1.5).contains(&relative), "{relative}");
            }
            prop_assert!(fleet.set_aside().len() <= TARGETS / 5);
        }
    }
}
