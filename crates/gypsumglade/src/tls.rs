//! TLS configurations for listeners and clients, with rustls.

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context as _, bail};
use rustls_pemfile::{certs, private_key};
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::CertificateDer;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};

use crate::settings::{CertificateSettings, TlsSettings};

/// Returns the server configuration of a listener, or `None` (plain TCP) without a certificate.
///
/// # Errors
/// Fails if a file can't be read, or the key doesn't match the certificate.
pub fn server(settings: Option<&CertificateSettings>) -> anyhow::Result<Option<Arc<ServerConfig>>> {
    let Some(settings) = settings else { return Ok(None) };
    let chain = read_certificates(&settings.certificate)?;
    let text = read(&settings.key)?;
    let key = private_key(&mut text.as_slice())?
        .with_context(|| format!("{}: no private key in PEM format", settings.key.display()))?;
    let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .with_context(|| {
            format!("{}: the key does not match this certificate", settings.certificate.display())
        })?;
    Ok(Some(Arc::new(config)))
}

/// Returns the client configuration for calls to other VMs, or `None` (plain TCP) if `tls.peers` is
/// not set.
///
/// # Errors
/// Fails if `tls.peers` is set without `tls.authority`, or the authority's file can't be read.
pub fn peer_client(settings: &TlsSettings) -> anyhow::Result<Option<Arc<ClientConfig>>> {
    if settings.peers.is_none() {
        return Ok(None);
    }
    let Some(authority) = &settings.authority else {
        bail!("tls.peers is set: set tls.authority to the file of its certificate authority");
    };
    client(authority).map(Some)
}

/// Returns the client configuration for listeners whose certificates `authority` signed.
///
/// # Errors
/// Fails if the file can't be read or has no certificate.
pub fn client(authority: &Path) -> anyhow::Result<Arc<ClientConfig>> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(authority)? {
        roots.add(certificate)?;
    }
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}

fn read_certificates(path: &Path) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let text = read(path)?;
    let found: Vec<_> = certs(&mut text.as_slice()).collect::<Result<_, _>>()?;
    if found.is_empty() {
        bail!("{}: no certificate in PEM format", path.display());
    }
    Ok(found)
}

fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("can't read {}", path.display()))
}
