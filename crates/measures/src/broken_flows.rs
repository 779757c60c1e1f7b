//! Counts broken flows during changes and failures.

use fakes::{CallerKind, Lan, LanConfig, ServiceSpec, data_plane::DataPlane, tree};
use host::Counter;
use serde::Serialize;
use settings::TargetState;

use crate::{LocalPins, StatelessHashPlane};

/// How packets are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarding {
    /// The production code, in which a home host pins each flow.
    Homes,
    /// Consistent hashing without flow state.
    StatelessHash,
    /// Pins on each host, without homes.
    LocalPins,
}

/// What happens while flows are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Every host is replaced, one after the other.
    ReplaceHosts,
    /// One target in three is drained, and one is added to each failure domain.
    MoveTargets,
    /// One host dies.
    KillHost,
    /// Two hosts die at once.
    KillTwo,
    /// The network partitions one failure domain from the others for three seconds.
    CutDomain,
}

/// Flows that broke during a disruption.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BrokenFlows {
    /// Flows that were opened.
    pub flows: usize,
    /// Flows that broke.
    pub broken: usize,
    /// Flows that broke, per 100,000 flows.
    pub broken_per_100000: f64,
    /// Flows whose data two targets accepted.
    pub taken_twice: usize,
    /// Flows whose target had to be searched for, per 100,000 flows; 0 for baselines.
    pub searched_per_100000: f64,
}

/// Measures the effect of `disruption` on `sessions` open sessions.
pub fn broken_flows(
    forwarding: Forwarding,
    disruption: Disruption,
    sessions: usize,
    seed: u64,
) -> BrokenFlows {
    let config = LanConfig { seed, hosts_per_domain: 5, ..LanConfig::default() };
    match forwarding {
        Forwarding::Homes => {
            let mut lan = Lan::new(config);
            let result = run(&mut lan, disruption, sessions);
            let searched = lan.count(Counter::Searched) as f64;
            BrokenFlows { searched_per_100000: searched * 1e5 / result.flows as f64, ..result }
        }
        Forwarding::StatelessHash => run(
            &mut Lan::with_data_plane(config, |_, _| StatelessHashPlane::default()),
            disruption,
            sessions,
        ),
        Forwarding::LocalPins => run(
            &mut Lan::with_data_plane(config, |_, _| LocalPins::default()),
            disruption,
            sessions,
        ),
    }
}

fn run<P: DataPlane>(lan: &mut Lan<P>, disruption: Disruption, sessions: usize) -> BrokenFlows {
    lan.open(1, CallerKind::Session { interval_ms: 1_000 }, sessions);
    lan.run_ms(8_000);
    match disruption {
        Disruption::ReplaceHosts => {
            for host in 0..lan.nodes.len() {
                lan.stop(host);
                lan.run_until(60_000, |lan| lan.is_stopped(host));
                lan.start(host);
                lan.deliver_settings(host);
                lan.run_until(30_000, Lan::all_ready);
            }
        }
        Disruption::MoveTargets => move_targets(lan),
        Disruption::KillHost => lan.kill(3),
        Disruption::KillTwo => {
            lan.kill(3);
            lan.kill(4);
        }
        Disruption::CutDomain => {
            lan.set_cut(1, true);
            lan.run_ms(3_000);
            lan.set_cut(1, false);
        }
    }
    lan.run_ms(30_000);
    let report = lan.report();
    let broken = report.broken + report.unanswered;
    BrokenFlows {
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
