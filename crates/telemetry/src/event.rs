//! The numbered events in logs.

use log::Level;

/// A logged event. The numbers are stable; `docs/EVENTS.md` documents each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Event {
    /// The host has started.
    Started = 1001,
    /// The host may own buckets.
    Ready = 1002,
    /// A planned stop has begun.
    Stopping = 1003,
    /// All pins were handed over to other hosts.
    HandedOver = 1004,
    /// The host exits.
    Stopped = 1005,
    /// The process was suspended, and gives up its buckets until the other hosts know of the pause.
    Frozen = 1006,
    /// A thread has panicked.
    Panicked = 1007,
    /// Log lines were dropped before this one.
    LinesDropped = 1008,
    /// New settings are in force.
    SettingsInForce = 1101,
    /// Settings were read but could not be applied.
    SettingsRejected = 1102,
    /// The store holds an older revision than the one in force.
    StoreBehind = 1103,
    /// The store does not respond.
    StoreUnavailable = 1104,
    /// The store responds again.
    StoreAvailable = 1105,
    /// The set of hosts changed.
    MembersChanged = 1201,
    /// A packet could not be sent.
    SendFailed = 1301,
    /// The settings file is read again.
    Reloaded = 1106,
    /// Listeners and targets of a new revision are in force.
    CatalogInForce = 1107,
    /// A store entry or a message is invalid and is not used.
    EntryRejected = 1108,
    /// The targets of a failure domain take no new flows from this host.
    EvacuationBegun = 1109,
    /// The targets of a failure domain take new flows again.
    EvacuationEnded = 1110,
    /// The host started or stopped reading the store.
    RoleChanged = 1202,
    /// A new flow was assigned to a target.
    FlowOpened = 1401,
    /// A flow was reset.
    FlowReset = 1402,
    /// A target's standing changed.
    TargetStanding = 1403,
    /// The health of a target was checked.
    TargetChecked = 1404,
    /// The log of decisions is incomplete: some were not logged.
    DecisionsLeftOut = 1405,
    /// A service began to have too little room, or has room again.
    ServiceShortage = 1406,
    /// A target was set aside because of how it answers, or was taken back.
    TargetSetAside = 1407,
    /// Flows to a listener begin to leave the failure domain.
    DomainExitBegan = 1421,
    /// Flows to a listener no longer leave the failure domain.
    DomainExitEnded = 1422,
}

impl Event {
    /// Every event, in numeric order.
    pub const ALL: [Event; 30] = [
        Event::Started,
        Event::Ready,
        Event::Stopping,
        Event::HandedOver,
        Event::Stopped,
        Event::Frozen,
        Event::Panicked,
        Event::LinesDropped,
        Event::SettingsInForce,
        Event::SettingsRejected,
        Event::StoreBehind,
        Event::StoreUnavailable,
        Event::StoreAvailable,
        Event::Reloaded,
        Event::CatalogInForce,
        Event::EntryRejected,
        Event::EvacuationBegun,
        Event::EvacuationEnded,
        Event::MembersChanged,
        Event::RoleChanged,
        Event::SendFailed,
        Event::FlowOpened,
        Event::FlowReset,
        Event::TargetStanding,
        Event::TargetChecked,
        Event::DecisionsLeftOut,
        Event::ServiceShortage,
        Event::TargetSetAside,
        Event::DomainExitBegan,
        Event::DomainExitEnded,
    ];

    /// The stable number of this event.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The name of this event in logs and in `docs/EVENTS.md`.
    pub fn name(self) -> &'static str {
        match self {
            Event::Started => "started",
            Event::Ready => "ready",
            Event::Stopping => "stopping",
            Event::HandedOver => "handed_over",
            Event::Stopped => "stopped",
            Event::Frozen => "frozen",
            Event::Panicked => "panicked",
            Event::LinesDropped => "lines_dropped",
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
            Event::EvacuationBegun => "evacuation_begun",
            Event::EvacuationEnded => "evacuation_ended",
            Event::RoleChanged => "role_changed",
            Event::FlowOpened => "flow_opened",
            Event::FlowReset => "flow_reset",
            Event::TargetStanding => "target_standing",
            Event::TargetChecked => "target_checked",
            Event::DecisionsLeftOut => "decisions_left_out",
            Event::ServiceShortage => "service_shortage",
            Event::TargetSetAside => "target_set_aside",
            Event::DomainExitBegan => "domain_exit_began",
            Event::DomainExitEnded => "domain_exit_ended",
        }
    }

    /// The log level of this event.
    pub fn level(self) -> Level {
        match self {
            Event::Panicked | Event::SettingsRejected => Level::Error,
            Event::Frozen
            | Event::LinesDropped
            | Event::StoreBehind
            | Event::StoreUnavailable
            | Event::EntryRejected
            | Event::SendFailed => Level::Warn,
            _ => Level::Info,
        }
    }
}
