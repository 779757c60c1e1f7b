//! What a thread pays for one line of the log. Its figures stand among the lines on standard output:
//! `cargo bench -p telemetry | grep -v '^{'`.

use log::LevelFilter;

/// The line of a decision, as `telemetry::emit` gives it to the logger.
const DECISION: &str = r#"{"at_ms":1774537238000,"caller":"100.64.0.7:40001","copy":"0","era":"0","event":1401,"flows":"3","listener":"198.18.0.1:443","name":"flow_opened","near":"true","revision":"153","target":"7f3a91c2","view_age_ms":"1306"}"#;

fn main() {
    let _guard = telemetry::init("host-zone-0-1", LevelFilter::Info).expect("logging starts");
    divan::main();
}

/// Fewer lines than the queue holds, so none is dropped.
#[divan::bench(sample_size = 1, sample_count = 500)]
fn decision() {
    log::info!("{DECISION}");
}
