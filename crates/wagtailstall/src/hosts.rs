//! Commands that query hosts through their admin pages.

use std::{net::SocketAddr, time::Duration};

use argh::FromArgs;
use eyre::{WrapErr, eyre};
use serde_json::Value;
use store::{get_text, post_text};

use crate::{
    Context,
    exit::{Failure, Outcome},
    output::{Format, print_json, print_table},
};

/// The timeout of a request to an admin page.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// show the state of the hosts named by --admin
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// start a planned stop of the hosts named by --admin: they hand over and exit
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stop-host")]
pub(crate) struct StopHost {}

/// show how each host named by --admin routes a flow, and to which target
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "flows")]
pub(crate) struct Flows {
    /// the caller's address and port
    #[argh(positional)]
    caller: SocketAddr,
    /// the service address and port
    #[argh(positional)]
    service: SocketAddr,
    /// the transport protocol, tcp or udp
    #[argh(option, default = "String::from(\"tcp\")")]
    protocol: String,
}

pub(crate) async fn status(context: &Context, _command: &Status) -> Outcome {
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for admin in admin_addresses(context)? {
        match get_json(*admin, "/status").await {
            Ok(status) => {
                rows.push(status_row(*admin, &status));
                values.push(status);
            }
            Err(error) => rows.push(vec![admin.to_string(), format!("no answer: {error:#}")]),
        }
    }
    match context.format {
        Format::Json => print_json(&Value::Array(values)),
        Format::Text => print_table(
            &[
                "admin",
                "host",
                "failure domain",
                "stage",
                "revision",
                "flows",
                "waiting",
                "view age",
                "evacuated",
            ],
            &rows,
        ),
    }
    Ok(())
}

pub(crate) async fn stop(context: &Context, _command: &StopHost) -> Outcome {
    for admin in admin_addresses(context)? {
        let (status, text) = post_text(*admin, "/stop", RESPONSE_TIMEOUT).await?;
        if status != 202 {
            return Err(eyre!("{admin} answered {status}: {}", text.trim()).into());
        }
        if context.format == Format::Text {
            println!("{admin} is handing over and will exit");
        }
    }
    Ok(())
}

pub(crate) async fn flows(context: &Context, command: &Flows) -> Outcome {
    let path = format!(
        "/flows?protocol={}&caller={}&service={}",
        command.protocol, command.caller, command.service
    );
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for admin in admin_addresses(context)? {
        let report = get_json(*admin, &path).await?;
        let format_field = |name: &str| match &report[name] {
            Value::String(text) => text.clone(),
            Value::Null => "-".to_owned(),
            value => value.to_string(),
        };
        if report.get("known").is_some() {
            rows.push(tagged_flow_row(*admin, &report));
            values.push(report);
            continue;
        }
        rows.push(vec![
            admin.to_string(),
            format_field("bucket"),
            format_field("home"),
            format_field("backup"),
            format_field("target"),
            format_field("state"),
        ]);
        values.push(report);
    }
    match context.format {
        Format::Json => print_json(&Value::Array(values)),
        Format::Text => {
            print_table(&["admin", "bucket", "home", "backup", "pinned to", "state"], &rows);
        }
    }
    Ok(())
}

/// Builds the row of [`flows`] for a host with tagged affinity, where no host owns a flow.
fn tagged_flow_row(admin: SocketAddr, report: &Value) -> Vec<String> {
    let target = &report["target"];
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    };
    let dash = || "-".to_owned();
    let state = match report["known"].as_bool() {
        Some(true) => format!("{}, {}", text(&target["standing"]), text(&target["presence"])),
        _ => "no recent packet on this host".to_owned(),
    };
    vec![admin.to_string(), dash(), dash(), dash(), text(&target["address"]), state]
}

/// Returns the hosts that answer and are not yet at `revision`. A host that does not answer is
/// presumed down and left out, so that `--wait` does not wait for it.
pub(crate) async fn lagging_hosts(context: &Context, revision: u64) -> Vec<SocketAddr> {
    let mut lagging_hosts = Vec::new();
    for admin in &context.admin {
        let Ok(status) = get_json(*admin, "/status").await else { continue };
        if status["revision"].as_u64().unwrap_or(0) < revision {
            lagging_hosts.push(*admin);
        }
    }
    lagging_hosts
}

fn admin_addresses(context: &Context) -> Result<&[SocketAddr], Failure> {
    if context.admin.is_empty() {
        return Err(eyre!("no host is named; expected at least one --admin IP:PORT").into());
    }
    Ok(&context.admin)
}

async fn get_json(admin: SocketAddr, path: &str) -> eyre::Result<Value> {
    let (status, text) = get_text(admin, path, RESPONSE_TIMEOUT).await?;
    if status != 200 {
        return Err(eyre!("{admin} answered {status}: {}", text.trim()));
    }
    serde_json::from_str(&text).wrap_err_with(|| format!("the answer of {admin} is not valid JSON"))
}

fn status_row(admin: SocketAddr, status: &Value) -> Vec<String> {
    // Hosts with tagged affinity report a role instead of a stage and flows instead of pins.
    let format_field = |names: &[&str]| {
        let value = names.iter().map(|name| &status[*name]).find(|value| !value.is_null());
        match value {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "-".to_owned(),
        }
    };
    vec![
        admin.to_string(),
        format_field(&["host"]),
        format_field(&["failure_domain"]),
        format_field(&["stage", "role"]),
        format_field(&["revision"]),
        format_field(&["pins", "flows"]),
        format_field(&["waiting"]),
        format_field(&["view_age_ms"]),
        format_evacuations(&status["evacuations"]),
    ]
}

/// The evacuated failure domains, and for how many seconds the host has known of each.
fn format_evacuations(evacuations: &Value) -> String {
    let format = |evacuation: &Value| {
        let domain = evacuation["domain"].as_str().unwrap_or("-");
        let since_s = evacuation["in_force_ms"].as_u64().unwrap_or(0) / 1_000;
        let note = if evacuation["known"] == false { ", unknown" } else { "" };
        format!("{domain} ({since_s} s{note})")
    };
    let evacuations: Vec<String> =
        evacuations.as_array().into_iter().flatten().map(format).collect();
    if evacuations.is_empty() { "-".to_owned() } else { evacuations.join(", ") }
}
