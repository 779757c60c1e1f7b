//! The client of Consul.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;
use serde::Deserialize;

use crate::{
    Entry, KeyValue, Read, StoreError, SwapResult, Wait,
    http::{self, HttpResponse},
};

/// Time limit of a response, in milliseconds, in addition to the wait of a blocking read.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// A client of Consul, which uses the first of its addresses that can be reached.
#[derive(Debug, Clone)]
pub struct ConsulClient {
    addresses: Vec<SocketAddr>,
}

/// A host in Consul's catalog.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceHost {
    /// The IP address.
    pub service_address: IpAddr,
    /// The peer port.
    pub service_port: u16,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvItem {
    value: Option<String>,
    modify_index: u64,
}

impl ConsulClient {
    /// Creates a client of the Consul agents at `addresses`.
    pub fn new(addresses: &[SocketAddr]) -> ConsulClient {
        ConsulClient { addresses: addresses.to_vec() }
    }

    /// Returns the hosts that Consul's catalog lists for `service`. The list may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if Consul cannot be reached or its response is not such a list.
    pub async fn service_hosts(&self, service: &str) -> Result<Vec<ServiceHost>, StoreError> {
        let path = format!("/v1/catalog/service/{service}");
        let response = self.send(Method::GET, &path, &[], 0).await?;
        parse_json(&response)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        wait_ms: u64,
    ) -> Result<HttpResponse, StoreError> {
        let timeout = Duration::from_millis(RESPONSE_TIMEOUT_MS + wait_ms);
        let mut last_error = StoreError::Unreachable("no store address is configured".to_owned());
        for address in &self.addresses {
            match http::send(*address, method.clone(), path, body.to_vec(), timeout).await {
                Ok(response) => return Ok(response),
                // Only a call that had no effect may be repeated at another address.
                Err(error @ StoreError::Unreachable(_)) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }
}

impl KeyValue for ConsulClient {
    async fn get(&self, key: &str, wait: Wait) -> Result<Read, StoreError> {
        let (query, wait_ms) = match wait {
            Wait::No => (String::new(), 0),
            Wait::ForChange { index, timeout } => {
                let wait_ms = timeout.as_millis() as u64;
                (format!("?index={index}&wait={wait_ms}ms"), wait_ms)
            }
        };
        let path = format!("/v1/kv/{key}{query}");
        let response = self.send(Method::GET, &path, &[], wait_ms).await?;
        if response.status == 404 {
            return Ok(Read { entry: None, index: response.index });
        }
        let index = response.index;
        let items: Vec<KvItem> = parse_json(&response)?;
        let Some(item) = items.into_iter().next() else {
            return Err(StoreError::Protocol("an empty list for an existing key".to_owned()));
        };
        let value = STANDARD
            .decode(item.value.unwrap_or_default())
            .map_err(|error| StoreError::Protocol(format!("value is not base64: {error}")))?;
        Ok(Read { entry: Some(Entry { value, modify_index: item.modify_index }), index })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        modify_index: u64,
    ) -> Result<SwapResult, StoreError> {
        let path = format!("/v1/kv/{key}?cas={modify_index}");
        let response = self.send(Method::PUT, &path, value, 0).await?;
        match (response.status, response.body.trim_ascii()) {
            (200, b"true") => Ok(SwapResult::Stored),
            (200, b"false") => Ok(SwapResult::Conflict),
            // The server may have stored the value before it failed.
            (500..=599, _) => Err(StoreError::NoAnswer(format!("status {}", response.status))),
            (status, body) => {
                let text = String::from_utf8_lossy(body);
                Err(StoreError::Protocol(format!("status {status}: {text}")))
            }
        }
    }
}

fn parse_json<T: for<'a> Deserialize<'a>>(response: &HttpResponse) -> Result<T, StoreError> {
    if response.status != 200 {
        return Err(StoreError::NoAnswer(format!("status {}", response.status)));
    }
    serde_json::from_slice(&response.body).map_err(|error| StoreError::Protocol(error.to_string()))
}
