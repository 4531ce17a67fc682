//! Measures the replicated log: three hosts in one process, each with a folder of its own on one
//! disk and real syncs. docs/measurements/replication.md has the commands and the figures.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use clap::{Parser, Subcommand};
use gypsumglade::replica::{Event, Host, HostSettings, Outbound};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Role, Settings};
use hdrhistogram::Histogram;
use tokio::sync::mpsc;

/// VMs that each run a replica of every group.
const VMS: u32 = 3;
/// Batches that wait on one link.
const LINK_BACKLOG: usize = 4096;
/// Proposals under way while a log is filled.
const FILLERS: usize = 256;
/// Kernel clock ticks in a second, for `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    measure: Measure,
}

#[derive(Subcommand)]
enum Measure {
    /// Committed entries per second and their latency.
    Commit {
        /// Groups, led by whichever VM wins.
        #[arg(long, default_value_t = 1)]
        groups: u32,
        /// Callers, each with one proposal under way.
        #[arg(long, default_value_t = 16)]
        callers: u32,
        /// Bytes of an entry.
        #[arg(long, default_value_t = 1_000)]
        bytes: usize,
        /// How long to measure.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Time from the start of a process until its state machine has all entries.
    Recover {
        /// Entries in the log.
        #[arg(long, default_value_t = 100_000)]
        entries: usize,
        /// Bytes of an entry.
        #[arg(long, default_value_t = 1_000)]
        bytes: usize,
    },
    /// Time until an empty replica has installed a snapshot.
    Install {
        /// Bytes of the snapshot.
        #[arg(long, default_value_t = 64_000_000)]
        bytes: usize,
    },
    /// What groups cost that do nothing.
    Idle {
        /// Groups on all VMs.
        #[arg(long, default_value_t = 100)]
        groups: u32,
        /// How long to measure.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    match Arguments::parse().measure {
        Measure::Commit { groups, callers, bytes, seconds } => {
            commit(folder.path(), groups, callers, bytes, Duration::from_secs(seconds)).await
        }
        Measure::Recover { entries, bytes } => recover(folder.path(), entries, bytes).await,
        Measure::Install { bytes } => install(folder.path(), bytes).await,
        Measure::Idle { groups, seconds } => {
            idle(folder.path(), groups, Duration::from_secs(seconds)).await
        }
    }
}

/// The hosts and what went between them.
#[derive(Default)]
struct Cluster {
    hosts: BTreeMap<VmId, Host>,
    links: Arc<Links>,
}

#[derive(Default)]
struct Links {
    hosts: Mutex<BTreeMap<VmId, Host>>,
    bytes: AtomicU64,
    batches: AtomicU64,
}

impl Cluster {
    async fn start(root: &Path, groups: u32) -> anyhow::Result<Cluster> {
        let mut cluster = Cluster::default();
        for vm in (1..=VMS).map(VmId) {
            let mut events = cluster.add(root, vm).await?;
            tokio::spawn(async move { while events.recv().await.is_some() {} });
        }
        for host in cluster.hosts.values() {
            for group in (1..=groups).map(GroupId) {
                host.create(group, (1..=VMS).map(VmId).collect()).await?;
            }
        }
        Ok(cluster)
    }

    async fn add(&mut self, root: &Path, vm: VmId) -> anyhow::Result<mpsc::Receiver<Event>> {
        let (outbound, queue) = mpsc::channel(LINK_BACKLOG);
        let (host, events) = Host::start(settings(root, vm), outbound).await?;
        self.links.hosts.lock().expect("hosts").insert(vm, host.clone());
        self.hosts.insert(vm, host);
        tokio::spawn(carry(vm, queue, Arc::clone(&self.links)));
        Ok(events)
    }

    async fn stop(&mut self, vm: VmId) {
        self.links.hosts.lock().expect("hosts").remove(&vm);
        if let Some(host) = self.hosts.remove(&vm) {
            host.stop().await;
        }
    }

    fn carried(&self) -> (u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&self.links.bytes), count(&self.links.batches))
    }

    /// Waits until every group has a leader with a lease.
    async fn leaders(&self, groups: u32) -> BTreeMap<GroupId, Host> {
        let mut leaders = BTreeMap::new();
        while leaders.len() < groups as usize {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for host in self.hosts.values() {
                for group in host.status().await.groups {
                    if group.role == Role::Leader && group.lease {
                        leaders.insert(group.group, host.clone());
                    }
                }
            }
        }
        leaders
    }
}

async fn carry(from: VmId, mut queue: mpsc::Receiver<Outbound>, links: Arc<Links>) {
    while let Some(Outbound { to, batch, .. }) = queue.recv().await {
        links.bytes.fetch_add(batch.len() as u64, Ordering::Relaxed);
        links.batches.fetch_add(1, Ordering::Relaxed);
        if let Some(host) = links.hosts.lock().expect("hosts").get(&to) {
            host.receive(from, batch);
        }
    }
}

fn settings(root: &Path, vm: VmId) -> HostSettings {
    HostSettings {
        vm,
        folder: Some(root.join(vm.to_string())),
        // An install is wanted, not the entries that are kept for followers a little behind.
        replication: Settings { keep_entries: 0, ..Settings::default() },
        snapshot_entries: u64::MAX,
        snapshot_min: u64::MAX,
        snapshot_bytes: u64::MAX,
        ..HostSettings::default()
    }
}

