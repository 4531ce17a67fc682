//! Stand-ins and process control for the cases in this folder.
//!
//! Uses the standard library alone, so that `rustc` builds it without a network. The stand-ins follow
//! the users' pages: clients, workers and the operator speak HTTP/1.1 with the headers of PROTOCOL.md.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[path = "cut_workers.rs"]
mod cut_workers;
#[path = "foreign_reports.rs"]
mod foreign_reports;
#[path = "retention.rs"]
mod retention;
#[path = "silent_crash.rs"]
mod silent_crash;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ids of the processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest duration of a run.
const LONGEST: Duration = Duration::from_secs(115);

/// Name of the host in all requests of clients.
pub const HOST: &str = "site.example";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

/// The record of a run, one line an event, with the time since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} {text}"));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.began).as_secs_f64()
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let _ = fs::write(path, lines.join("\n") + "\n");
    }
}

/// Values with which the settings template is filled in.
type Fields = BTreeMap<String, String>;

fn render(template: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends") + 2;
        let name = &rest[start + 2..end - 2];
        rest = &rest[end..];
        let (section, wanted) = match name.as_bytes()[0] {
            b'#' => (&name[1..], true),
            b'^' => (&name[1..], false),
            _ => {
                out.push_str(fields.get(name).map_or("", String::as_str));
                continue;
            }
        };
        let close = format!("{{{{/{section}}}}}");
        let at = rest.find(&close).expect("a section ends");
        if fields.contains_key(section) == wanted {
            out.push_str(&render(&rest[..at], fields));
        }
        rest = &rest[at + close.len()..];
    }
    out.push_str(rest);
    out
}

/// A process of the system, started with the command of the deploy file.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    fields: Fields,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self, first: bool) {
        self.fields.insert("bootstrap".into(), first.to_string());
        let template = fs::read_to_string("deploy/settings.yaml").expect("the settings template");
        fs::write(&self.settings, render(&template, &self.fields)).expect("settings are written");
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/gypsumglade-platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("LANG", "C")
            .env("GYPSUMGLADE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let child = child.expect("the process starts");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Stores and entries on loopback addresses of their own.
pub struct Deployment {
    pub stores: Vec<Process>,
    pub fronts: Vec<Process>,
    pub control: Vec<SocketAddr>,
    pub callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    folder: PathBuf,
}

const ZONES: [(&str, &str); 3] = [("a", "south"), ("b", "south"), ("c", "north")];

impl Deployment {
    /// Starts stores and entries for the first time.
    pub fn start(stores: u8, fronts: u8) -> Result<Deployment, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let id = std::process::id().to_be_bytes();
        let ip = |number: u8| Ipv4Addr::new(127, 128 | (id[2] & 63), id[3], number);
        let ports = free_ports(&(1..=stores + fronts).map(ip).collect::<Vec<_>>())?;
        let [control, callers, ready, peers, metrics] = ports;
        let seeds: Vec<String> =
            (1..=stores.min(3)).map(|number| format!("\"{}:{control}\"", ip(number))).collect();
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("\"{zone}\": \"{region}\"")).collect();
        let process = |name: String, number: u8, place: usize| {
            let (zone, region) = ZONES[place % ZONES.len()];
            let mut fields = Fields::new();
            let mut set = |key: &str, value: String| drop(fields.insert(key.into(), value));
            set("zone", zone.into());
            set("region", region.into());
            set("node_name", name.clone());
            set("seeds|json", format!("[{}]", seeds.join(", ")));
            set("zones|json", format!("{{{}}}", zones.join(", ")));
            set("ip", ip(number).to_string());
            set("internal_ports.0", peers.to_string());
            set("fault_tolerance.machines", ((stores - 1) / 2).to_string());
            set("heartbeat_ms", "1200".into());
            let (settings, log) =
                (folder.join(format!("{name}.yaml")), folder.join(format!("{name}.log")));
            Process { name, ip: ip(number), settings, log, fields, child: None }
        };
        let mut deployment = Deployment {
            stores: Vec::new(),
            fronts: Vec::new(),
            control: (1..=stores).map(|n| (ip(n), control).into()).collect(),
            callers: (1..=fronts).map(|n| (ip(stores + n), callers).into()).collect(),
            ready: (1..=fronts).map(|n| (ip(stores + n), ready).into()).collect(),
            folder: folder.clone(),
        };
        for number in 1..=stores {
            let mut store = process(format!("store-{number}"), number, usize::from(number - 1));
            let data = folder.join(&store.name);
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
            store.fields.insert("data_dir".into(), data.display().to_string());
            store.fields.insert("listen.control".into(), format!("{}:{control}", store.ip));
            deployment.stores.push(store);
        }
        for number in 1..=fronts {
            let mut front =
                process(format!("front-{number}"), stores + number, usize::from(number - 1));
            front.fields.insert("listen.front".into(), format!("{}:{callers}", front.ip));
            front.fields.insert("listen.ready".into(), format!("{}:{ready}", front.ip));
            deployment.fronts.push(front);
        }
        let _ = metrics;
        for process in deployment.stores.iter_mut().chain(&mut deployment.fronts) {
            process.start(true);
        }
        Ok(deployment)
    }

    /// Kills all processes at the same moment, and starts them again after `down` with their disks.
    pub fn kill_all(&mut self, down: Duration) {
        for process in self.stores.iter_mut().chain(&mut self.fronts) {
            process.signal(SIGKILL);
        }
        for process in self.stores.iter_mut().chain(&mut self.fronts) {
            process.end();
        }
        thread::sleep(down);
        for process in self.stores.iter_mut().chain(&mut self.fronts) {
            process.start(false);
        }
    }

    /// Sends the configuration as an operator does, until it is acknowledged.
    pub fn put_config(&self, config: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut next = self.control.iter().cycle();
        while Instant::now() < until {
            let to = next.next().expect("a store");
            let answer = call(*to, "PUT", "/config", &[], config.as_bytes(), ms(1_500), ms(1_500));
            if answer.status == Some(200) {
                return true;
            }
            thread::sleep(ms(200));
        }
        false
    }

    /// Waits until all entries report that they are ready.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let ready = |to: &SocketAddr| {
                call(*to, "GET", "/ready", &[], b"", ms(1_000), ms(1_000)).status == Some(200)
            };
            if self.ready.iter().all(ready) {
                return true;
            }
            thread::sleep(ms(200));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.stores.iter_mut().chain(&mut self.fronts) {
            process.end();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns ports that are free at all of these addresses.
fn free_ports(ips: &[Ipv4Addr]) -> Result<[u16; 5], String> {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    let start = 7_400 + (std::process::id() % 500) as u16 * 8;
    let mut found = (start..start + 2_000).filter(|port| *port != 9_464 && is_free(*port));
    let mut ports = [0; 5];
    for port in &mut ports {
        *port = found.next().ok_or("no free ports")?;
    }
    Ok(ports)
}

/// What a client has seen of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if the channel ended before a head.
    pub status: Option<u16>,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
    /// When the last bytes before the end of the body arrived.
    pub last_bytes: Option<Instant>,
    pub ended: Option<Instant>,
}

