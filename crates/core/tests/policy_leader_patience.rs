//! Patience with a leader that answers late.

use gypsumglade_core::policy::leader_patience::LeaderPatience;
use gypsumglade_core::prelude::*;

/// Commands that a leader answers at the same time; the others wait.
const PER_SECOND: f64 = 1_000.0;

fn after(took: Duration) -> LeaderPatience {
    let mut patience = LeaderPatience::default();
    patience.answered(took);
    patience
}

/// A leader that answers as usual is given up as soon as before.
#[test]
fn search_delay_quick_leader() {
    let patience = after(Duration::from_millis(30));
    assert_eq!(patience.search_delay(), Duration::from_millis(150));
    assert_eq!(patience.resend_delay(), Duration::from_millis(500));
}

/// A leader that has failed is found missing within a bounded time, however busy it was.
#[test]
fn search_delay_bounded() {
    let patience = after(Duration::from_secs(30));
    assert_eq!(patience.search_delay(), Duration::from_millis(600));
    assert_eq!(patience.resend_delay(), Duration::from_millis(1_500));
}

/// Entry VMs with a command each sent it again while the leader was still at it, so that a backlog that
/// would have cleared in a second stayed.
#[test]
fn resend_delay_lets_backlog_clear() {
    let mut backlog = 700.0;
    let mut patience = LeaderPatience::default();
    let step = Duration::from_millis(50);
    for _ in 0..100 {
        let wait = Duration::from_secs_f64(backlog / PER_SECOND);
        let resent = if wait > patience.resend_delay() { 1.0 } else { 0.0 };
        patience.answered(wait);
        // 800 new commands a second; each that waits too long comes once more.
        let arrived = 800.0 * (1.0 + resent) * step.as_secs_f64();
        backlog = (backlog + arrived - PER_SECOND * step.as_secs_f64()).max(0.0);
    }
    assert!(backlog < 50.0, "{backlog} commands still wait after five seconds");
}
