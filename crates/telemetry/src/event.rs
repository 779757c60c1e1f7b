//! The numbered events that are logged.

use log::Level;

/// An event. The numbers are stable; `docs/EVENTS.md` explains each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Event {
    /// The host has started.
    Started = 1001,
    /// The host may own buckets.
    Ready = 1002,
    /// A planned stop has begun.
    Stopping = 1003,
    /// Every pin was handed over.
    HandedOver = 1004,
    /// The host exits.
    Stopped = 1005,
    /// The process was paused and gives up its buckets until the others know.
    Frozen = 1006,
    /// New settings are in force.
    SettingsInForce = 1101,
    /// Settings were found but could not be taken over.
    SettingsRejected = 1102,
    /// The store holds an older revision than the one in force.
    StoreBehind = 1103,
    /// The store does not answer.
    StoreUnavailable = 1104,
    /// The store answers again.
    StoreAvailable = 1105,
    /// The set of hosts changed.
    MembersChanged = 1201,
    /// A packet could not be sent.
    SendFailed = 1301,
    /// The settings file is read again.
    Reloaded = 1106,
    /// Listeners and targets of a new revision are in force.
    CatalogInForce = 1107,
    /// An entry of the store or a message cannot be used.
    EntryRejected = 1108,
    /// The host began or ended to read the store.
    RoleChanged = 1202,
    /// A new flow got its target.
    FlowOpened = 1401,
    /// A flow was reset.
    FlowReset = 1402,
    /// A target's standing changed.
    TargetStanding = 1403,
    /// A target was asked for its health.
    TargetChecked = 1404,
    /// Decisions were not logged.
    DecisionsLeftOut = 1405,
}

impl Event {
    /// Every event, in numeric order.
    pub const ALL: [Event; 22] = [
        Event::Started,
        Event::Ready,
        Event::Stopping,
        Event::HandedOver,
        Event::Stopped,
        Event::Frozen,
        Event::SettingsInForce,
        Event::SettingsRejected,
        Event::StoreBehind,
        Event::StoreUnavailable,
        Event::StoreAvailable,
        Event::Reloaded,
        Event::CatalogInForce,
        Event::EntryRejected,
        Event::MembersChanged,
        Event::RoleChanged,
        Event::SendFailed,
        Event::FlowOpened,
        Event::FlowReset,
        Event::TargetStanding,
        Event::TargetChecked,
        Event::DecisionsLeftOut,
    ];

    /// The stable number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The name in logs and in the catalogue.
    pub fn name(self) -> &'static str {
        match self {
            Event::Started => "started",
            Event::Ready => "ready",
            Event::Stopping => "stopping",
            Event::HandedOver => "handed_over",
            Event::Stopped => "stopped",
            Event::Frozen => "frozen",
            Event::SettingsInForce => "settings_in_force",
            Event::SettingsRejected => "settings_rejected",
            Event::StoreBehind => "store_behind",
            Event::StoreUnavailable => "store_unavailable",
            Event::StoreAvailable => "store_available",
            Event::MembersChanged => "members_changed",
            Event::SendFailed => "send_failed",
            Event::Reloaded => "reloaded",
            Event::CatalogInForce => "catalog_in_force",
            Event::EntryRejected => "entry_rejected",
            Event::RoleChanged => "role_changed",
            Event::FlowOpened => "flow_opened",
            Event::FlowReset => "flow_reset",
            Event::TargetStanding => "target_standing",
            Event::TargetChecked => "target_checked",
            Event::DecisionsLeftOut => "decisions_left_out",
        }
    }

    /// How serious it is.
    pub fn level(self) -> Level {
        match self {
            Event::SettingsRejected => Level::Error,
            Event::Frozen
            | Event::StoreBehind
            | Event::StoreUnavailable
            | Event::EntryRejected
            | Event::SendFailed => Level::Warn,
            _ => Level::Info,
        }
    }
}
