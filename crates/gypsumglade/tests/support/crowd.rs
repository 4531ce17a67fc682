//! Clients that send what they like and stay connected, and the resources that a process spends on them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Bytes after which a client that sends without end pauses for good.
const MOST_BYTES: u64 = 8 << 20;
/// Interval between checks of a crowd's progress.
const QUIET: Duration = Duration::from_secs(1);
/// Processor time, in hundredths of a second, that an idle process uses in [`QUIET`] at most.
const IDLE_TICKS: u64 = 15;
/// Interval between samples of a process.
const SAMPLE: Duration = Duration::from_millis(5);

/// Stands for the id of a request, which is each client's own.
pub const ID: &str = "id-of-the-request";

/// What a client sends; it reads nothing and keeps its connection open.
#[derive(Clone, Debug)]
pub struct Script {
    /// Start of what is sent, with [`ID`] in place of an id.
    pub start: String,
    pub piece: Vec<u8>,
    /// How often the piece is sent.
    pub pieces: usize,
}

impl Script {
    /// Sends these bytes once.
    pub fn once(start: impl Into<String>) -> Script {
        Script { start: start.into(), piece: Vec::new(), pieces: 0 }
    }

    /// Sends the start, and then the piece without end.
    pub fn endless(start: impl Into<String>, piece: &str) -> Script {
        let piece = piece.repeat(4_096_usize.div_ceil(piece.len())).into_bytes();
        Script { start: start.into(), piece, pieces: usize::MAX }
    }
}

/// Connected clients, whose connections close when it is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    /// Bytes that all clients have sent.
    sent: Arc<AtomicU64>,
    /// Connections that the server has closed while the client wrote.
    closed: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects this many clients.
    pub fn start(address: &str, count: usize, script: &Script) -> Crowd {
        let mut clients = JoinSet::new();
        let (sent, closed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicUsize::new(0)));
        let script = Arc::new(script.clone());
        for _ in 0..count {
            let (address, script) = (address.to_owned(), Arc::clone(&script));
            let (sent, closed) = (Arc::clone(&sent), Arc::clone(&closed));
            clients.spawn(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                if send(&mut stream, &script, &sent).await.is_err() {
                    closed.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                std::future::pending::<()>().await;
            });
        }
        Crowd { clients, sent, closed }
    }

    /// Waits until the clients have sent all that the server takes, and the process has read it.
    pub async fn until_quiet(&self, process: u32) {
        let mut before = (u64::MAX, 0);
        loop {
            let now = (self.sent.load(Ordering::Relaxed), ticks(process));
            if now.0 == before.0 && now.1 - before.1 <= IDLE_TICKS {
                break;
            }
            before = now;
            tokio::time::sleep(QUIET).await;
        }
        let (sent, closed) = (before.0, self.closed.load(Ordering::Relaxed));
        println!("{} clients sent {sent} bytes, {closed} were cut off", self.clients.len());
    }
}

/// Returns an id that no other client of any crowd uses.
fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1 << 32);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the processor time of a process so far, in hundredths of a second.
fn ticks(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|field| field.parse::<u64>().ok()).sum()
}

async fn send(stream: &mut TcpStream, script: &Script, sent: &AtomicU64) -> std::io::Result<()> {
    let start = script.start.replace(ID, &fresh_id());
    stream.write_all(start.as_bytes()).await?;
    sent.fetch_add(start.len() as u64 + 1, Ordering::Relaxed);
    let mut own = 0;
    for _ in 0..script.pieces {
        stream.write_all(&script.piece).await?;
        sent.fetch_add(script.piece.len() as u64, Ordering::Relaxed);
        own += script.piece.len() as u64;
        if own >= MOST_BYTES && script.pieces == usize::MAX {
            break;
        }
    }
    Ok(())
}

/// What a process uses at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Bytes of anonymous memory.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads what a process uses; `None` while it doesn't run.
    pub fn of(id: u32) -> Option<Usage> {
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        Some(Usage { memory: anonymous(id)?, descriptors })
    }

    /// Returns the larger of both values each.
    pub fn max(self, other: Usage) -> Usage {
        Usage {
            memory: self.memory.max(other.memory),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

fn anonymous(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Samples what a process uses until it is stopped.
pub struct Watch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl Watch {
    /// Begins to sample a process.
    pub fn start(id: u32) -> Watch {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let thread = std::thread::spawn(move || {
            let mut peak = Usage::default();
            while !stop.load(Ordering::Relaxed) {
                peak = peak.max(Usage::of(id).unwrap_or_default());
                std::thread::sleep(SAMPLE);
            }
            peak
        });
        Watch { stopped, thread }
    }

    /// Returns the most that the process used.
    pub fn stop(self) -> Usage {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("no panic while sampling")
    }
}
