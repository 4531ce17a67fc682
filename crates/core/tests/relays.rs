//! Choice of the stores that pass on the control group's news.

use std::collections::BTreeMap;

use gypsumglade_core::control::{Control, PAGE_CHANGES, RelayedNews};
use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::{MIN_STORES, Source, entry_sources, keeps_to_relay, store_sources};
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{Command, EndpointRecord, Register};

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn stores(count: u32) -> Vec<StoreInfo> {
    let store = |number: u32| StoreInfo {
        vm: VmId(1 + number.wrapping_mul(2_654_435_761) % 1_000_003),
        domain: DOMAINS[number as usize % DOMAINS.len()].into(),
        region: "r".into(),
        retiring: false,
    };
    (0..count).map(store).collect()
}

/// Returns how many of the entry VMs ask each process first.
fn first_choices(entries: u32, stores: &[StoreInfo]) -> BTreeMap<String, usize> {
    let mut asked = BTreeMap::new();
    for number in 0..entries {
        let domain = DOMAINS[number as usize % DOMAINS.len()];
        let first = entry_sources(VmId(1_000_000_000 + number), domain, stores)[0];
        *asked.entry(format!("{first:?}")).or_default() += 1;
    }
    asked
}

/// Every entry VM asked the leader, whose processor was used up by some hundred of them.
#[test]
fn entry_sources_leave_leader_alone() {
    let stores = stores(120);
    for entries in [50, 200, 1_000] {
        let asked = first_choices(entries, &stores);
        assert_eq!(asked.get("Leader"), None, "of {entries} entry VMs");
        let most = asked.values().max().copied().unwrap_or_default();
        let share = (entries as usize).div_ceil(stores.len());
        assert!(most <= 4 * share, "{most} of {entries} ask one relay, {share} would be even");
    }
}

/// The entry VMs of a failed relay all moved to the same other one.
#[test]
fn entry_sources_spread_after_failure() {
    let stores = stores(120);
    let failed = stores[0].clone();
    let rest: Vec<StoreInfo> = stores.iter().filter(|store| **store != failed).cloned().collect();
    let relay = format!("{:?}", Source::Relay(failed.vm));
    let before = first_choices(1_000, &stores);
    let after = first_choices(1_000, &rest);
    let gained = after.iter().filter(|(name, count)| before.get(*name) < Some(count)).count();

    assert!(before[&relay] >= 4);
    assert!(gained >= before[&relay] / 2, "{gained} relays share {}", before[&relay]);
}

/// Every store asked the leader too.
#[test]
fn store_sources_are_bounded() {
    for count in [24, 120, 240] {
        let stores = stores(count);
        let of = |store: &StoreInfo| store_sources(store.vm, &store.domain, &stores);
        let direct = stores.iter().filter(|store| of(store)[0] == Source::Leader).count();
        assert_eq!(direct, DOMAINS.len(), "of {count} stores ask the leader");
        for store in &stores {
            let sources = of(store);
            assert_eq!(sources.last(), Some(&Source::Leader));
            for source in &sources {
                let Source::Relay(vm) = source else { continue };
                assert!(*vm < store.vm, "stores that follow each other would keep old news alive");
            }
        }
    }
}

/// A small deployment has no relays: they would only add a step.
#[test]
fn sources_small_deployment() {
    let stores = stores(MIN_STORES as u32 - 1);
    assert_eq!(entry_sources(VmId(9), "a", &stores), [Source::Leader]);
    assert_eq!(store_sources(stores[3].vm, &stores[3].domain, &stores), [Source::Leader]);
}

/// Endpoints of the test below, some pages of them.
const ENDPOINTS: u64 = 2_560;
/// Interval at which each store asks.
const STEP: Duration = Duration::from_millis(50);

/// A store that has restarted and fetches the list of endpoints.
#[derive(Default)]
struct Follower {
    news: RelayedNews,
    position: usize,
    moved: Time,
}

fn leader_with_endpoints() -> Control {
    let mut control = Control::new();
    for number in 0..ENDPOINTS {
        let endpoint = EndpointRecord {
            name: format!("endpoint-{number}"),
            incarnation: 1,
            sequence: 1,
            address: format!("10.0.0.1:{number}"),
            ..EndpointRecord::default()
        };
        let body = Some(Body::Register(Register { endpoint: Some(endpoint) }));
        control.apply(&Command { body });
    }
    control
}

/// After all processes had restarted, stores that found their relay without a list turned to the leader.
/// It sent the list to each of them, page by page, and was too busy for that to end.
#[test]
fn restart_list_from_leader_once_per_domain() {
    let control = leader_with_endpoints();
    let pages = ENDPOINTS.div_ceil(PAGE_CHANGES as u64) as usize;
    let list = control.endpoints().list();
    let mut stores = stores(120);
    stores.sort_by_key(|store| store.vm);
    let mut followers: BTreeMap<VmId, Follower> =
        stores.iter().map(|store| (store.vm, Follower::default())).collect();
    let (mut now, mut from_leader) = (Time::from_millis(1), 0);
    while followers.values().any(|follower| !follower.news.has_list()) {
        for store in &stores {
            let sources = store_sources(store.vm, &store.domain, &stores);
            let follower = &followers[&store.vm];
            let (query, has_list) = (follower.news.query(), follower.news.has_list());
            let source = sources[follower.position % sources.len()];
            let answer = match source {
                Source::Leader => {
                    from_leader += usize::from(!has_list);
                    Some(list.page(query.seen, query.since, PAGE_CHANGES))
                }
                Source::Relay(vm) => followers[&vm].news.answer(now, &query),
            };
            let follower = followers.get_mut(&store.vm).expect("each store follows");
            match answer {
                Some(page) => follower.news.merge(now, now, &page),
                None if keeps_to_relay(has_list, now.since(follower.moved)) => {}
                None => (follower.position, follower.moved) = (follower.position + 1, now),
            }
        }
        now = now + STEP;
    }
    assert_eq!(from_leader, DOMAINS.len() * pages);
}

/// A process that has a list must not wait for a relay that is cut off: it would send calls to endpoints
/// that have left.
#[test]
fn keeps_to_relay_without_list_only() {
    assert!(!keeps_to_relay(true, Duration::ZERO));
    assert!(keeps_to_relay(false, Duration::ZERO));
    assert!(!keeps_to_relay(false, Duration::from_secs(4)), "the relay may be cut off");
}
