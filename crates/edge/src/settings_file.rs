//! The settings file of a host with tagged affinity.

use std::{fs, net::SocketAddr, path::Path};

use eyre::{Result, WrapErr, bail};
use serde::Deserialize;
use wire::PeerKey;

/// The settings of one host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgeSettings {
    /// The host's name, for logs.
    pub host: String,
    /// The UDP address that receives callers' packets.
    pub data_address: SocketAddr,
    /// The HTTP address at which the platform polls readiness.
    pub ready_address: SocketAddr,
    /// The UDP address for messages from other hosts.
    pub peer_address: SocketAddr,
    /// The HTTP address of the operators' pages.
    pub admin_address: SocketAddr,
    /// The name of the failure domain that the host is in.
    pub failure_domain: String,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// Hosts to contact first. Only the IP addresses are used; all hosts have the same peer port.
    pub seed_addresses: Vec<SocketAddr>,
    /// The secret that all hosts share: 32 hexadecimal digits.
    pub peer_key: String,
}

impl EdgeSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a field is not valid; the error names the field.
    pub fn read(path: &Path) -> Result<EdgeSettings> {
        let text = fs::read_to_string(path)
            .wrap_err_with(|| format!("121: {} cannot be read", path.display()))?;
        let settings: EdgeSettings = serde_json::from_str(&text)
            .wrap_err_with(|| format!("122: {} is not valid", path.display()))?;
        PeerKey::parse(&settings.peer_key)
            .wrap_err_with(|| format!("123: /peer_key in {}", path.display()))?;
        if settings.failure_domain.is_empty() {
            bail!("124: /failure_domain in {} is empty", path.display());
        }
        Ok(settings)
    }

    /// The peer addresses of the seed hosts: their IP addresses with this host's peer port.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let port = self.peer_address.port();
        self.seed_addresses.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}
