//! Authentication of datagrams with a secret that all VMs of a deployment share.
//!
//! An HMAC-SHA-256 tag follows each datagram. Without it, any host that reaches the port could
//! declare VMs dead. The content isn't confidential, so it isn't encrypted. A replayed datagram has
//! no effect, since incarnations mark it as outdated.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the tag at the end of each datagram, in bytes.
pub const TAG_BYTES: usize = 32;

/// Secret shared by all VMs of a deployment.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey(Bytes);

impl ClusterKey {
    /// Minimum length of a secret, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a key, or returns `None` if the secret is shorter than [`ClusterKey::MIN_BYTES`].
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

/// Appends the tag to a datagram; without a key, returns it unchanged.
pub fn seal(key: Option<&ClusterKey>, content: Bytes) -> Bytes {
    let Some(key) = key else { return content };
    let tag = key.tag(&content).finalize().into_bytes();
    let mut sealed = Vec::with_capacity(content.len() + TAG_BYTES);
    sealed.extend_from_slice(&content);
    sealed.extend_from_slice(&tag);
    sealed.into()
}

/// Verifies and removes the tag of a received datagram, or returns `None` if the tag is wrong.
pub fn open(key: Option<&ClusterKey>, sealed: &[u8]) -> Option<Bytes> {
    let Some(key) = key else { return Some(Bytes::copy_from_slice(sealed)) };
    let (content, tag) = sealed.split_at_checked(sealed.len().checked_sub(TAG_BYTES)?)?;
    key.tag(content).verify_slice(tag).ok()?;
    Some(Bytes::copy_from_slice(content))
}
