//! A short soak run, and seeds that once failed.

use std::{path::Path, time::Duration};

use platform_stand_ins::{SoakConfig, soak};

fn check(config: SoakConfig) {
    // The process id keeps concurrent test runs from overwriting each other's settings.
    let folder = format!("soak-{}-{}", config.seed, std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let report = soak(program, &folder, config).expect("the bed runs");
    let failures = report.failures();
    assert!(
        failures.is_empty(),
        "{failures:#?} under {:#?}; logs: {}",
        report.faults,
        folder.display()
    );
}

/// The faults and callers before zones could be evacuated.
fn check_plain(seed: u64, duration_s: u64, has_returns: bool) {
    let duration = Duration::from_secs(duration_s);
    check(SoakConfig { seed, duration, has_returns, has_evacuations: false, listeners: 1 });
}

/// Runs the faults of a seed that failed before the store could return from copies.
fn check_seed(seed: u64) {
    check_plain(seed, 12, false);
}

#[test]
fn short_run() {
    check_plain(1, 8, false);
}

#[test]
fn short_run_with_returns() {
    check_plain(2, 15, true);
}

#[test]
fn short_run_with_evacuations() {
    check(SoakConfig { seed: 3, ..SoakConfig::default() });
}

/// The test bed announced a leaving target as ready again after an outage.
#[test]
fn seed_15() {
    check_seed(15);
}

/// During a store outage shorter than a watch call no call failed, so hosts did not notice it and
/// counted all targets, whose entries had expired, as gone at once.
#[test]
fn seed_36() {
    check_seed(36);
}

/// The soak did nothing else during a planned stop of up to 4 s. It announced lapsed targets again
/// only afterwards, when hosts had rightly marked them as gone.
#[test]
fn seed_126() {
    check_seed(126);
}

/// A leaving target received openings. All hosts had started less than 4 s before and read the
/// store only occasionally, and the store stopped answering 0.5 s after the target announced its
/// leaving.
#[test]
fn seed_233() {
    check_seed(233);
}

/// A host reset a flow of which it had seen only the opening, which it had sent to a target that
/// then died. Meanwhile a copy of the opening had opened the flow at another target.
#[test]
fn seed_234() {
    check_seed(234);
}

/// A host that had just been started got a SIGHUP before it could handle one, which ended it.
#[test]
fn seed_635() {
    check_seed(635);
}

/// A target announced its leaving while the store did not answer, which the test bed counted as
/// accepted.
#[test]
fn seed_147() {
    check_plain(147, 12, true);
}

/// A leaving target received an opening: all hosts had just started, and none read its announcement
/// before the store stopped answering 1.4 s later.
#[test]
fn seed_301() {
    check_plain(301, 12, true);
}
