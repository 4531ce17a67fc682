//! What the system adds to a call: against a direct call to the same stand-in, in one run.
//!
//! Store, entry, stand-ins and load share one process and its processors, so the figures are an
//! upper bound of what one VM adds and a lower bound of what it can carry.

use std::fmt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::demo::Stage;
use crate::demo::caller::{Caller, ChatCall};

/// Settings of the bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathBench {
    /// Calls of each series.
    pub calls: u64,
    /// Callers at one time in the loaded series.
    pub callers: u64,
    /// Streams open at one time.
    pub streams: u64,
}

impl Default for PathBench {
    fn default() -> PathBench {
        PathBench { calls: 500, callers: 64, streams: 500 }
    }
}

/// Latency and rate of one series of calls.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// What was called.
    pub name: &'static str,
    /// Callers at one time.
    pub callers: u64,
    /// Milliseconds, median.
    pub p50: f64,
    /// Milliseconds, 99th percentile.
    pub p99: f64,
    /// Calls a second.
    pub rate: f64,
}

/// Figures of the streamed series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct StreamSeries {
    /// Streams open at one time.
    pub streams: u64,
    /// Tokens a second over all streams.
    pub rate: f64,
    /// Microseconds of processor time a token, stand-in and load included.
    pub cpu: f64,
    /// Kilobytes of memory an open stream, stand-in and load included.
    pub memory: f64,
}

/// Everything the bench found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PathReport {
    /// Plain calls.
    pub series: Vec<Series>,
    /// Streams.
    pub streams: StreamSeries,
}

impl fmt::Display for PathReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| series | callers | p50 ms | p99 ms | calls/s |")?;
        writeln!(f, "|---|---|---|---|---|")?;
        for series in &self.series {
            let Series { name, callers, p50, p99, rate } = series;
            writeln!(f, "| {name} | {callers} | {p50:.2} | {p99:.2} | {rate:.0} |")?;
        }
        let StreamSeries { streams, rate, cpu, memory } = self.streams;
        writeln!(f)?;
        writeln!(
            f,
            "{streams} streams: {rate:.0} tokens/s, {cpu:.1} us CPU a token, {memory:.0} KB each"
        )
    }
}

/// What one series calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Direct,
    NewProgram,
    NextTurn,
    Repeatable,
    Once,
}

impl Work {
    const fn name(self) -> &'static str {
        match self {
            Work::Direct => "engine, called directly",
            Work::NewProgram => "first turn of a program",
            Work::NextTurn => "next turn of a program",
            Work::Repeatable => "tool call, repeatable",
            Work::Once => "tool call, at most once",
        }
    }
}

/// Runs the bench with its data in `folder`.
///
/// # Errors
/// Fails when the system does not come up or a call fails.
pub async fn run(folder: &Path, bench: PathBench) -> anyhow::Result<PathReport> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let stage = Arc::new(Stage::fast(folder, log).await?);
    let mut series = Vec::new();
    for callers in [1, bench.callers] {
        for work in [Work::Direct, Work::NewProgram, Work::NextTurn, Work::Repeatable, Work::Once] {
            series.push(measure(&stage, work, callers, bench.calls).await?);
        }
    }
    let streams = measure_streams(&stage, bench.streams).await?;
    if let Ok(stage) = Arc::try_unwrap(stage) {
        stage.stop().await;
    }
    Ok(PathReport { series, streams })
}

