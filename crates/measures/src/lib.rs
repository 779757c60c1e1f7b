//! Measures the decision logic and baselines at the users' deployment sizes. Not shipped.
//!
//! Each measure runs the production code on simulated networks (`fakes`) with a seed, and returns
//! one serializable result. Tests compare the results with the stated goals.

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
