//! How evenly the sessions of a service are distributed over its targets.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, tree};
use serde::Serialize;

/// Ratios of the largest to the mean number of sessions on a target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Imbalance {
    /// Number of open sessions.
    pub sessions: usize,
    /// The ratio over all failure domains.
    pub overall: f64,
    /// The ratio within the failure domain where it is largest.
    pub within_domain: f64,
}

/// Measures the distribution of `sessions` sessions over 15 targets in three failure domains.
pub fn imbalance(sessions: usize, seed: u64) -> Imbalance {
    const STEPS: usize = 100;
    const TARGETS_PER_DOMAIN: usize = 5;
    let mut tree = tree(&[ServiceSpec::default()]);
    tree.routing.bucket_count = 4096;
    tree.policy.connections = Some(10_000);
    let config = LanConfig { tree, seed, hosts_per_domain: 5, ..LanConfig::default() };
    let mut lan = Lan::new(config);
    for _ in 0..STEPS {
        lan.open(1, CallerKind::Session { interval_ms: 0 }, sessions / STEPS);
        lan.run_ms(100);
    }
    lan.run_ms(2_000);
    let flows: Vec<usize> = lan.open_flows().iter().map(|(_, flows)| *flows).collect();
    let within_domain = flows.chunks(TARGETS_PER_DOMAIN).map(max_over_mean).fold(0.0, f64::max);
    Imbalance { sessions: flows.iter().sum(), overall: max_over_mean(&flows), within_domain }
}

fn max_over_mean(counts: &[usize]) -> f64 {
    let total: usize = counts.iter().sum();
    let max_count = counts.iter().max().copied().unwrap_or(0);
    max_count as f64 * counts.len() as f64 / total.max(1) as f64
}
