//! Settings of a program group and their defaults.

use crate::prelude::*;

/// Limits and intervals of a [`Sequencer`](super::Sequencer).
///
/// Only the leader reads them. Their effects reach the replicas as log entries, so replicas with
/// different settings still agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Milliseconds that a request without a deadline may wait.
    pub park_ms: u64,
    /// Maximum number of requests that wait for one program, or for one crash suspect.
    pub park_program: usize,
    /// Maximum number of waiting requests in the group.
    pub park_total: usize,
    /// Milliseconds after its deadline until a dispatch without an outcome counts as lost.
    pub grace_ms: u64,
    /// Milliseconds that a dispatch without a deadline may run.
    pub dispatch_ms: u64,
    /// Idle time in milliseconds after which a program ends, unless its caller set one.
    pub idle_ms: u64,
    /// Milliseconds between repeats of an unconfirmed release or cancellation.
    pub release_ms: u64,
    /// Maximum number of crash suspects that run isolated at the same time, one to an engine.
    pub isolated: usize,
    /// Milliseconds that an ended program and its idempotency keys are kept.
    pub retain_ms: u64,
    /// Milliseconds that the score of a crash suspect is kept.
    pub suspect_ms: u64,
    /// Milliseconds between two scans for expired dispatches and programs.
    pub scan_ms: u64,
    /// Milliseconds without an entry after which the group time is committed, while programs live.
    pub clock_ms: u64,
    /// Output tokens of a model call whose caller set no limit.
    pub output_tokens: u64,
    /// Number of turns for which an escrow reserves budget, so that they are granted before their
    /// begin is committed; zero turns escrows off.
    pub escrow_turns: u64,
    /// Idle time in milliseconds after which a program with a parent or children loses its escrow.
    pub escrow_ms: u64,
    /// Maximum size of one program's history in bytes.
    pub history_bytes: usize,
    /// Maximum number of idempotency keys of one program.
    pub program_keys: usize,
    /// Safeguards, which tests turn off one at a time.
    #[doc(hidden)]
    #[serde(skip)]
    pub safeguards: Safeguards,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            park_ms: 60_000,
            park_program: 64,
            park_total: 10_000,
            grace_ms: 5_000,
            dispatch_ms: 600_000,
            idle_ms: 3_600_000,
            release_ms: 2_000,
            isolated: 2,
            retain_ms: 86_400_000,
            suspect_ms: 86_400_000,
            scan_ms: 500,
            clock_ms: 10_000,
            output_tokens: 4_096,
            escrow_turns: 0,
            escrow_ms: 2_000,
            history_bytes: 4 << 20,
            program_keys: 4_096,
            safeguards: Safeguards::default(),
        }
    }
}

/// Safeguards that tests turn off to show that the checks notice it; all are on otherwise.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// The intent of a call is committed before its grant is sent.
    pub intent_first: bool,
    /// A request waits while another call of its program runs.
    pub serial_calls: bool,
    /// A call in doubt that may not be repeated is never granted again.
    pub doubt_final: bool,
    /// Only the VM that holds a grant may settle it.
    pub holder_only: bool,
    /// A reservation counts against every ancestor.
    pub charge_ancestors: bool,
    /// Releases and cancellations are repeated.
    pub repeat_release: bool,
    /// A key that is reused for a different request is refused.
    pub bind_content: bool,
    /// A call in doubt is charged, since it may have run.
    pub keep_doubtful: bool,
    /// The escrow of an earlier leader is charged as spent.
    pub spend_escrow: bool,
    /// A crash suspect runs on an engine of its own, one copy at a time.
    pub isolate_suspects: bool,
}

impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            intent_first: true,
            serial_calls: true,
            doubt_final: true,
            holder_only: true,
            charge_ancestors: true,
            repeat_release: true,
            bind_content: true,
            keep_doubtful: true,
            spend_escrow: true,
            isolate_suspects: true,
        }
    }
}
