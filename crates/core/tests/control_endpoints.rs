//! Endpoint registration in the control group's log, and the changes that entries are sent.

use gypsumglade_core::control::{Control, PAGE_CHANGES};
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{
    Command, Deregister, EndpointNews, EndpointRecord, Expire, Register, Retire,
};

fn record(name: &str, incarnation: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        name: name.to_owned(),
        incarnation,
        sequence,
        pool: "models".to_owned(),
        address: format!("10.0.0.1:{}", 8_000 + name.len()),
        domain: "a".to_owned(),
        slots: 8,
        leaving: false,
        change: 0,
    }
}

/// Returns the page for a caller that knows the list up to `seen`.
fn page(control: &Control, seen: u64) -> EndpointNews {
    control.endpoints().list().page(seen, seen, PAGE_CHANGES)
}

fn register(control: &mut Control, endpoint: EndpointRecord) {
    let register = Register { endpoint: Some(endpoint) };
    control.apply(&Command { body: Some(Body::Register(register)) });
}

fn deregister(control: &mut Control, name: &str, incarnation: u64) {
    let gone = Deregister { name: name.to_owned(), incarnation };
    control.apply(&Command { body: Some(Body::Deregister(gone)) });
}

fn expire(control: &mut Control, name: &str, incarnation: u64, sequence: u64) {
    let silent = Expire { name: name.to_owned(), incarnation, sequence };
    control.apply(&Command { body: Some(Body::Expire(silent)) });
}

fn names(control: &Control) -> Vec<&str> {
    control.endpoints().iter().map(|record| record.name.as_str()).collect()
}

#[test]
fn register_new() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));

    assert_eq!(names(&control), ["one"]);
    assert_eq!(control.endpoints().change(), 1);
}

#[test]
fn register_renewal_is_no_change() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));

    assert!(!control.endpoints().is_update(&record("one", 5, 2)));
    register(&mut control, record("one", 5, 2));
    assert_eq!(control.endpoints().change(), 1, "a renewal is not a change");
}

/// Guards against a delayed report that undoes draining and sends new calls to an endpoint that is
/// about to stop.
#[test]
fn register_late_report_keeps_draining() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 3) });
    register(&mut control, record("one", 5, 2));
    register(&mut control, record("one", 5, 4));

    let found = control.endpoints().get("one").expect("present");
    assert!(found.leaving, "draining lasts until the endpoint restarts");
}

#[test]
fn register_same_name_after_restart() {
    let mut control = Control::new();
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 9) });
    register(&mut control, record("one", 6, 1));

    let found = control.endpoints().get("one").expect("present");
    assert_eq!((found.incarnation, found.leaving), (6, false));
}

/// A delayed report of a crashed endpoint must not take its address from the endpoint that runs
/// there now.
#[test]
fn register_late_report_of_replaced_endpoint() {
    let mut control = Control::new();
    let address = "10.0.0.7:8000".to_owned();
    register(&mut control, EndpointRecord { address: address.clone(), ..record("old", 5, 1) });
    register(&mut control, EndpointRecord { address: address.clone(), ..record("new", 8, 1) });
    assert_eq!(names(&control), ["new"]);

    register(&mut control, EndpointRecord { address, ..record("old", 5, 2) });
    assert_eq!(names(&control), ["new"]);
}

/// A report that arrives after the endpoint deregistered must not register it again.
#[test]
fn deregister_then_late_report() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    deregister(&mut control, "one", 5);
    register(&mut control, record("one", 5, 2));

    assert!(names(&control).is_empty());
    register(&mut control, record("one", 6, 1));
    assert_eq!(names(&control), ["one"], "a later incarnation can register");
}

/// An endpoint that was cut off for longer than its lease never got work again.
#[test]
fn expire_then_later_report() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    expire(&mut control, "one", 5, 4);
    assert!(names(&control).is_empty());

    register(&mut control, record("one", 5, 4));
    assert!(names(&control).is_empty(), "it was sent before the silence");
    register(&mut control, record("one", 5, 5));
    assert_eq!(names(&control), ["one"]);
}

/// An endpoint that drains got work again after it was cut off.
#[test]
fn expire_keeps_draining() {
    let mut control = Control::new();
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 3) });
    expire(&mut control, "one", 5, 3);
    let mut control = Control::restore(&control.snapshot()).expect("the snapshot is valid");
    register(&mut control, record("one", 5, 4));

    assert!(control.endpoints().get("one").expect("present").leaving);
}

/// An endpoint was removed although it had announced itself since it was found silent.
#[test]
fn expire_after_later_report() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 2) });
    expire(&mut control, "one", 5, 1);
    assert_eq!(names(&control), ["one"]);

    expire(&mut control, "one", 4, 9);
    assert_eq!(names(&control), ["one"], "another incarnation was silent");
}

