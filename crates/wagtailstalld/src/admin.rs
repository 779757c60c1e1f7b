//! The operators' HTTP pages: readiness, status, metrics, flows, and a request for a planned stop.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use eyre::{Result, WrapErr};
use flow::{DropReason, FlowKey, Protocol};
use host::{Counters, Stage};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn,
};
use serde_json::{Value, json};
use smol::{
    LocalExecutor,
    channel::bounded,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::FuturesIo;
use telemetry::Label;

use crate::{
    control_thread::State,
    shared::{FlowQuery, Shared},
};

/// Listens on the admin address. The returned future serves connections.
pub(crate) async fn listen(state: &State) -> Result<impl Future<Output = ()> + use<>> {
    let address = state.shared.settings.admin_address;
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("131: /admin_address: {address} cannot be bound"))?;
    register_counters(&state.shared);
    let state = state.clone();
    Ok(async move {
        let executor = LocalExecutor::new();
        executor
            .run(async {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    executor.spawn(serve(stream, state.clone())).detach();
                }
            })
            .await
    })
}

async fn serve(stream: TcpStream, state: State) {
    let service = service_fn(|request| answer(&state, request));
    // An error only means that the client has closed the connection.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

async fn answer(
    state: &State,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let response = match request.uri().path() {
        "/ready" => ready(state),
        "/status" => respond(StatusCode::OK, "application/json", status(state).to_string()),
        "/metrics" => match state.shared.metrics.render() {
            Ok(text) => respond(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", format!("{error:#}"))
            }
        },
        "/stop" if request.method() == Method::POST => {
            state.begin_stop();
            respond(StatusCode::ACCEPTED, "text/plain", "stopping\n".to_owned())
        }
        "/flows" => flows(state, request.uri().query().unwrap_or("")).await,
        path => {
            let text = format!(
                "no page {path}; the pages are /ready, /status, /metrics, /flows and POST /stop"
            );
            respond(StatusCode::NOT_FOUND, "text/plain", text)
        }
    };
    Ok(response)
}

fn ready(state: &State) -> Response<Full<Bytes>> {
    let status = match state.stage() {
        Stage::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    respond(status, "text/plain", format!("{:?}\n", state.stage()))
}

fn status(state: &State) -> Value {
    let shared = &state.shared;
    let members: Vec<Value> = state.read_control(|control| {
        control
            .members()
            .members()
            .map(|member| {
                json!({
                    "host_id": format!("{:016x}", member.id.0),
                    "peer_address": member.address,
                    "state": format!("{:?}", member.state),
                    "incarnation": member.incarnation,
                })
            })
            .collect()
    });
    let Ok(traffic) = shared.status.lock() else { return Value::Null };
    let usage: Vec<Value> = traffic
        .usage
        .iter()
        .map(|(target, usage)| {
            json!({ "target": target, "requests": usage.requests, "flows": usage.flows })
        })
        .collect();
    json!({
        "host": shared.settings.host,
        "host_id": format!("{:016x}", shared.config.id().0),
        "failure_domain": shared.settings.failure_domain,
        "stage": format!("{:?}", state.stage()),
        "revision": state.revision(),
        "pins": traffic.pins,
        "pin_memory_bytes": traffic.pin_memory_bytes,
        "waiting": traffic.waiting,
        "counters": counters(&traffic.counters),
        "usage": usage,
        "members": members,
    })
}

fn counters(counters: &Counters) -> Value {
    let mut object = serde_json::Map::new();
    for (counter, name) in Counters::NAMES {
        object.insert(name.to_owned(), counters.get(counter).into());
    }
    for reason in DropReason::ALL {
        let dropped = counters.dropped(reason);
        if dropped > 0 {
            object.insert(format!("dropped_{}", reason.code()), dropped.into());
        }
    }
    Value::Object(object)
}

async fn flows(state: &State, query: &str) -> Response<Full<Bytes>> {
    let Some(key) = parse_key(query) else {
        let text = "use /flows?protocol=tcp&caller=IP:PORT&service=IP:PORT".to_owned();
        return respond(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let (answer, answer_receiver) = bounded(1);
    let is_sent = state.shared.flow_queries.0.try_send(FlowQuery { key, answer }).is_ok();
    let report = if is_sent { answer_receiver.recv().await.ok().flatten() } else { None };
    let Some(report) = report else {
        let text = "this host has no settings yet".to_owned();
        return respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    };
    let hex = |id: Option<routing::HostId>| id.map(|id| format!("{:016x}", id.0));
    let body = json!({
        "bucket": report.bucket,
        "home": hex(report.home),
        "backup": hex(report.backup),
        "target": report.target,
        "state": report.state.map(|state| format!("{state:?}")),
    });
    respond(StatusCode::OK, "application/json", body.to_string())
}

fn parse_key(query: &str) -> Option<FlowKey> {
    let value =
        |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let protocol = match value("protocol")? {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    let caller: SocketAddr = value("caller")?.parse().ok()?;
    let service: SocketAddr = value("service")?.parse().ok()?;
    Some(FlowKey { protocol, caller, service })
}

fn register_counters(shared: &Shared) {
    for (counter, name) in Counters::NAMES {
        let status = shared.status.clone();
        shared.metrics.observe(name, move || {
            let value = status.lock().map_or(0, |status| status.counters.get(counter));
            vec![(value, Vec::new())]
        });
    }
    shared.metrics.observe("log_lines_dropped", || vec![(telemetry::lines_dropped(), Vec::new())]);
    let status = shared.status.clone();
    shared.metrics.observe("packets_dropped", move || {
        let Ok(status) = status.lock() else { return Vec::new() };
        DropReason::ALL
            .iter()
            .map(|reason| {
                let labels = vec![Label::new("reason", i64::from(reason.code()))];
                (status.counters.dropped(*reason), labels)
            })
            .collect()
    });
}

fn respond(status: StatusCode, content_type: &str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}
