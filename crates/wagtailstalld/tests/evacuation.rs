//! A failure domain is emptied and taken back, with real hosts.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, Testbed};
use serde_json::{Value, json};

/// The domains that a host shows as evacuated.
fn evacuations(bed: &Testbed, index: usize) -> Value {
    let status = store::get_text(bed.admin_address(index), "/status", Duration::from_secs(2));
    let (_, text) = smol::block_on(status).expect("the host answers");
    let mut status: Value = serde_json::from_str(&text).expect("the status is JSON");
    let mut evacuations = status["evacuations"].take();
    for evacuation in evacuations.as_array_mut().expect("the evacuations are a list") {
        let in_force_ms = evacuation["in_force_ms"].take();
        // The request is known within the time for changes.
        assert!(
            in_force_ms.as_u64().is_some_and(|ms| (3_000..9_000).contains(&ms)),
            "{in_force_ms}"
        );
    }
    evacuations
}

fn check_evacuations(bed: &Testbed, expected: &Value) {
    (0..bed.host_count()).for_each(|index| assert_eq!(evacuations(bed, index), *expected));
}

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
    let shown = json!([{ "domain": "zone-0", "in_force_ms": null, "targets": 2, "known": true }]);
    check_evacuations(&bed, &shown);
    bed.end_evacuation(0);
    thread::sleep(Duration::from_secs(2));
    check_evacuations(&bed, &json!([]));
    assert_eq!(bed.recorder().violations(), Vec::<String>::new());
    let counts = bed.recorder().take_request_counts();
    assert!(counts.answered * 100 >= counts.total() * 98, "{counts:?}");
}
