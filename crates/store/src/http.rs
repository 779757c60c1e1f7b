//! HTTP/1.1 requests, one connection each.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Bytes, body::Incoming};
use smol::{Timer, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::StoreError;

/// An answer with its body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) index: u64,
    pub(crate) body: Vec<u8>,
}

/// Sends a request and reads the whole answer.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Answer, StoreError> {
    let exchange = exchange(address, method, path, body);
    let late = async {
        Timer::after(timeout).await;
        Err(StoreError::NoAnswer(format!("{address}: no answer within {timeout:?}")))
    };
    exchange.or(late).await
}

/// Fetches `path` from `address` as text, with its status.
///
/// # Errors
///
/// Fails if there is no answer within `timeout`.
pub async fn get_text(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    text(address, Method::GET, path, timeout).await
}

/// Posts to `path` at `address` without a body; gives the answer as text, with its status.
///
/// # Errors
///
/// Fails if there is no answer within `timeout`.
pub async fn post_text(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    text(address, Method::POST, path, timeout).await
}

async fn text(
    address: SocketAddr,
    method: Method,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    let answer = send(address, method, path, Vec::new(), timeout).await?;
    Ok((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Answer, StoreError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| StoreError::Unreachable(format!("{address}: {error}")))?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| StoreError::Protocol(error.to_string()))?;
    let no_answer = |error: hyper::Error| StoreError::NoAnswer(format!("{address}: {error}"));
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await.map_err(no_answer)?;
    let talk = async {
        let response = sender.send_request(request).await.map_err(no_answer)?;
        read_answer(response).await
    };
    // The connection has to be driven until the answer is there.
    let drive = async {
        let _ = connection.await;
        futures_lite::future::pending().await
    };
    talk.or(drive).await
}

async fn read_answer(response: Response<Incoming>) -> Result<Answer, StoreError> {
    let status = response.status().as_u16();
    let header = response.headers().get("x-consul-index");
    let index = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let collected = response
        .into_body()
        .collect()
        .await
        .map_err(|error| StoreError::NoAnswer(error.to_string()))?;
    Ok(Answer { status, index, body: collected.to_bytes().to_vec() })
}
