//! The host daemon. With pinned affinity, where hosts remember the target of each flow, it runs the
//! `host` crate, which decides without doing I/O, with the sockets, clocks and threads of this
//! crate. With tagged affinity, where the packets carry a tag that identifies the target, it runs
//! `edge`.
//!
//! With pinned affinity, the traffic thread forwards packets. The control thread owns the control
//! state: membership, settings, reads of the store, the RPC server for peers and the operators'
//! pages. They share one immutable view and two channels.

mod admin;
mod announce;
mod clock;
mod control_thread;
mod local_settings;
mod peer_rpc;
mod shared;
mod store_task;
mod traffic_thread;

use std::{path::PathBuf, process::ExitCode, str::FromStr, thread};

use argh::FromArgs;
use edge::EdgeSettings;
use eyre::{WrapErr, eyre};
use log::LevelFilter;

use crate::{local_settings::LocalSettings, shared::Shared};

/// wagtailstalld, the host daemon of the wagtailstall load balancer.
///
/// SIGTERM and SIGINT start a planned stop: the host hands its flows over and exits with 0. SIGHUP
/// is ignored, since settings are followed all the time.
#[derive(Debug, FromArgs)]
#[argh(
    example = "wagtailstalld --settings /etc/wagtailstall/host.json",
    example = "wagtailstalld --settings host.json --check"
)]
struct Arguments {
    /// the JSON file with this host's addresses, failure domain and rack
    #[argh(option)]
    settings: PathBuf,
    /// only check the file and print what is in it
    #[argh(switch)]
    check: bool,
    /// what carries a flow's target: pinned (the hosts remember it) or tagged (the packets name it,
    /// on the users' platform)
    #[argh(option, default = "Affinity::Pinned")]
    affinity: Affinity,
    /// how much to log: error, warn, info, debug or trace
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

/// What ties a flow to its target: pins on the hosts or tags in the packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Affinity {
    Pinned,
    Tagged,
}

impl FromStr for Affinity {
    type Err = String;

    fn from_str(text: &str) -> Result<Affinity, String> {
        match text {
            "pinned" => Ok(Affinity::Pinned),
            "tagged" => Ok(Affinity::Tagged),
            other => Err(format!("'{other}' is neither pinned nor tagged")),
        }
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            telemetry::print_error(format!("wagtailstalld: {error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    match arguments.affinity {
        Affinity::Pinned => run_pinned(arguments),
        Affinity::Tagged => run_tagged(arguments),
    }
}

fn run_tagged(arguments: &Arguments) -> eyre::Result<()> {
    let settings = EdgeSettings::read(&arguments.settings)?;
    if arguments.check {
        println!("{settings:#?}");
        return Ok(());
    }
    let _log = telemetry::init(&settings.host, arguments.log_level)?;
    edge::run::<platform::Platform>(&arguments.settings, settings)
}

fn run_pinned(arguments: &Arguments) -> eyre::Result<()> {
    let settings = LocalSettings::read(&arguments.settings)?;
    if arguments.check {
        println!("{settings:#?}");
        return Ok(());
    }
    let _log = telemetry::init(&settings.host, arguments.log_level)?;
    let shared = Shared::new(settings)?;
    let traffic = {
        let shared = shared.clone();
        thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || traffic_thread::run(&shared))
            .wrap_err("the traffic thread cannot be started")?
    };
    let result = control_thread::run(&shared);
    shared.request_exit();
    traffic.join().map_err(|_| eyre!("the traffic thread failed"))??;
    result
}
