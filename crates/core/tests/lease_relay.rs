//! Relays with real bundles: deltas, mismatched contents and invalid signatures.

use std::time::Duration;

use bytes::Bytes;
use gypsumglade_core::bundle::{Digest, KeyPair, OperatorKeys};
use gypsumglade_core::control::{History, Revision};
use gypsumglade_core::lease::{ConfigGrants, LeaseSettings, Relay, RelayError, serve};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::confirm_reply::Body;
use gypsumglade_core::wire::control::{ConfirmReply, Delta};

const NOW: Time = Time::from_millis(1_000);

fn operator() -> KeyPair {
    KeyPair::from_seed([1; 32])
}

fn keys(pair: &KeyPair) -> OperatorKeys {
    OperatorKeys { keys: vec![pair.public()], threshold: 1 }
}

fn revision(number: u64) -> Revision {
    let content: Bytes = format!("version: \"{number}\"\n# a line that stays the same\n").into();
    let digest = Digest::of(&content);
    let version = number.to_compact_string();
    let signatures = vec![operator().sign_bundle(&digest, &version)];
    let number = RevisionNumber(number);
    let base = RevisionNumber(number.0 - 1);
    Revision { number, version, digest, content, signatures, origin: None, base }
}

/// The control leader's side.
struct Leader {
    history: History,
    grants: ConfigGrants,
}

impl Leader {
    fn new() -> Leader {
        let grants = ConfigGrants::new(LeaseSettings::default());
        Leader { history: History::new(8), grants }
    }

    fn answer(&mut self, relay: &mut Relay) -> ConfirmReply {
        let request = relay.next_request(NOW).expect("a request is due");
        let length = LeaseSettings::default().length();
        serve(&self.history, &mut self.grants, length, &request, NOW)
    }
}

fn relay(vm: u32) -> Relay {
    Relay::new(LeaseSettings::default(), VmId(vm), 1, NOW)
}

/// Brings a relay to the leader's revision with a lease.
fn confirm(leader: &mut Leader, relay: &mut Relay) {
    for _ in 0..2 {
        let reply = leader.answer(relay);
        relay.handle_reply(reply, &keys(&operator()), NOW).expect("the reply verifies");
    }
}

#[test]
fn reply_applies_a_delta() {
    let (mut leader, mut relay) = (Leader::new(), relay(1));
    leader.history.push(revision(1));
    confirm(&mut leader, &mut relay);
    leader.history.push(revision(2));
    relay.hint(RevisionNumber(2), NOW);
    let reply = leader.answer(&mut relay);
    let Some(Body::Update(update)) = &reply.body else { panic!("revision 2 is newer") };
    assert!(
        update.delta.is_some() && update.revision.as_ref().expect("a revision").content.is_empty()
    );
    let bundle = relay.handle_reply(reply, &keys(&operator()), NOW).expect("the reply verifies");
    assert_eq!(bundle.map(|bundle| bundle.version), Some("2".into()));
    assert_eq!(relay.lease().working_revision(NOW), Some(RevisionNumber(2)));
}

#[test]
fn reply_with_mismatched_delta_is_followed_by_full_content() {
    // A delta for another base, or a damaged one, fails the digest check, and the next request gets
    // the whole content.
    let (mut leader, mut relay) = (Leader::new(), relay(1));
    leader.history.push(revision(1));
    confirm(&mut leader, &mut relay);
    leader.history.push(revision(2));
    relay.hint(RevisionNumber(2), NOW);
    let mut reply = leader.answer(&mut relay);
    let Some(Body::Update(update)) = &mut reply.body else { panic!("revision 2 is newer") };
    update.delta = Some(Delta::default());
    let result = relay.handle_reply(reply, &keys(&operator()), NOW);
    assert_eq!(result, Err(RelayError::DeltaMismatch));
    relay.hint(RevisionNumber(2), NOW);
    confirm(&mut leader, &mut relay);
    assert_eq!(relay.lease().working_revision(NOW), Some(RevisionNumber(2)));
}

#[test]
fn reply_not_signed_by_own_operators_gives_no_lease() {
    // A bundle that isn't signed by this VM's own operators must not give it a lease.
    let (mut leader, mut relay) = (Leader::new(), relay(1));
    leader.history.push(revision(1));
    let reply = leader.answer(&mut relay);
    let stranger = KeyPair::from_seed([2; 32]);
    let result = relay.handle_reply(reply, &keys(&stranger), NOW);
    assert!(matches!(result, Err(RelayError::Refused(_))));
    assert_eq!(relay.lease().working_revision(NOW), None);
}

