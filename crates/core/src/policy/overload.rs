//! Which turns still get an engine when a pool has more work than it can do in time.
//!
//! The load that it answers is a burst of up to twice the usual callers for some seconds. Taken in
//! whole, every program's turns wait behind all others', and nearly all programs end late. A program
//! that is turned away before its first turn has cost nothing, so new programs are the ones to turn
//! away, and those under way are finished.
//!
//! Turns are not ranked among each other at the engines. An engine preempts what runs for what is
//! more urgent, and reads the preempted prompt again: ranked by route and progress, a burst had 1,000
//! to 1,500 preemptions, and three times as many programs failed as with all turns alike.

use crate::prelude::*;

/// Share of a pool's slots in use up to which new programs are let in, for the most urgent routes.
/// Engines read prompts between the tokens of other requests, so a batch that is all but full
/// already makes every program in it late.
const NEW_LIMIT: f64 = 0.9;
/// How much lower the limit is for each rank, so that less urgent work is turned away first.
const RANK_STEP: f64 = 0.1;
/// Lowest limit of any rank: below it, places stand empty while callers are turned away.
const LEAST_LIMIT: f64 = 0.6;
/// Shortest time after which a program that was turned away is worth trying again: some turns
/// have ended by then.
const RETRY_LEAST: Duration = Duration::from_millis(250);
/// Spread of that time, so that those turned away together don't come back together.
const RETRY_SPREAD: Duration = Duration::from_millis(350);
/// What runs and waits at the endpoints of a pool, as this process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Calls running or waiting.
    pub calls: u64,
    /// Calls that the endpoints run at one time.
    pub slots: u64,
}

/// What is known of a turn's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Rank of its route; zero is the most urgent.
    pub rank: u8,
    /// Whether the program has had a turn before.
    pub under_way: bool,
}

/// Tells whether a turn gets an engine now; otherwise when it is worth coming back.
///
/// `spread` is a number from zero to one that differs from caller to caller.
///
/// # Errors
/// Returns the time after which to come back. The turn has not run.
pub fn admit(load: PoolLoad, standing: Standing, spread: f64) -> Result<(), Duration> {
    if standing.under_way || load.slots == 0 {
        return Ok(());
    }
    let limit = (NEW_LIMIT - RANK_STEP * f64::from(standing.rank)).max(LEAST_LIMIT);
    if (load.calls as f64) < limit * load.slots as f64 {
        return Ok(());
    }
    Err(RETRY_LEAST + RETRY_SPREAD.mul_f64(spread.clamp(0.0, 1.0)))
}
