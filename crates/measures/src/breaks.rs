//! Broken flows during changes and failures.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, data_plane::DataPlane, tree};
use host::Counter;
use serde::Serialize;
use settings::TargetState;

use crate::{LocalPins, TableOnly};

/// How packets are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The real way.
    Homes,
    /// A consistent table without state.
    Table,
    /// Pins on each host without homes.
    LocalPins,
}

/// What happens while flows are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Every host is replaced, one after the other.
    ReplaceHosts,
    /// One target in three is drained, and one is added to each failure domain.
    MoveTargets,
    /// One host dies.
    KillHost,
    /// Two hosts die at once.
    KillTwo,
    /// A failure domain is cut off for three seconds.
    CutDomain,
}

/// The result.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breaks {
    /// Flows that were open or opened.
    pub flows: usize,
    /// Flows that broke.
    pub broken: usize,
    /// Flows that broke, of 100,000.
    pub broken_per_100000: f64,
    /// Flows whose data was taken by two targets.
    pub taken_twice: usize,
    /// Flows whose target had to be searched for, of 100,000; only for the real way.
    pub searched_per_100000: f64,
}

/// Measures `change` with `sessions` open sessions.
pub fn breaks(way: Way, change: Change, sessions: usize, seed: u64) -> Breaks {
    let config = LanConfig { seed, hosts_per_domain: 5, ..LanConfig::default() };
    match way {
        Way::Homes => {
            let mut lan = Lan::new(config);
            let result = run(&mut lan, change, sessions);
            let searched = lan.count(Counter::Searched) as f64;
            Breaks { searched_per_100000: searched * 1e5 / result.flows as f64, ..result }
        }
        Way::Table => {
            run(&mut Lan::with_data_plane(config, |_, _| TableOnly::default()), change, sessions)
        }
        Way::LocalPins => {
            run(&mut Lan::with_data_plane(config, |_, _| LocalPins::default()), change, sessions)
        }
    }
}

fn run<P: DataPlane>(lan: &mut Lan<P>, change: Change, sessions: usize) -> Breaks {
    lan.open(1, CallerKind::Session { interval_ms: 1_000 }, sessions);
    lan.run_ms(8_000);
    match change {
        Change::ReplaceHosts => {
            for host in 0..lan.nodes.len() {
                lan.stop(host);
                lan.run_until(60_000, |lan| lan.is_stopped(host));
                lan.start(host);
                lan.deliver_settings(host);
                lan.run_until(30_000, Lan::all_ready);
            }
        }
        Change::MoveTargets => move_targets(lan),
        Change::KillHost => lan.kill(3),
        Change::KillTwo => {
            lan.kill(3);
            lan.kill(4);
        }
        Change::CutDomain => {
            lan.set_cut(1, true);
            lan.run_ms(3_000);
            lan.set_cut(1, false);
        }
    }
    lan.run_ms(30_000);
    let report = lan.report();
    let broken = report.broken + report.unanswered;
    Breaks {
        flows: report.started,
        broken,
        broken_per_100000: broken as f64 * 1e5 / report.started as f64,
        taken_twice: report.taken_twice,
        searched_per_100000: 0.0,
    }
}

fn move_targets<P: DataPlane>(lan: &mut Lan<P>) {
    let spec = ServiceSpec { targets: vec![6, 6, 6], ..ServiceSpec::default() };
    let mut edited = tree(&[spec]);
    for service in edited.services.values_mut() {
        for upstream in service.upstreams.values_mut() {
            for target in upstream.targets.values_mut().step_by(3) {
                target.policy.state = Some(TargetState::Leaving);
            }
        }
    }
    lan.apply(&edited, 0);
    lan.run_until(6_000, Lan::all_in_force);
}
