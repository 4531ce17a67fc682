//! What a caller's headers say about a call.

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use http::{HeaderMap, header};

use super::problem::{Problem, ProblemKind};

/// Names the program a call belongs to; made up for a caller that sends none.
pub const PROGRAM: &str = "x-program-id";
/// The agent program of the bundle that the program runs.
pub const AGENT: &str = "x-program-agent";
/// The turn's number, from one.
pub const TURN: &str = "x-program-turn";
/// `urgent` or `normal`.
pub const CLASS: &str = "x-program-class";
/// Milliseconds that the caller still waits.
pub const DEADLINE: &str = "x-program-deadline-ms";
/// Program that this one draws its budget from.
pub const PARENT: &str = "x-program-parent";
/// A resend of a call carries the same key.
pub const KEY: &str = "idempotency-key";

/// Longest program id, key or agent name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Longest deadline a caller may ask for: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A call's headers, read and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// The caller's API key.
    pub token: CompactString,
    /// Program, if the caller named one.
    pub program: Option<ProgramName>,
    /// Agent program, if the caller named one.
    pub agent: Option<CompactString>,
    /// Turn number, if the caller gave one.
    pub turn: Option<u64>,
    /// Urgency, if the caller gave one.
    pub class: Option<Class>,
    /// How long the caller still waits.
    pub deadline: Option<Duration>,
    /// Parent program.
    pub parent: Option<ProgramName>,
    /// Idempotency key.
    pub key: Option<CompactString>,
}

impl CallHeaders {
    /// Reads the headers of a call.
    ///
    /// # Errors
    /// Answers what is wrong with the first bad header, and what is allowed.
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
        .ok_or_else(|| Problem::not_run(ProblemKind::Unauthorized, "no API key"))
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

/// Returns a header's text, and refuses one that is there twice.
///
/// A proxy in front may act on the last of two where this VM acts on the first: a call would run
/// for another program or organisation than the proxy checked. Neither is taken, so none can.
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
