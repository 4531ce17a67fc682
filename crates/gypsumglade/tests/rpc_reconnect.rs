//! Calls to a process that was unreachable a moment ago, or that is busy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use gypsumglade::listener::ListenerOptions;
use gypsumglade::rpc::{Method, PeerClients, RpcError, RpcServer, encode};
use gypsumglade::secret::Secret;
use gypsumglade_core::wire::turn::{Command, Reply};
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
    let options = ListenerOptions::plain(16_384, Duration::ZERO);
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

/// Silence after which a call is given up.
const SILENCE: Duration = Duration::from_millis(300);
/// Time in which the server answers a command.
const BUSY: Duration = Duration::from_millis(1_000);

/// Serves commands that take [`BUSY`], and other calls that take no time. Counts the commands.
async fn serve_slow_commands(token: Secret) -> (RpcServer, Arc<AtomicUsize>) {
    let commands = Arc::new(AtomicUsize::new(0));
    let mut module = RpcModule::new(Arc::clone(&commands));
    let slow = |_, commands: Arc<Arc<AtomicUsize>>, _| async move {
        commands.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(BUSY).await;
        Ok::<_, ErrorObjectOwned>(encode(&Reply::default()))
    };
    module.register_async_method(Method::Turn.name(), slow).expect("registered once");
    let fast = |_: jsonrpsee::types::Params<'_>, _: &Arc<AtomicUsize>, _: &_| {
        Ok::<_, ErrorObjectOwned>(ANSWER.to_owned())
    };
    module.register_method(Method::Hello.name(), fast).expect("registered once");
    let options = ListenerOptions::plain(16_384, Duration::ZERO);
    let (address, stop) = (free_address().await, CancellationToken::new());
    let server = RpcServer::bind(address, token, module.into(), None, options, stop).await;
    (server.expect("bound"), commands)
}

async fn ask_command(peers: &PeerClients, address: SocketAddr) -> Result<Reply, RpcError> {
    peers.ask_responsive(address, Method::Turn, &Command::default(), SILENCE).await
}

/// A busy store was given up while it answered other calls, and got the command and a connection anew.
#[tokio::test]
async fn ask_responsive_busy_store() {
    let token = Secret::new("a-token-for-the-test");
    let (server, commands) = serve_slow_commands(token.clone()).await;
    let (peers, address) = (PeerClients::new(token, None), server.address());
    let others = async {
        loop {
            let answer = peers.call(address, Method::Hello, ArrayParams::new(), TIMEOUT).await;
            assert_eq!(answer.as_deref(), Ok(ANSWER));
            tokio::time::sleep(SILENCE / 6).await;
        }
    };
    tokio::select! {
        reply = ask_command(&peers, address) => assert!(reply.is_ok(), "{reply:?}"),
        () = others => {}
    }
    assert_eq!(commands.load(Ordering::SeqCst), 1);
}

/// A store that sends nothing is given up after the time limit, so that another one is asked.
#[tokio::test]
async fn ask_responsive_silent_store() {
    let token = Secret::new("a-token-for-the-test");
    let (server, _) = serve_slow_commands(token.clone()).await;
    let peers = PeerClients::new(token, None);
    let began = Instant::now();
    let reply = ask_command(&peers, server.address()).await;
    assert_eq!(reply, Err(RpcError::Lost(server.address())));
    assert!(began.elapsed() < BUSY, "{:?}", began.elapsed());
}

/// Passes connections on to `server`, and counts them.
async fn counting_proxy(server: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut server = tokio::net::TcpStream::connect(server).await.expect("it listens");
                // Ends with either side.
                let _ = tokio::io::copy_bidirectional(&mut caller, &mut server).await;
            });
        }
    });
    (address, count)
}

/// Each search for a leader that was only busy made it accept another connection.
#[tokio::test]
async fn ask_briefly_keeps_connection() {
    let token = Secret::new("a-token-for-the-test");
    let (server, commands) = serve_slow_commands(token.clone()).await;
    let (address, connections) = counting_proxy(server.address()).await;
    let peers = PeerClients::new(token, None);
    for _ in 0..3 {
        let command = Command::default();
        let asking = peers.ask_briefly::<_, Reply>(address, Method::Turn, &command, SILENCE);
        assert_eq!(asking.await, Err(RpcError::Lost(address)));
    }
    assert_eq!(commands.load(Ordering::SeqCst), 3);
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// VMs of a deployment of a thousand, with a tenth of spares.
const VMS: usize = 1_100;
/// VMs that connect at the same time.
const AT_ONCE: usize = 50;

/// The leader of a group refused the VMs whose connection came last, so that these could serve no turns.
#[tokio::test]
async fn call_from_a_thousand_processes() {
    let token = Secret::new("a-token-for-the-test");
    let address = free_address().await;
    let _server = serve(address, token.clone()).await;
    let processes: Vec<PeerClients> =
        (0..VMS).map(|_| PeerClients::new(token.clone(), None)).collect();
    for some in processes.chunks(AT_ONCE) {
        let call = |peers: PeerClients| async move {
            peers.call(address, Method::Hello, ArrayParams::new(), TIMEOUT).await
        };
        let answers = futures::future::join_all(some.iter().cloned().map(call)).await;
        for answer in answers {
            assert_eq!(answer.as_deref(), Ok(ANSWER));
        }
    }
}
