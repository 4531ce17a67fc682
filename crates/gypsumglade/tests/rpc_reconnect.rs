//! Calls to a process that was unreachable a moment ago.

use std::net::SocketAddr;
use std::time::Duration;

use gypsumglade::listener::ListenerOptions;
use gypsumglade::rpc::{Method, PeerClients, RpcError, RpcServer};
use gypsumglade::secret::Secret;
use jsonrpsee::RpcModule;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::types::ErrorObjectOwned;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &str = "done";

async fn free_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

async fn serve(address: SocketAddr, token: Secret) -> RpcServer {
    let mut module = RpcModule::new(());
    let answer = |_: jsonrpsee::types::Params<'_>, (): &(), _: &_| {
        Ok::<_, ErrorObjectOwned>(ANSWER.to_owned())
    };
    module.register_method(Method::Hello.name(), answer).expect("registered once");
    let options = ListenerOptions { tls: None, header_bytes: 16_384, drain: Duration::ZERO };
    let stop = CancellationToken::new();
    RpcServer::bind(address, token, module.into(), None, options, stop).await.expect("bound")
}

/// A store that answered again was still treated as unreachable.
#[tokio::test]
async fn call_after_failed_connect() {
    let token = Secret::new("a-token-for-the-test");
    let peers = PeerClients::new(token.clone(), None);
    for _ in 0..5 {
        let address = free_address().await;
        let call = || peers.call(address, Method::Hello, ArrayParams::new(), TIMEOUT);
        assert_eq!(call().await, Err(RpcError::Unreachable(address)));
        let _server = serve(address, token.clone()).await;
        assert_eq!(call().await.as_deref(), Ok(ANSWER));
    }
}
