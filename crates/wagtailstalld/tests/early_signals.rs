//! Signals that reach a host right after it has logged its start.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, Testbed};

const STARTS: usize = 20;

#[test]
fn early_reload() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("early_signals-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let layout = Layout { zones: 1, hosts: 1, targets: 1, callers: 0, ..Layout::default() };
    let mut bed = Testbed::start(program, &folder, layout).expect("the bed starts");
    for _ in 0..STARTS {
        bed.kill_host(0).expect("the host ends");
        bed.start_host(0).expect("the host starts");
        bed.reload_host(0).expect("the signal is sent");
        thread::sleep(Duration::from_millis(50));
        assert_eq!(bed.poll_exit_code(0).expect("the process is known"), None, "the host ended");
    }
}
