//! A failure domain is emptied and taken back, with real hosts.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, Testbed};

#[test]
fn emptied_and_returned() {
    let folder = format!("evacuation-{}", std::process::id());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let layout = Layout { hosts: 2, ..Layout::default() };
    let mut bed = Testbed::start(program, &folder, layout).expect("the bed starts");
    // Targets count openings as violations from 5 s after the request.
    bed.evacuate(0);
    thread::sleep(Duration::from_secs(8));
    bed.end_evacuation(0);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(bed.recorder().violations(), Vec::<String>::new());
    let counts = bed.recorder().take_request_counts();
    assert!(counts.answered * 100 >= counts.total() * 98, "{counts:?}");
}
