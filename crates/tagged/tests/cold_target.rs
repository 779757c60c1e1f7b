//! Slow start: a target in its warm-up gets new flows gradually.

mod support;

use catalog::Record;
use support::{Host, NEAR, rows};

#[test]
fn slow_start() {
    // Targets 1 and 2 have many flows. Target 3 starts in place of another, whose flows are opened
    // again while target 3 is still slow.
    let mut host = Host::new(&[(1, NEAR), (2, NEAR)]);
    for caller in 0..50 {
        host.open(caller, 0);
    }
    let mut all = rows(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    for row in &mut all {
        if let Record::Target(target) = &mut row.record
            && target.id.0 == 3
        {
            target.warmup_ms = 2_000;
        }
    }
    host.set_rows(all);
    let mut at_new = Vec::new();
    for caller in 100..124 {
        host.now_ms += 80;
        if host.open(caller, 0).0.0 == 3 {
            at_new.push(host.now_ms);
        }
    }
    let early = at_new.iter().filter(|at_ms| **at_ms < 10_000 + 500).count();
    assert!(early <= 4, "{early} flows in the first quarter of the warm-up");
    assert!(at_new.len() >= 8, "{} flows by the end of the warm-up", at_new.len());
}