impl Answer {
    /// Returns whether this is a worker's complete success.
    pub fn is_success(&self) -> bool {
        self.status == Some(200) && self.whole && header(&self.head, "server-seal").is_some()
    }

    pub fn describe(&self) -> String {
        match self.status {
            Some(status) => format!("{status}{}", if self.whole { "" } else { ", cut off" }),
            None => "no answer".to_owned(),
        }
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

/// Sends one request on a new channel, and reads the answer. Gives up after `limit`, or after a gap of
/// `gap` without bytes.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
    gap: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let until = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(1_000).min(limit)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        let _ = write!(head, "Host: {to}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if body.first() == Some(&b'{') {
        head.push_str("Content-Type: application/json\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut request = head.into_bytes();
    request.extend_from_slice(body);
    if stream.write_all(&request).is_err() {
        return answer;
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            answer.status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
            let (content, whole) = content(&head, &bytes[at + 4..]);
            if content.len() > answer.body.len() {
                answer.last_bytes = Some(Instant::now());
            }
            (answer.head, answer.body, answer.whole) = (head, content, whole);
            if whole {
                break;
            }
        }
        let left = until.saturating_duration_since(Instant::now()).min(gap);
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
    answer.ended = Some(Instant::now());
    let _ = stream.shutdown(Shutdown::Both);
    answer
}

/// Returns the content of a body that has arrived so far, and whether it is complete.
fn content(head: &str, body: &[u8]) -> (Vec<u8>, bool) {
    let chunked = header(head, "transfer-encoding").is_some_and(|coding| coding == "chunked");
    if !chunked {
        let length =
            header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        return (body[..body.len().min(length)].to_vec(), body.len() >= length);
    }
    let mut found = Vec::new();
    let mut rest = body;
    loop {
        let Some(line) = rest.windows(2).position(|two| two == b"\r\n") else {
            return (found, false);
        };
        let size = std::str::from_utf8(&rest[..line]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok()) else {
            return (found, false);
        };
        let data = &rest[line + 2..];
        if data.len() < size + 2 {
            return (found, false);
        }
        if size == 0 {
            return (found, true);
        }
        found.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
}

/// A request as a worker read it.
pub struct Seen {
    pub path: String,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let path = head.split(' ').nth(1)?.to_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Seen { path, head, body })
}

/// How a worker's engine answers.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: usize,
    pub pause: Duration,
}

/// A model worker, which answers each turn with a stream of events, and reports to the stores.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// While set, the worker is partitioned from control: no call of its reports gets through.
    pub cut: Arc<AtomicBool>,
    /// Reports that were acknowledged.
    pub acknowledged: Arc<AtomicU64>,
    /// Requests that it has run.
    pub runs: Arc<Mutex<Vec<String>>>,
    /// Streams that it has ended.
    pub ended: Arc<AtomicUsize>,
}

impl Worker {
    pub fn start(id: &str, control: &[SocketAddr], pace: Pace, record: &Record) -> Worker {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("bound");
        let worker = Worker {
            id: id.to_owned(),
            address,
            cut: Arc::default(),
            acknowledged: Arc::default(),
            runs: Arc::default(),
            ended: Arc::default(),
        };
        let (runs, ended, name) =
            (Arc::clone(&worker.runs), Arc::clone(&worker.ended), id.to_owned());
        let told = record.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let (runs, ended, name) = (Arc::clone(&runs), Arc::clone(&ended), name.clone());
                let told = told.clone();
                thread::spawn(move || serve_worker(stream, &name, pace, &runs, &ended, &told));
            }
        });
        let (cut, acknowledged) = (Arc::clone(&worker.cut), Arc::clone(&worker.acknowledged));
        let (id, control, record) = (id.to_owned(), control.to_vec(), record.clone());
        thread::spawn(move || report(&id, address, &control, &cut, &acknowledged, &record));
        worker
    }
}

