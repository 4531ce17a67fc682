//! Invalid input to membership: arbitrary bytes, invalid rumours and damaged datagrams.

#[path = "membership_harness/mod.rs"]
mod harness;
#[path = "support/property.rs"]
mod property;

use bytes::Bytes;
use gypsumglade_core::membership::{Effect, Input, MAX_DATAGRAM, Membership, Mutation};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::membership as wire;
use harness::{Net, address};
use property::{cases, fixed};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use prost::Message as _;

/// Number of generated cases, unless the environment sets another.
const CASES: u32 = 256;

/// Returns a VM that has joined four others, and the current time.
fn joined() -> (Membership, Time) {
    let mut net = Net::new(5, 0.0, 7, Mutation::None);
    let end = net.now + Duration::from_secs(20);
    assert!(net.run_until(end, Net::agreed));
    let node = net.nodes.remove(&VmId(1)).expect("VMs are numbered from one");
    (node, net.now)
}

/// Delivers a datagram, runs the VM for two minutes and checks every datagram that it sends.
fn feed(node: &mut Membership, now: Time, bytes: Bytes) -> Result<(), TestCaseError> {
    let input = Input::Datagram { from: address(VmId(2)), bytes };
    let mut effects = node.step(now, input);
    let end = now + Duration::from_secs(120);
    let mut at = now;
    for _ in 0..2_000 {
        at = node.next_tick().max(at);
        if at > end {
            break;
        }
        effects.extend(node.step(at, Input::Tick));
    }
    for effect in effects {
        if let Effect::Send { bytes, .. } = effect {
            prop_assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
            prop_assert!(wire::Datagram::decode(bytes).is_ok());
        }
    }
    Ok(())
}

fn number() -> impl Strategy<Value = u32> {
    prop_oneof![0..7_u32, Just(u32::MAX), any::<u32>()]
}

fn rumour() -> impl Strategy<Value = wire::Rumour> {
    let profile = (vec(any::<u8>(), 0..20), number(), vec(any::<u8>(), 0..100), number()).prop_map(
        |(address, place, digest, version)| wire::Profile {
            address: address.into(),
            domain: place,
            region: place,
            digest: digest.into(),
            version,
            incarnation: version,
        },
    );
    let profile = proptest::option::of(profile);
    (number(), number(), -1..6_i32, number(), profile).prop_map(
        |(vm, incarnation, liveness, accuser, profile)| wire::Rumour {
            vm,
            incarnation,
            liveness,
            accuser,
            profile,
        },
    )
}

fn body() -> impl Strategy<Value = Option<wire::datagram::Body>> {
    use wire::datagram::Body;
    (0..7_u8, number(), number()).prop_map(|(kind, sequence, target)| match kind {
        0 => Some(Body::Ping(wire::Ping { sequence, target: Some(target) })),
        1 => Some(Body::Ack(wire::Ack { sequence })),
        2 => Some(Body::PingRequest(wire::PingRequest { sequence, target })),
        3 => Some(Body::Nack(wire::Nack { sequence })),
        4 => Some(Body::PullRequest(wire::PullRequest { start: target })),
        5 => Some(Body::PullReply(wire::PullReply { next: target })),
        _ => None,
    })
}

proptest! {
    #![proptest_config(fixed(75, cases(CASES)))]

    #[test]
    fn step_survives_any_bytes(bytes in vec(any::<u8>(), 0..200)) {
        let (mut node, now) = joined();
        feed(&mut node, now, bytes.into())?;
    }

    #[test]
    fn step_survives_any_rumours(
        from in number(),
        body in body(),
        rumours in vec(rumour(), 0..6),
    ) {
        // A faulty VM that has the key can send any rumour: about itself, the receiver or VMs that
        // don't exist, with incarnations up to the maximum.
        let (mut node, now) = joined();
        let datagram = wire::Datagram { from, body, rumours };
        feed(&mut node, now, datagram.encode_to_vec().into())?;
        prop_assert_eq!(node.me().vm, VmId(1));
    }

    #[test]
    fn step_survives_a_damaged_datagram(
        cut in proptest::option::of(any::<Index>()),
        flips in vec((any::<Index>(), 1..=255_u8), 0..4),
    ) {
        let (mut node, now) = joined();
        let mut other = Net::new(2, 0.0, 8, Mutation::None);
        let end = other.now + Duration::from_secs(5);
        other.run_until(end, Net::agreed);
        let sender = other.nodes.get_mut(&VmId(2)).expect("VM 2 is running");
        let sent = sender.step(end + Duration::from_secs(5), Input::Tick);
        for effect in sent {
            let Effect::Send { bytes, .. } = effect else { continue };
            let mut bytes = bytes.to_vec();
            for (at, flip) in &flips {
                let at = at.index(bytes.len());
                bytes[at] ^= flip;
            }
            if let Some(cut) = &cut {
                bytes.truncate(cut.index(bytes.len()));
            }
            feed(&mut node, now, bytes.into())?;
        }
    }
}
