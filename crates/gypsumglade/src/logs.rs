//! Structured logs as JSON lines.
