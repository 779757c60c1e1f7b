//! Responses that arrive slowly, as a large configuration does on a slow or full link.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use hyper::Method;
use store::{Connection, HttpResponse, StoreError};

const TIMEOUT: Duration = Duration::from_millis(400);

/// The pause between two parts of a response; five of them take longer than the timeout.
const PART_INTERVAL: Duration = Duration::from_millis(100);
const PARTS: usize = 8;

/// Answers one request with `sent` parts of a response of [`PARTS`] parts.
fn serve(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("a request");
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n").expect("a head");
        for _ in 0..sent {
            thread::sleep(PART_INTERVAL);
            stream.write_all(b"x").expect("a part");
        }
        // The connection stays open until the caller closes it.
        let _ = stream.read(&mut request);
    });
    address
}

fn fetch(address: SocketAddr) -> Result<HttpResponse, StoreError> {
    let mut connection = Connection::new(address);
    smol::block_on(connection.send(Method::GET, "/", Vec::new(), TIMEOUT))
}

#[test]
fn slow_link() {
    let response = fetch(serve(PARTS)).expect("parts arrive all the time");
    assert_eq!(response.body.len(), PARTS);
}

#[test]
fn silent_connection() {
    let error = fetch(serve(2)).expect_err("the rest never arrives");
    assert!(matches!(error, StoreError::NoAnswer(_)), "{error}");
}
