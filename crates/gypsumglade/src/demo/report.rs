//! What the demo shows at its end.

use std::fmt;

use serde::Serialize;

/// One promise and whether it held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// The promise, in plain words.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

/// Result of a demo.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DemoReport {
    /// Promises checked, in order.
    pub promises: Vec<Promise>,
    /// Turns of the main program.
    pub turns: u64,
    /// Seconds from the main program's first call to its last answer.
    pub program_seconds: f64,
    /// Seconds of the urgent check, while the main program was under way.
    pub urgent_seconds: f64,
    /// Prompt tokens that engines had to compute.
    pub filled_tokens: u64,
    /// Prompt tokens that engines found in their prefix memory.
    pub reused_tokens: u64,
}

impl DemoReport {
    /// Tells whether every promise held.
    pub fn passed(&self) -> bool {
        self.promises.iter().all(|promise| promise.held)
    }

    pub(super) fn check(&mut self, name: &'static str, held: bool, seen: impl fmt::Display) {
        self.promises.push(Promise { name, held, seen: seen.to_string() });
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "program: {} turns in {:.2} s", self.turns, self.program_seconds)?;
        writeln!(f, "urgent check meanwhile: {:.2} s", self.urgent_seconds)?;
        let (filled, reused) = (self.filled_tokens, self.reused_tokens);
        writeln!(f, "prefix tokens: {filled} computed, {reused} reused")?;
        writeln!(f)?;
        for promise in &self.promises {
            let mark = if promise.held { "held  " } else { "BROKEN" };
            writeln!(f, "{mark}  {}: {}", promise.name, promise.seen)?;
        }
        Ok(())
    }
}
