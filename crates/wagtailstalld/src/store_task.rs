//! Reads settings and the list of hosts from the platform's store.
//!
//! Two hosts of each failure domain, the watchers, hold a blocking read. All others learn of
//! changes from their peers and poll the root record at long intervals, in case they missed one.

use std::{net::SocketAddr, time::Duration};

use membership::MemberState;
use rand::RngExt;
use routing::{HostId, score};
use settings::Blobs;
use smol::Timer;
use store::{PlatformClient, Rejection, StoreError, Wait, load, read_root};
use telemetry::{Event, field};

use crate::control_thread::State;

/// How many hosts of a failure domain hold a blocking read.
const WATCHERS_PER_DOMAIN: usize = 2;

/// The hash seed for the choice of watchers.
const WATCHER_SEED: u64 = 0x7761_7463_6865_7273;

/// The timeout of a blocking read.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which other hosts read the root record, in milliseconds, plus up to as much
/// again as jitter.
const POLL_INTERVAL_MS: u64 = 30_000;

/// The interval at which a host without settings reads the root record, in milliseconds.
const STARTUP_POLL_INTERVAL_MS: u64 = 300;

/// The delay before a failed call is retried, in milliseconds, plus up to as much again as jitter.
const RETRY_DELAY_MS: u64 = 1_000;

/// The interval at which the list of hosts is read, in milliseconds, plus up to as much again as
/// jitter.
const LIST_INTERVAL_MS: u64 = 15_000;

/// The service name under which the platform lists hosts.
const HOST_SERVICE_NAME: &str = "wagtailstall";

/// Reads the settings and applies each newer revision.
pub(crate) async fn follow_settings(state: State) {
    let client = PlatformClient::new(&state.shared.settings.store_addresses);
    let mut index = 0;
    let mut is_available = true;
    loop {
        let is_watcher = is_watcher(&state);
        let wait = if is_watcher && index > 0 {
            Wait::ForChange { index, timeout: WATCH_TIMEOUT }
        } else {
            Wait::No
        };
        match read_settings_once(&state, &client, wait).await {
            Ok(next_index) => {
                log_availability(&mut is_available, None);
                index = next_index;
                pause(&state, is_watcher).await;
            }
            Err(rejection) => {
                log_availability(&mut is_available, Some(&rejection));
                index = 0;
                Timer::after(with_jitter(RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn read_settings_once(
    state: &State,
    client: &PlatformClient,
    wait: Wait,
) -> Result<u64, Rejection> {
    let (root, index) = read_root(client, wait).await?;
    let Some(root) = root else { return Ok(index) };
    if root.revision < state.revision() {
        let current_revision = state.revision();
        telemetry::emit(
            Event::StoreBehind,
            &[field("store_revision", root.revision), field("revision", current_revision)],
        );
        return Ok(index);
    }
    if root.revision > state.revision() {
        let mut blobs: Blobs = state.current_settings().blobs.clone();
        let tree = load(client, &root, &mut blobs).await?;
        state.apply_settings(root, &tree, blobs);
    }
    Ok(index)
}

/// Reads the platform's list of hosts, whose addresses serve only as seeds for membership.
pub(crate) async fn list_hosts(state: State) {
    let client = PlatformClient::new(&state.shared.settings.store_addresses);
    loop {
        // The list is long, so only watchers read it; other hosts learn of members by gossip.
        let is_needed = is_watcher(&state) || has_no_peers(&state);
        if is_needed && let Ok(hosts) = client.service_hosts(HOST_SERVICE_NAME).await {
            let seeds: Vec<SocketAddr> = hosts
                .iter()
                .map(|host| SocketAddr::new(host.service_address, host.service_port))
                .collect();
            state.set_seeds(&seeds);
        }
        let pause_ms = if has_no_peers(&state) { RETRY_DELAY_MS } else { LIST_INTERVAL_MS };
        Timer::after(with_jitter(pause_ms)).await;
    }
}

fn has_no_peers(state: &State) -> bool {
    state.read_control(|control| control.members().entries(MemberState::is_alive).len() <= 1)
}

async fn pause(state: &State, was_watcher: bool) {
    if state.revision() == 0 {
        Timer::after(Duration::from_millis(STARTUP_POLL_INTERVAL_MS)).await;
        return;
    }
    if !was_watcher {
        // The host may become a watcher meanwhile, so it sleeps in short steps.
        let pause = with_jitter(POLL_INTERVAL_MS);
        let mut waited = Duration::ZERO;
        while waited < pause && !is_watcher(state) {
            Timer::after(Duration::from_millis(RETRY_DELAY_MS)).await;
            waited += Duration::from_millis(RETRY_DELAY_MS);
        }
    }
}

fn is_watcher(state: &State) -> bool {
    let me = state.shared.config.id();
    let domain_seed = state.shared.config.domain_seed;
    state.read_control(|control| {
        let mut hosts: Vec<HostId> = control
            .members()
            .entries(MemberState::is_alive)
            .iter()
            .filter(|host| host.domain_seed == domain_seed)
            .map(|host| host.id)
            .collect();
        hosts.sort_by_key(|host| score(WATCHER_SEED, host.0));
        hosts.iter().rev().take(WATCHERS_PER_DOMAIN).any(|host| *host == me)
    })
}

fn log_availability(is_available: &mut bool, failure: Option<&Rejection>) {
    match failure {
        Some(Rejection::Store(error)) if *is_available => {
            let error: &StoreError = error;
            telemetry::emit(Event::StoreUnavailable, &[field("cause", error)]);
            *is_available = false;
        }
        Some(Rejection::Store(_)) => {}
        Some(rejection) => {
            telemetry::emit(Event::SettingsRejected, &[field("cause", rejection)]);
        }
        None if !*is_available => {
            telemetry::emit(Event::StoreAvailable, &[]);
            *is_available = true;
        }
        None => {}
    }
}

fn with_jitter(base_ms: u64) -> Duration {
    let jitter_ms = rand::rng().random_range(0..base_ms);
    Duration::from_millis(base_ms + jitter_ms)
}
