//! Serves settings to other hosts and fetches settings from them, by Cap'n Proto RPC over TCP on
//! the peer address.

use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use eyre::{Result, WrapErr, bail};
use futures_lite::FutureExt;
use settings::{Blobs, Digest, Root, RootError, unpack};
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};
use wire::peer_capnp::settings as rpc;

use crate::control_thread::State;

/// The timeout for fetching settings from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 5_000;

/// Serves the current settings of `state`.
struct Server {
    state: State,
}

impl rpc::Server for Server {
    async fn root(
        self: Rc<Self>,
        params: rpc::RootParams,
        mut results: rpc::RootResults,
    ) -> std::result::Result<(), capnp::Error> {
        let nonce = params.get()?.get_nonce();
        let record = match &self.state.current_settings().root {
            Some(root) => {
                serde_json::to_vec(root).map_err(|error| capnp::Error::failed(error.to_string()))?
            }
            None => Vec::new(),
        };
        let key = &self.state.shared.config.peer_key;
        let mut answer = results.get();
        answer.set_tag(key.tag(&[&nonce.to_be_bytes(), &record]));
        answer.set_record(&record);
        Ok(())
    }

    async fn blob(
        self: Rc<Self>,
        params: rpc::BlobParams,
        mut results: rpc::BlobResults,
    ) -> std::result::Result<(), capnp::Error> {
        let text = params.get()?.get_digest()?.to_str()?;
        let digest: Digest =
            text.parse().map_err(|error: RootError| capnp::Error::failed(error.to_string()))?;
        if let Some(content) = self.state.current_settings().blobs.get(&digest) {
            results.get().set_content(content);
        }
        Ok(())
    }
}

/// Listens on the peer address. The returned future serves connections.
pub(crate) async fn listen(state: &State) -> Result<impl Future<Output = ()> + use<>> {
    let address = state.shared.settings.peer_address;
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("131: /peer_address: {address} cannot be bound"))?;
    let state = state.clone();
    Ok(async move {
        let executor = smol::LocalExecutor::new();
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
    let (reader, writer) = (stream.clone(), stream);
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let client: rpc::Client = capnp_rpc::new_client(Server { state });
    // The peer closes the connection after its last call, which may show as an error.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

/// Fetches the settings of the host at `from` and applies them if they are newer.
pub(crate) async fn fetch(state: &State, from: SocketAddr) -> Result<()> {
    let timeout = async {
        Timer::after(Duration::from_millis(FETCH_TIMEOUT_MS)).await;
        bail!("no answer within {FETCH_TIMEOUT_MS} ms")
    };
    fetch_without_timeout(state, from).or(timeout).await
}

async fn fetch_without_timeout(state: &State, from: SocketAddr) -> Result<()> {
    let stream = TcpStream::connect(from).await.wrap_err("the peer cannot be reached")?;
    let (reader, writer) = (stream.clone(), stream);
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: rpc::Client = system.bootstrap(Side::Server);
    let connection = async {
        let _ = system.await;
        bail!("the peer closed the connection")
    };
    async {
        let root = fetch_root(state, &client).await?;
        if root.revision <= state.revision() {
            return Ok(());
        }
        let mut blobs: Blobs = state.current_settings().blobs.clone();
        let tree = loop {
            match unpack(&root, &blobs) {
                Ok(tree) => break tree,
                Err(RootError::Missing(missing)) => {
                    for digest in missing {
                        let content = fetch_blob(&client, &digest).await?;
                        blobs.insert(digest, content);
                    }
                }
                Err(error) => return Err(error.into()),
            }
        };
        state.apply_settings(root, &tree, blobs);
        Ok(())
    }
    .or(connection)
    .await
}

async fn fetch_root(state: &State, client: &rpc::Client) -> Result<Root> {
    let nonce: u64 = rand::random();
    let mut request = client.root_request();
    request.get().set_nonce(nonce);
    let response = request.send().promise.await?;
    let answer = response.get()?;
    let record = answer.get_record()?;
    let expected = state.shared.config.peer_key.tag(&[&nonce.to_be_bytes(), record]);
    if answer.get_tag() != expected {
        bail!("the tag of the peer's root record was not made with this host's peer key");
    }
    serde_json::from_slice(record).wrap_err("the peer's root record is not valid")
}

async fn fetch_blob(client: &rpc::Client, digest: &Digest) -> Result<Vec<u8>> {
    let mut request = client.blob_request();
    request.get().set_digest(digest.as_str());
    let response = request.send().promise.await?;
    let content = response.get()?.get_content()?.to_vec();
    if Digest::of(&content) != *digest {
        bail!("the peer has no blob {digest}");
    }
    Ok(content)
}