/// A report that took an endpoint's address kept it out of the list for good.
#[test]
fn register_after_address_is_free() {
    let mut control = Control::new();
    let address = "10.0.0.7:8000".to_owned();
    let taken = |name, incarnation, sequence| EndpointRecord {
        address: address.clone(),
        ..record(name, incarnation, sequence)
    };
    register(&mut control, taken("own", 5, 1));
    register(&mut control, taken("other", 8, 1));
    register(&mut control, taken("own", 5, 2));
    assert_eq!(names(&control), ["other"], "the later incarnation has the address");

    expire(&mut control, "other", 8, 1);
    register(&mut control, taken("own", 5, 3));
    assert_eq!(names(&control), ["own"]);
}

/// The endpoint that was first by name was forgotten in place of the one gone for longest.
#[test]
fn deregister_forgets_longest_gone() {
    let mut control = Control::new();
    for name in ["zz", "a"] {
        deregister(&mut control, name, 5);
    }
    for number in 0..4_095 {
        deregister(&mut control, &format!("m{number}"), 5);
    }
    register(&mut control, record("a", 5, 9));
    assert!(names(&control).is_empty(), "it said that it leaves");
    register(&mut control, record("zz", 5, 9));
    assert_eq!(names(&control), ["zz"], "no more than the bound are kept");
}

#[test]
fn deregister_older_incarnation() {
    let mut control = Control::new();
    register(&mut control, record("one", 6, 1));
    deregister(&mut control, "one", 5);

    assert_eq!(names(&control), ["one"]);
}

#[test]
fn changes_since_empty_when_unchanged() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    let changes = page(&control, 0);
    assert_eq!((changes.change, changes.endpoints.len()), (1, 1));

    assert!(page(&control, changes.change).endpoints.is_empty());
}

/// A replica restored from a snapshot must decide like one that applied every command. If their
/// change numbers differed, an entry that asks a new leader could miss changes.
#[test]
fn restore_keeps_departed_and_retiring() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    register(&mut control, record("three", 5, 1));
    deregister(&mut control, "one", 5);
    control.apply(&Command { body: Some(Body::Retire(Retire { vm: 7 })) });

    let mut restored = Control::restore(&control.snapshot()).expect("the snapshot is valid");
    register(&mut restored, record("one", 5, 2));

    assert_eq!(names(&restored), ["three"]);
    assert_eq!(restored.endpoints().change(), control.endpoints().change());
    assert!(restored.is_retiring(gypsumglade_core::ids::VmId(7)));
}

/// Returns the names of endpoints reported as changed and as gone since change `seen`.
fn reported(control: &Control, seen: u64) -> (Vec<String>, Vec<String>) {
    let changes = page(control, seen);
    let removed = changes.removed.into_iter().map(|removal| removal.name);
    (changes.endpoints.into_iter().map(|record| record.name).collect(), removed.collect())
}

/// Guards against sending all endpoints to every entry VM after each change, which would load the
/// links between failure domains.
#[test]
fn changes_since_lists_only_changes() {
    let mut control = Control::new();
    for (index, name) in ["a", "bb", "ccc"].into_iter().enumerate() {
        register(&mut control, record(name, 1 + index as u64, 1));
    }
    let seen = control.endpoints().change();
    register(&mut control, EndpointRecord { leaving: true, ..record("bb", 2, 2) });
    deregister(&mut control, "ccc", 3);

    assert_eq!(reported(&control, seen), (vec!["bb".to_owned()], vec!["ccc".to_owned()]));
    assert!(page(&control, seen).delta);
    assert_eq!(reported(&control, control.endpoints().change()), (Vec::new(), Vec::new()));
}

/// An endpoint that lost its address to another one must be reported as gone, or entry VMs would
/// keep sending calls to it.
#[test]
fn changes_since_lists_evicted() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    let seen = control.endpoints().change();
    register(&mut control, record("two", 6, 1));

    assert_eq!(reported(&control, seen), (vec!["two".to_owned()], vec!["one".to_owned()]));
}

#[test]
fn changes_since_lists_all_for_new_caller() {
    let mut control = Control::new();
    register(&mut control, record("a", 5, 1));
    register(&mut control, record("bb", 6, 1));

    assert!(!page(&control, 0).delta);
    assert_eq!(reported(&control, 0).0, ["a", "bb"]);
}

/// A snapshot doesn't record earlier changes, so a caller that lacks some of them must get the full
/// list, or it would keep endpoints that are gone.
#[test]
fn changes_since_lists_all_after_restore() {
    let mut control = Control::new();
    register(&mut control, record("a", 5, 1));
    let seen = control.endpoints().change();
    register(&mut control, record("bb", 6, 1));
    let restored = Control::restore(&control.snapshot()).expect("the snapshot is valid");

    let changes = page(&restored, seen);
    assert!(!changes.delta);
    assert_eq!(changes.endpoints.len(), 2);
}
