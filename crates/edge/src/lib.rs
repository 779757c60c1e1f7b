//! Runs a host with tagged affinity, where each packet of a flow carries a tag that identifies its
//! target. This crate has the sockets, clocks and threads; `tagged`, `relay` and `membership` make
//! the decisions without doing I/O.
//!
//! The data thread forwards packets. The control thread owns the control state: membership, the
//! relay, reads of the store, health checks and the HTTP pages. They share one immutable directory
//! and two channels.
//!
//! The trait [`Platform`] hides the protocols of a deployment's platform; this crate does not refer
//! to any platform by name.

mod checks;
mod clock;
mod control;
mod control_thread;
mod data_thread;
mod decision_log;
mod evacuations;
mod pages;
mod platform;
mod reader;
mod rejections;
mod replay;
mod settings_file;
mod shared;

use std::{path::Path, thread};

use eyre::{Result, WrapErr, eyre};
use telemetry::{Event, field};

use crate::{data_thread::DataThread, shared::Shared};
pub use crate::{
    platform::{DecodeError, Decoded, KeyKind, Platform},
    settings_file::{DomainExitSettings, EdgeSettings, ExcessSettings, PlacementSettings},
};

/// Runs a host with the settings read from `path` until a planned stop ends.
///
/// # Errors
///
/// Fails if a socket cannot be opened or a thread ends unexpectedly.
pub fn run<P: Platform>(path: &Path, settings: EdgeSettings) -> Result<()> {
    let signals = control_thread::register_signals()?;
    let shared = Shared::new(settings)?;
    telemetry::emit(
        Event::Started,
        &[
            field("peer_address", shared.settings.peer_address),
            field("host_id", format_args!("{:x}", shared.me.0)),
            field("boot", shared.incarnation),
        ],
    );
    let data = {
        let shared = shared.clone();
        let mut data = DataThread::<P>::new(shared)?;
        thread::Builder::new()
            .name("data".to_owned())
            .spawn(move || data.run())
            .wrap_err("the data thread cannot be started")?
    };
    let result = control_thread::run::<P>(&shared, path, signals);
    shared.request_exit();
    data.join().map_err(|_| eyre!("the data thread failed"))??;
    telemetry::emit(Event::Stopped, &[]);
    result
}
