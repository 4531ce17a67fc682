//! Faults that a call asks the service to show, by header or by a marker in its body.

use std::time::Duration;

use http::HeaderMap;

use crate::headers;

/// Longest late answer that a marker can ask for.
const MAX_DELAY_MS: u64 = 60_000;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// No answer ever comes, and the operation does not run.
    Hang,
    /// The service dies before the operation takes effect.
    CrashBefore,
    /// The service dies after the operation took effect.
    CrashAfter,
    /// The operation takes effect at once, and its answer comes this much later.
    Late(Duration),
    /// The answer is that of the call before, dispatch id and all.
    Crossed,
}

impl Fault {
    /// Reads the fault of a call: header `x-fault: hang`, or `#hang` in the body, and so on for
    /// `crash-before`, `crash-after`, `late-MILLIS` and `crossed`.
    pub(super) fn from_call(head: &HeaderMap, body: &str) -> Fault {
        match headers::text(head, headers::FAULT) {
            Some(name) => Fault::parse(name),
            None => body
                .split('#')
                .skip(1)
                .map(parse_marker)
                .find(|f| *f != Fault::None)
                .unwrap_or(Fault::None),
        }
    }

    fn parse(name: &str) -> Fault {
        match name {
            "hang" => Fault::Hang,
            "crash-before" => Fault::CrashBefore,
            "crash-after" => Fault::CrashAfter,
            "crossed" => Fault::Crossed,
            other => parse_late(other).unwrap_or(Fault::None),
        }
    }
}

fn parse_marker(rest: &str) -> Fault {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let end = rest.find(|c| !is_name_char(c)).unwrap_or(rest.len());
    Fault::parse(&rest[..end])
}

fn parse_late(name: &str) -> Option<Fault> {
    let millis: u64 = name.strip_prefix("late-")?.parse().ok()?;
    Some(Fault::Late(Duration::from_millis(millis.min(MAX_DELAY_MS))))
}
