//! Tests of when endpoints are announced to the registry again.

use gypsumglade_core::policy::registry::Renewal;
use gypsumglade_core::prelude::*;

const NOW: Time = Time::from_millis(1_000);
const FIRST: RevisionNumber = RevisionNumber(15);

/// A renewal stays due until it is recorded. If asking alone counted as done, the registry of an
/// entry VM that has just started would stay empty until the next interval.
#[test]
fn is_due_until_recorded() {
    let renewal = Renewal::default();
    assert!(!renewal.is_due(NOW, None));
    assert!(renewal.is_due(NOW, Some(FIRST)));
}

#[test]
fn is_due_with_another_bundle() {
    let mut renewal = Renewal::default();
    renewal.record(NOW, FIRST);
    assert!(!renewal.is_due(NOW, Some(FIRST)));
    assert!(renewal.is_due(NOW, Some(RevisionNumber(16))));
}

#[test]
fn is_due_after_interval_and_on_request() {
    let mut renewal = Renewal::default();
    renewal.record(NOW, FIRST);
    assert!(renewal.is_due(NOW + Duration::from_secs(11), Some(FIRST)));
    assert!(!renewal.is_pending());
    renewal.make_due();
    assert!(renewal.is_pending());
    assert!(renewal.is_due(NOW, Some(FIRST)));
}