async fn commit(
    root: &Path,
    groups: u32,
    callers: u32,
    bytes: usize,
    length: Duration,
) -> anyhow::Result<()> {
    let cluster = Cluster::start(root, groups).await?;
    let leaders: Vec<_> = cluster.leaders(groups).await.into_iter().collect();
    let data = Bytes::from(vec![7; bytes]);
    let (cpu, (carried, _)) = (cpu_seconds()?, cluster.carried());
    let begun = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let (group, host) = leaders[caller as usize % leaders.len()].clone();
            let data = data.clone();
            tokio::spawn(async move {
                let mut latencies = Vec::new();
                while begun.elapsed() < length {
                    let sent = Instant::now();
                    if host.propose(group, data.clone()).await.is_ok() {
                        latencies.push(sent.elapsed().as_micros() as u64);
                    }
                }
                latencies
            })
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3)?;
    for task in tasks {
        for latency in task.await? {
            histogram.record(latency)?;
        }
    }
    let taken = begun.elapsed().as_secs_f64();
    let cpu = cpu_seconds()? - cpu;
    let carried = cluster.carried().0 - carried;
    println!(
        "groups {groups} callers {callers} bytes {bytes}: {:.0} entries/s, latency ms p50 {:.2} \
         p99 {:.2} max {:.2}, cpu us/entry {:.1} (3 VMs), sent bytes/entry {:.0}",
        histogram.len() as f64 / taken,
        histogram.value_at_quantile(0.5) as f64 / 1e3,
        histogram.value_at_quantile(0.99) as f64 / 1e3,
        histogram.max() as f64 / 1e3,
        cpu * 1e6 / histogram.len() as f64,
        carried as f64 / histogram.len() as f64,
    );
    Ok(())
}

async fn recover(root: &Path, entries: usize, bytes: usize) -> anyhow::Result<()> {
    let group = GroupId(1);
    let (outbound, _queue) = mpsc::channel(1);
    let (host, mut events) = Host::start(settings(root, VmId(1)), outbound.clone()).await?;
    host.create(group, vec![VmId(1)]).await?;
    tokio::spawn(async move { while events.recv().await.is_some() {} });
    host.read_barrier(group).await.ok();
    let data = Bytes::from(vec![7; bytes]);
    let fill = |count: usize| {
        let (host, data) = (host.clone(), data.clone());
        tokio::spawn(async move {
            let mut done = 0;
            while done < count {
                done += usize::from(host.propose(group, data.clone()).await.is_ok());
            }
        })
    };
    let tasks: Vec<_> = (0..FILLERS).map(|_| fill(entries / FILLERS)).collect();
    for task in tasks {
        task.await?;
    }
    host.stop().await;

    let begun = Instant::now();
    let (_host, mut events) = Host::start(settings(root, VmId(1)), outbound).await?;
    let opened = begun.elapsed();
    let mut told = 0;
    while told < entries / FILLERS * FILLERS {
        let event = events.recv().await.context("the host ended")?;
        told += usize::from(matches!(event, Event::Committed { .. }));
    }
    println!(
        "entries {told} bytes {bytes}: opened in {:.3} s, all told in {:.3} s, peak memory {} MB",
        opened.as_secs_f64(),
        begun.elapsed().as_secs_f64(),
        peak_memory()? / 1_000,
    );
    Ok(())
}

async fn install(root: &Path, bytes: usize) -> anyhow::Result<()> {
    let group = GroupId(1);
    let mut cluster = Cluster::start(root, 1).await?;
    let leader = cluster.leaders(1).await.remove(&group).context("a leader")?;
    let status = leader.status().await;
    let late = cluster.hosts.keys().copied().find(|&vm| vm != status.vm).context("a follower")?;
    cluster.stop(late).await;
    leader.propose(group, Bytes::from_static(b"one")).await?;
    let index = leader.status().await.groups[0].commit;
    let begun = Instant::now();
    leader.snapshot(group, index, Bytes::from(vec![7; bytes])).await;
    println!("snapshot of {bytes} bytes written in {:.3} s", begun.elapsed().as_secs_f64());

    let begun = Instant::now();
    let mut events = cluster.add(root, late).await?;
    loop {
        match events.recv().await.context("the host ended")? {
            Event::Restore { data, .. } if data.len() == bytes => break,
            _ => {}
        }
    }
    println!("installed in {:.3} s after the start", begun.elapsed().as_secs_f64());
    Ok(())
}

async fn idle(root: &Path, groups: u32, length: Duration) -> anyhow::Result<()> {
    let cluster = Cluster::start(root, groups).await?;
    cluster.leaders(groups).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (cpu, (bytes, batches)) = (cpu_seconds()?, cluster.carried());
    let begun = Instant::now();
    tokio::time::sleep(length).await;
    let taken = begun.elapsed().as_secs_f64();
    let cpu = cpu_seconds()? - cpu;
    let now = cluster.carried();
    let share = |value: f64| value / taken / f64::from(VMS);
    println!(
        "groups {groups}: per VM cpu {:.3} % of a core, {:.0} bytes/s in {:.1} batches/s, peak \
         memory of 3 VMs {} MB",
        share(cpu) * 100.0,
        share((now.0 - bytes) as f64),
        share((now.1 - batches) as f64),
        peak_memory()? / 1_000,
    );
    Ok(())
}

/// Returns the processor time that this process has used.
fn cpu_seconds() -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().context("no process name")?.split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|text| text.parse().ok()).collect();
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Returns the most memory that this process has held, in kilobytes.
fn peak_memory() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).context("no VmHWM")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}
