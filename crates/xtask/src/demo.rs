//! The demonstration: runs the system as real processes under load, edits the settings, stops one
//! host as planned and kills another.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use argh::FromArgs;
use eyre::{Result, bail};
use serde::Serialize;
use serde_json::Value;

use crate::{
    outcome::Outcome,
    testbed::{Testbed, TestbedConfig, strings},
};

/// run the whole system on loopback, under load and changes, and check its guarantees
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Options {
    /// seed of the fabric's host choice and of arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// hosts in each failure domain
    #[argh(option, default = "3")]
    hosts: usize,
    /// the settings tree, a JSON file
    #[argh(option, default = "PathBuf::from(\"examples/agency.json\")")]
    tree: PathBuf,
    /// how long callers make requests, in seconds
    #[argh(option, default = "14")]
    run_s: u64,
}

/// The result, printed as the last line.
#[derive(Debug, Serialize)]
struct Summary {
    #[serde(flatten)]
    outcome: Outcome,
    /// `None` if no host reported a flow, so there is nothing to compare.
    imbalance: Option<f64>,
    settings_in_force_ms: u64,
    planned_stop_exit_code: i32,
}

/// Runs the demonstration.
pub(crate) fn run(options: &Options) -> Result<()> {
    println!("building and starting (logs are in target/logs)");
    let config = TestbedConfig {
        tree: options.tree.clone(),
        hosts_per_domain: options.hosts,
        seed: options.seed,
        fabric_arguments: Vec::new(),
    };
    let mut testbed = Testbed::start(&config)?;
    println!("{} hosts are ready", testbed.hosts.len());
    let run_ms = (options.run_s * 1000).to_string();
    testbed.start_callers("callers", &strings(&["--run-ms", &run_ms, "--sessions", "240"]))?;
    let quarter = Duration::from_millis(options.run_s * 250);

    testbed.processes.sleep(quarter)?;
    let target = first_target(&config.tree)?;
    println!("draining target {target}");
    let accepted = testbed.run_cli(&strings(&["drain", &target, "--wait"]))?;
    let settings_in_force_ms = accepted["in_force_ms"].as_u64().unwrap_or(u64::MAX);
    println!("  in force on every host after {settings_in_force_ms} ms");

    testbed.processes.sleep(quarter / 2)?;
    let stopped = testbed.hosts.remove(1);
    println!("stopping host {} as planned", stopped.name);
    let (code, _) = testbed.processes.stop(&stopped.name)?;
    println!("  it exited with {code:?}");

    let status = testbed.run_cli(&strings(&["status"]))?;
    std::fs::write("target/bed/status.json", status.to_string())?;
    let imbalance = imbalance(&status, &target_address(&config.tree, &target)?);

    let killed = testbed.hosts.remove(testbed.hosts.len() - 1);
    println!("killing host {}", killed.name);
    testbed.processes.signal(&killed.name, "KILL")?;
    testbed.processes.sleep(quarter / 2)?;

    let caller_report = testbed.wait_for_callers("callers")?;
    let upstream_reports = testbed.stop_upstreams()?;
    let summary = Summary {
        outcome: Outcome::new(&caller_report, &upstream_reports),
        imbalance,
        settings_in_force_ms,
        planned_stop_exit_code: code.unwrap_or(-1),
    };
    print_table(&summary)?;
    println!("{}", serde_json::to_string(&summary)?);
    check_guarantees(&summary)
}

/// Ratio of the largest to the mean number of flows on a target, for the service with most flows
/// and without the drained target.
fn imbalance(status: &Value, drained_address: &str) -> Option<f64> {
    let mut flows: BTreeMap<String, u64> = BTreeMap::new();
    for host in status.as_array().into_iter().flatten() {
        for usage in host["usage"].as_array().into_iter().flatten() {
            let target = usage["target"].as_str().unwrap_or_default().to_owned();
            *flows.entry(target).or_default() += usage["flows"].as_u64().unwrap_or(0);
        }
    }
    flows.retain(|target, _| target.as_str() != drained_address);
    // In the example trees, the second octet of a target's address identifies the service.
    let service = |target: &String| target.split('.').nth(1).unwrap_or_default().to_owned();
    let mut by_service: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (target, count) in &flows {
        by_service.entry(service(target)).or_default().push(*count);
    }
    let busiest = by_service.values().max_by_key(|counts| counts.iter().sum::<u64>());
    let counts = busiest?;
    let total: u64 = counts.iter().sum();
    let largest = counts.iter().max().copied()?;
    (total > 0).then(|| largest as f64 * counts.len() as f64 / total as f64)
}

/// Returns the path of the target to drain: the first target of a service whose first upstream has
/// at least three targets.
fn first_target(tree: &std::path::Path) -> Result<String> {
    let value: Value = serde_json::from_str(&std::fs::read_to_string(tree)?)?;
    let first_key =
        |value: &Value| value.as_object().and_then(|fields| fields.keys().next().cloned());
    let services = value["services"].as_object().into_iter().flatten();
    for (service, node) in services {
        let Some(upstream) = first_key(&node["upstreams"]) else { continue };
        let Some(target) = first_key(&node["upstreams"][&upstream]["targets"]) else { continue };
        let has_three_targets = node["upstreams"][&upstream]["targets"]
            .as_object()
            .is_some_and(|targets| targets.len() > 2);
        if has_three_targets {
            return Ok(format!("{service}/{upstream}/{target}"));
        }
    }
    bail!("the tree has no upstream with three targets")
}

fn target_address(tree: &std::path::Path, target: &str) -> Result<String> {
    let value: Value = serde_json::from_str(&std::fs::read_to_string(tree)?)?;
    let parts: Vec<&str> = target.split('/').collect();
    let [service, upstream, name] = parts.as_slice() else {
        bail!("{target} is not a target path such as service/upstream/target")
    };
    let node = &value["services"][service]["upstreams"][upstream]["targets"][name];
    Ok(node["address"].as_str().unwrap_or_default().to_owned())
}

fn print_table(summary: &Summary) -> Result<()> {
    let Value::Object(fields) = serde_json::to_value(summary)? else { return Ok(()) };
    for (name, value) in fields {
        println!("{name:24} {value}");
    }
    Ok(())
}

fn check_guarantees(summary: &Summary) -> Result<()> {
    summary.outcome.check_guarantees(&[
        (summary.settings_in_force_ms > 2_000, "the edit took more than 2 s"),
        (summary.planned_stop_exit_code != 0, "the planned stop did not end with 0"),
    ])
}
