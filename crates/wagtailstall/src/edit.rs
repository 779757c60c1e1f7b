//! Commands that check and change the settings tree.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use settings::{Blobs, Fault, Tree, check_change, parse};
use smol::Timer;
use store::{Accepted, Edit, Wait, accept, load, read_root};

use crate::{
    Context,
    exit::{Failure, Outcome},
    hosts,
    output::{Format, print_json, print_table},
};

/// How long `--wait` waits for all hosts, in seconds.
const IN_FORCE_TIMEOUT_S: u64 = 30;

/// check a settings tree without writing anything
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the JSON file with the tree
    #[argh(positional)]
    file: PathBuf,
    /// the file is a configuration of the users' platform, not a tree
    #[argh(switch)]
    platform: bool,
}

/// show how a settings tree differs from the one in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the JSON file with the tree
    #[argh(positional)]
    file: PathBuf,
    /// the file is a configuration of the users' platform, which --store names
    #[argh(switch)]
    platform: bool,
}

/// apply a settings tree
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the JSON file with the tree
    #[argh(positional)]
    file: PathBuf,
    /// the revision that the edit is based on; 0 for the first tree
    #[argh(option)]
    base: u64,
    /// the purpose of the edit, listed by `history`
    #[argh(option, default = "String::new()")]
    note: String,
    /// wait until the revision is in force on every host named by --admin
    #[argh(switch)]
    wait: bool,
}

/// apply the tree of an earlier revision as a new revision
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(crate) struct Rollback {
    /// the revision to return to
    #[argh(positional)]
    revision: u64,
    /// wait until the revision is in force on every host named by --admin
    #[argh(switch)]
    wait: bool,
}

pub(crate) fn check(context: &Context, command: &Check) -> Outcome {
    if command.platform {
        read_configuration(&command.file)?;
        match context.format {
            Format::Json => print_json(&json!({})),
            Format::Text => println!("no faults"),
        }
        return Ok(());
    }
    let tree = read_tree(&command.file)?;
    print_advice(&settings::advise(&tree));
    let targets: usize = tree
        .services
        .values()
        .flat_map(|service| service.upstreams.values())
        .map(|upstream| upstream.targets.len())
        .sum();
    match context.format {
        Format::Json => print_json(&json!({ "services": tree.services.len(), "targets": targets })),
        Format::Text => println!("no faults: {} services, {targets} targets", tree.services.len()),
    }
    Ok(())
}

pub(crate) async fn diff(context: &Context, command: &Diff) -> Outcome {
    if command.platform {
        return diff_configuration(context, &command.file).await;
    }
    let new = read_tree(&command.file)?;
    print_advice(&settings::advise(&new));
    let (revision, old) = load_current(context).await?;
    let faults = check_change(&old, &new);
    let changes = diff_leaves(to_value(&old)?, to_value(&new)?);
    print_changes(context, revision, &changes);
    if faults.is_empty() { Ok(()) } else { Err(Failure::InvalidSettings(faults)) }
}

/// Prints how the configuration in `file` differs from the one in force on the users' platform.
async fn diff_configuration(context: &Context, file: &Path) -> Outcome {
    let new = read_configuration(file)?;
    let address = context.platform_store.ok_or_else(|| eyre!("name the store with --store"))?;
    let old = platform::read_configuration(address).await?.unwrap_or_else(|| b"{}".to_vec());
    let old: Value = serde_json::from_slice(&old).wrap_err("102: the configuration in force")?;
    let version = old.get("version").and_then(Value::as_u64).unwrap_or(0);
    print_changes(context, version, &diff_leaves(old, new));
    Ok(())
}

fn print_changes(context: &Context, revision: u64, changes: &Changes) {
    match context.format {
        Format::Json => print_json(&json!({ "base": revision, "changes": changes })),
        Format::Text => {
            println!("against revision {revision}:");
            let rows: Vec<Vec<String>> = changes
                .iter()
                .map(|(path, (old, new))| vec![path.clone(), format_value(old), format_value(new)])
                .collect();
            print_table(&["path", "in force", "new"], &rows);
        }
    }
}

pub(crate) async fn apply(context: &Context, command: &Apply) -> Outcome {
    let tree = read_tree(&command.file)?;
    submit(context, tree, command.base, &command.note, command.wait).await
}

pub(crate) async fn rollback(context: &Context, command: &Rollback) -> Outcome {
    let roots = store::history(&context.store, usize::MAX).await?;
    let base = roots.first().map_or(0, |root| root.revision);
    let root = roots
        .iter()
        .find(|root| root.revision == command.revision)
        .ok_or_else(|| eyre!("303: there is no revision {}", command.revision))?;
    let tree = load(&context.store, root, &mut Blobs::new()).await?;
    let note = format!("rollback to revision {}", command.revision);
    submit(context, tree, base, &note, command.wait).await
}

