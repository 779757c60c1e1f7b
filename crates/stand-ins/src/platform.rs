//! The platform's store as a process: the key-value and catalog API of Consul over HTTP.
//!
//! A request to `/stand-in/faults` sets the faults to those in its query; `/stand-in/calls` returns
//! the number of calls.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use argh::FromArgs;
use base64::{Engine, engine::general_purpose::STANDARD};
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn,
};
use serde_json::json;
use smol::{LocalExecutor, net::TcpListener};
use smol_hyper::rt::FuturesIo;
use store::{KeyValue, StoreError, SwapResult, Wait};

use crate::memory_store::{Faults, MemoryStore};

/// The platform's key-value store and service catalog.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Options {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// peer address of a host in the catalog; may be repeated
    #[argh(option)]
    host: Vec<SocketAddr>,
}

struct Platform {
    store: MemoryStore,
    hosts: Vec<SocketAddr>,
}

/// Serves requests until the process is killed.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn run(options: &Options) -> Result<()> {
    let executor = LocalExecutor::new();
    let platform = Rc::new(Platform { store: MemoryStore::default(), hosts: options.host.clone() });
    smol::block_on(executor.run(async {
        let listener =
            TcpListener::bind(options.listen).await.wrap_err("the address cannot be bound")?;
        loop {
            let (stream, _) = listener.accept().await?;
            let platform = platform.clone();
            let serve = async move {
                let service = service_fn(|request| handle_request(&platform, request));
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
            };
            executor.spawn(serve).detach();
        }
    }))
}

async fn handle_request(
    platform: &Platform,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    let method = request.method().clone();
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        let response = match method {
            Method::GET => read(platform, key, &query).await,
            Method::PUT => {
                let body = request.into_body().collect().await;
                let bytes = body.map(|body| body.to_bytes().to_vec()).unwrap_or_default();
                write(platform, key, &query, &bytes).await
            }
            _ => respond(StatusCode::METHOD_NOT_ALLOWED, 0, String::new()),
        };
        return Ok(response);
    }
    let response = match path.as_str() {
        "/v1/catalog/service/wagtailstall" => {
            let hosts: Vec<_> = platform
                .hosts
                .iter()
                .map(|host| json!({ "ServiceAddress": host.ip(), "ServicePort": host.port() }))
                .collect();
            respond(StatusCode::OK, 0, json!(hosts).to_string())
        }
        "/stand-in/faults" => {
            platform.store.set_faults(Faults {
                is_down: value(&query, "down").is_some(),
                delay_ms: number(&query, "delay_ms"),
                lost_answers: number(&query, "lost_answers") as u32,
                is_stale: value(&query, "stale").is_some(),
            });
            respond(StatusCode::OK, 0, String::new())
        }
        "/stand-in/calls" => respond(StatusCode::OK, 0, json!(platform.store.calls()).to_string()),
        _ => respond(StatusCode::NOT_FOUND, 0, String::new()),
    };
    Ok(response)
}

async fn read(platform: &Platform, key: &str, query: &str) -> Response<Full<Bytes>> {
    let index = number(query, "index");
    let wait_ms = value(query, "wait")
        .and_then(|wait| wait.strip_suffix("ms"))
        .and_then(|wait| wait.parse().ok())
        .unwrap_or(0);
    let wait = match index {
        0 => Wait::No,
        index => Wait::ForChange { index, timeout: Duration::from_millis(wait_ms) },
    };
    match platform.store.get(key, wait).await {
        Ok(read) => match read.entry {
            Some(entry) => {
                let item = json!([{
                    "Key": key,
                    "Value": STANDARD.encode(&entry.value),
                    "ModifyIndex": entry.modify_index,
                }]);
                respond(StatusCode::OK, read.index, item.to_string())
            }
            None => respond(StatusCode::NOT_FOUND, read.index, String::new()),
        },
        Err(error) => error_response(&error),
    }
}

async fn write(platform: &Platform, key: &str, query: &str, bytes: &[u8]) -> Response<Full<Bytes>> {
    match platform.store.compare_and_swap(key, bytes, number(query, "cas")).await {
        Ok(SwapResult::Stored) => respond(StatusCode::OK, 0, "true".to_owned()),
        Ok(SwapResult::Conflict) => respond(StatusCode::OK, 0, "false".to_owned()),
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &StoreError) -> Response<Full<Bytes>> {
    respond(StatusCode::INTERNAL_SERVER_ERROR, 0, error.to_string())
}

fn respond(status: StatusCode, index: u64, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert("x-consul-index", index.into());
    response
}

fn value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn number(query: &str, name: &str) -> u64 {
    value(query, name).and_then(|text| text.parse().ok()).unwrap_or(0)
}
