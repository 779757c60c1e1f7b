//! Regenerates the Cap'n Proto code. Needs the `capnp` compiler and the `capnpc-rust` plugin.

use std::process::Command;

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};

/// regenerate the committed Cap'n Proto code
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "codegen")]
pub(crate) struct Options {}

/// Runs the Cap'n Proto compiler.
pub(crate) fn run(_options: &Options) -> Result<()> {
    let status = Command::new("capnp")
        .args(["compile", "-orust:src/generated", "--src-prefix=schema", "schema/peer.capnp"])
        .current_dir("crates/wire")
        .status()
        .wrap_err("capnp is not installed (Debian: capnproto; cargo install capnpc)")?;
    ensure!(status.success(), "capnp failed");
    Ok(())
}
