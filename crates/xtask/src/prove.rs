//! Proofs: end-to-end checks of the guarantees with real processes, sockets, clocks and signals.
//! Tests check the same guarantees with fakes.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;
use eyre::{Result, bail, ensure};
use serde_json::json;

use crate::{
    outcome::Outcome,
    testbed::{Testbed, TestbedConfig, strings},
};

/// check a guarantee with real processes; the last line is one JSON object
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "prove")]
pub(crate) struct Options {
    /// name of the proof
    #[argh(positional)]
    name: Option<String>,
    /// seed of the fabric's host choice and of arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// print the names of all proofs, one per line
    #[argh(switch)]
    list: bool,
}

/// A proof: its name, how long callers make requests, in seconds, and the function that disturbs
/// the testbed meanwhile.
type Proof = (&'static str, u64, fn(&mut Testbed) -> Result<()>);

const PROOFS: [Proof; 5] = [
    ("rolling", 60, rolling),
    ("death", 20, death),
    ("store-outage", 30, store_outage),
    ("freeze", 25, freeze),
    ("bad-fabric", 20, bad_fabric),
];

/// Runs the proof `options.name`, or lists all names.
pub(crate) fn run(options: &Options) -> Result<()> {
    if options.list {
        for (name, _, _) in PROOFS {
            println!("{name}");
        }
        return Ok(());
    }
    let name = options.name.as_deref().unwrap_or("");
    let Some((_, run_s, proof)) = PROOFS.iter().find(|(known, _, _)| *known == name) else {
        bail!("there is no proof '{name}'; --list names them");
    };
    // The rates are in packets per 10,000.
    let fabric_arguments = match name {
        "bad-fabric" => strings(&["--loss", "100", "--doubled", "200", "--delayed", "500"]),
        _ => Vec::new(),
    };
    let tree = PathBuf::from("examples/agency.json");
    let config = TestbedConfig { tree, hosts_per_domain: 3, seed: options.seed, fabric_arguments };
    let mut testbed = Testbed::start(&config)?;
    let run_ms = (run_s * 1000).to_string();
    testbed.start_callers("callers", &strings(&["--run-ms", &run_ms, "--sessions", "120"]))?;
    testbed.processes.sleep(Duration::from_secs(5))?;
    proof(&mut testbed)?;
    let caller_report = testbed.wait_for_callers("callers")?;
    let outcome = Outcome::new(&caller_report, &testbed.stop_upstreams()?);
    println!("{}", json!({ "proof": name, "seed": options.seed, "outcome": outcome }));
    outcome.check_guarantees(&[])
}

/// Restarts every host, one at a time.
fn rolling(testbed: &mut Testbed) -> Result<()> {
    for (number, host) in testbed.hosts.clone().into_iter().enumerate() {
        println!("replacing {}", host.name);
        // SIGTERM and the `stop-host` command both start a planned stop.
        let (code, _) = if number % 2 == 0 {
            testbed.processes.stop(&host.name)?
        } else {
            testbed.stop_with_cli(&host)?
        };
        ensure!(code == Some(0), "{} ended its planned stop with {code:?}", host.name);
        testbed.start_host(&host)?;
        testbed.wait_until_ready()?;
    }
    Ok(())
}

/// Kills a host and starts it again.
fn death(testbed: &mut Testbed) -> Result<()> {
    let host = testbed.hosts[4].clone();
    println!("killing {}", host.name);
    testbed.processes.signal(&host.name, "KILL")?;
    testbed.processes.wait(&host.name, Duration::from_secs(5))?;
    testbed.processes.sleep(Duration::from_secs(5))?;
    testbed.start_host(&host)?;
    testbed.wait_until_ready()
}

/// Takes the store down, restarts a host meanwhile, then makes the store lose a response, answer
/// slowly and serve stale reads.
fn store_outage(testbed: &mut Testbed) -> Result<()> {
    testbed.run_cli(&strings(&["drain", "valuations/rabat-1/t01", "--wait"]))?;
    println!("the store is down");
    testbed.set_store_faults("down=1")?;
    ensure!(
        testbed.run_cli(&strings(&["drain", "valuations/rabat-1/t02"])).is_err(),
        "an edit was accepted by a store that is down"
    );
    let host = testbed.hosts[2].clone();
    testbed.processes.stop(&host.name)?;
    testbed.start_host(&host)?;
    testbed.wait_until_ready()?;
    println!("a host started with the settings of its peers");
    testbed.set_store_faults("lost_answers=1")?;
    let accepted = testbed.run_cli(&strings(&["drain", "valuations/rabat-1/t02", "--wait"]))?;
    println!("with a lost response: {accepted}");
    // The first tree is revision 1 and the first drain is revision 2.
    ensure!(accepted["revision"] == 3, "the edit was applied twice or not at all: {accepted}");
    testbed.set_store_faults("delay_ms=500")?;
    let accepted = testbed.run_cli(&strings(&["undrain", "valuations/rabat-1/t02", "--wait"]))?;
    println!("with a slow store: {accepted}");
    testbed.set_store_faults("stale=1")?;
    testbed.processes.sleep(Duration::from_secs(2))?;
    let status = testbed.run_cli(&strings(&["status"]))?;
    let is_newest = |row: &serde_json::Value| row["revision"] == 4;
    ensure!(
        status.as_array().is_some_and(|rows| rows.iter().all(is_newest)),
        "a stale read set a host back to an older revision"
    );
    testbed.set_store_faults("")
}

/// Suspends a host process for five seconds and resumes it.
fn freeze(testbed: &mut Testbed) -> Result<()> {
    let host = testbed.hosts[5].clone();
    println!("freezing {}", host.name);
    testbed.processes.signal(&host.name, "STOP")?;
    testbed.processes.sleep(Duration::from_secs(5))?;
    testbed.processes.signal(&host.name, "CONT")?;
    testbed.wait_until_ready()
}

/// Restarts a host while the fabric loses, duplicates and delays packets.
fn bad_fabric(testbed: &mut Testbed) -> Result<()> {
    let host = testbed.hosts[0].clone();
    testbed.processes.stop(&host.name)?;
    testbed.start_host(&host)?;
    testbed.wait_until_ready()
}
