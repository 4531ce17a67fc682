//! Overload control: which turns get an engine when a pool has more work than it can do in time.
//!
//! It protects against bursts of up to about twice the usual load for some seconds. If everything
//! were admitted, the turns of all programs would wait behind each other, and nearly all programs
//! would finish late. A program that is turned away before its first turn has cost nothing, so new
//! programs are turned away and those under way are finished.
//!
//! Turns have no priority among each other at the engines. An engine preempts running requests for
//! more urgent ones and then prefills the preempted prompts again, which delays more programs than
//! it helps.

use crate::prelude::*;

/// Utilisation up to which new programs are admitted, for routes of rank zero. Below one, since
/// engines prefill prompts between the tokens of other requests, so that a nearly full batch
/// already delays all of its programs.
const NEW_PROGRAM_LIMIT: f64 = 0.9;
/// Reduction of the limit per rank, so that less urgent work is turned away first.
const RANK_STEP: f64 = 0.1;
/// Lowest limit of any rank, so that callers aren't turned away while many slots are free.
const MIN_LIMIT: f64 = 0.6;
/// Shortest retry delay of a program that was turned away; some turns have ended by then.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Range of the random part of the retry delay, so that callers don't return at the same time.
const RETRY_JITTER: Duration = Duration::from_millis(350);
/// Slowdown at which new programs are turned away. Callers' latency targets are a small multiple of
/// the time on idle engines, and include tool calls, which slow engines don't lengthen.
const MAX_SLOWDOWN: f64 = 2.5;
/// Utilisation below which the slowdown is ignored. Without running streams there are no new
/// samples, so an old value would never be corrected.
const IDLE_UTILISATION: f64 = 0.05;
/// Weight of the newest stream in the moving average: a burst shows after about ten streams.
const MEAN_GAIN: f64 = 0.1;
/// Largest sample in the moving average, as a multiple of the average. A single slow engine must
/// not cause programs to be turned away; a burst slows all engines and still raises the average.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// Weight of a sample that is faster than the best value.
///
/// Together with [`MIN_SAMPLE_RATIO`] it limits the effect of delayed events, which arrive all at
/// once and look like an extremely fast stream. Taken as the best value, one such stream would make
/// an idle pool seem overloaded, and new programs would be turned away for seconds.
const BEST_GAIN: f64 = 0.1;
/// Smallest sample that lowers the best value, as a multiple of it; see [`BEST_GAIN`].
const MIN_SAMPLE_RATIO: f64 = 0.5;
/// Relative increase of the best value with each slower stream, so that it follows engines that
/// have become slower.
const BEST_DECAY: f64 = 0.002;

/// Slowdown of a pool's engines under load, relative to idle engines.
///
/// Engines don't report their speed, so it is estimated from the gaps between the events of
/// streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSlowdown {
    /// Moving average of the seconds between events; zero before the first stream.
    mean: f64,
    /// Seconds between events of the fastest streams.
    best: f64,
}

impl PoolSlowdown {
    /// Adds the mean gap between the events of a finished stream.
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

    /// Returns the ratio of the current gap between events to that of the fastest streams; one
    /// before the first stream.
    pub fn ratio(&self) -> f64 {
        if self.best == 0.0 { 1.0 } else { self.mean / self.best }
    }
}

/// Load of a pool's endpoints, as known to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Calls running or waiting at the endpoints.
    pub calls: u64,
    /// Calls that the endpoints can run at the same time.
    pub slots: u64,
    /// Slowdown of the engines; see [`PoolSlowdown::ratio`].
    pub slowdown: f64,
}

/// Status of the program that a turn belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramStatus {
    /// Rank of the program's route; zero is the most urgent.
    pub rank: u8,
    /// Whether the program has run a turn before.
    pub under_way: bool,
}

/// Admits a turn, or returns a retry delay.
///
/// `jitter` is a random number between zero and one for each caller, which spreads the retry
/// delays.
///
/// # Errors
///
/// Returns the delay before a retry. The turn was not run.
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
