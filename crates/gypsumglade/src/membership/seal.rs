//! Authentication of datagrams by a secret that all VMs of a deployment share.
//!
//! A datagram is followed by its HMAC-SHA-256. Without it, any host that reaches the port could
//! declare VMs dead. The content isn't secret, so it isn't encrypted. A datagram sent again by
//! someone who overheard it brings only old news, which incarnations pass over.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of the tag behind each datagram.
pub const TAG_BYTES: usize = 32;

/// Secret shared by all VMs of a deployment.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey(Bytes);

impl ClusterKey {
    /// Fewest bytes of a secret.
    pub const MIN_BYTES: usize = 16;

    /// Takes a secret, or returns `None` if it has fewer than [`ClusterKey::MIN_BYTES`] bytes.
    pub fn new(secret: Bytes) -> Option<ClusterKey> {
        (secret.len() >= ClusterKey::MIN_BYTES).then_some(ClusterKey(secret))
    }

    fn tag(&self, content: &[u8]) -> Hmac<Sha256> {
        let mut tag = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        tag.update(content);
        tag
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

/// Returns the bytes to send for a datagram.
pub fn seal(key: Option<&ClusterKey>, content: Bytes) -> Bytes {
    let Some(key) = key else { return content };
    let tag = key.tag(&content).finalize().into_bytes();
    let mut sealed = Vec::with_capacity(content.len() + TAG_BYTES);
    sealed.extend_from_slice(&content);
    sealed.extend_from_slice(&tag);
    sealed.into()
}

/// Returns the datagram in received bytes, or `None` if it isn't from a VM with the key.
pub fn open(key: Option<&ClusterKey>, sealed: &[u8]) -> Option<Bytes> {
    let Some(key) = key else { return Some(Bytes::copy_from_slice(sealed)) };
    let (content, tag) = sealed.split_at_checked(sealed.len().checked_sub(TAG_BYTES)?)?;
    key.tag(content).verify_slice(tag).ok()?;
    Some(Bytes::copy_from_slice(content))
}
