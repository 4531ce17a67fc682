//! Parses the headers of a caller's request.

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use http::{HeaderMap, header};

use super::problem::{Problem, ProblemKind};

/// Program that the call belongs to; generated for model calls without one.
pub const PROGRAM: &str = "x-program-id";
/// Agent program of the bundle that the program runs.
pub const AGENT: &str = "x-program-agent";
/// Turn number, starting at one.
pub const TURN: &str = "x-program-turn";
/// Urgency class, `urgent` or `normal`.
pub const CLASS: &str = "x-program-class";
/// Milliseconds until the caller stops waiting.
pub const DEADLINE: &str = "x-program-deadline-ms";
/// Parent program, whose budget this program shares.
pub const PARENT: &str = "x-program-parent";
/// Idempotency key; a resend of a call carries the same key.
pub const KEY: &str = "idempotency-key";

/// Longest program id, key or agent name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Parsed and checked headers of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// API key of the caller.
    pub token: CompactString,
    /// Value of [`PROGRAM`].
    pub program: Option<ProgramName>,
    /// Value of [`AGENT`].
    pub agent: Option<CompactString>,
    /// Value of [`TURN`].
    pub turn: Option<u64>,
    /// Value of [`CLASS`].
    pub class: Option<Class>,
    /// Value of [`DEADLINE`].
    pub deadline: Option<Duration>,
    /// Value of [`PARENT`].
    pub parent: Option<ProgramName>,
    /// Value of [`KEY`].
    pub key: Option<CompactString>,
}

impl CallHeaders {
    /// Parses the headers of a call.
    ///
    /// # Errors
    /// Fails on the first invalid header, and says what is allowed.
    pub fn read(headers: &HeaderMap) -> Result<CallHeaders, Problem> {
        Ok(CallHeaders {
            token: bearer(headers)?,
            program: name(headers, PROGRAM)?,
            agent: name(headers, AGENT)?,
            turn: number(headers, TURN, u64::from(u32::MAX))?,
            class: class(headers)?,
            deadline: number(headers, DEADLINE, MAX_DEADLINE_MS)?.map(Duration::from_millis),
            parent: name(headers, PARENT)?,
            key: name(headers, KEY)?,
        })
    }
}

fn bearer(headers: &HeaderMap) -> Result<CompactString, Problem> {
    text(headers, header::AUTHORIZATION.as_str())?
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(CompactString::from)
        .ok_or_else(|| {
            Problem::not_run(ProblemKind::Unauthorized, "no API key in the Authorization header")
        })
}

fn name(headers: &HeaderMap, header: &str) -> Result<Option<CompactString>, Problem> {
    let Some(value) = text(headers, header)? else { return Ok(None) };
    let plain = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !plain {
        let allowed = format!("1 to {MAX_NAME_BYTES} visible ASCII characters");
        return Err(invalid(header, value, &allowed));
    }
    Ok(Some(value.into()))
}

fn number(headers: &HeaderMap, header: &str, max: u64) -> Result<Option<u64>, Problem> {
    let Some(value) = text(headers, header)? else { return Ok(None) };
    match value.parse() {
        Ok(number) if (1..=max).contains(&number) => Ok(Some(number)),
        _ => Err(invalid(header, value, &format!("a whole number from 1 to {max}"))),
    }
}

fn class(headers: &HeaderMap) -> Result<Option<Class>, Problem> {
    match text(headers, CLASS)? {
        None => Ok(None),
        Some("urgent") => Ok(Some(Class::Urgent)),
        Some("normal") => Ok(Some(Class::Normal)),
        Some(other) => Err(invalid(CLASS, other, "`urgent` or `normal`")),
    }
}

/// Returns the text of a header, and refuses a header that is sent twice.
///
/// A proxy may check one of the two values while this VM acts on the other, so that the call would
/// run for a program or organisation that was not checked.
fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(header, "several values", "the header once"));
    }
    value.to_str().map(Some).map_err(|_| invalid(header, "bytes that are not text", "ASCII text"))
}

fn invalid(header: &str, value: &str, allowed: &str) -> Problem {
    let shown: String = value.chars().take(40).collect();
    let message = format!("header {header}: found {shown:?}; allowed: {allowed}");
    Problem::not_run(ProblemKind::BadRequest, message)
}
