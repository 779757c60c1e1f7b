//! Compares the goodput and latency of the watched class under floods with the stated goals.

use measures::{FloodFault, FloodResult, FloodScenario, flood, max_waiting_openings};

fn run(scenario: FloodScenario) -> FloodResult {
    let result = flood(&FloodScenario { run_ms: 3_000, ..scenario });
    // In every scenario, no request runs twice and no refused request runs.
    assert_eq!((result.taken_twice, result.refused_but_taken), (0, 0), "{result:?}");
    assert!(result.most_requests <= 3, "{result:?}");
    result
}

fn check(flood_priority: u8, fault: FloodFault) {
    let scenario = FloodScenario { flood_priority, fault, ..FloodScenario::default() };
    let quiet = run(FloodScenario { flood_percent: 0, ..scenario.clone() });
    let flooded = run(scenario);
    let goal = quiet.watched_goodput * 0.99;
    assert!(flooded.watched_goodput >= goal, "{quiet:?} {flooded:?}");
}

#[test]
fn low_priority_flood() {
    check(2, FloodFault::None);
}

#[test]
fn urgent_flood() {
    check(0, FloodFault::None);
}

#[test]
fn host_dies() {
    check(2, FloodFault::HostDeath(2));
}

#[test]
fn opener_dies() {
    // When an opener (the host that assigns the targets of a failure domain to new flows) dies, its
    // successor may assign slots again that were assigned in the second before. So up to twice the
    // three slots of a target may be in use.
    for host in 0..5 {
        let fault = FloodFault::HostDeath(host);
        let result = flood(&FloodScenario { run_ms: 3_000, fault, ..FloodScenario::default() });
        assert!(result.most_requests <= 6, "host {host}: {result:?}");
        assert_eq!((result.taken_twice, result.refused_but_taken), (0, 0), "host {host}");
        assert!(result.watched_goodput >= 0.99, "host {host}: {result:?}");
    }
}

#[test]
fn target_dies() {
    check(2, FloodFault::TargetDeath);
}

#[test]
fn many_hosts() {
    // The same service behind 33 and 63 hosts, all started at once.
    for hosts_per_domain in [11, 21] {
        let result = run(FloodScenario { hosts_per_domain, ..FloodScenario::default() });
        assert!(result.slots_assigned_share <= 1.0, "{result:?}");
        assert!(result.watched_goodput >= 0.99, "{result:?}");
    }
}

#[test]
fn fifty_times_capacity() {
    let scenario = FloodScenario { flood_percent: 5_000, ..FloodScenario::default() };
    let result = flood(&FloodScenario { run_ms: 1_000, ..scenario });
    assert_eq!((result.taken_twice, result.refused_but_taken), (0, 0), "{result:?}");
    assert_eq!(result.watched_goodput, 1.0, "{result:?}");
}

#[test]
fn slots_saturated() {
    let result = run(FloodScenario { watched_percent: 0, ..FloodScenario::default() });
    assert!(result.slots_assigned_share >= 0.95, "{result:?}");
}

#[test]
fn wait_below_twice() {
    for seed in 1..=3 {
        let quiet = flood(&FloodScenario { flood_percent: 0, seed, ..FloodScenario::default() });
        let flooded = flood(&FloodScenario { seed, ..FloodScenario::default() });
        assert!(
            flooded.watched_wait_p99_ms < 2 * quiet.watched_wait_p99_ms,
            "seed {seed}: {} ms unflooded, {} ms flooded",
            quiet.watched_wait_p99_ms,
            flooded.watched_wait_p99_ms
        );
    }
}

#[test]
fn queues_bounded() {
    // Up to 256 openings of each of the two classes may wait.
    assert!(max_waiting_openings(100_000) <= 512);
}
