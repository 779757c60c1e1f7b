//! Development tasks: demonstration, tests, measures, proofs, soak runs and code generation. Not
//! shipped.

mod codegen;
mod demo;
mod measure;
mod outcome;
mod processes;
mod prove;
mod soak;
mod sockets;
mod test;
mod testbed;

use std::process::ExitCode;

use argh::FromArgs;
use eyre::Result;

/// Development tasks of the wagtailstall project.
#[derive(Debug, FromArgs)]
#[argh(example = "cargo xtask demo --seed 7", example = "cargo xtask test")]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Task {
    Demo(demo::Options),
    Test(test::Options),
    Codegen(codegen::Options),
    Measure(measure::Options),
    Prove(prove::Options),
    Soak(soak::Options),
    Sockets(sockets::Options),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments.task) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(task: &Task) -> Result<()> {
    match task {
        Task::Demo(options) => demo::run(options),
        Task::Test(options) => test::run(options),
        Task::Codegen(options) => codegen::run(options),
        Task::Measure(options) => measure::run(options),
        Task::Prove(options) => prove::run(options),
        Task::Soak(options) => soak::run(options),
        Task::Sockets(options) => sockets::run(options),
    }
}
