//! Commands that show the settings tree and its history.

use argh::FromArgs;
use eyre::WrapErr;
use serde_json::{Map, json};

use crate::{
    Context, edit,
    exit::{Failure, Outcome},
    output::{Format, print_json, print_table},
};

/// print the JSON Schema of the settings tree
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct Schema {}

/// print the settings tree in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {}

/// show the effective values at a node and where each one is set
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the node, for example /services/valuations/listeners/boards
    #[argh(positional)]
    path: String,
}

/// list the accepted revisions, newest first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// the maximum number of revisions
    #[argh(option, default = "20")]
    limit: usize,
}

pub(crate) fn schema(_command: &Schema) -> Outcome {
    let text = serde_json::to_string_pretty(&settings::schema())
        .wrap_err("the schema cannot be encoded as JSON")?;
    println!("{text}");
    Ok(())
}

pub(crate) async fn get(context: &Context, _command: &Get) -> Outcome {
    let (revision, tree) = edit::load_current(context).await?;
    if context.format == Format::Text {
        eprintln!("revision {revision}");
    }
    let text =
        serde_json::to_string_pretty(&tree).wrap_err("the tree cannot be encoded as JSON")?;
    println!("{text}");
    Ok(())
}

pub(crate) async fn explain(context: &Context, command: &Explain) -> Outcome {
    let (_, tree) = edit::load_current(context).await?;
    let explained = settings::explain(&tree, &command.path)
        .map_err(|fault| Failure::InvalidSettings(vec![fault]))?;
    match context.format {
        Format::Json => {
            let fields: Map<_, _> = explained
                .into_iter()
                .map(|(field, explained)| {
                    (field, json!({ "value": explained.value, "origin": explained.origin }))
                })
                .collect();
            print_json(&fields.into());
        }
        Format::Text => {
            let rows: Vec<Vec<String>> = explained
                .into_iter()
                .map(|(field, explained)| {
                    vec![field, explained.value.to_string(), explained.origin]
                })
                .collect();
            print_table(&["field", "value", "set at"], &rows);
        }
    }
    Ok(())
}

pub(crate) async fn history(context: &Context, command: &History) -> Outcome {
    let roots = store::history(&context.store, command.limit).await?;
    if context.format == Format::Json {
        let rows: Vec<_> = roots
            .iter()
            .map(|root| {
                json!({
                    "revision": root.revision,
                    "accepted_at_ms": root.accepted_at_ms,
                    "note": root.note,
                })
            })
            .collect();
        print_json(&json!(rows));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = roots
        .iter()
        .map(|root| {
            let at = root.accepted_at_ms.to_string();
            vec![root.revision.to_string(), at, root.note.clone()]
        })
        .collect();
    print_table(&["revision", "accepted_at_ms", "note"], &rows);
    Ok(())
}
