//! End-to-end tests with tagged affinity: real hosts with stand-ins for the users' platform.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, RequestCounts, StoreMode, Testbed};

fn sleep_ms(duration_ms: u64) {
    thread::sleep(Duration::from_millis(duration_ms));
}

/// Starts a separate test bed for the test `name`.
fn bed(name: &str) -> Testbed {
    // The process id keeps concurrent test runs from overwriting each other's settings.
    let folder = format!("{name}-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    Testbed::start(program, &folder, Layout { hosts: 2, ..Layout::default() })
        .expect("the bed starts")
}

/// Counts the outcomes of requests during the next `duration_ms`.
fn count_requests(bed: &Testbed, duration_ms: u64) -> RequestCounts {
    bed.recorder().take_request_counts();
    sleep_ms(duration_ms);
    bed.recorder().take_request_counts()
}

/// Checks that nearly all requests were answered; a busy machine may lose a datagram.
fn check_served(counts: &RequestCounts) {
    assert!(counts.answered > 50, "{counts:?}");
    assert!(counts.answered * 100 >= counts.total() * 98, "{counts:?}");
}

fn check_no_violations(bed: &Testbed) {
    assert_eq!(bed.recorder().violations(), Vec::<String>::new());
}

#[test]
fn planned_changes() {
    let mut bed = bed("planned_changes");
    check_served(&count_requests(&bed, 1_000));

    bed.recorder().take_request_counts();
    assert_eq!(bed.stop_host(0).expect("the host stops in time"), Some(0));
    bed.add_target(0).expect("a target starts");
    bed.drain_target(0);
    bed.start_host(0).expect("the host starts");
    bed.wait_for_rotation(5_000).expect("the host is ready again");
    let changes = bed.recorder().take_request_counts();
    assert_eq!(changes.reset, 0, "{changes:?}");
    assert_eq!(changes.late, 0, "{changes:?}");
    check_no_violations(&bed);
}

#[test]
fn store_outage() {
    let mut bed = bed("store_outage");
    bed.set_store_mode(StoreMode::Silent);
    bed.set_targets_announced(false);
    bed.kill_host(0).expect("the host is killed");
    bed.start_host(0).expect("the host starts");
    // The new process gets the catalog from the other host.
    bed.wait_for_rotation(3_000).expect("the host is ready while the store does not answer");
    bed.set_store_mode(StoreMode::Normal);
    sleep_ms(1_000);
    bed.set_targets_announced(true);
    sleep_ms(3_000);
    check_served(&count_requests(&bed, 1_000));
    check_no_violations(&bed);
}

#[test]
fn all_killed() {
    let mut bed = bed("all_killed");
    for index in 0..bed.host_count() {
        bed.kill_host(index).expect("the host is killed");
    }
    for index in 0..bed.host_count() {
        bed.start_host(index).expect("the host starts");
    }
    sleep_ms(3_000);
    check_served(&count_requests(&bed, 1_000));
    check_no_violations(&bed);
}

#[test]
fn dead_target() {
    let mut bed = bed("dead_target");
    bed.kill_target(0);
    sleep_ms(2_500);
    // The store still lists the dead target.
    check_served(&count_requests(&bed, 1_000));
    check_no_violations(&bed);
}

#[test]
fn operator_pages() {
    let bed = bed("operator_pages");
    check_served(&count_requests(&bed, 2_500));
    let get = |host: usize, path: &str| {
        let answer = store::get_text(bed.admin_address(host), path, Duration::from_secs(2));
        smol::block_on(answer).expect("the page answers")
    };

    // All flows of a caller may pass through one host, so the other's histograms may be empty.
    let pages: Vec<(u16, String)> =
        (0..bed.host_count()).map(|host| get(host, "/metrics")).collect();
    assert!(pages.iter().all(|page| page.0 == 200));
    let has_waits = |page: &(u16, String)| {
        let mut waits = page.1.lines().filter(|line| line.starts_with("answer_wait"));
        waits.any(|line| line.contains(r#"class="idempotent""#))
    };
    assert!(pages.iter().any(has_waits), "no waits by class in {pages:#?}");

    let (status, text) = get(0, "/status");
    assert_eq!(status, 200);
    assert!(text.contains(r#""view_age_ms""#) && text.contains(r#""role""#), "{text}");

    let flow = format!("/flows?caller=100.64.0.1:1&service={}", bed.listener(0));
    let (status, text) = get(0, &flow);
    assert_eq!(status, 200);
    assert!(text.contains(r#""known":false"#) && text.contains(r#""listener":true"#), "{text}");
    assert_eq!(get(0, "/flows?caller=nobody").0, 400);
    assert_eq!(get(0, "/else").0, 404);
}
