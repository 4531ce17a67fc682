//! What VM membership means for the rest of the process: who takes calls, and who is gone.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::EntryAddress;
use crate::membership::Member;
use crate::settings::Settings;

/// What an entry VM spreads about itself with its membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryDigest {
    /// Drawn anew by each life of the process: a change means that the VM restarted, and that
    /// whatever the earlier life held is held by nobody.
    pub boot_id: u32,
    /// Its listener for calls between VMs.
    pub peers: SocketAddr,
}

/// Bytes of a digest with a version 4 address.
const IPV4_DIGEST_BYTES: usize = 10;
/// Bytes of a digest with a version 6 address.
const IPV6_DIGEST_BYTES: usize = 22;

impl EntryDigest {
    /// Returns the digest's bytes.
    pub fn to_bytes(self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(IPV6_DIGEST_BYTES);
        bytes.put_u32(self.boot_id);
        bytes.put_u16(self.peers.port());
        match self.peers.ip() {
            IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
            IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
        }
        bytes.freeze()
    }

    /// Reads a digest back; `None` for bytes of another form.
    pub fn from_bytes(mut bytes: &[u8]) -> Option<EntryDigest> {
        let length = bytes.len();
        if length != IPV4_DIGEST_BYTES && length != IPV6_DIGEST_BYTES {
            return None;
        }
        let boot_id = bytes.get_u32();
        let port = bytes.get_u16();
        let ip = match length {
            IPV4_DIGEST_BYTES => IpAddr::V4(Ipv4Addr::from_bits(bytes.get_u32())),
            _ => IpAddr::V6(Ipv6Addr::from_bits(bytes.get_u128())),
        };
        Some(EntryDigest { boot_id, peers: SocketAddr::new(ip, port) })
    }
}

/// An entry VM as membership sees it, told to stores of the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMember {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is believed up.
    pub up: bool,
    /// The life of its process.
    pub life: u32,
    /// Its listener for calls between VMs.
    pub peers: SocketAddr,
}

impl EntryMember {
    /// Reads a member; `None` until it has spread its digest.
    pub fn of(member: &Member) -> Option<EntryMember> {
        let digest = EntryDigest::from_bytes(&member.digest)?;
        Some(EntryMember {
            vm: member.vm,
            region: member.region,
            up: member.is_up(),
            life: digest.boot_id,
            peers: digest.peers,
        })
    }

    /// Returns the address that the directory keeps.
    pub fn address(&self) -> EntryAddress {
        EntryAddress { vm: self.vm, region: self.region, peers: self.peers }
    }
}

/// The members, told only to an asker that does not know them: at 390 VMs the list is 36 KB, and
/// it seldom changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Digest of the list.
    pub digest: u64,
    /// The list, absent if the asker named its digest.
    pub members: Option<Vec<EntryMember>>,
}

impl MemberUpdate {
    /// Returns what an asker has to learn that knows the list of digest `known`.
    pub fn since(known: u64, members: Vec<EntryMember>) -> MemberUpdate {
        let text = serde_json::to_vec(&members).unwrap_or_default();
        let digest = xxh3_64(&text);
        MemberUpdate { digest, members: (digest != known).then_some(members) }
    }
}

/// Returns the membership addresses that a process asks first.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let others = settings.peers.iter().filter(|peer| peer.vm != settings.vm.id);
    others.map(|peer| peer.gossip).filter(|address| address.port() != 0).collect()
}