async fn measure(
    stage: &Arc<Stage>,
    work: Work,
    callers: u64,
    calls: u64,
) -> anyhow::Result<Series> {
    let next = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for lane in 0..callers {
        let (stage, next) = (Arc::clone(stage), Arc::clone(&next));
        tasks.push(tokio::spawn(async move {
            lane_calls(&stage, work, callers, lane, &next, calls).await
        }));
    }
    let mut all = Histogram::<u64>::new(3)?;
    for task in tasks {
        all.add(task.await??)?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let millis = |quantile| all.value_at_quantile(quantile) as f64 / 1_000.0;
    let rate = all.len() as f64 / seconds;
    Ok(Series { name: work.name(), callers, p50: millis(0.5), p99: millis(0.99), rate })
}

async fn lane_calls(
    stage: &Stage,
    work: Work,
    callers: u64,
    lane: u64,
    next: &AtomicU64,
    calls: u64,
) -> anyhow::Result<Histogram<u64>> {
    let caller = match work {
        Work::Direct => stage.direct_caller(),
        _ => stage.caller(),
    };
    let mut histogram = Histogram::new(3)?;
    let mut turn = 0;
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= calls {
            return Ok(histogram);
        }
        turn += 1;
        let started = Instant::now();
        one_call(&caller, work, callers, lane, number, turn).await?;
        histogram.record(started.elapsed().as_micros() as u64)?;
    }
}

async fn one_call(
    caller: &Caller,
    work: Work,
    callers: u64,
    lane: u64,
    number: u64,
    turn: u64,
) -> anyhow::Result<()> {
    let fresh = format!("{}-{callers}-{number}", work.name().replace([' ', ','], "-"));
    let kept = format!("kept-{callers}-{lane}-{}", turn / TURNS);
    let call = ChatCall {
        program: if work == Work::NextTurn { &kept } else { &fresh },
        agent: "kit-planner",
        model: "advisor",
        says: "one more lens for the night shoot",
        output: 1,
        ..ChatCall::default()
    };
    let answer = match work {
        Work::Direct | Work::NewProgram | Work::NextTurn => caller.chat(&call).await?,
        Work::Repeatable => {
            caller.tool(&fresh, "kit-planner", "booking/slots", &fresh, json!({})).await?
        }
        Work::Once => {
            caller.tool(&fresh, "kit-planner", "booking/deposit", &fresh, json!({})).await?
        }
    };
    ensure!(answer.status.is_success(), "{}: {}", answer.status, answer.json());
    Ok(())
}

/// Turns after which a lane of the next-turn series begins another program.
const TURNS: u64 = 20;

async fn measure_streams(stage: &Arc<Stage>, streams: u64) -> anyhow::Result<StreamSeries> {
    let before = Usage::now()?;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..streams {
        let caller = stage.caller();
        tasks.push(tokio::spawn(async move {
            let program = format!("stream-{number}");
            let call = ChatCall {
                program: &program,
                agent: "kit-planner",
                model: "advisor",
                says: "tell me all",
                stream: true,
                output: STREAM_TOKENS,
                ..ChatCall::default()
            };
            caller.chat(&call).await.map(|answer| answer.text().split_whitespace().count() as u64)
        }));
    }
    tokio::time::sleep(MEMORY_DELAY).await;
    let open = Usage::now()?;
    let mut tokens = 0;
    for task in tasks {
        tokens += task.await??;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = Usage::now()?;
    let cpu = after.cpu.saturating_sub(before.cpu).as_micros() as f64 / tokens.max(1) as f64;
    let memory = open.kilobytes.saturating_sub(before.kilobytes) as f64 / streams as f64;
    Ok(StreamSeries { streams, rate: tokens as f64 / seconds, cpu, memory })
}

/// Tokens of each stream.
const STREAM_TOKENS: u64 = 400;
/// Time after which every stream is open and none has ended.
const MEMORY_DELAY: Duration = Duration::from_millis(500);

/// Processor time and memory of this process.
struct Usage {
    cpu: Duration,
    kilobytes: u64,
}

impl Usage {
    fn now() -> anyhow::Result<Usage> {
        let status = std::fs::read_to_string("/proc/self/status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes = kilobytes.context("no VmRSS line")?.parse()?;
        let stat = std::fs::read_to_string("/proc/self/stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let (user, system) = (ticks(11), ticks(12));
        let ticks = user.context("no user time")? + system.context("no system time")?;
        Ok(Usage { cpu: Duration::from_millis(ticks * MILLIS_PER_TICK), kilobytes })
    }
}

/// Length of the kernel's accounting tick.
const MILLIS_PER_TICK: u64 = 10;
