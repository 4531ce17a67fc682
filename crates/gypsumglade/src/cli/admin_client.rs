//! Calls to the admin listener of a running process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{Answer, Command};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use prost::Message as _;
use serde::de::DeserializeOwned;

use super::Failure;
use super::failure::FailureKind;
use crate::settings::Settings;

/// Longest wait for an answer; the asked VM looks for a leader meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const AGAIN_ADVICE: &str = "run the same command again, or ask another VM";
/// Largest answer, in bytes; a dump is the largest.
const ANSWER_BYTES: usize = 256 << 20;

/// Which process to ask, and the token that it wants.
#[derive(Debug, clap::Args)]
pub(super) struct AdminArgs {
    /// Admin listener of the process; without it, the one that the settings name.
    #[arg(long, value_name = "IP:PORT", env = "GYPSUMGLADE_VM")]
    vm: Option<SocketAddr>,
    /// Settings file to take the admin address and token from.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_SETTINGS")]
    settings: Option<PathBuf>,
    /// File with the admin token, in place of the settings' one.
    #[arg(long, value_name = "FILE", env = "GYPSUMGLADE_TOKEN_FILE")]
    token_file: Option<PathBuf>,
}

/// A client of one admin listener.
pub(super) struct AdminClient {
    address: SocketAddr,
    token: CompactString,
    runtime: tokio::runtime::Runtime,
}

impl AdminClient {
    pub(super) fn new(args: &AdminArgs) -> Result<AdminClient, Failure> {
        let settings = match &args.settings {
            Some(file) => Some(Settings::load(file).map_err(Failure::of_settings)?),
            None => None,
        };
        let named = settings.as_ref().map(|s| s.listen.admin);
        let Some(address) = args.vm.or(named) else {
            let message = "no process to ask";
            return Err(unaddressed(message, "give --vm IP:PORT, or --settings FILE"));
        };
        let token = match (&args.token_file, &settings) {
            (Some(file), _) => read_token(file)?,
            (None, Some(settings)) => settings.tokens.admin.reveal().into(),
            (None, None) => {
                return Err(unaddressed("no admin token", "give --token-file or --settings FILE"));
            }
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("can't start the runtime")?;
        Ok(AdminClient { address, token, runtime })
    }

    /// Asks a question.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let answer = self.call(Method::GET, path, Bytes::new())?;
        serde_json::from_slice(&answer).map_err(|error| self.unreadable(&error))
    }

    /// Gives the control group a command.
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
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .context("the admin token can't stand in a header")?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let sending = async {
            let response = client.request(request).await.map_err(|error| {
                if error.is_connect() { self.unreachable(&error) } else { self.lost(&error) }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
            Ok((status, body.map_err(|error| self.lost(&error))?.to_bytes()))
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, sending).await {
            Ok(result) => result,
            Err(elapsed) => Err(self.lost(&elapsed)),
        }
    }

    fn unreachable(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("can't connect to {}: {error}", self.address);
        let advice = "check the address and that the process runs, or ask another VM";
        Failure::new(FailureKind::Unreachable, message, advice)
    }

    /// An order may have been carried out; its caller says how to repeat it.
    fn lost(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("the answer of {} was lost: {error}", self.address);
        Failure::new(FailureKind::Unknown, message, AGAIN_ADVICE)
    }

    fn unreadable(&self, error: &dyn std::fmt::Display) -> Failure {
        let message = format!("{}: the answer can't be read: {error}", self.address);
        Failure::new(FailureKind::Unknown, message, "use a tool of the process's version")
    }
}

fn refused(status: StatusCode, answer: &[u8]) -> Failure {
    let text = String::from_utf8_lossy(answer);
    let message = if text.is_empty() { format!("answered {status}") } else { text.into_owned() };
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            let advice = "give the admin token by --settings or --token-file";
            Failure::new(FailureKind::Refused, message, advice)
        }
        status if status.is_client_error() => {
            Failure::new(FailureKind::Refused, message, "use a tool of the process's version")
        }
        _ => Failure::new(FailureKind::Unknown, message, AGAIN_ADVICE),
    }
}

fn unaddressed(message: &str, advice: &'static str) -> Failure {
    Failure::new(FailureKind::Unreachable, message, advice)
}

fn read_token(file: &std::path::Path) -> Result<CompactString, Failure> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("can't read the token file {}", file.display()))?;
    Ok(text.trim().into())
}
