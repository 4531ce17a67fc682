//! Entry VMs as VM membership reports them to the rest of the process.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::EntryAddress;
use crate::membership::Member;
use crate::settings::Settings;

/// Metadata that an entry VM publishes through the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryDigest {
    /// Random number drawn at each start of the process.
    ///
    /// A change means that the process restarted, and that calls of the earlier one are lost.
    pub boot_id: u32,
    /// Address of its listener for calls between VMs.
    pub peers: SocketAddr,
}

/// Encoded size of a digest with an IPv4 address.
const IPV4_DIGEST_BYTES: usize = 10;
/// Encoded size of a digest with an IPv6 address.
const IPV6_DIGEST_BYTES: usize = 22;

impl EntryDigest {
    /// Encodes the digest.
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

    /// Decodes a digest. Returns `None` if the length is not that of a digest.
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

/// State of an entry VM according to membership, as entries report it to stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMember {
    /// Identity of the VM.
    pub vm: VmId,
    /// Region that the VM is in.
    pub region: RegionId,
    /// True unless membership considers the VM down.
    pub up: bool,
    /// Boot id of its process, see [`EntryDigest::boot_id`].
    pub boot_id: u32,
    /// Address of its listener for calls between VMs.
    pub peers: SocketAddr,
}

impl EntryMember {
    /// Converts a member. Returns `None` if it has not published a digest yet.
    pub fn of(member: &Member) -> Option<EntryMember> {
        let digest = EntryDigest::from_bytes(&member.digest)?;
        Some(EntryMember {
            vm: member.vm,
            region: member.region,
            up: member.is_up(),
            boot_id: digest.boot_id,
            peers: digest.peers,
        })
    }

    /// Returns the member's entry in the directory.
    pub fn address(&self) -> EntryAddress {
        EntryAddress { vm: self.vm, region: self.region, peers: self.peers }
    }
}

/// The list of entry VMs, left out if the caller already has it.
///
/// The list grows with the number of VMs and seldom changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Hash of the list.
    pub digest: u64,
    /// The list, or `None` if the caller's digest matches.
    pub members: Option<Vec<EntryMember>>,
}

impl MemberUpdate {
    /// Creates the update for a caller whose list has the digest `known`.
    pub fn since(known: u64, members: Vec<EntryMember>) -> MemberUpdate {
        let text = serde_json::to_vec(&members).unwrap_or_default();
        let digest = xxh3_64(&text);
        MemberUpdate { digest, members: (digest != known).then_some(members) }
    }
}

/// Returns the membership addresses through which a process joins the other VMs.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let others = settings.peers.iter().filter(|peer| peer.vm != settings.vm.id);
    others.map(|peer| peer.gossip).filter(|address| address.port() != 0).collect()
}
