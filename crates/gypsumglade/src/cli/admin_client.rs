//! Client of a running process's admin listener.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{Answer, Command};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use prost::Message as _;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;

use super::Failure;
use super::failure::FailureKind;
use crate::settings::Settings;
use crate::tls;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for an answer, in which the VM may first have to find the control group's leader.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_ADVICE: &str = "run the same command again, or ask another VM";
/// Maximum size of an answer, in bytes; dumps are the largest.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Address of a process's admin listener, and the token that it requires.
#[derive(Debug, clap::Args)]
pub(super) struct AdminArgs {
    /// Admin listener of the process; by default the address in the settings.
    #[arg(long, value_name = "IP:PORT", env = "GYPSUMGLADE_VM")]
    vm: Option<SocketAddr>,
    /// Settings file to take the admin address and token from.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_SETTINGS")]
    settings: Option<PathBuf>,
    /// PEM file of the authority that signed the admin listener's certificate, which enables TLS. By
    /// default, `tls.authority` of the settings if they name a certificate for the admin listener.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// File with the admin token, in place of the one in the settings.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_TOKEN_FILE")]
    token_file: Option<PathBuf>,
}

/// Blocking client of one admin listener.
pub(super) struct AdminClient {
    address: SocketAddr,
    token: CompactString,
    tls: Option<Arc<ClientConfig>>,
    runtime: tokio::runtime::Runtime,
}

impl AdminClient {
    pub(super) fn new(args: &AdminArgs) -> Result<AdminClient, Failure> {
        let settings = match &args.settings {
            Some(file) => Some(Settings::load(file).map_err(Failure::from_findings)?),
            None => None,
        };
        let named = settings.as_ref().map(|s| s.listen.admin);
        let Some(address) = args.vm.or(named) else {
            let message = "no address of a process";
            return Err(missing_argument(message, "give --vm IP:PORT, or --settings FILE"));
        };
        let token = match (&args.token_file, &settings) {
            (Some(file), _) => read_token(file)?,
            (None, Some(settings)) => settings.tokens.admin.reveal().into(),
            (None, None) => {
                return Err(missing_argument(
                    "no admin token",
                    "give --token-file or --settings FILE",
                ));
            }
        };
        let tls = match authority_file(args, settings.as_ref()) {
            Some(file) => Some(tls::client(&file)?),
            None => None,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("can't start the runtime")?;
        Ok(AdminClient { address, token, tls, runtime })
    }

    /// Gets `path` and decodes the JSON answer.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let answer = self.call(Method::GET, path, Bytes::new())?;
        serde_json::from_slice(&answer).map_err(|error| self.unreadable(&error))
    }

    /// Sends a command to the control group.
    pub(super) fn command(&self, command: &Command) -> Result<Answer, Failure> {
        let body = Bytes::from(command.encode_to_vec());
        let answer = self.call(Method::POST, "/v1/control", body)?;
        Answer::decode(answer).map_err(|error| self.unreadable(&error))
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, Failure> {
        let (status, answer) = self.runtime.block_on(self.send(method, path, body))?;
        if status.is_success() { Ok(answer) } else { Err(refused(status, &answer)) }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .context("the admin token has characters that a header can't carry")?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let mut sender = match connecting {
            Ok(connected) => connected.map_err(|error| self.unreachable(&error))?,
            Err(elapsed) => return Err(self.unreachable(&elapsed)),
        };
        let sending = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| anyhow::anyhow!(error))?;
            anyhow::Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, sending).await {
            Ok(result) => result.map_err(|error| self.lost(&error)),
            Err(elapsed) => Err(self.lost(&elapsed)),
        }
    }

    async fn connect(&self) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await?;
        let Some(tls) = &self.tls else {
            return handshake(stream).await;
        };
        let name = ServerName::from(self.address.ip());
        let stream = TlsConnector::from(Arc::clone(tls)).connect(name, stream).await?;
        handshake(stream).await
    }

    fn unreachable(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("can't connect to {}: {error}", self.address);
        let advice = "check the address and that the process is running, or ask another VM";
        Failure::new(FailureKind::Unreachable, message, advice)
    }

    /// The order may have been carried out. The caller may replace the advice by how to resend it.
    fn lost(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("no answer from {}: {error}", self.address);
        Failure::new(FailureKind::Unknown, message, RETRY_ADVICE)
    }

    fn unreadable(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("can't decode the answer of {}: {error}", self.address);
        Failure::new(
            FailureKind::Unknown,
            message,
            "use the gypsumglade command of the same version as the process",
        )
    }
}

fn refused(status: StatusCode, answer: &[u8]) -> Failure {
    let text = String::from_utf8_lossy(answer);
    let message = if text.is_empty() { format!("answered {status}") } else { text.into_owned() };
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            let advice = "give the admin token with --settings or --token-file";
            Failure::new(FailureKind::Refused, message, advice)
        }
        status if status.is_client_error() => Failure::new(
            FailureKind::Refused,
            message,
            "use the gypsumglade command of the same version as the process",
        ),
        _ => Failure::new(FailureKind::Unknown, message, RETRY_ADVICE),
    }
}

async fn handshake<S>(stream: S) -> anyhow::Result<SendRequest<Full<Bytes>>>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Errors of the connection are returned by the sender.
    tokio::spawn(connection);
    Ok(sender)
}

/// Returns the file of the certificate authority, or `None` if the admin listener speaks plain TCP.
fn authority_file(args: &AdminArgs, settings: Option<&Settings>) -> Option<PathBuf> {
    let named = settings.filter(|s| s.tls.admin.is_some()).and_then(|s| s.tls.authority.clone());
    args.authority.clone().or(named)
}

fn missing_argument(message: &str, advice: &'static str) -> Failure {
    Failure::new(FailureKind::Unreachable, message, advice)
}

fn read_token(file: &std::path::Path) -> Result<CompactString, Failure> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("can't read the token file {}", file.display()))?;
    Ok(text.trim().into())
}
