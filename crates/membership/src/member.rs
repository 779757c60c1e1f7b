//! The report about one host and the states of a host.

use std::net::SocketAddr;

use routing::{HostEntry, HostId};

/// The state of a host. Of two reports with the same incarnation, the one with the greater state is
/// newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemberState {
    /// The host is alive and receives the pins of the buckets it will own.
    Joining = 0,
    /// The host is alive and may own buckets.
    Ready = 1,
    /// The host is alive and hands over the buckets it owns.
    Leaving = 2,
    /// The host is joining and did not answer a probe.
    SuspectJoining = 3,
    /// The host is ready and did not answer a probe.
    SuspectReady = 4,
    /// The host is leaving and did not answer a probe.
    SuspectLeaving = 5,
    /// The host did not refute the suspicion in time.
    Dead = 6,
    /// The host has handed everything over.
    Left = 7,
}

impl MemberState {
    const ALL: [MemberState; 8] = [
        MemberState::Joining,
        MemberState::Ready,
        MemberState::Leaving,
        MemberState::SuspectJoining,
        MemberState::SuspectReady,
        MemberState::SuspectLeaving,
        MemberState::Dead,
        MemberState::Left,
    ];

    /// The state with this number.
    pub fn from_number(number: u8) -> Option<MemberState> {
        MemberState::ALL.get(usize::from(number)).copied()
    }

    /// Whether the host may own buckets now.
    pub fn is_owner(self) -> bool {
        matches!(
            self,
            MemberState::Ready
                | MemberState::Leaving
                | MemberState::SuspectReady
                | MemberState::SuspectLeaving
        )
    }

    /// Whether the host may own buckets once the joins and leaves in progress are complete.
    pub fn is_future_owner(self) -> bool {
        matches!(
            self,
            MemberState::Ready
                | MemberState::Joining
                | MemberState::SuspectReady
                | MemberState::SuspectJoining
        )
    }

    /// Whether the host may be an opener, which assigns targets to new flows.
    pub fn is_opener(self) -> bool {
        matches!(self, MemberState::Ready | MemberState::SuspectReady)
    }

    /// Whether the host is neither dead nor has left.
    pub fn is_alive(self) -> bool {
        self < MemberState::Dead
    }

    /// Whether the host is under suspicion.
    pub fn is_suspect(self) -> bool {
        matches!(
            self,
            MemberState::SuspectJoining | MemberState::SuspectReady | MemberState::SuspectLeaving
        )
    }

    /// The state after an unanswered probe.
    pub fn suspected(self) -> MemberState {
        match self {
            MemberState::Joining => MemberState::SuspectJoining,
            MemberState::Ready => MemberState::SuspectReady,
            MemberState::Leaving => MemberState::SuspectLeaving,
            other => other,
        }
    }
}

/// A report about one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub id: HostId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The hash of its failure domain's name.
    pub domain_seed: u64,
    /// The hash of its rack's name.
    pub rack_seed: u64,
    /// Incremented by the host itself when it starts, changes its state or refutes a report.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// The entry of the host for the bucket placement.
    pub fn entry(&self) -> HostEntry {
        HostEntry { id: self.id, domain_seed: self.domain_seed, rack_seed: self.rack_seed }
    }

    /// Whether this report is newer than `other`.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
