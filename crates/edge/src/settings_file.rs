//! The settings file of a host with tagged affinity.

use std::{fs, net::SocketAddr, path::Path};

use eyre::{Result, WrapErr, bail};
use serde::Deserialize;
use tagged::{Config, DomainExit, WarmupLimit};
use wire::PeerKey;

/// The factor and the number by which all hosts together may exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExcessSettings {
    /// The factor.
    pub factor: f64,
    /// The number.
    pub slack: u32,
}

/// What it costs to serve a caller from another failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainExitSettings {
    /// The additional time of one round trip, in microseconds.
    pub round_trip_us: u32,
    /// How long a caller may rather wait than have 1,000 bytes cross, in microseconds. 0: bytes cost
    /// nothing; the maximum: flows leave only if no own target can take them.
    pub price_us_per_kb: u32,
}

/// How new flows are placed. Each feature is off unless it is named.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Whether listeners with a more urgent priority go first when a service has too little room.
    pub orders_by_priority: bool,
    /// Whether targets are weighted by how they answer.
    pub weighs_answers: bool,
    /// Limits the openings of cold targets, for services whose settings name a rate, to that rate
    /// with this excess in any second.
    pub warmup_excess: Option<ExcessSettings>,
    /// Decides when flows leave the failure domain by this cost.
    pub domain_exit: Option<DomainExitSettings>,
}

impl PlacementSettings {
    /// The configuration of the dispatcher.
    pub(crate) fn apply_to(&self, config: Config) -> Config {
        Config {
            orders_by_priority: self.orders_by_priority,
            weighs_answers: self.weighs_answers,
            warmup_limit: self.warmup_excess.map(|excess| WarmupLimit {
                overshoot_permille: (excess.factor * 1_000.0) as u32,
                slack: excess.slack,
            }),
            domain_exit: self.domain_exit.map(|exit| DomainExit {
                round_trip_us: exit.round_trip_us,
                price_us_per_kb: exit.price_us_per_kb,
            }),
            ..config
        }
    }
}

/// The settings of one host.
#[derive(Debug, Clone, PartialEq, Deserialize)]
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
    /// How new flows are placed.
    #[serde(default)]
    pub placement: PlacementSettings,
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
        if let Some(excess) = settings.placement.warmup_excess
            && excess.factor < 1.0
        {
            let factor = excess.factor;
            bail!(
                "125: /placement/warmup_excess/factor in {}: {factor} is below 1",
                path.display()
            );
        }
        Ok(settings)
    }

    /// The peer addresses of the seed hosts: their IP addresses with this host's peer port.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let port = self.peer_address.port();
        self.seed_addresses.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}
