//! HTTP/1.1 requests, each with a time limit, on kept connections or on one of their own.

use std::{net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Bytes, body::Incoming};
use smol::{Timer, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::StoreError;

/// An answer with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    pub(crate) index: u64,
    /// The body.
    pub body: Vec<u8>,
}

type Driver = hyper::client::conn::http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// An open connection. Its driver makes progress only while a call is under way.
#[derive(Debug)]
struct Open {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// A connection that is kept between calls and opened again when it fails.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    open: Option<Open>,
}

impl Connection {
    /// Creates a connection to `address`, which the first call opens.
    pub fn new(address: SocketAddr) -> Connection {
        Connection { address, open: None }
    }

    /// Sends a request and reads the whole answer. A failed call closes the connection.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unreachable`] if nothing was sent, otherwise [`StoreError::NoAnswer`].
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, StoreError> {
        let address = self.address;
        // Taken out, so that a call that is dropped or fails leaves no half-used connection.
        let kept = self.open.take();
        let call = async {
            let mut open = match kept.filter(|open| !open.sender.is_closed()) {
                Some(open) => open,
                None => open_connection(address).await?,
            };
            let answer = exchange(address, &mut open, method, path, body).await?;
            Ok((open, answer))
        };
        let late = async {
            Timer::after(timeout).await;
            Err(StoreError::NoAnswer(format!("{address}: no answer within {timeout:?}")))
        };
        let (open, answer) = call.or(late).await?;
        self.open = Some(open);
        Ok(answer)
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<HttpResponse, StoreError> {
    Connection::new(address).send(method, path, body, timeout).await
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

/// Opens a connection to `address` and closes it.
///
/// # Errors
///
/// Fails if none is accepted within `timeout`.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Result<(), StoreError> {
    let connect = async { open_connection(address).await.map(drop) };
    let late = async {
        Timer::after(timeout).await;
        Err(StoreError::Unreachable(format!("{address}: no connection within {timeout:?}")))
    };
    connect.or(late).await
}

async fn open_connection(address: SocketAddr) -> Result<Open, StoreError> {
    let unreachable = |cause: String| StoreError::Unreachable(format!("{address}: {cause}"));
    let stream =
        TcpStream::connect(address).await.map_err(|error| unreachable(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
    let (sender, driver) = hyper::client::conn::http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    Ok(Open { sender, driver })
}

async fn exchange(
    address: SocketAddr,
    open: &mut Open,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<HttpResponse, StoreError> {
    let mut request =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    if !body.is_empty() {
        request = request.header("content-type", "application/json");
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| StoreError::Protocol(error.to_string()))?;
    let no_answer = |error: hyper::Error| StoreError::NoAnswer(format!("{address}: {error}"));
    let sender = &mut open.sender;
    let talk = async {
        let response = sender.send_request(request).await.map_err(no_answer)?;
        read_answer(response).await
    };
    // The connection has to be driven until the answer is there.
    let driver = &mut open.driver;
    let drive = async {
        match driver.await {
            // The answer may have been complete before the connection ended.
            Ok(()) => futures_lite::future::pending().await,
            Err(error) => Err(no_answer(error)),
        }
    };
    talk.or(drive).await
}

async fn read_answer(response: Response<Incoming>) -> Result<HttpResponse, StoreError> {
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
    Ok(HttpResponse { status, index, body: collected.to_bytes().to_vec() })
}
