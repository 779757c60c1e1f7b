//! A listener that is added by one configuration and removed by the next, where a host reads both at
//! once.
//!
//! Failure scenario: the store does not answer for a moment while configurations come in quick
//! succession.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, StoreMode, Testbed};

/// The number of targets that answer an opening to the listener with this number.
fn count_replies(bed: &Testbed, listener: u16) -> usize {
    let caller = bed.manual_caller(0, 0, listener).expect("a caller starts");
    caller.send_opening(0).expect("the opening is sent");
    caller.receive_replies(1, 500).expect("the socket works").len()
}

#[test]
fn one_read() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("quick_removal-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let layout = Layout { zones: 1, hosts: 1, targets: 2, callers: 0, ..Layout::default() };
    let mut bed = Testbed::start(program, &folder, layout).expect("the bed starts");
    thread::sleep(Duration::from_millis(5_000));
    bed.set_store_mode(StoreMode::Silent);
    let (kept, added) = (bed.listener(0), bed.listener(1));
    bed.write_settings(&[kept, added]);
    bed.write_settings(&[kept]);
    bed.set_store_mode(StoreMode::Normal);
    thread::sleep(Duration::from_millis(4_000));
    assert_eq!(count_replies(&bed, 0), 1, "the kept listener is served");
    assert_eq!(count_replies(&bed, 1), 0, "the removed listener is served");
}
