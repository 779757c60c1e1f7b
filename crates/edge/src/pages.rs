//! The HTTP pages: readiness for the platform; metrics, status and flows for operators.

use std::{convert::Infallible, net::SocketAddr, sync::atomic::Ordering};

use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn};
use serde_json::{Value, json};
use smol::{
    channel::bounded,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::FuturesIo;
use tagged::{Counters, FlowKey};

use crate::{Platform, clock, control_thread::State, evacuations, shared::Command};

/// Listens on `address`, which the setting `name` gives.
pub(crate) async fn listen(name: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("131: /{name}: {address} cannot be bound"))
}

/// Serves the pages on `listener`.
pub(crate) async fn serve<P: Platform>(state: State, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let connection = serve_connection::<P>(state.clone(), stream);
        state.spawn(connection);
    }
}

async fn serve_connection<P: Platform>(state: State, stream: TcpStream) {
    let service = service_fn(|request| answer::<P>(&state, request));
    // An error only means that the client has closed the connection.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn answer<P: Platform>(
    state: &State,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    Ok(match path {
        path if path == P::READY_PATH => {
            let status = match state.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            respond(status, String::new())
        }
        "/metrics" => match state.shared.metrics.render() {
            Ok(text) => respond(StatusCode::OK, text),
            Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, format!("{error:#}\n")),
        },
        "/status" => respond(StatusCode::OK, status(state).to_string()),
        "/flows" => flows(state, request.uri().query().unwrap_or("")).await,
        path => {
            let ready = P::READY_PATH;
            let text =
                format!("no page {path}; the pages are {ready}, /metrics, /status, /flows\n");
            respond(StatusCode::NOT_FOUND, text)
        }
    })
}

fn status(state: &State) -> Value {
    let shared = &state.shared;
    let now_ms = clock::now_ms();
    let traffic = shared.status.lock().map(|status| *status).unwrap_or_default();
    let counters: serde_json::Map<String, Value> = Counters::NAMES
        .iter()
        .map(|(counter, name)| ((*name).to_owned(), traffic.counters.get(*counter).into()))
        .collect();
    state.with_core(|core| {
        let relay = core.relay();
        let members: Vec<Value> = core
            .members()
            .members()
            .map(|member| {
                json!({
                    "host_id": format!("{:016x}", member.id.0),
                    "peer_address": member.address,
                    "state": format!("{:?}", member.state),
                })
            })
            .collect();
        let domains: Vec<u64> = core.members().members().map(|member| member.domain_seed).collect();
        let evacuations = state.report_evacuations(&domains, now_ms);
        json!({
            "host": shared.settings.host,
            "host_id": format!("{:016x}", shared.me.0),
            "failure_domain": shared.settings.failure_domain,
            "ready": state.is_ready(),
            "role": format!("{:?}", relay.role()),
            "era": relay.catalog().revision().era,
            "revision": relay.catalog().revision().number,
            "settings_version": relay.catalog().settings_version(),
            "view_age_ms": relay.confirmed_at_ms().map(|at_ms| now_ms.saturating_sub(at_ms)),
            "rows": relay.catalog().rows().len(),
            "flows": traffic.flows,
            "targets_set_aside": traffic.speeds.set_aside,
            "slowest_relative_speed": traffic.speeds.slowest_relative,
            "counters": counters,
            "members": members,
            "evacuations": evacuations,
        })
    })
}

/// Reports what this host knows of a flow: the target of its packets and the target's standing.
async fn flows(state: &State, query: &str) -> Response<Full<Bytes>> {
    let Some(key) = parse_key(query) else {
        let text = "use /flows?caller=IP:PORT&service=IP:PORT\n".to_owned();
        return respond(StatusCode::BAD_REQUEST, text);
    };
    let (answer, answer_receiver) = bounded(1);
    let is_sent = state.shared.commands.0.try_send(Command::Explain(key, answer)).is_ok();
    state.shared.wake_data_thread();
    let report = if is_sent { answer_receiver.recv().await.ok().flatten() } else { None };
    let directory = state.shared.directory.load_full();
    let is_listener =
        directory.as_ref().is_some_and(|entries| entries.find_listener(key.listener).is_some());
    let target = report.and_then(|report| {
        let entries = directory.as_ref()?;
        let index = entries.find_target(report.target)?;
        let target = entries.target(index);
        Some(json!({
            "id": format!("{:x}", target.id.0),
            "address": target.address,
            "presence": format!("{:?}", entries.presence(index)),
            "stage": format!("{:?}", target.stage),
            "standing": format!("{:?}", report.standing),
        }))
    });
    let body = json!({
        "listener": is_listener,
        "known": report.is_some(),
        "target": target,
        "silence_ms": report.map(|report| report.silence_ms),
        "request_under_way": report.map(|report| report.is_busy),
        "repeats": report.map(|report| report.repeats),
    });
    respond(StatusCode::OK, body.to_string())
}

fn parse_key(query: &str) -> Option<FlowKey> {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name)?.1.parse().ok()
    };
    Some(FlowKey { caller: value("caller")?, listener: value("service")? })
}

/// Registers the data thread's counters as metrics.
pub(crate) fn register_counters(state: &State) {
    for (counter, name) in Counters::NAMES {
        let status = state.shared.status.clone();
        state.shared.metrics.observe(name, move || {
            let value = status.lock().map_or(0, |status| status.counters.get(counter));
            vec![(value, Vec::new())]
        });
    }
    let sent = [
        ("row_bytes_sent", &state.shared.row_bytes_sent),
        ("row_pulls_sent", &state.shared.pulls_sent),
        ("entries_rejected", &state.shared.entries_rejected),
    ];
    for (name, count) in sent {
        let count = count.clone();
        let read_count = move || vec![(count.load(Ordering::Relaxed), Vec::new())];
        state.shared.metrics.observe(name, read_count);
    }
    let shared = state.shared.clone();
    let read_evacuations = move || evacuations::count(&shared);
    state.shared.metrics.observe_level("evacuations_in_force", read_evacuations);
    let lines_dropped = || vec![(telemetry::lines_dropped(), Vec::new())];
    state.shared.metrics.observe("log_lines_dropped", lines_dropped);
    register_reason_counters(state, "flows_reset", Counters::resets);
    register_reason_counters(state, "packets_dropped", Counters::drops);
    register_held_openings(state);
}

fn register_held_openings(state: &State) {
    let status = state.shared.status.clone();
    state.shared.metrics.observe("openings_held", move || {
        let Ok(status) = status.lock() else { return Vec::new() };
        let held = (0..).zip(status.counters.held());
        held.map(|(priority, count)| (*count, vec![telemetry::Label::new("priority", priority)]))
            .collect()
    });
}

fn register_reason_counters(
    state: &State,
    name: &'static str,
    read: fn(&Counters, tagged::Reason) -> u64,
) {
    let status = state.shared.status.clone();
    state.shared.metrics.observe(name, move || {
        let Ok(status) = status.lock() else { return Vec::new() };
        tagged::Reason::ALL
            .iter()
            .map(|reason| {
                let label = telemetry::Label::new("reason", i64::from(reason.code()));
                (read(&status.counters, *reason), vec![label])
            })
            .collect()
    });
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
