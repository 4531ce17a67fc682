//! Ids that callers choose, under the owners that the system has checked.

use gypsumglade_core::turns::QualifiedId;
use proptest::prelude::*;

/// Owners as the bundle names them, and ids that look like qualified ones.
fn owned_id() -> impl Strategy<Value = (Option<String>, String)> {
    let owner = proptest::option::of("[a-b.]{1,2}");
    let id = "[a-b./]{0,5}";
    (owner, id)
}

fn qualified(owned: &(Option<String>, String)) -> QualifiedId {
    QualifiedId::new(owned.0.as_deref(), &owned.1)
}

proptest! {
    /// An id that a caller chose was taken for that of another owner.
    #[test]
    fn new_distinct_owners(a in owned_id(), b in owned_id()) {
        prop_assert_eq!(qualified(&a) == qualified(&b), a == b);
    }
}

/// A caller without an organisation wrote an organisation's qualified id.
#[test]
fn new_without_owner() {
    let owned = QualifiedId::new(Some("acme"), "t1");
    assert_ne!(QualifiedId::new(None, owned.as_str()), owned);
    assert_ne!(QualifiedId::new(None, ""), QualifiedId::new(Some("acme"), ""));
}
