//! Entries that another writer left among those of the targets, against the real program.
//!
//! Failure scenario: hosts that read such an entry end, or no longer hear of targets that leave.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{HostState, Layout, Testbed, foreign_entry};

const DEPTH: usize = 100_000;

#[test]
fn hosts_keep_following() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("odd_entries-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let mut bed = Testbed::start(program, &folder, Layout::default()).expect("the bed starts");
    let values = [
        "[".repeat(DEPTH),
        format!("{}{}", "{\"service\":".repeat(DEPTH), "}".repeat(DEPTH)),
        foreign_entry("state", &format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))),
        foreign_entry("address", "\"10.9.9.9:99999\""),
        foreign_entry("address", "\"10.9.9.9:0\""),
        foreign_entry("address", "\"255.255.255.255:80\""),
        foreign_entry("slots", "1e400"),
        foreign_entry("slots", "0"),
        foreign_entry("sequence", "99999999999999999999999"),
        foreign_entry("born", "-1"),
        foreign_entry("service", "7"),
        String::new(),
    ];
    for (number, value) in values.iter().enumerate() {
        bed.write_foreign_entry(&format!("i-fffffff{number:x}"), value.as_bytes());
    }
    bed.write_foreign_entry("no id & no sense", &[0xff; 300]);
    thread::sleep(Duration::from_millis(1_000));
    // These read the entries in a watch; a host that starts lists them.
    bed.kill_host(0).expect("the host is killed");
    bed.start_host(0).expect("the host starts");
    bed.wait_for_rotation(3_000).expect("the host is ready again");
    // The recorder reports openings that a leaving target receives too late.
    bed.drain_target(0);
    thread::sleep(Duration::from_millis(6_000));
    bed.recorder().take_request_counts();
    thread::sleep(Duration::from_millis(1_000));
    let counts = bed.recorder().take_request_counts();
    assert!(counts.answered > 0 && counts.answered == counts.total(), "{counts:?}");
    assert_eq!(bed.recorder().violations(), Vec::<String>::new());
    for index in 0..bed.host_count() {
        assert_eq!(bed.host_state(index), HostState::Running, "host {index}");
        let status = store::get_text(bed.admin_address(index), "/status", Duration::from_secs(2));
        assert_eq!(smol::block_on(status).expect("host {index} runs").0, 200);
    }
}
