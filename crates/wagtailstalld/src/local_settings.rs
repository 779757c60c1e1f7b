//! The settings file of a host with pinned affinity.

use std::{fs, net::SocketAddr, path::Path};

use eyre::{Result, WrapErr, bail};
use host::HostConfig;
use serde::Deserialize;
use settings::name_seed;
use wire::PeerKey;

use crate::clock;

/// The local settings of one host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LocalSettings {
    /// The host's name, for logs.
    pub(crate) host: String,
    /// The UDP address that receives packets from the fabric, one IP packet in each datagram.
    pub(crate) data_address: SocketAddr,
    /// The address for other hosts, over UDP and TCP.
    pub(crate) peer_address: SocketAddr,
    /// The HTTP address of the operators' pages, which should be reachable only locally.
    pub(crate) admin_address: SocketAddr,
    /// The address of the fabric, which distributes callers' packets among the hosts. The host
    /// sends its packets and announcements there.
    pub(crate) fabric_address: SocketAddr,
    /// The name of the failure domain that the host is in.
    pub(crate) failure_domain: String,
    /// The name of the rack that the host is in.
    #[serde(default)]
    pub(crate) rack: String,
    /// The addresses of the platform's store.
    pub(crate) store_addresses: Vec<SocketAddr>,
    /// Peer addresses of hosts to contact before the platform's list of hosts is known.
    #[serde(default)]
    pub(crate) seed_addresses: Vec<SocketAddr>,
    /// The secret that all hosts share: 32 hexadecimal digits.
    pub(crate) peer_key: String,
    /// The rate limit for copying pins to other hosts, in bytes a second.
    #[serde(default = "default_transfer_bytes_per_s")]
    pub(crate) transfer_bytes_per_s: u64,
}

fn default_transfer_bytes_per_s() -> u64 {
    HostConfig::default().transfer_bytes_per_s
}

impl LocalSettings {
    /// Reads and checks the file at `path`.
    pub(crate) fn read(path: &Path) -> Result<LocalSettings> {
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("121: {} cannot be read", path.display()))?;
        let settings: LocalSettings = serde_json::from_str(&text)
            .wrap_err_with(|| format!("122: {} is not valid", path.display()))?;
        settings.key().wrap_err_with(|| format!("123: /peer_key in {}", path.display()))?;
        if settings.failure_domain.is_empty() {
            bail!("124: /failure_domain in {} is empty", path.display());
        }
        Ok(settings)
    }

    /// Converts the settings to the configuration of the `host` crate.
    pub(crate) fn host_config(&self) -> Result<HostConfig> {
        Ok(HostConfig {
            peer_address: self.peer_address,
            domain_seed: name_seed(&self.failure_domain),
            rack_seed: name_seed(&self.rack),
            peer_key: self.key()?,
            incarnation: clock::now_ms(),
            transfer_bytes_per_s: self.transfer_bytes_per_s,
            ..HostConfig::default()
        })
    }

    fn key(&self) -> Result<PeerKey> {
        Ok(PeerKey::parse(&self.peer_key)?)
    }
}
