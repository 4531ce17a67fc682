//! What is known of one VM, and which of two pieces of news about it is the newer.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};

use super::MAX_DIGEST;
use super::suspicion::Suspicion;
use crate::prelude::*;
use crate::wire::membership as wire;
use crate::wire::membership::Liveness;

/// A VM as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// Where its membership listener is.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is believed to be up.
    pub liveness: Liveness,
    /// Grows when the VM objects to being called suspect or dead.
    pub incarnation: u32,
    /// Opaque bytes that it spreads about itself.
    pub digest: Bytes,
}

impl Member {
    /// Returns true for a VM that takes part, suspected or not.
    pub fn is_up(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }
}

/// A member with what the protocol needs beside it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub member: Member,
    /// Incarnation and version of the profile held.
    pub profile: (u32, u32),
    pub suspicion: Option<Suspicion>,
    /// When the liveness last changed.
    pub changed: Time,
}

/// What news did to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// Nothing new.
    Stale,
    /// Another profile, same liveness.
    Profile,
    /// Another liveness or incarnation.
    Liveness,
    /// A VM heard of for the first time.
    New,
}

impl Record {
    /// Makes the record of a VM heard of for the first time, or `None` if the news can't be
    /// used: a VM whose address isn't told, or one that is gone already.
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

    /// Takes news about this VM if it is newer than what is held.
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

    /// Returns the rumour that tells this record.
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

/// Within one incarnation, worse news wins: only the VM itself may object, by a higher one.
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
