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
}

impl Event {
    /// Every event, in numeric order.
    pub const ALL: [Event; 13] = [
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
        Event::MembersChanged,
        Event::SendFailed,
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
        }
    }

    /// How serious it is.
    pub fn level(self) -> Level {
        match self {
            Event::SettingsRejected => Level::Error,
            Event::Frozen | Event::StoreBehind | Event::StoreUnavailable | Event::SendFailed => {
                Level::Warn
            }
            _ => Level::Info,
        }
    }
}
