//! What is worth a log line.

use std::net::SocketAddrV4;

use catalog::{RequestKind, TargetId};

use crate::{FlowKey, Standing};

/// Why a flow was reset or a packet dropped. The numbers are result codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Reason {
    /// No listener has this address.
    NoListener = 601,
    /// No target of the listener takes flows.
    NoTarget = 602,
    /// The target is gone.
    TargetGone = 603,
    /// The target failed its check.
    TargetDead = 604,
    /// No known target has this tag.
    UnknownTag = 605,
    /// The view is missing or too old to decide.
    StaleView = 606,
    /// A packet without a tag that opens no flow.
    NoTag = 607,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 7] = [
        Reason::NoListener,
        Reason::NoTarget,
        Reason::TargetGone,
        Reason::TargetDead,
        Reason::UnknownTag,
        Reason::StaleView,
        Reason::NoTag,
    ];

    /// The result code.
    pub fn code(self) -> u16 {
        self as u16
    }

    pub(crate) fn index(self) -> usize {
        self as usize - Reason::NoListener as usize
    }
}

/// A decision that touches a flow or changes what this host believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A new flow got its target.
    Opened {
        /// The flow.
        key: FlowKey,
        /// Its target.
        target: TargetId,
        /// How many openings of the flow came before.
        copy: u32,
        /// The flows that this host counted at the target.
        flows: u32,
        /// Whether the target is in this host's failure domain.
        is_near: bool,
        /// The revision of the view.
        revision: u64,
        /// The age of the view, in milliseconds.
        view_age_ms: u64,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Its target, if it is known.
        target: Option<TargetId>,
        /// Why.
        reason: Reason,
        /// The revision of the view.
        revision: u64,
        /// The age of the view, in milliseconds.
        view_age_ms: u64,
    },
    /// A target's standing changed.
    Standing {
        /// The target.
        target: TargetId,
        /// Its standing now.
        standing: Standing,
        /// The openings without an answer that speak against it.
        failed_openings: u32,
        /// The flows without progress that speak against it.
        stalled_flows: u32,
    },
}

/// How long a request waited for the first part of its answer, as this host saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The listener's address.
    pub listener: SocketAddrV4,
    /// What its requests permit.
    pub kind: RequestKind,
    /// The wait, in milliseconds.
    pub answer_ms: u64,
}

/// What this host knows of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReport {
    /// Its target.
    pub target: TargetId,
    /// What this host thinks of the target.
    pub standing: Standing,
    /// How long ago its last packet came, in milliseconds.
    pub silence_ms: u64,
    /// Whether a request is under way.
    pub is_busy: bool,
    /// How many times its last data was sent again without an answer.
    pub repeats: u8,
}
