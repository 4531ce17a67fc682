//! TLS settings of the listeners.

use std::path::{Path, PathBuf};

use gypsumglade_core::prelude::*;

use super::Findings;

/// A certificate chain and its private key, both PEM files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct CertificateSettings {
    /// Certificate chain, the listener's own certificate first.
    pub certificate: PathBuf,
    /// Private key of the first certificate.
    pub key: PathBuf,
}

/// Certificates of the listeners; a listener without one speaks plain TCP.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TlsSettings {
    /// The callers' listener.
    pub callers: Option<CertificateSettings>,
    /// The listener for endpoints' announcements.
    pub endpoints: Option<CertificateSettings>,
    /// The listener for calls between VMs.
    pub peers: Option<CertificateSettings>,
    /// The operators' listener.
    pub admin: Option<CertificateSettings>,
    /// PEM file with the certificate authorities that this process trusts when it connects.
    pub authority: Option<PathBuf>,
}

impl TlsSettings {
    pub(super) fn check(&self, findings: &mut Findings) {
        for (place, pair) in [
            ("tls.callers", &self.callers),
            ("tls.endpoints", &self.endpoints),
            ("tls.peers", &self.peers),
            ("tls.admin", &self.admin),
        ] {
            let Some(pair) = pair else {
                continue;
            };
            check_file(&format!("{place}.certificate"), &pair.certificate, findings);
            check_file(&format!("{place}.key"), &pair.key, findings);
        }
        match &self.authority {
            Some(authority) => check_file("tls.authority", authority, findings),
            None if self.peers.is_some() => {
                let allowed = "the authority of the peers' certificates, if tls.peers is set";
                findings.add("tls.authority", "nothing", allowed);
            }
            None => {}
        }
    }
}

fn check_file(place: &str, path: &Path, findings: &mut Findings) {
    if !path.is_file() {
        findings.add(place, format_args!("{path:?}"), "the path of a readable PEM file");
    }
}
