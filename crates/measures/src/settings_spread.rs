//! Time until an edit of the settings is in force on every host.

use fakes::{Lan, LanConfig, ServiceSpec, tree};
use serde::Serialize;

/// How fast edits spread to all hosts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SettingsSpread {
    /// Total number of hosts.
    pub hosts: usize,
    /// The longest time that an edit took from its first host to all hosts, in milliseconds.
    pub in_force_ms: u64,
}

/// Measures ten edits on 3 * `hosts_per_domain` hosts.
pub fn settings_spread(hosts_per_domain: usize, seed: u64) -> SettingsSpread {
    let mut lan = Lan::new(LanConfig { seed, hosts_per_domain, ..LanConfig::default() });
    let mut in_force_ms = 0;
    for edit in 0..10 {
        let spec = ServiceSpec { targets: vec![5, 5, 5 + edit % 3], ..ServiceSpec::default() };
        let first_host = usize::from(edit) * 7 % lan.nodes.len();
        lan.apply(&tree(&[spec]), first_host);
        in_force_ms = in_force_ms.max(lan.run_until(60_000, Lan::all_in_force));
        lan.run_ms(500);
    }
    SettingsSpread { hosts: lan.nodes.len(), in_force_ms }
}
