//! The reasons for dropping a packet.

/// The numbered reason for which a host dropped a packet.
///
/// The numbers are stable: they appear in metrics, logs and `docs/RESULT-CODES.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum DropReason {
    /// The length of the bytes differs from the length in the headers.
    Truncated = 401,
    /// The bytes are not an IPv4 or IPv6 packet.
    NotIp = 402,
    /// The packet is a fragment; ports are known only in the first one.
    Fragment = 403,
    /// The transport protocol is neither TCP nor UDP.
    Protocol = 404,
    /// Neither endpoint of the packet is a listener or a target.
    NoListener = 405,
    /// The flow has no pin and no target can accept it.
    NoTarget = 406,
    /// The packet was relayed between hosts too often.
    HopLimit = 407,
    /// The packet acknowledges an answer that its pinned target never sent.
    WrongAnswer = 408,
    /// The datagram from a peer has a wrong length, version or tag.
    BadPeerDatagram = 409,
    /// A target sent a packet of a flow that is pinned to another target.
    WrongTarget = 410,
    /// The flow's home is not known yet.
    NoHome = 411,
    /// A bounded table or queue is full.
    Full = 412,
    /// The opening waited longer than its queue deadline.
    Deadline = 413,
    /// An opening carries data, which a target might process before it is known that it accepts the
    /// flow.
    OpeningWithData = 414,
}

impl DropReason {
    /// Every reason, in numeric order.
    pub const ALL: [DropReason; 14] = [
        DropReason::Truncated,
        DropReason::NotIp,
        DropReason::Fragment,
        DropReason::Protocol,
        DropReason::NoListener,
        DropReason::NoTarget,
        DropReason::HopLimit,
        DropReason::WrongAnswer,
        DropReason::BadPeerDatagram,
        DropReason::WrongTarget,
        DropReason::NoHome,
        DropReason::Full,
        DropReason::Deadline,
        DropReason::OpeningWithData,
    ];

    /// The stable number of this reason.
    pub fn code(self) -> u16 {
        self as u16
    }

    /// The position of this reason in [`DropReason::ALL`].
    pub fn index(self) -> usize {
        usize::from(self.code() - DropReason::Truncated.code())
    }
}
