//! HTTP/1.1 requests with a time limit, on a persistent connection or on a new one for each request.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, body::Bytes, body::Incoming};
use smol::{Timer, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::StoreError;

/// How many times its time limit a response may take while parts of it keep arriving.
const MAX_TIMEOUTS_PER_RESPONSE: u32 = 10;

/// A response with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The index in the header `x-consul-index`, or 0 if there is none.
    pub(crate) index: u64,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// The future that sends and receives on a connection; a call makes progress only while it is polled.
type Driver = hyper::client::conn::http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// An open connection. Its driver is only polled during a call.
#[derive(Debug)]
struct OpenConnection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// A connection that is reused for later calls, and reopened if it fails.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    open: Option<OpenConnection>,
}

impl Connection {
    /// Creates a connection to `address`, which is opened by the first call.
    pub fn new(address: SocketAddr) -> Connection {
        Connection { address, open: None }
    }

    /// Sends a request and reads the whole response. A failed call closes the connection.
    ///
    /// `timeout` limits the time without a part of the response: a large one takes long on a slow link,
    /// and would take as long again if it was requested anew.
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
        // Taken out of `self`, so that a call that fails or is dropped leaves no connection with an
        // unfinished exchange.
        let reusable = self.open.take();
        let part_at = Cell::new(Instant::now());
        let call = async {
            let mut open = match reusable.filter(|open| !open.sender.is_closed()) {
                Some(open) => open,
                None => open_connection(address).await?,
            };
            let response = send_on(address, &mut open, method, path, body, &part_at).await?;
            Ok((open, response))
        };
        let timed_out = async {
            let latest = part_at.get() + timeout * MAX_TIMEOUTS_PER_RESPONSE;
            loop {
                let due = (part_at.get() + timeout).min(latest);
                if Instant::now() >= due {
                    break;
                }
                Timer::at(due).await;
            }
            Err(StoreError::NoAnswer(format!("{address}: no answer within {timeout:?}")))
        };
        let (open, response) = call.or(timed_out).await?;
        self.open = Some(open);
        Ok(response)
    }
}

/// Sends a request on a new connection and reads the whole response.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<HttpResponse, StoreError> {
    Connection::new(address).send(method, path, body, timeout).await
}

/// Sends a GET request for `path` to `address`. Returns the status and the body as text.
///
/// # Errors
///
/// Fails if there is no response within `timeout`.
pub async fn get_text(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    fetch_text(address, Method::GET, path, timeout).await
}

/// Sends a POST request without a body for `path` to `address`. Returns the status and the body as
/// text.
///
/// # Errors
///
/// Fails if there is no response within `timeout`.
pub async fn post_text(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    fetch_text(address, Method::POST, path, timeout).await
}

async fn fetch_text(
    address: SocketAddr,
    method: Method,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), StoreError> {
    let response = send(address, method, path, Vec::new(), timeout).await?;
    Ok((response.status, String::from_utf8_lossy(&response.body).into_owned()))
}

/// Opens a connection to `address` and closes it.
///
/// # Errors
///
/// Fails if the connection is not established within `timeout`.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Result<(), StoreError> {
    let connect = async { open_connection(address).await.map(drop) };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(StoreError::Unreachable(format!("{address}: no connection within {timeout:?}")))
    };
    connect.or(timed_out).await
}

async fn open_connection(address: SocketAddr) -> Result<OpenConnection, StoreError> {
    let unreachable = |cause: String| StoreError::Unreachable(format!("{address}: {cause}"));
    let stream =
        TcpStream::connect(address).await.map_err(|error| unreachable(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
    let (sender, driver) = hyper::client::conn::http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    Ok(OpenConnection { sender, driver })
}

async fn send_on(
    address: SocketAddr,
    open: &mut OpenConnection,
    method: Method,
    path: &str,
    body: Vec<u8>,
    part_at: &Cell<Instant>,
) -> Result<HttpResponse, StoreError> {
    let mut request =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    if !body.is_empty() {
        request = request.header("content-type", "application/json");
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| StoreError::Protocol(error.to_string()))?;
    let no_response = |error: hyper::Error| StoreError::NoAnswer(format!("{address}: {error}"));
    let sender = &mut open.sender;
    let send_and_read = async {
        let raw_response = sender.send_request(request).await.map_err(no_response)?;
        read_response(raw_response, part_at).await
    };
    // The connection makes progress only while its driver is polled.
    let driver = &mut open.driver;
    let drive_connection = async {
        match driver.await {
            // The response may have been complete before the connection ended.
            Ok(()) => futures_lite::future::pending().await,
            Err(error) => Err(no_response(error)),
        }
    };
    send_and_read.or(drive_connection).await
}

/// Reads the body, and notes in `part_at` when a part of it arrives.
async fn read_response(
    raw_response: Response<Incoming>,
    part_at: &Cell<Instant>,
) -> Result<HttpResponse, StoreError> {
    let status = raw_response.status().as_u16();
    let header = raw_response.headers().get("x-consul-index");
    let index = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let (head, mut incoming) = raw_response.into_parts();
    let mut body = Vec::new();
    part_at.set(Instant::now());
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| StoreError::NoAnswer(error.to_string()))?;
        part_at.set(Instant::now());
        if let Some(data) = frame.data_ref() {
            body.extend_from_slice(data);
        }
    }
    Ok(HttpResponse { status, index, headers: head.headers, body })
}
