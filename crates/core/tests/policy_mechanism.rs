//! Tests of switching off single mechanisms.

use gypsumglade_core::policy::mechanism::{Mechanism, Mechanisms};

#[test]
fn has_all_by_default() {
    assert!(Mechanism::ALL.iter().all(|mechanism| Mechanisms::default().has(*mechanism)));
}

/// An ablation must switch off exactly the named mechanism, or it would measure the effect of
/// another one.
#[test]
fn without_only_those_named() {
    for off in Mechanism::ALL {
        let mechanisms = Mechanisms::without(&[off]);
        for other in Mechanism::ALL {
            assert_eq!(mechanisms.has(other), other != off, "{off:?} off, {other:?}");
        }
    }
}
