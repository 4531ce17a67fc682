//! State of one VM, and the merging of updates about it.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};

use super::MAX_DIGEST;
use super::suspicion::Suspicion;
use crate::prelude::*;
use crate::wire::membership as wire;
use crate::wire::membership::Liveness;

/// State of a VM as known to this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Identity of the VM.
    pub vm: VmId,
    /// Address of its membership listener.
    pub address: SocketAddr,
    /// Failure domain that its settings name.
    pub domain: DomainId,
    /// Region that its settings name.
    pub region: RegionId,
    /// Whether it is alive, suspected, dead or has left.
    pub liveness: Liveness,
    /// Number that the VM increases to refute that it is suspected or dead.
    pub incarnation: u32,
    /// Opaque data that the VM gossips about itself, at most [`MAX_DIGEST`] bytes.
    pub digest: Bytes,
}

impl Member {
    /// Returns `true` if the VM is alive or suspected.
    pub fn is_up(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }
}

/// A member with the protocol's own state.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub member: Member,
    /// Incarnation and version of the stored profile.
    pub profile: (u32, u32),
    pub suspicion: Option<Suspicion>,
    /// When the liveness last changed.
    pub changed: Time,
}

/// Result of merging an update into a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// The update isn't newer than the record.
    Stale,
    /// Only the profile changed.
    Profile,
    /// The liveness or the incarnation changed.
    Liveness,
    /// The VM was unknown.
    New,
}

impl Record {
    /// Creates the record of an unknown VM. Returns `None` if the rumour has no valid address or
    /// the VM isn't up.
    pub fn first(rumour: &wire::Rumour, now: Time) -> Option<Record> {
        let profile = rumour.profile.as_ref()?;
        let member = Member {
            vm: VmId(rumour.vm),
            address: decode_address(&profile.address)?,
            domain: domain(profile),
            region: region(profile),
            liveness: rumour.liveness(),
            incarnation: rumour.incarnation,
            digest: profile.digest.slice(..profile.digest.len().min(MAX_DIGEST)),
        };
        let profile = (profile.incarnation, profile.version);
        member.is_up().then_some(Record { member, profile, suspicion: None, changed: now })
    }

    /// Merges a rumour about this VM if it is newer than the record.
    pub fn merge(&mut self, rumour: &wire::Rumour, now: Time, ignore_order: bool) -> Merged {
        let profile_changed = self.merge_profile(rumour);
        let current = (self.member.incarnation, rank(self.member.liveness));
        let received = (rumour.incarnation, rank(rumour.liveness()));
        let newer = received > current || (ignore_order && received != current);
        if !newer {
            return if profile_changed { Merged::Profile } else { Merged::Stale };
        }
        self.member.incarnation = rumour.incarnation;
        self.member.liveness = rumour.liveness();
        self.changed = now;
        if self.member.liveness != Liveness::Suspect {
            self.suspicion = None;
        }
        Merged::Liveness
    }

    fn merge_profile(&mut self, rumour: &wire::Rumour) -> bool {
        let Some(profile) = &rumour.profile else { return false };
        let received = (profile.incarnation, profile.version);
        let Some(address) = decode_address(&profile.address) else { return false };
        if received <= self.profile {
            return false;
        }
        self.profile = received;
        self.member.address = address;
        self.member.domain = domain(profile);
        self.member.region = region(profile);
        self.member.digest = profile.digest.slice(..profile.digest.len().min(MAX_DIGEST));
        true
    }

    /// Returns the rumour that describes this record.
    pub fn rumour(&self, with_profile: bool) -> wire::Rumour {
        let member = &self.member;
        let profile = with_profile.then(|| wire::Profile {
            address: encode_address(member.address),
            domain: member.domain.0.into(),
            region: member.region.0.into(),
            digest: member.digest.clone(),
            version: self.profile.1,
            incarnation: self.profile.0,
        });
        let accuser = self.suspicion.as_ref().map_or(0, |suspicion| suspicion.accuser().0);
        wire::Rumour {
            vm: member.vm.0,
            incarnation: member.incarnation,
            liveness: member.liveness.into(),
            accuser,
            profile,
        }
    }
}

fn domain(profile: &wire::Profile) -> DomainId {
    DomainId(u16::try_from(profile.domain).unwrap_or(u16::MAX))
}

fn region(profile: &wire::Profile) -> RegionId {
    RegionId(u16::try_from(profile.region).unwrap_or(u16::MAX))
}

/// Returns the precedence of a liveness within one incarnation: the worse state wins, since only
/// the VM itself may refute it, with a higher incarnation.
fn rank(liveness: Liveness) -> u8 {
    match liveness {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
        Liveness::Left => 3,
    }
}

fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::new();
    match address.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(address.port());
    bytes.freeze()
}

fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_at_checked(bytes.len().checked_sub(2)?)?;
    let port = u16::from_be_bytes(port.try_into().ok()?);
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        _ => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
    };
    Some(SocketAddr::new(ip, port))
}
