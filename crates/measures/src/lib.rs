//! Measurements of the decisions against baselines, at the users' sizes. Not shipped.
//!
//! Each measure runs the real decisions on the small fakes with a seed, and gives one serializable
//! result. Tests hold the results against the stated targets.

mod baseline;
mod breaks;
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
    baseline::{LocalPins, TableOnly},
    breaks::{Breaks, Change, Way, breaks},
    control::{ControlCost, PinMemory, control_cost, pin_memory},
    directory::{DirectoryScale, directory_scale},
    flood::{Flood, FloodFault, FloodPlan, flood, pools_flood},
    imbalance::{Imbalance, imbalance},
    placement::{PlacementCost, placement_cost},
    settings_scale::{SettingsScale, settings_scale},
    settings_spread::{Spread, spread},
    slots::{Choice, SlotWait, slot_wait},
    statistics::percentile,
};
