//! Measurements of the decisions against baselines, at the users' sizes. Not shipped.
//!
//! Each measure runs the real decisions on the small fakes with a seed, and gives one serializable
//! result. Tests hold the results against the stated targets.

mod baseline;
mod broken_flows;
mod control;
mod directory;
mod flood;
mod imbalance;
mod placement;
mod settings_scale;
mod settings_spread;
mod slots;
mod statistics;

pub use crate::{
    baseline::{LocalPins, StatelessHashPlane},
    broken_flows::{BrokenFlows, Disruption, Forwarding, broken_flows},
    control::{ControlCost, PinMemory, control_cost, pin_memory},
    directory::{DirectoryScale, directory_scale},
    flood::{FloodFault, FloodResult, FloodScenario, flood, max_waiting_openings},
    imbalance::{Imbalance, imbalance},
    placement::{PlacementCost, placement_cost},
    settings_scale::{SettingsScale, settings_scale},
    settings_spread::{SettingsSpread, settings_spread},
    slots::{Choice, SlotWait, slot_wait},
    statistics::percentile,
};