/// Submits `tree` to the store and prints the accepted revision, after waiting for the hosts if
/// `wait` is set.
pub(crate) async fn submit(
    context: &Context,
    tree: Tree,
    base_revision: u64,
    note: &str,
    wait: bool,
) -> Outcome {
    let started = Instant::now();
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let edit =
        Edit { tree, base_revision, writer_nonce: rand::random(), note: note.to_owned(), now_ms };
    let accepted = accept(&context.store, &edit).await?;
    let in_force_ms = match wait {
        true => Some(wait_until_in_force(context, &accepted, started).await?),
        false => None,
    };
    let revision = accepted.root.revision;
    match (context.format, in_force_ms) {
        (Format::Json, _) => print_json(&json!({
            "revision": revision,
            "store_calls": accepted.store_calls,
            "in_force_ms": in_force_ms,
        })),
        (Format::Text, None) => println!("accepted as revision {revision}"),
        (Format::Text, Some(in_force_ms)) => {
            println!("revision {revision} in force on every host after {in_force_ms} ms");
        }
    }
    Ok(())
}

async fn wait_until_in_force(
    context: &Context,
    accepted: &Accepted,
    started: Instant,
) -> Result<u64, Failure> {
    let mut reported_count = usize::MAX;
    while started.elapsed() < Duration::from_secs(IN_FORCE_TIMEOUT_S) {
        let lagging_hosts = hosts::lagging_hosts(context, accepted.root.revision).await;
        if lagging_hosts.is_empty() {
            return Ok(started.elapsed().as_millis() as u64);
        }
        if lagging_hosts.len() != reported_count && context.format == Format::Text {
            reported_count = lagging_hosts.len();
            eprintln!("waiting for {reported_count} of {} hosts", context.admin.len());
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    let lagging_hosts = hosts::lagging_hosts(context, accepted.root.revision).await;
    let revision = accepted.root.revision;
    Err(eyre!("304: revision {revision} is accepted but not yet in force on {lagging_hosts:?}")
        .into())
}

/// Loads the tree in force and its revision, or an empty tree and 0 if there is none.
pub(crate) async fn load_current(context: &Context) -> Result<(u64, Tree), Failure> {
    let (root, _) = read_root(&context.store, Wait::No).await?;
    let Some(root) = root else { return Ok((0, Tree::default())) };
    let tree = load(&context.store, &root, &mut Blobs::new()).await?;
    Ok((root.revision, tree))
}

fn read_tree(file: &Path) -> Result<Tree, Failure> {
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("121: {} cannot be read", file.display()))?;
    parse(&text).map_err(Failure::InvalidSettings)
}

/// Reads and checks a configuration of the users' platform, and prints advice on it.
fn read_configuration(file: &Path) -> Result<Value, Failure> {
    let text =
        fs::read(file).wrap_err_with(|| format!("121: {} cannot be read", file.display()))?;
    let faults = platform::check_configuration(&text);
    let (advice, errors): (Vec<Fault>, Vec<Fault>) =
        faults.into_iter().partition(|fault| fault.code.is_advice());
    if !errors.is_empty() {
        return Err(Failure::InvalidSettings(errors));
    }
    print_advice(&advice);
    Ok(serde_json::from_slice(&text).wrap_err("101: the file is not JSON")?)
}

fn print_advice(advice: &[Fault]) {
    for fault in advice {
        eprintln!("advice {fault}");
    }
}

fn to_value(tree: &Tree) -> Result<Value, Failure> {
    Ok(serde_json::to_value(tree).wrap_err("the tree cannot be encoded as JSON")?)
}

/// The old and new values of leaves that differ, by JSON pointer.
type Changes = BTreeMap<String, (Value, Value)>;

fn diff_leaves(old: Value, new: Value) -> Changes {
    let mut leaves = Changes::new();
    for (path, value) in flatten(old) {
        leaves.entry(path).or_default().0 = value;
    }
    for (path, value) in flatten(new) {
        leaves.entry(path).or_default().1 = value;
    }
    leaves.retain(|_, (old, new)| old != new);
    leaves
}

/// The leaves of `value`. Entries of a list that have a name go by it, not by their position.
fn flatten(value: Value) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    let mut pending = vec![(String::new(), value)];
    while let Some((path, value)) = pending.pop() {
        match value {
            Value::Object(fields) => {
                pending.extend(
                    fields.into_iter().map(|(name, value)| (format!("{path}/{name}"), value)),
                );
            }
            Value::Array(entries) if entries.iter().all(|entry| entry["name"].is_string()) => {
                pending.extend(entries.into_iter().map(|entry| {
                    let name = entry["name"].as_str().unwrap_or_default();
                    (format!("{path}/{name}"), entry)
                }));
            }
            leaf => {
                leaves.insert(path, leaf);
            }
        }
    }
    leaves
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}