/// Sends liveness reports every 1.2 s: to one node, and to the next ones if it doesn't answer.
fn report(
    id: &str,
    address: SocketAddr,
    control: &[SocketAddr],
    cut: &AtomicBool,
    acknowledged: &AtomicU64,
    record: &Record,
) {
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = born.map_or(1_000, |since| since.as_millis());
    let mut node = 0;
    let mut reached = false;
    for sequence in 1.. {
        let began = Instant::now();
        let body = format!(
            "{{\"service\":\"models\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        let mut answered = false;
        for _ in 0..control.len() {
            // In a partition the call isn't answered within a second, and the next node is called.
            if cut.load(Ordering::SeqCst) {
                thread::sleep(ms(1_000));
                node += 1;
                continue;
            }
            let to = control[node % control.len()];
            let path = format!("/instances/{id}");
            let answer = call(to, "PUT", &path, &[], body.as_bytes(), ms(1_000), ms(1_000));
            answered = answer.status == Some(200);
            if answered {
                acknowledged.fetch_add(1, Ordering::SeqCst);
                break;
            }
            node += 1;
        }
        if answered != reached {
            reached = answered;
            let what = if answered { "is acknowledged" } else { "reaches no node" };
            record.line(&format!("worker {id}: report {sequence} {what}"));
        }
        thread::sleep(ms(1_200).saturating_sub(began.elapsed()));
    }
}

fn serve_worker(
    stream: TcpStream,
    id: &str,
    pace: Pace,
    runs: &Mutex<Vec<String>>,
    ended: &AtomicUsize,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(seen) = read_request(&mut stream) {
        let request = header(&seen.head, "request-id").unwrap_or_default().to_owned();
        if header(&seen.head, "expect-instance").is_some_and(|meant| meant != id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if stream.get_mut().write_all(refusal.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        runs.lock().unwrap().push(request.clone());
        record.line(&format!("worker {id} runs {request}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Seal: 3e1b.07.5a2\r\n\
             Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if stream.get_mut().write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 1..=pace.events {
            thread::sleep(pace.pause);
            let event = format!("id: {number}\ndata: {}\n\n", event_data(&request, number));
            let mut chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if number == pace.events {
                chunk.push_str("0\r\n\r\n");
            }
            if stream.get_mut().write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        ended.fetch_add(1, Ordering::SeqCst);
    }
}

fn event_data(request: &str, number: usize) -> String {
    format!("{request} event {number} {}", "x".repeat(60))
}

/// Returns a configuration with a route that keeps turns for a minute, and one for lookups.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-keep\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/keep/\",\"kind\":\"streaming\",\"timeout_ms\":4000,\
         \"target_latency_ms\":300,\"priority\":0,\"service\":\"models\",\"max_attempts\":2,\
         \"retained\":true,\"retention_s\":60.0,\"sticky\":true,\"resumable\":false,\
         \"gap_aim_ms\":400}},{{\"name\":\"r-look\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_ms\":1200,\
         \"target_latency_ms\":120,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"models\",\"health_path\":\"/health\",\
         \"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":851871,\"kv_token_bytes\":18432,\"link_mbps\":1100000.0,\
         \"moves\":true,\"backups\":true,\"tokens_per_event\":17,\"most\":12,\"pin_ms\":4000.0,\
         \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The time that a client waits for a turn.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// The gap in a stream after which a client leaves: two seconds, four times the objective of 300 ms, or
/// eight times the pause of 400 ms, whichever is longest.
pub const GAP: Duration = Duration::from_millis(3_200);

/// Sends one turn of a program.
pub fn turn(to: SocketAddr, id: &str, program: &str, previous: Option<&str>) -> Answer {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Program-Id", program.to_owned()),
        ("Session-Id", format!("s{program}")),
        ("Finish-Ms", "90000".to_owned()),
        ("Token-Budget", "100000".to_owned()),
        ("Token-Usage", "500,200".to_owned()),
        ("Model", "m".to_owned()),
        ("Prompt-Prefix", format!("5c1e07a2:300,{:x}:200", program.len() as u64 + hash(program))),
        ("Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    if let Some(previous) = previous {
        headers.push(("Previous-Turn", previous.to_owned()));
    }
    let body = format!("input of {id} {}", "y".repeat(900));
    call(to, "POST", "/keep/4b", &headers, body.as_bytes(), DEADLINE, GAP)
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x100_0193) & 0xffff_ffff
    })
}

/// Returns an id that no other request has.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Sends turns at the entries one after another, and returns how many are served.
pub fn ask(deployment: &Deployment, record: &Record, when: &str, turns: usize) -> usize {
    let mut served = 0;
    for number in 0..turns {
        let to = deployment.callers[number % deployment.callers.len()];
        let id = fresh_id();
        let mut answer = turn(to, &id, &fresh_id(), None);
        if !answer.is_success() {
            // As a client does, a refused turn is sent again.
            thread::sleep(ms(250));
            answer = turn(to, &fresh_id(), &fresh_id(), None);
        }
        served += usize::from(answer.is_success());
        record.line(&format!("turn {id}, {when}: {}", answer.describe()));
    }
    served
}

/// Sends turns after the recovery, and returns how many are served. Records what the workers have seen.
pub fn judge_recovery(
    deployment: &Deployment,
    workers: &[Worker],
    record: &Record,
    turns: usize,
) -> usize {
    let reports = |worker: &Worker| worker.acknowledged.load(Ordering::SeqCst);
    let before: Vec<u64> = workers.iter().map(reports).collect();
    let served = ask(deployment, record, "after the recovery", turns);
    for (worker, before) in workers.iter().zip(before) {
        let runs = worker.runs.lock().unwrap().len();
        record.line(&format!(
            "worker {}: {} reports acknowledged meanwhile, {runs} turns run in all",
            worker.id,
            reports(worker) - before
        ));
    }
    record.line(&format!("{served} of {turns} turns were served after the recovery"));
    served
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let (late, path) = (record.clone(), PathBuf::from(record_path));
    thread::spawn(move || {
        thread::sleep(LONGEST);
        for id in STARTED.lock().unwrap().iter() {
            // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
            unsafe { kill(*id as i32, SIGKILL) };
        }
        late.line("the case took too long");
        late.write(&path);
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "retention" => retention::run(trouble, &record),
        "foreign-reports" => foreign_reports::run(trouble, &record),
        "silent-crash" => silent_crash::run(trouble, &record),
        "cut-workers" => cut_workers::run(trouble, &record),
        _ => Verdict::CannotRun(format!("no case is named {case}")),
    };
    let (text, code) = match &verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CannotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    record.write(Path::new(record_path));
    ExitCode::from(code)
}
