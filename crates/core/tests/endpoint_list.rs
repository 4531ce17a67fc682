//! The list of endpoints, passed on in pages from the leader through relays.

use std::time::Instant;

use gypsumglade_core::control::{Control, EndpointList, PAGE_CHANGES, RelayedNews};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{
    Command, Deregister, EndpointNews, EndpointQuery, EndpointRecord, Register,
};
use proptest::prelude::*;

/// Endpoints of a large deployment.
const MANY: u32 = 10_000;

fn record(number: u32, incarnation: u64) -> EndpointRecord {
    EndpointRecord {
        name: format!("endpoint-{number}"),
        incarnation,
        sequence: 1,
        pool: "models".to_owned(),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        domain: "a".to_owned(),
        slots: 8,
        leaving: false,
        change: 0,
    }
}

fn register(control: &mut Control, endpoint: EndpointRecord) {
    let register = Register { endpoint: Some(endpoint) };
    control.apply(&Command { body: Some(Body::Register(register)) });
}

fn deregister(control: &mut Control, number: u32, incarnation: u64) {
    let gone = Deregister { name: format!("endpoint-{number}"), incarnation };
    control.apply(&Command { body: Some(Body::Deregister(gone)) });
}

fn answer(control: &Control, query: &EndpointQuery) -> EndpointNews {
    control.endpoints().list().page(query.seen, query.since, PAGE_CHANGES)
}

fn merge(news: &mut RelayedNews, page: &EndpointNews, at: Time) {
    news.merge(at, at, page);
}

/// Fetches pages from the leader until the list is complete; returns their number.
fn catch_up(news: &mut RelayedNews, control: &Control, at: Time) -> usize {
    for pages in 1.. {
        let page = answer(control, &news.query());
        assert!(page.endpoints.len() + page.removed.len() <= PAGE_CHANGES);
        merge(news, &page, at);
        if news.list().change() == control.endpoints().change() && news.list().is_complete() {
            return pages;
        }
    }
    unreachable!("the list grows with each page")
}

