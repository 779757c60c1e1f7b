//! Commands that drain a target and put it back into service.

use argh::FromArgs;
use eyre::eyre;
use settings::{TargetState, Tree};

use crate::{Context, edit, exit::Outcome};

/// drain a target: it keeps its open flows and gets no new ones
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the target as SERVICE/UPSTREAM/TARGET
    #[argh(positional)]
    target: String,
    /// wait until the revision is in force on every host named by --admin
    #[argh(switch)]
    wait: bool,
}

/// end the drain of a target: it gets new flows again
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct Undrain {
    /// the target as SERVICE/UPSTREAM/TARGET
    #[argh(positional)]
    target: String,
    /// wait until the revision is in force on every host named by --admin
    #[argh(switch)]
    wait: bool,
}

pub(crate) async fn drain(context: &Context, command: &Drain) -> Outcome {
    set_state(context, &command.target, Some(TargetState::Leaving), command.wait).await
}

pub(crate) async fn undrain(context: &Context, command: &Undrain) -> Outcome {
    set_state(context, &command.target, None, command.wait).await
}

async fn set_state(
    context: &Context,
    path: &str,
    state: Option<TargetState>,
    wait: bool,
) -> Outcome {
    let (base, mut tree) = edit::load_current(context).await?;
    set_policy_state(&mut tree, path, state)
        .ok_or_else(|| eyre!("115: there is no target {path}; expected SERVICE/UPSTREAM/TARGET"))?;
    let verb = if state.is_some() { "drain" } else { "undrain" };
    edit::submit(context, tree, base, &format!("{verb} {path}"), wait).await
}

fn set_policy_state(tree: &mut Tree, path: &str, state: Option<TargetState>) -> Option<()> {
    let mut parts = path.split('/');
    let service = tree.services.get_mut(parts.next()?)?;
    let upstream = service.upstreams.get_mut(parts.next()?)?;
    let target = upstream.targets.get_mut(parts.next()?)?;
    target.policy.state = state;
    Some(())
}
