//! The identity of a flow and its keyed hash.

use std::{
    hash::Hasher,
    net::{IpAddr, SocketAddr},
};

use siphasher::sip128::{Hasher128, SipHasher13};

/// The transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protocol {
    /// Transmission Control Protocol, RFC 9293.
    Tcp,
    /// User Datagram Protocol, RFC 768.
    Udp,
}

/// A flow as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddr,
    /// The service address and port that the caller addressed.
    pub service: SocketAddr,
}

/// The 128-bit keyed hash that stands for a [`FlowKey`] in tables and between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowHash(pub u128);

impl FlowHash {
    /// The bucket of this flow among `bucket_count` buckets, a power of two.
    pub fn bucket(self, bucket_count: usize) -> usize {
        (self.0 as usize) & (bucket_count - 1)
    }

    /// Bits that are independent of the bucket.
    pub fn seed(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// The secret key of the flow hash, the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HashKey(pub [u8; 16]);

/// Hashes flow keys with a secret, so that callers cannot craft collisions.
#[derive(Debug, Clone)]
pub struct FlowHasher {
    start: SipHasher13,
}

impl FlowHasher {
    /// Creates a hasher for `key`.
    pub fn new(key: HashKey) -> FlowHasher {
        FlowHasher { start: SipHasher13::new_with_key(&key.0) }
    }

    /// Hashes `key`.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        let mut hasher = self.start;
        hasher.write_u8(match key.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        });
        write_endpoint(&mut hasher, key.caller);
        write_endpoint(&mut hasher, key.service);
        FlowHash(hasher.finish128().as_u128())
    }
}

fn write_endpoint(hasher: &mut SipHasher13, endpoint: SocketAddr) {
    match endpoint.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(endpoint.port());
}
