//! Endpoints in the control group's log.

use gypsumglade_core::control::Control;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{Command, Deregister, EndpointRecord, Register, Retire};

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
    }
}

fn register(control: &mut Control, endpoint: EndpointRecord) {
    let register = Register { endpoint: Some(endpoint) };
    control.apply(&Command { body: Some(Body::Register(register)) });
}

fn deregister(control: &mut Control, name: &str, incarnation: u64) {
    let gone = Deregister { name: name.to_owned(), incarnation };
    control.apply(&Command { body: Some(Body::Deregister(gone)) });
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
    assert_eq!(control.endpoints().change(), 1, "entries are not told what they know");
}

/// An endpoint says that it drains, and an entry stops sending to it. A report from before, held up
/// on the way, then arrives. Taken for news, it would bring new calls to an endpoint that is about
/// to end.
#[test]
fn register_late_report_keeps_draining() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 3) });
    register(&mut control, record("one", 5, 2));
    register(&mut control, record("one", 5, 4));

    let found = control.endpoints().get("one").expect("present");
    assert!(found.leaving, "draining holds for the rest of a start");
}

#[test]
fn register_same_name_after_restart() {
    let mut control = Control::new();
    register(&mut control, EndpointRecord { leaving: true, ..record("one", 5, 9) });
    register(&mut control, record("one", 6, 1));

    let found = control.endpoints().get("one").expect("present");
    assert_eq!((found.incarnation, found.leaving), (6, false));
}

/// An endpoint crashes and its address goes to another. A report of the first one was held back by
/// a partition and arrives now. It must not take the address away from the endpoint that runs there.
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

/// An endpoint said goodbye; its last report overtook the goodbye's way round and comes after it.
#[test]
fn deregister_then_late_report() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    deregister(&mut control, "one", 5);
    register(&mut control, record("one", 5, 2));

    assert!(names(&control).is_empty());
    register(&mut control, record("one", 6, 1));
    assert_eq!(names(&control), ["one"], "a later start is welcome");
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
    let changes = control.endpoints().changes_since(0);
    assert_eq!((changes.change, changes.endpoints.len()), (1, 1));

    assert!(control.endpoints().changes_since(changes.change).endpoints.is_empty());
}

/// A replica that was restored from a snapshot must decide like those that applied every command:
/// otherwise their numbers of changes differ, and an entry that asks another leader is told that
/// nothing changed.
#[test]
fn restore_keeps_departed_and_retiring() {
    let mut control = Control::new();
    register(&mut control, record("one", 5, 1));
    register(&mut control, record("three", 5, 1));
    deregister(&mut control, "one", 5);
    control.apply(&Command { body: Some(Body::Retire(Retire { vm: 7 })) });

    let mut restored = Control::restore(&control.snapshot()).expect("readable");
    register(&mut restored, record("one", 5, 2));

    assert_eq!(names(&restored), ["three"]);
    assert_eq!(restored.endpoints().change(), control.endpoints().change());
    assert!(restored.is_retiring(gypsumglade_core::ids::VmId(7)));
}

/// Names of the endpoints that are told of, and of those told as gone.
fn reported(control: &Control, seen: u64) -> (Vec<String>, Vec<String>) {
    let changes = control.endpoints().changes_since(seen);
    (changes.endpoints.into_iter().map(|record| record.name).collect(), changes.gone)
}

/// Endpoints are replaced one after another, and every entry VM asks after each change. What it is
/// told must be what changed, or a deployment's own messages fill the links between its failure
/// domains.
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
    assert!(control.endpoints().changes_since(seen).delta);
    assert_eq!(reported(&control, control.endpoints().change()), (Vec::new(), Vec::new()));
}

/// An address is taken over by another endpoint. The former one must not go on getting calls at an
/// entry VM that is told only of changes.
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

    assert!(!control.endpoints().changes_since(0).delta);
    assert_eq!(reported(&control, 0).0, ["a", "bb"]);
}

/// A leader was restored from a snapshot, which does not say what the changes before it touched. An
/// asker that lacks some of them must be told all, or it would keep endpoints that are gone.
#[test]
fn changes_since_lists_all_after_restore() {
    let mut control = Control::new();
    register(&mut control, record("a", 5, 1));
    let seen = control.endpoints().change();
    register(&mut control, record("bb", 6, 1));
    let restored = Control::restore(&control.snapshot()).expect("own snapshot");

    let changes = restored.endpoints().changes_since(seen);
    assert!(!changes.delta);
    assert_eq!(changes.endpoints.len(), 2);
}
