//! A store that returns from a copy some seconds old: what was written since is gone until its writers
//! write it again, revisions go back and are given out again, and the era rises by one.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use platform_stand_ins::{Contents, Layout, StoreMode, Testbed};

const HOSTS: usize = 6;

/// How long the store is away, in milliseconds.
const AWAY_MS: u64 = 2_000;

/// The time within which settings and announcements have to be in force, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

fn start(name: &str, callers: usize) -> Testbed {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let layout = Layout { zones: 2, hosts: HOSTS / 2, targets: 2, callers, ..Layout::default() };
    let bed = Testbed::start(program, &folder, layout).expect("the bed starts");
    sleep(5_000);
    bed
}

fn sleep(duration_ms: u64) {
    thread::sleep(Duration::from_millis(duration_ms));
}

/// Targets write so often that the store gives out fewer revisions after its return than are lost.
fn write_much(bed: &Testbed) {
    (0..40).for_each(|_| bed.set_targets_announced(true));
}

/// The store fails, and returns with what it held at the time of `copy`.
fn restore(bed: &mut Testbed, copy: &Contents) {
    bed.set_store_mode(StoreMode::Silent);
    sleep(AWAY_MS);
    bed.restore_store(copy);
    bed.set_store_mode(StoreMode::Normal);
}

/// Whether the host with this index serves the listener with this number.
fn serves(bed: &Testbed, host: usize, listener: u16) -> bool {
    let caller = bed.manual_caller(0, host, listener).expect("a caller starts");
    caller.send_opening(0).expect("the opening is sent");
    !caller.receive_replies(1, 150).expect("the socket works").is_empty()
}

/// Asserts that all hosts serve the listener for `duration_ms`.
fn assert_served(bed: &Testbed, listener: u16, duration_ms: u64) {
    let end = Instant::now() + Duration::from_millis(duration_ms);
    while Instant::now() < end {
        for host in 0..HOSTS {
            assert!(serves(bed, host, listener), "host {host} does not serve listener {listener}");
        }
        sleep(50);
    }
}

/// Asserts that no host serves the listener.
fn assert_dropped(bed: &Testbed, listener: u16) {
    for host in 0..HOSTS {
        assert!(!serves(bed, host, listener), "host {host} serves dropped listener {listener}");
    }
}

#[test]
fn older_settings() {
    let mut bed = start("older_settings", 0);
    let copy = bed.copy_store();
    let (first, added, latest) = (bed.listener(0), bed.listener(1), bed.listener(2));
    write_much(&bed);
    bed.write_settings(&[first, added]);
    sleep(IN_FORCE_MS);
    assert_served(&bed, 1, 100);
    for _ in 0..2 {
        restore(&mut bed, &copy);
        assert_served(&bed, 1, 1_500);
        bed.rewrite_store();
        assert_served(&bed, 1, 1_500);
    }
    bed.write_settings(&[first, latest]);
    sleep(IN_FORCE_MS);
    assert_served(&bed, 2, 100);
    assert_dropped(&bed, 1);
}

/// The revisions that the store gives out again reach those that hosts know, before they read it.
#[test]
fn reused_revisions() {
    let mut bed = start("reused_revisions", 0);
    let copy = bed.copy_store();
    let (first, added, latest) = (bed.listener(0), bed.listener(1), bed.listener(2));
    write_much(&bed);
    bed.write_settings(&[first, added]);
    sleep(1_500);
    bed.set_store_mode(StoreMode::Silent);
    sleep(AWAY_MS);
    bed.restore_store(&copy);
    bed.write_settings(&[first, latest]);
    write_much(&bed);
    write_much(&bed);
    bed.set_store_mode(StoreMode::Normal);
    sleep(IN_FORCE_MS);
    assert_served(&bed, 2, 100);
    assert_dropped(&bed, 1);
}

#[test]
fn older_announcements() {
    let mut bed = start("older_announcements", 2);
    let copy = bed.copy_store();
    bed.drain_target(0);
    bed.add_target(0).expect("a target starts");
    write_much(&bed);
    sleep(1_500);
    for _ in 0..2 {
        // The copy has the leaving target as ready, and lacks the new one.
        restore(&mut bed, &copy);
        sleep(1_500);
        bed.rewrite_store();
        sleep(1_500);
    }
    // The hosts learn of what targets say in the new era.
    bed.drain_target(1);
    sleep(2 * IN_FORCE_MS);
    let violations = bed.recorder().violations();
    assert!(violations.is_empty(), "{violations:#?}");
}
