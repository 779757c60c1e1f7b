//! Runs one stand-in as a process.

use argh::FromArgs;
use eyre::Result;
use stand_ins::{caller, fabric, platform, upstream};

/// Stand-ins for the environment of wagtailstall, for demonstrations and tests.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(platform::Options),
    Fabric(fabric::Options),
    Upstream(upstream::Options),
    Caller(caller::Options),
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Platform(options) => platform::run(&options),
        Command::Fabric(options) => fabric::run(&options),
        Command::Upstream(options) => upstream::run(&options),
        Command::Caller(options) => caller::run(&options),
    }
}
