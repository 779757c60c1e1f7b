//! The command-line tool of the operators.
//!
//! It connects to the platform's store to read and edit settings, and to the hosts' admin pages to
//! read their state and stop them. It never connects to the hosts' peer ports.

mod edit;
mod exit;
mod hosts;
mod inspect;
mod output;
mod target;

use std::{net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use store::ConsulClient;

use crate::exit::{Failure, Outcome};

/// Operates a wagtailstall deployment: edits its settings tree and shows its state.
#[derive(Debug, FromArgs)]
#[argh(
    example = "wagtailstall check examples/agency.json",
    example = "wagtailstall --store 127.0.0.1:8500 apply tree.json --base 7 --note 'more targets'",
    example = "wagtailstall --store 127.0.0.1:8500 drain valuations/rabat-1/t03",
    example = "wagtailstall --admin 127.0.0.1:9101 --admin 127.0.0.1:9102 status",
    error_code(1, "the command failed"),
    error_code(2, "the arguments are invalid"),
    error_code(3, "the settings have faults; nothing was written"),
    error_code(4, "the edit conflicts with a newer revision"),
    error_code(5, "the store is unreachable or returned an error")
)]
struct Arguments {
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
    /// admin address of a host; may be repeated
    #[argh(option)]
    admin: Vec<SocketAddr>,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(edit::Check),
    Schema(inspect::Schema),
    Diff(edit::Diff),
    Apply(edit::Apply),
    Get(inspect::Get),
    Explain(inspect::Explain),
    History(inspect::History),
    Rollback(edit::Rollback),
    Drain(target::Drain),
    Undrain(target::Undrain),
    Status(hosts::Status),
    Flows(hosts::Flows),
    StopHost(hosts::StopHost),
}

/// The addresses and the output format that all commands share.
#[derive(Debug)]
struct Context {
    store: ConsulClient,
    /// The address of the users' platform's store, which has a protocol of its own.
    platform_store: Option<SocketAddr>,
    admin: Vec<SocketAddr>,
    format: output::Format,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let format = if arguments.json { output::Format::Json } else { output::Format::Text };
    let context = Context {
        store: ConsulClient::new(&arguments.store),
        platform_store: arguments.store.first().copied(),
        admin: arguments.admin,
        format,
    };
    match smol::block_on(run(&context, arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

async fn run(context: &Context, command: Command) -> Outcome {
    match command {
        Command::Check(command) => edit::check(context, &command),
        Command::Schema(command) => inspect::schema(&command),
        Command::Diff(command) => edit::diff(context, &command).await,
        Command::Apply(command) => edit::apply(context, &command).await,
        Command::Get(command) => inspect::get(context, &command).await,
        Command::Explain(command) => inspect::explain(context, &command).await,
        Command::History(command) => inspect::history(context, &command).await,
        Command::Rollback(command) => edit::rollback(context, &command).await,
        Command::Drain(command) => target::drain(context, &command).await,
        Command::Undrain(command) => target::undrain(context, &command).await,
        Command::Status(command) => hosts::status(context, &command).await,
        Command::Flows(command) => hosts::flows(context, &command).await,
        Command::StopHost(command) => hosts::stop(context, &command).await,
    }
}

impl From<store::Rejection> for Failure {
    fn from(rejection: store::Rejection) -> Failure {
        Failure::Rejected(rejection)
    }
}
