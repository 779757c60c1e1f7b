//! The key of a flow and its keyed hash.

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

/// Identifies a flow by its protocol and endpoints, as its caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddr,
    /// The address and port of the service to which the caller sends.
    pub service: SocketAddr,
}

/// The 128-bit keyed hash that identifies a [`FlowKey`] in tables and in messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowHash(pub u128);

impl FlowHash {
    /// The bucket of this flow among `bucket_count` buckets, a power of two.
    pub fn bucket(self, bucket_count: usize) -> usize {
        (self.0 as usize) & (bucket_count - 1)
    }

    /// The upper 64 bits, from which scores and jitter are derived. They are independent of the bucket.
    pub fn seed(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

/// The secret key of the flow hash, the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HashKey(pub [u8; 16]);

/// Hashes flow keys with a secret key, so that callers cannot craft collisions.
#[derive(Debug, Clone)]
pub struct FlowHasher {
    keyed_hasher: SipHasher13,
}

impl FlowHasher {
    /// Creates a hasher for `key`.
    pub fn new(key: HashKey) -> FlowHasher {
        FlowHasher { keyed_hasher: SipHasher13::new_with_key(&key.0) }
    }

    /// Hashes `key`.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        // One write of the encoded key is several times faster than one write per field.
        let mut bytes = [0; KEY_BYTES];
        bytes[0] = match key.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        };
        let length = write_endpoint(&mut bytes, 1, key.caller);
        let length = write_endpoint(&mut bytes, length, key.service);
        let mut hasher = self.keyed_hasher;
        hasher.write(&bytes[..length]);
        FlowHash(hasher.finish128().as_u128())
    }
}

/// The length of the longest encoded key: protocol, two addresses and two ports.
const KEY_BYTES: usize = 1 + 2 * 18;

/// Writes `endpoint` at `offset` and returns the offset after it.
fn write_endpoint(bytes: &mut [u8; KEY_BYTES], offset: usize, endpoint: SocketAddr) -> usize {
    let end = match endpoint.ip() {
        IpAddr::V4(ip) => {
            bytes[offset..offset + 4].copy_from_slice(&ip.octets());
            offset + 4
        }
        IpAddr::V6(ip) => {
            bytes[offset..offset + 16].copy_from_slice(&ip.octets());
            offset + 16
        }
    };
    bytes[end..end + 2].copy_from_slice(&endpoint.port().to_be_bytes());
    end + 2
}
