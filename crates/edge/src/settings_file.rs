//! The file that tells a host who it is.

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
    /// Where callers' packets arrive.
    pub data_address: SocketAddr,
    /// Where the platform asks whether the host takes packets.
    pub ready_address: SocketAddr,
    /// Where other hosts send to, over UDP.
    pub peer_address: SocketAddr,
    /// The address of the operators' pages.
    pub admin_address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// Addresses of hosts to ask first. Only their IP addresses count: all hosts have one peer port.
    pub seed_addresses: Vec<SocketAddr>,
    /// The secret that all hosts share: 32 hexadecimal digits.
    pub peer_key: String,
}

impl EdgeSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Says which field is wrong and why.
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

    /// The peer addresses of the hosts to ask first.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let port = self.peer_address.port();
        self.seed_addresses.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}