#[test]
fn serve_without_own_lease_is_unavailable() {
    // A relay without a lease of its own can't grant one.
    let (mut leader, mut relay, mut child) = (Leader::new(), relay(1), relay(2));
    leader.history.push(revision(1));
    confirm(&mut leader, &mut relay);
    confirm(&mut leader, &mut child);
    let later = NOW + LeaseSettings::default().length();
    let request = child.next_request(later).expect("a request is due");
    let reply = relay.serve(&request, later);
    assert!(matches!(reply.body, Some(Body::Unavailable(_))));
}

/// Guards against a VM that refuses callers for a whole interval because the control group had no
/// leader at its first request.
#[test]
fn next_request_sooner_without_lease() {
    let interval = LeaseSettings::default().interval();
    let mut relay = relay(2);
    relay.next_request(NOW).expect("the first request is due");
    assert!(relay.next_request(NOW + interval / 2).is_some());
}

#[test]
fn next_request_at_interval_with_lease() {
    let mut leader = Leader::new();
    leader.history.push(revision(1));
    let interval = LeaseSettings::default().interval();
    let mut relay = relay(2);
    confirm(&mut leader, &mut relay);
    relay.next_request(NOW + interval / 2).expect("the request before had no lease yet");
    assert!(relay.next_request(NOW + interval).is_none());
    assert!(relay.next_request(NOW + interval * 3 / 2).is_some());
}

/// Guards against a VM that stays on a replaced bundle because its parent is cut off from the
/// control group, though the VM itself can reach it.
#[test]
fn reply_of_cut_off_relay_fails_over() {
    let settings =
        LeaseSettings { length_ms: 10_000, interval_ms: 400, ..LeaseSettings::default() };
    let new = |vm| Relay::new(settings, VmId(vm), 1, NOW);
    let (mut history, mut grants) = (History::new(8), ConfigGrants::new(settings));
    history.push(revision(1));
    let (mut parent, mut child) = (new(1), new(2));
    let mut now = NOW;
    let mut applied_at = None;
    // The parent is cut off at 2 s, and the next revision is committed then.
    let cut = NOW + Duration::from_millis(2_000);
    while applied_at.is_none() {
        now = now + Duration::from_millis(10);
        if now >= cut && history.number() < RevisionNumber(2) {
            history.push(revision(2));
        }
        if now < cut
            && let Some(request) = parent.next_request(now)
        {
            let reply = serve(&history, &mut grants, settings.length(), &request, now);
            parent.handle_reply(reply, &keys(&operator()), now).expect("the reply verifies");
        }
        // Alternates like an entry VM: first the parent, after a failure the control leader.
        let asks_leader = child.lease().failures() % 2 == 1;
        if let Some(request) = child.next_request(now) {
            let reply = match asks_leader {
                true => serve(&history, &mut grants, settings.length(), &request, now),
                false => parent.serve(&request, now),
            };
            child.handle_reply(reply, &keys(&operator()), now).expect("the reply verifies");
        }
        applied_at = (child.lease().applied() == RevisionNumber(2)).then_some(now);
    }
    let took = now.since(cut);
    assert!(took <= Duration::from_millis(2_000), "the new revision was applied after {took:?}");
}

/// Guards against load on the leader that grows with the number of VMs: a VM with a healthy parent
/// must not count failures, which would make it ask the leader.
#[test]
fn reply_of_healthy_relay_keeps_parent() {
    let settings =
        LeaseSettings { length_ms: 10_000, interval_ms: 400, ..LeaseSettings::default() };
    let (mut history, mut grants) = (History::new(8), ConfigGrants::new(settings));
    history.push(revision(1));
    let mut path: Vec<Relay> = (1..=3).map(|vm| Relay::new(settings, VmId(vm), 1, NOW)).collect();
    for step in 0..2_000 {
        let now = NOW + Duration::from_millis(step * 10);
        for place in 0..path.len() {
            let Some(request) = path[place].next_request(now) else { continue };
            let reply = match place.checked_sub(1) {
                Some(above) => path[above].serve(&request, now),
                None => serve(&history, &mut grants, settings.length(), &request, now),
            };
            path[place].handle_reply(reply, &keys(&operator()), now).expect("the reply verifies");
            let steady = step > 200;
            assert!(!steady || path[place].lease().failures() == 0, "VM {place} at {step}");
        }
    }
}