fn assert_same(list: &EndpointList, control: &Control) {
    let expected: Vec<_> = control.endpoints().iter().collect();
    assert_eq!(list.iter().collect::<Vec<_>>(), expected);
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// A process that starts in a large deployment was sent all endpoints in one answer, which the leader
/// built for each process at the same time.
#[test]
fn page_large_list() {
    let mut control = Control::new();
    (0..MANY).for_each(|number| register(&mut control, record(number, 1)));
    let mut news = RelayedNews::default();

    assert_eq!(catch_up(&mut news, &control, at(1)), (MANY as usize).div_ceil(PAGE_CHANGES));
    assert_same(news.list(), &control);
}

/// A process fetched the whole list again because the relay that had sent the first pages failed.
#[test]
fn page_continues_at_another_relay() {
    let mut control = Control::new();
    (0..MANY).for_each(|number| register(&mut control, record(number, 1)));
    let mut relays = [RelayedNews::default(), RelayedNews::default()];
    for relay in &mut relays {
        catch_up(relay, &control, at(1));
    }
    let mut client = RelayedNews::default();
    let mut pages = 0;
    while client.list().change() < control.endpoints().change() {
        let relay = &relays[usize::from(pages >= 10)];
        let page = relay.answer(at(1), &client.query()).expect("a relay that is up to date");
        assert_eq!(page.delta, pages > 0, "only the first page begins a list");
        merge(&mut client, &page, at(1));
        pages += 1;
    }

    assert_eq!(pages, (MANY as usize).div_ceil(PAGE_CHANGES));
    assert_same(client.list(), &control);
}

/// An endpoint that left while a list was fetched in pages stayed on it for good.
#[test]
fn page_removal_between_pages() {
    let mut control = Control::new();
    (0..1_000).for_each(|number| register(&mut control, record(number, 1)));
    let mut news = RelayedNews::default();
    let first = answer(&control, &news.query());
    merge(&mut news, &first, at(1));
    deregister(&mut control, 3, 1);
    deregister(&mut control, 990, 1);
    catch_up(&mut news, &control, at(1));

    assert_same(news.list(), &control);
}

/// An endpoint that left while a process had lost contact for long stayed on its list.
#[test]
fn page_whole_list_again_drops_unlisted() {
    let mut control = Control::new();
    (0..600).for_each(|number| register(&mut control, record(number, 1)));
    let mut news = RelayedNews::default();
    catch_up(&mut news, &control, at(1));
    deregister(&mut control, 7, 1);
    register(&mut control, record(8, 2));
    // A restored leader knows no removals.
    let control = Control::restore(&control.snapshot()).expect("the snapshot is valid");

    assert!(!answer(&control, &news.query()).delta);
    catch_up(&mut news, &control, at(1));
    assert_same(news.list(), &control);
}

/// A relay fetched its first pages from a leader that knew a removal, and the last one from a leader
/// restored without it. It then passed on its list as if nothing had been removed.
#[test]
fn page_restored_leader_between_pages() {
    let mut control = Control::new();
    register(&mut control, record(9, 1));
    let mut entry = RelayedNews::default();
    catch_up(&mut entry, &control, at(1));
    [10, 0, 1].into_iter().for_each(|number| register(&mut control, record(number, 1)));
    deregister(&mut control, 9, 1);
    let mut relay = RelayedNews::default();
    merge(&mut relay, &control.endpoints().list().page(0, 0, 3), at(1));
    let control = Control::restore(&control.snapshot()).expect("the snapshot is valid");
    catch_up(&mut relay, &control, at(1));
    let page = relay.answer(at(1), &entry.query()).expect("up to date");
    merge(&mut entry, &page, at(1));

    assert_same(entry.list(), &control);
}

/// Each announcement walked all endpoints, so that a leader of many spent its processor on them.
#[test]
fn register_cost_per_endpoint_is_flat() {
    let cost = |count: u32| {
        let mut control = Control::new();
        let began = Instant::now();
        for number in 0..count {
            assert!(control.endpoints().is_update(&record(number, 1)));
            register(&mut control, record(number, 1));
        }
        began.elapsed().as_secs_f64() / f64::from(count)
    };
    cost(1_000);

    // Walking all endpoints would cost 16 times as much each.
    assert!(cost(16_000) < 5.0 * cost(1_000));
}

/// A relay that is cut off kept its entry VMs on a list without an endpoint's leaving.
#[test]
fn answer_refused_when_old() {
    let mut control = Control::new();
    register(&mut control, record(1, 1));
    let mut relay = RelayedNews::default();
    assert!(relay.answer(at(0), &EndpointQuery::default()).is_none(), "nothing is known yet");
    catch_up(&mut relay, &control, at(5_000));

    assert!(relay.answer(at(6_000), &EndpointQuery::default()).is_some());
    assert!(relay.answer(at(6_001), &EndpointQuery::default()).is_none());
}

/// A relay that lagged would have taken an entry VM back to an older list.
#[test]
fn answer_refused_when_behind() {
    let mut control = Control::new();
    register(&mut control, record(1, 1));
    let mut relay = RelayedNews::default();
    catch_up(&mut relay, &control, at(1));
    let query = EndpointQuery { seen: 2, since: 2, ..EndpointQuery::default() };

    assert!(relay.answer(at(1), &query).is_none());
}

/// The ages of a chain of relays were not added up, so that the last one could be late by all of them.
#[test]
fn answer_age_adds_up() {
    let mut control = Control::new();
    register(&mut control, record(1, 1));
    let mut first = RelayedNews::default();
    catch_up(&mut first, &control, at(1_000));
    let page = first.answer(at(1_600), &EndpointQuery::default()).expect("recent");
    assert_eq!(page.age_ms, 600);
    let mut second = RelayedNews::default();
    second.merge(at(1_600), at(1_600) - Duration::from_millis(page.age_ms), &page);

    assert!(second.answer(at(2_000), &EndpointQuery::default()).is_some());
    assert!(second.answer(at(2_001), &EndpointQuery::default()).is_none());
}

#[derive(Clone, Debug)]
enum Step {
    Register(u32, u64),
    Leave(u32, u64),
    Deregister(u32, u64),
    /// A replica restored from a snapshot leads from now on.
    Restore,
    /// A relay fetches a page from the leader.
    Fetch(usize),
    /// A relay starts again without a list.
    Restart(usize),
    /// The entry VM fetches a page from a relay.
    Ask(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let endpoint = (0..12_u32, 1..4_u64);
    let step = prop_oneof![
        4 => endpoint.clone().prop_map(|(number, incarnation)| Step::Register(number, incarnation)),
        1 => endpoint.clone().prop_map(|(number, incarnation)| Step::Leave(number, incarnation)),
        2 => endpoint.prop_map(|(number, incarnation)| Step::Deregister(number, incarnation)),
        1 => Just(Step::Restore),
        4 => (0..2_usize).prop_map(Step::Fetch),
        1 => (0..2_usize).prop_map(Step::Restart),
        4 => (0..2_usize).prop_map(Step::Ask),
    ];
    proptest::collection::vec(step, 1..120)
}

fn run(steps: &[Step]) -> (Control, [RelayedNews; 2], RelayedNews) {
    const PAGE: usize = 3;
    let mut control = Control::new();
    let mut relays = [RelayedNews::default(), RelayedNews::default()];
    let mut entry = RelayedNews::default();
    for (sequence, step) in (1..).zip(steps) {
        match *step {
            Step::Register(number, incarnation) => {
                register(&mut control, EndpointRecord { sequence, ..record(number, incarnation) });
            }
            Step::Leave(number, incarnation) => {
                let leaving =
                    EndpointRecord { sequence, leaving: true, ..record(number, incarnation) };
                register(&mut control, leaving);
            }
            Step::Deregister(number, incarnation) => deregister(&mut control, number, incarnation),
            Step::Restore => control = Control::restore(&control.snapshot()).expect("valid"),
            Step::Fetch(relay) => {
                let query = relays[relay].query();
                let page = control.endpoints().list().page(query.seen, query.since, PAGE);
                merge(&mut relays[relay], &page, at(1));
            }
            Step::Restart(relay) => relays[relay] = RelayedNews::default(),
            Step::Ask(relay) => {
                if let Some(page) = relays[relay].answer(at(1), &entry.query()) {
                    merge(&mut entry, &page, at(1));
                }
            }
        }
    }
    (control, relays, entry)
}

proptest! {
    /// Whatever fails in between, an entry VM ends with the leader's list.
    #[test]
    fn page_converges_to_leader(steps in steps()) {
        let (control, mut relays, mut entry) = run(&steps);
        for _ in 0..2 {
            catch_up(&mut relays[0], &control, at(1));
            for _ in 0..20 {
                let page = relays[0].answer(at(1), &entry.query()).expect("up to date");
                merge(&mut entry, &page, at(1));
            }
        }
        assert_same(relays[0].list(), &control);
        assert_same(entry.list(), &control);
    }
}
