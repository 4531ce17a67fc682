//! Faults that a call asks the service to simulate, by a header or a marker in its body.

use std::time::Duration;

use http::HeaderMap;

use crate::headers;

/// Upper limit of the delay of [`Fault::Late`].
const MAX_DELAY_MS: u64 = 60_000;

/// Fault that the service simulates in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The operation does not run and the call is never answered.
    Hang,
    /// The service crashes before the operation takes effect.
    CrashBefore,
    /// The service crashes after the operation took effect.
    CrashAfter,
    /// The operation takes effect, and its answer is delayed by this time.
    Late(Duration),
    /// The operation takes effect, but the answer and its dispatch id are those of the call before.
    Crossed,
}

impl Fault {
    /// Reads the fault from the header `x-fault`, or else from the first marker in the body.
    ///
    /// Faults are named `hang`, `crash-before`, `crash-after`, `late-MILLIS` and `crossed`. A
    /// marker is a `#` followed by the name. Other names are ignored.
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
