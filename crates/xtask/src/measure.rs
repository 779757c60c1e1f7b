//! Runs the measures of the `measures` crate by name.

use argh::FromArgs;
use eyre::{Result, bail};
use measures::{
    Choice, Disruption, FloodFault, FloodScenario, Forwarding, broken_flows, control_cost,
    directory_scale, flood, imbalance, pin_memory, placement_cost, settings_scale, settings_spread,
    slot_wait,
};
use serde::Serialize;
use serde_json::{Value, json};

/// measure the decision logic and baselines; the last line is one JSON object
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Options {
    /// name of the measure
    #[argh(positional)]
    name: Option<String>,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// print the names of all measures, one per line
    #[argh(switch)]
    list: bool,
}

/// A measure: its name and the function that runs it with a seed and returns the result rows.
type Measure = (&'static str, fn(u64) -> Vec<Value>);

const MEASURES: [Measure; 19] = [
    ("replace-hosts", |seed| broken_flow_rows(Disruption::ReplaceHosts, seed)),
    ("move-targets", |seed| broken_flow_rows(Disruption::MoveTargets, seed)),
    ("kill-host", |seed| broken_flow_rows(Disruption::KillHost, seed)),
    ("kill-two", |seed| broken_flow_rows(Disruption::KillTwo, seed)),
    ("cut-domain", |seed| broken_flow_rows(Disruption::CutDomain, seed)),
    ("control", control_rows),
    ("settings-spread", settings_spread_rows),
    ("settings-scale", |_| settings_scale_rows()),
    ("directory", |_| directory_rows()),
    ("pins", |_| pin_memory_rows()),
    ("imbalance", |seed| {
        [1_500, 15_000, 64_500]
            .into_iter()
            .map(|sessions| labelled("homes", &imbalance(sessions, seed)))
            .collect()
    }),
    ("slots", slot_wait_rows),
    ("placement", |_| placement_rows()),
    ("flood-low", |seed| flood_rows(2, FloodFault::None, seed)),
    ("flood-urgent", |seed| flood_rows(0, FloodFault::None, seed)),
    ("flood-host-death", |seed| flood_rows(2, FloodFault::HostDeath(2), seed)),
    ("overshoot", overshoot_rows),
    ("flood-sweep", flood_sweep_rows),
    ("flood-target-death", |seed| flood_rows(2, FloodFault::TargetDeath, seed)),
];

/// Runs the measure `options.name`, or lists all names.
pub(crate) fn run(options: &Options) -> Result<()> {
    if options.list {
        for (name, _) in MEASURES {
            println!("{name}");
        }
        return Ok(());
    }
    let name = options.name.as_deref().unwrap_or("");
    let Some((_, measure)) = MEASURES.iter().find(|(known, _)| *known == name) else {
        bail!("there is no measure '{name}'; --list names them");
    };
    let rows = measure(options.seed);
    for row in &rows {
        println!("{row}");
    }
    println!("{}", json!({ "measure": name, "seed": options.seed, "rows": rows }));
    Ok(())
}

fn labelled(label: &str, result: &impl Serialize) -> Value {
    json!({ "label": label, "result": result })
}

fn broken_flow_rows(disruption: Disruption, seed: u64) -> Vec<Value> {
    const SESSIONS: usize = 4_000;
    let variants = [
        ("homes", Forwarding::Homes),
        ("table", Forwarding::StatelessHash),
        ("local-pins", Forwarding::LocalPins),
    ];
    variants
        .into_iter()
        .map(|(label, forwarding)| {
            labelled(label, &broken_flows(forwarding, disruption, SESSIONS, seed))
        })
        .collect()
}

fn control_rows(seed: u64) -> Vec<Value> {
    let sizes = [(2, 0, 0), (5, 0, 0), (16, 0, 0), (5, 2_000, 0), (5, 0, 200), (5, 2_000, 400)];
    sizes
        .into_iter()
        .map(|(hosts_per_domain, sessions, openings_per_s)| {
            labelled("homes", &control_cost(hosts_per_domain, sessions, openings_per_s, seed))
        })
        .collect()
}

fn settings_spread_rows(seed: u64) -> Vec<Value> {
    [2, 5, 11, 21]
        .into_iter()
        .map(|hosts_per_domain| labelled("gossip", &settings_spread(hosts_per_domain, seed)))
        .collect()
}

fn slot_wait_rows(seed: u64) -> Vec<Value> {
    let choices = [
        Choice::RandomHash,
        Choice::TwoChoices,
        Choice::Homes(1),
        Choice::Homes(2),
        Choice::Homes(3),
        Choice::Homes(4),
        Choice::Homes(8),
    ];
    let mut rows = Vec::new();
    for choice in choices {
        for use_percent in [80, 95] {
            rows.push(labelled("slots", &slot_wait(choice, use_percent, seed)));
        }
    }
    rows
}

fn settings_scale_rows() -> Vec<Value> {
    [(51, 13), (510, 13), (5_100, 13)]
        .into_iter()
        .map(|(services, per_service)| labelled("tree", &settings_scale(services, per_service)))
        .collect()
}

fn directory_rows() -> Vec<Value> {
    [(10, 20), (45, 150), (500, 6_400), (5_100, 64_000)]
        .into_iter()
        .map(|(listeners, targets)| labelled("directory", &directory_scale(listeners, targets)))
        .collect()
}

fn pin_memory_rows() -> Vec<Value> {
    [10_000, 100_000, 500_000]
        .into_iter()
        .map(|flows| labelled("lone host", &pin_memory(flows)))
        .collect()
}

fn placement_rows() -> Vec<Value> {
    let sizes = [(16, 3, 4_096), (64, 3, 4_096), (540, 11, 65_536), (5_400, 11, 65_536)];
    sizes
        .into_iter()
        .map(|(hosts, domains, buckets)| {
            labelled("incremental", &placement_cost(hosts, domains, buckets))
        })
        .collect()
}

fn flood_rows(flood_priority: u8, fault: FloodFault, seed: u64) -> Vec<Value> {
    let mut rows = Vec::new();
    for (label, forwarding) in [("homes", Forwarding::Homes), ("table", Forwarding::StatelessHash)]
    {
        for flood_percent in [0, 1_000] {
            let scenario = FloodScenario {
                forwarding,
                flood_percent,
                flood_priority,
                fault,
                seed,
                ..FloodScenario::default()
            };
            rows.push(labelled(&format!("{label}, flood {flood_percent}%"), &flood(&scenario)));
        }
    }
    rows
}

/// The largest number of concurrent requests on a target with three slots, for the death of each
/// host of one failure domain in turn.
fn overshoot_rows(seed: u64) -> Vec<Value> {
    (0..5)
        .map(|host| {
            let fault = FloodFault::HostDeath(host);
            let result = flood(&FloodScenario { fault, seed, ..FloodScenario::default() });
            json!({ "killed": host, "most_requests": result.most_requests })
        })
        .collect()
}

fn flood_sweep_rows(seed: u64) -> Vec<Value> {
    [2, 5, 11, 21]
        .into_iter()
        .map(|hosts_per_domain| {
            let scenario = FloodScenario { hosts_per_domain, seed, ..FloodScenario::default() };
            labelled(&format!("{} hosts", 3 * hosts_per_domain), &flood(&scenario))
        })
        .collect()
}
