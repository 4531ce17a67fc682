//! Which turns still get an engine when a pool has more work than it can do in time.
//!
//! The load that it answers is a burst of up to twice the usual callers for some seconds. Taken in
//! whole, every program's turns wait behind all others', and nearly all programs end late. A program
//! that is turned away before its first turn has cost nothing, so new programs are the ones to turn
//! away, and those under way are finished.
//!
//! Turns are not ranked among each other at the engines. An engine preempts what runs for what is
//! more urgent, and reads the preempted prompt again, which makes more programs fail than it saves.

use crate::prelude::*;

/// Share of a pool's slots in use up to which new programs are let in, for the most urgent routes.
/// Engines read prompts between the tokens of other requests, so a batch that is all but full
/// already makes every program in it late.
const NEW_PROGRAM_LIMIT: f64 = 0.9;
/// How much lower the limit is for each rank, so that less urgent work is turned away first.
const RANK_STEP: f64 = 0.1;
/// Lowest limit of any rank: below it, places stand empty while callers are turned away.
const MIN_LIMIT: f64 = 0.6;
/// Shortest time after which a program that was turned away is worth trying again: some turns
/// have ended by then.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Spread of that time, so that those turned away together don't come back together.
const RETRY_JITTER: Duration = Duration::from_millis(350);
/// How many times longer than alone an event may take before new programs are turned away: callers'
/// aims are a small multiple of the time on idle engines, pauses and tools counted, which slow engines
/// don't stretch.
const MAX_SLOWDOWN: f64 = 2.5;
/// Share of a pool's slots in use below which the pace of earlier streams isn't gone by: only streams that
/// run can show that engines have become faster.
const IDLE_UTILISATION: f64 = 0.05;
/// Weight of the newest stream in the mean pace: a burst shows after ten streams.
const MEAN_GAIN: f64 = 0.1;
/// Most that a stream counts for in the mean pace, against the mean. One engine that has turned many
/// times slower must not turn away what the others could serve; a burst slows them all, and shows all
/// the same.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// Weight of a stream that is faster than all before in the best pace, and the least part of the best
/// that it counts as.
///
/// Events that were held up come all at once, and such a stream seems to have taken no time. Taken as
/// the best, one makes an idle pool seem many times slower than alone, and its VMs turn away every new
/// program for seconds. This way it moves the best by a twentieth.
const BEST_GAIN: f64 = 0.1;
/// See [`BEST_GAIN`].
const MIN_SAMPLE_RATIO: f64 = 0.5;
/// How fast the best pace is forgotten with each stream, so that it follows engines that changed.
const BEST_DECAY: f64 = 0.002;

/// How fast a pool's engines generate now, against how fast they do when idle.
///
/// Engines don't tell their speed, but each stream shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSlowdown {
    /// Mean seconds between events of the latest streams; zero before the first.
    mean: f64,
    /// The same of the fastest streams.
    best: f64,
}

impl PoolSlowdown {
    /// Takes the mean time between the events of a stream that ended.
    pub fn observe(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        if gap <= 0.0 {
            return;
        }
        if self.mean == 0.0 {
            *self = PoolSlowdown { mean: gap, best: gap };
            return;
        }
        self.mean += MEAN_GAIN * (gap.min(self.mean * MAX_SAMPLE_RATIO) - self.mean);
        let sample = gap.max(self.best * MIN_SAMPLE_RATIO);
        self.best = match gap < self.best {
            true => self.best + BEST_GAIN * (sample - self.best),
            false => self.best * (1.0 + BEST_DECAY),
        };
    }

    /// Returns how many times longer than alone an event takes now.
    pub fn ratio(&self) -> f64 {
        if self.best == 0.0 { 1.0 } else { self.mean / self.best }
    }
}

/// What runs and waits at the endpoints of a pool, as this process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Calls running or waiting.
    pub calls: u64,
    /// Calls that the endpoints run at one time.
    pub slots: u64,
    /// How many times longer than alone an event takes; see [`PoolSlowdown::ratio`].
    pub slowdown: f64,
}

/// What is known of a turn's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramStatus {
    /// Rank of its route; zero is the most urgent.
    pub rank: u8,
    /// Whether the program has had a turn before.
    pub under_way: bool,
}

/// Tells whether a turn gets an engine now; otherwise when it is worth coming back.
///
/// `jitter` is a number from zero to one that differs from caller to caller.
///
/// # Errors
/// Returns the time after which to come back. The turn has not run.
pub fn admit(load: PoolLoad, program: ProgramStatus, jitter: f64) -> Result<(), Duration> {
    if program.under_way || load.slots == 0 {
        return Ok(());
    }
    let limit = (NEW_PROGRAM_LIMIT - RANK_STEP * f64::from(program.rank)).max(MIN_LIMIT);
    let utilisation = load.calls as f64 / load.slots as f64;
    let is_slow = load.slowdown >= MAX_SLOWDOWN && utilisation >= IDLE_UTILISATION;
    if utilisation < limit && !is_slow {
        return Ok(());
    }
    Err(RETRY_MIN + RETRY_JITTER.mul_f64(jitter.clamp(0.0, 1.0)))
}
