//! Logged decisions, latency samples and flow reports.

use std::net::SocketAddrV4;

use catalog::{RequestKind, Revision, TargetId};
use routing::HostId;

use crate::{ExitChange, FlowKey, Shortage, Standing};

/// Why a flow was reset or a packet dropped. The discriminants are result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Reason {
    /// No listener has this address.
    NoListener = 601,
    /// No target of the listener accepts new flows.
    NoTarget = 602,
    /// The target is no longer listed and is dead, or was replaced at its address.
    TargetGone = 603,
    /// The target failed its health check.
    TargetDead = 604,
    /// The tag matches no known target.
    UnknownTag = 605,
    /// The view is missing or too old for a reset.
    StaleView = 606,
    /// The packet carries no tag and is not an opening.
    NoTag = 607,
    /// All targets that could take the flow are in evacuated failure domains.
    Evacuated = 608,
    /// The service has no room for flows of this listener.
    Crowded = 609,
    /// Only targets in their warm-up could take the flow, and they take no more openings now.
    Cold = 610,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 10] = [
        Reason::NoListener,
        Reason::NoTarget,
        Reason::TargetGone,
        Reason::TargetDead,
        Reason::UnknownTag,
        Reason::StaleView,
        Reason::NoTag,
        Reason::Evacuated,
        Reason::Crowded,
        Reason::Cold,
    ];

    /// The result code.
    pub fn code(self) -> u16 {
        self as u16
    }

    pub(crate) fn index(self) -> usize {
        self as usize - Reason::NoListener as usize
    }
}

/// Why a target's standing changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingCause {
    /// Unanswered openings or stalled flows of this host.
    Evidence,
    /// A health check by this host.
    Check,
    /// A report of the target's death by another host, which is named.
    Report(HostId),
    /// A flow of the target made progress.
    Progress,
    /// The store no longer lists the target, which was found dead before.
    Unlisted,
    /// The verdict of an earlier check or the suspicion expired.
    Expiry,
}

/// A decision about a flow, or a change of a target's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A new flow was assigned a target.
    Opened {
        /// The flow.
        key: FlowKey,
        /// Its target.
        target: TargetId,
        /// How many times the caller had sent the opening before.
        copy: u32,
        /// The flows that this host counts at the target, with this one.
        flows: u32,
        /// Whether the target is in this host's failure domain.
        is_near: bool,
        /// The revision of the view.
        revision: Revision,
        /// The age of the view, in milliseconds.
        view_age_ms: u64,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Its target, if it is known.
        target: Option<TargetId>,
        /// The reason.
        reason: Reason,
        /// The revision of the view.
        revision: Revision,
        /// The age of the view, in milliseconds.
        view_age_ms: u64,
    },
    /// A service began to have too little room at this host, or has room again.
    Shortage(Shortage),
    /// A target's standing changed.
    Standing {
        /// The target.
        target: TargetId,
        /// Its new standing.
        standing: Standing,
        /// The reason for the change.
        cause: StandingCause,
        /// The unanswered openings counted against it.
        failed_openings: u32,
        /// The stalled flows counted against it.
        stalled_flows: u32,
    },
    /// A target was set aside because of how it answers, or was taken back.
    SetAside {
        /// The target.
        target: TargetId,
        /// Whether it gets no new flows from now on.
        is_set_aside: bool,
        /// The requests that it answered recently, over all hosts.
        answers: u64,
        /// The requests that it answered much too fast or not in time, over all hosts.
        failures: u64,
    },
    /// Flows to a listener begin or cease to leave the failure domain.
    DomainExit {
        /// The listener's address.
        listener: SocketAddrV4,
        /// The change.
        change: ExitChange,
    },
}

/// The time from a request to the first acknowledgement of its answer, as seen by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencySample {
    /// The listener's address.
    pub listener: SocketAddrV4,
    /// The listener's request kind.
    pub kind: RequestKind,
    /// The latency, in milliseconds.
    pub answer_ms: u64,
}

/// The state of one flow, as known to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReport {
    /// Its target.
    pub target: TargetId,
    /// The target's standing with this host.
    pub standing: Standing,
    /// The time since its last packet, in milliseconds.
    pub silence_ms: u64,
    /// Whether a request is in flight.
    pub is_busy: bool,
    /// How many times the caller retransmitted its last data without an answer.
    pub repeats: u8,
}
