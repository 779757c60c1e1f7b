//! Assignment of openings to targets, queueing and refusals.

use std::net::IpAddr;

use admission::{Opening, Pool, PoolTarget, Refusal, RetryBudget, Verdict, Wait};
use flow::FlowHash;
use routing::HostId;
use settings::{Kind, ListenerPolicy, TargetPolicy, TargetState};

fn target(number: u8, policy: TargetPolicy) -> PoolTarget {
    PoolTarget { address: [10, 0, 0, number].into(), seed: u64::from(number), policy }
}

fn request(priority: u8) -> ListenerPolicy {
    ListenerPolicy { kind: Kind::Request, priority, queue_limit: 4, ..ListenerPolicy::default() }
}

fn opening(number: u64, listener_key: u32) -> Opening {
    Opening {
        hash: FlowHash(u128::from(number) << 64),
        caller: [172, 16, 0, (number % 250) as u8].into(),
        listener_key,
        home: HostId(1),
        avoid: None,
    }
}

/// A pool of two targets with three slots each, an urgent class 1 and a less urgent class 2.
fn pool() -> Pool {
    let mut pool = Pool::default();
    let targets = [target(1, TargetPolicy::default()), target(2, TargetPolicy::default())];
    // The urgent class comes last, so that only its priority can make it first.
    pool.configure(&targets, &[(2, request(1)), (1, request(0))], 0);
    pool
}

fn granted(verdict: Verdict) -> IpAddr {
    let Verdict::Granted(target) = verdict else { panic!("{verdict:?}") };
    target
}

#[test]
fn least_used_first() {
    let mut pool = pool();
    for number in 0..6 {
        granted(pool.open(&opening(number, 2), Wait::Yes, 0));
    }
    assert!(pool.usage().all(|(_, usage)| usage.requests == 3));
    assert_eq!(pool.open(&opening(6, 2), Wait::Yes, 0), Verdict::Waiting);
}

#[test]
fn repeated_opening() {
    let mut pool = pool();
    let first = granted(pool.open(&opening(1, 2), Wait::Yes, 0));
    assert_eq!(granted(pool.open(&opening(1, 2), Wait::Yes, 5)), first);
    assert_eq!(pool.usage().map(|(_, usage)| usage.requests).sum::<u32>(), 1);
}

#[test]
fn urgent_goes_first() {
    let mut pool = pool();
    for number in 0..6 {
        granted(pool.open(&opening(number, 2), Wait::Yes, 0));
    }
    pool.open(&opening(10, 2), Wait::Yes, 0);
    pool.open(&opening(11, 1), Wait::Yes, 0);
    for number in 0..2 {
        let ended = opening(number, 2);
        let held = granted(pool.open(&ended, Wait::Yes, 0));
        pool.close(&ended, held, 10);
    }
    // Two slots are free, so that either class could be served first.
    let outcomes = pool.tick(10);
    let first = outcomes.first().map(|outcome| outcome.hash);
    assert_eq!(first, Some(opening(11, 1).hash));
}

#[test]
fn slot_kept_free() {
    // While the urgent class is active, the last free slot is reserved for it.
    let mut pool = pool();
    granted(pool.open(&opening(100, 1), Wait::Yes, 0));
    for number in 0..4 {
        granted(pool.open(&opening(number, 2), Wait::Yes, 0));
    }
    assert_eq!(pool.open(&opening(5, 2), Wait::Yes, 0), Verdict::Waiting);
    granted(pool.open(&opening(101, 1), Wait::Yes, 0));
}

#[test]
fn cap_holds() {
    let mut pool = Pool::default();
    let capped = ListenerPolicy { cap_percent: 50, ..request(0) };
    pool.configure(
        &[target(1, TargetPolicy::default()), target(2, TargetPolicy::default())],
        &[(1, capped)],
        0,
    );
    for number in 0..3 {
        granted(pool.open(&opening(number, 1), Wait::Yes, 0));
    }
    assert_eq!(pool.open(&opening(4, 1), Wait::Yes, 0), Verdict::Waiting);
}

#[test]
fn deadline_and_limit() {
    let mut pool = pool();
    for number in 0..10 {
        pool.open(&opening(number, 2), Wait::Yes, 0);
    }
    assert_eq!(pool.waiting(), 4);
    assert_eq!(pool.open(&opening(11, 2), Wait::Yes, 0), Verdict::Refused(Refusal::QueueFull));
    let outcomes = pool.tick(2_000);
    assert!(outcomes.iter().all(|outcome| outcome.verdict == Verdict::Refused(Refusal::Deadline)));
    assert_eq!((outcomes.len(), pool.waiting()), (4, 0));
}

#[test]
fn fair_to_callers() {
    // One caller fills the queue; the opening of another evicts one of its openings.
    let mut pool = pool();
    let from = |number: u64, caller: u8| Opening {
        caller: [172, 16, 9, caller].into(),
        ..opening(number, 2)
    };
    for number in 0..10 {
        pool.open(&from(number, 1), Wait::Yes, 0);
    }
    assert_eq!(pool.open(&from(20, 2), Wait::Yes, 0), Verdict::Waiting);
    let evicted = pool.tick(1);
    assert_eq!(evicted.len(), 1);
    assert_eq!(evicted[0].verdict, Verdict::Refused(Refusal::QueueFull));
}

#[test]
fn leaving_and_new() {
    // A leaving target gets no flows; a new one starts with a single slot.
    let mut pool = pool();
    let leaving = TargetPolicy { state: TargetState::Leaving, ..TargetPolicy::default() };
    let added = target(3, TargetPolicy::default());
    let targets = [target(1, leaving), target(2, TargetPolicy::default()), added];
    pool.configure(&targets, &[(2, request(1))], 1_000);
    let taken: Vec<IpAddr> =
        (0..4).map(|number| granted(pool.open(&opening(number, 2), Wait::Yes, 1_000))).collect();
    let count =
        |number: u8| taken.iter().filter(|ip| **ip == IpAddr::from([10, 0, 0, number])).count();
    assert_eq!((count(1), count(2), count(3)), (0, 3, 1));
}

#[test]
fn failing_target_paused() {
    let mut pool = pool();
    let failing: IpAddr = [10, 0, 0, 1].into();
    for number in 0..2 {
        assert!(pool.fail(&opening(number, 2), failing, 0));
    }
    for number in 10..13 {
        assert_ne!(granted(pool.open(&opening(number, 2), Wait::Yes, 1)), failing);
    }
    // The target gets flows again after its pause.
    assert_eq!(granted(pool.open(&opening(20, 2), Wait::Yes, 600)), failing);
}

#[test]
fn rebuilt_from_reports() {
    // A new opener learns the load of its targets from the reports of the homes.
    let mut pool = pool();
    let first: IpAddr = [10, 0, 0, 1].into();
    pool.report(HostId(4), &[(first, 2, 3)]);
    for number in 0..3 {
        assert_ne!(granted(pool.open(&opening(number, 2), Wait::Yes, 0)), first);
    }
    assert_eq!(pool.open(&opening(9, 2), Wait::No, 0), Verdict::Refused(Refusal::QueueFull));
    pool.retain_homes(|home| home != HostId(4));
    assert_eq!(granted(pool.open(&opening(9, 2), Wait::No, 0)), first);
}

#[test]
fn retries_bounded() {
    let mut budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(saved, 10);
    for _ in 0..50 {
        budget.deposit();
    }
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 5);
}
