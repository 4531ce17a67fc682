//! Settings of the program group, with their defaults in one place.

use crate::prelude::*;

/// Bounds and periods of a [`Sequencer`](super::Sequencer).
///
/// Only the leader reads them: whatever they decide reaches the replicas as log entries, so
/// replicas with other settings still agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Milliseconds a request without a deadline of its own may wait.
    pub park_ms: u64,
    /// Most requests that wait for one program.
    pub park_program: usize,
    /// Most requests that wait in the whole group.
    pub park_total: usize,
    /// Milliseconds after its deadline at which a dispatch without outcome counts as lost.
    pub grace_ms: u64,
    /// Milliseconds a dispatch without a deadline may run.
    pub dispatch_ms: u64,
    /// Idle milliseconds after which a program ends when its caller named none.
    pub idle_ms: u64,
    /// Milliseconds between two sends of an unconfirmed release.
    pub release_ms: u64,
    /// Most crash suspects that run alone at once in this group; each takes an engine to itself.
    pub isolated: usize,
    /// Milliseconds that an ended program and its keys are kept.
    pub retain_ms: u64,
    /// Milliseconds that a crash suspect's score is kept.
    pub suspect_ms: u64,
    /// Milliseconds between two looks for what is due.
    pub scan_ms: u64,
    /// Milliseconds after which the group's time is made durable while programs are alive.
    pub clock_ms: u64,
    /// Tokens that a model call may generate when its caller set no bound.
    pub output_tokens: u64,
    /// Turns for which budget is reserved ahead, so that they are granted without waiting for the
    /// log; zero waits for every turn.
    pub escrow_turns: u64,
    /// Milliseconds after which an idle program of a family gives its escrow back.
    pub escrow_ms: u64,
    /// Most bytes of one program's history.
    pub history_bytes: usize,
    /// Most idempotency keys of one program.
    pub program_keys: usize,
    /// Safeguards that tests switch off one at a time.
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

/// Safeguards by name; each is on outside tests, and a named test fails when it is off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// The intent of a call is committed before its grant is sent.
    pub intent_first: bool,
    /// A request waits while another of its program is under way.
    pub serial_calls: bool,
    /// A call whose outcome is in doubt is never granted again.
    pub doubt_final: bool,
    /// Only the VM that holds a grant may settle it.
    pub holder_only: bool,
    /// A reservation is taken from every ancestor.
    pub charge_ancestors: bool,
    /// A release is repeated until it is confirmed.
    pub repeat_release: bool,
    /// A key that comes back with other content is refused.
    pub bind_content: bool,
    /// A dispatch that was lost keeps its reservation.
    pub keep_doubtful: bool,
    /// An escrow of an earlier leader counts as spent.
    pub spend_escrow: bool,
    /// A crash suspect runs alone, and one at a time.
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
