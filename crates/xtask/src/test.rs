//! Runs every test, and knows which failures are recorded.

use std::{
    fs,
    process::{Command, Stdio},
};

use argh::FromArgs;
use eyre::{Result, WrapErr, bail};

/// run all tests; failures that KNOWN-RED.txt lists are printed and passed over
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "test")]
pub(crate) struct Options {}

/// Runs the tests of the workspace.
pub(crate) fn run(_options: &Options) -> Result<()> {
    let known_failures = read_known_failures()?;
    let mut command = Command::new("cargo");
    command.args(["test", "--workspace", "--no-fail-fast", "--quiet"]).stdin(Stdio::null());
    if known_failures.is_empty() {
        let status = command.status().wrap_err("cargo cannot be run")?;
        if !status.success() {
            bail!("tests failed");
        }
        return Ok(());
    }
    for entry in &known_failures {
        println!("known red: {entry}");
    }
    let output = command.output().wrap_err("cargo cannot be run")?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    print!("{text}");
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
    let failed = failed_tests(&text);
    let unexpected: Vec<&String> =
        failed.iter().filter(|test| !known_failures.contains(test)).collect();
    // Without a list of failed tests something else went wrong, such as the build.
    if !unexpected.is_empty() || (!output.status.success() && failed.is_empty()) {
        bail!("tests failed that KNOWN-RED.txt does not list: {unexpected:?}");
    }
    Ok(())
}

/// The tests that the file lists, one entry a paragraph, the name after "test: ".
fn read_known_failures() -> Result<Vec<String>> {
    let text = fs::read_to_string("KNOWN-RED.txt").wrap_err("KNOWN-RED.txt")?;
    Ok(text.lines().filter_map(|line| line.strip_prefix("test: ")).map(str::to_owned).collect())
}

fn failed_tests(text: &str) -> Vec<String> {
    let mut failed: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
        // Traces of failures name files at the same depth.
        .filter(|line| line.chars().all(|ch| ch.is_alphanumeric() || "_:".contains(ch)))
        .map(str::to_owned)
        .collect();
    failed.sort();
    failed.dedup();
    failed
}
