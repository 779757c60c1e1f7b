//! Runs hosts with tagged affinity under random faults.

use std::{path::Path, process::Command, time::Duration};

use argh::FromArgs;
use eyre::{Result, WrapErr, bail, ensure};
use platform_stand_ins::{SoakConfig, soak};

/// run hosts as processes under random faults and check what callers and targets observe
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak", example = "cargo xtask soak --seed 1 --runs 50 --seconds 20")]
pub(crate) struct Options {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds to run, one after the other
    #[argh(option, default = "1")]
    runs: u64,
    /// how long faults are injected in each run, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
}

/// Runs each seed and fails if a run violated a guarantee.
pub(crate) fn run(options: &Options) -> Result<()> {
    let status = Command::new("cargo")
        .args(["build", "--release", "--quiet", "--package", "wagtailstalld"])
        .status()
        .wrap_err("cargo cannot be run")?;
    ensure!(status.success(), "the build failed");
    let target = std::env::var("CARGO_TARGET_DIR").unwrap_or_else(|_| "target".to_owned());
    let program = Path::new(&target).join("release/wagtailstalld");
    let mut failed = Vec::new();
    for seed in options.seed..options.seed + options.runs {
        let folder = Path::new(&target).join(format!("soak/{seed}-{}", std::process::id()));
        let duration = Duration::from_secs(options.seconds);
        let config = SoakConfig { seed, duration, ..SoakConfig::default() };
        let report = soak(&program, &folder, config)
            .wrap_err_with(|| format!("seed {seed}; logs are in {}", folder.display()))?;
        let failures = report.failures();
        let (during_faults, after_faults) = (report.during_faults, report.after_faults);
        println!(
            "seed {seed}: {} faults, {} of {} requests answered meanwhile, {} of {} after, {} failures",
            report.faults.len(),
            during_faults.answered,
            during_faults.total(),
            after_faults.answered,
            after_faults.total(),
            failures.len()
        );
        if failures.is_empty() {
            continue;
        }
        failed.push(seed);
        report.faults.iter().for_each(|fault| println!("  {fault}"));
        failures.iter().for_each(|failure| println!("  FAILED {failure}"));
        println!("  logs are in {}", folder.display());
    }
    if !failed.is_empty() {
        bail!("seeds that failed: {failed:?}");
    }
    Ok(())
}
