//! Rig of the second review: starts stores and entries as processes of their own, with stand-in
//! workers and clients, and plays one case. Standard library only; `build-2.sh` builds it.
//!
//!     rig2 CASE FOLDER
//!
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! With TROUBLE=0 in the environment a case leaves its disruption out.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "rig2/anonymous.rs"]
mod anonymous;
#[path = "rig2/attempts.rs"]
mod attempts;
#[path = "rig2/bodies.rs"]
mod bodies;
#[path = "rig2/resumed.rs"]
mod resumed;

/// Reason why a case could not run.
type Setup<T> = Result<T, String>;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig2 CASE FOLDER");
        return ExitCode::from(2);
    };
    // A case that hangs must not outlive its time.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        end_all();
        std::process::exit(2);
    });
    let record = match Record::open(Path::new(&folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "anonymous" => anonymous::play(&record),
        "attempts" => attempts::play(&record),
        "bodies" => bodies::play(&record),
        "resumed" => resumed::play(&record),
        other => Err(format!("no case is called {other}")),
    };
    end_all();
    match played {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("verdict: could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Returns whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file in which a case records what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    fn open(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn end_all() {
    for mut child in STARTED.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Kills a process that was started, by its id.
fn end(id: u32) {
    if let Some(child) = STARTED.lock().unwrap().iter_mut().find(|child| child.id() == id) {
        let _ = child.kill();
    }
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    fields: HashMap<String, String>,
    process: Option<u32>,
}

impl Machine {
    fn start(&mut self, first: bool) -> Setup<()> {
        self.fields.insert("bootstrap".into(), first.to_string());
        let template = fs::read_to_string("deploy/settings.yaml").map_err(|e| e.to_string())?;
        fs::write(&self.settings, render(&template, &self.fields)).map_err(|e| e.to_string())?;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new("target/release/gypsumglade-platform")
            .env("GYPSUMGLADE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/gypsumglade-platform doesn't start: {e}"))?;
        self.process = Some(child.id());
        STARTED.lock().unwrap().push(child);
        Ok(())
    }

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        let Some(id) = self.process.take() else { return };
        let mut started = STARTED.lock().unwrap();
        if let Some(at) = started.iter().position(|child| child.id() == id) {
            let mut child = started.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Fills in the settings template: values, sections and inverted sections.
fn render(template: &str, fields: &HashMap<String, String>) -> String {
    let is_set = |key: &str| fields.get(key).is_some_and(|value| value != "false");
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let word = &rest[start + 2..end];
        rest = &rest[end + 2..];
        match word.as_bytes()[0] {
            kind @ (b'#' | b'^') => {
                let key = &word[1..];
                let close = format!("{{{{/{key}}}}}");
                let length = rest.find(&close).expect("a section ends");
                if is_set(key) == (kind == b'#') {
                    out.push_str(&render(&rest[..length], fields));
                }
                rest = &rest[length + close.len()..];
            }
            _ => {
                let (key, json) = match word.split_once('|') {
                    Some((key, _)) => (key, true),
                    None => (word, false),
                };
                let value = fields.get(key).cloned().unwrap_or_default();
                out.push_str(if json { &value } else { value.trim_matches('"') });
            }
        }
    }
    out.push_str(rest);
    out
}

/// A small deployment: three stores, some entries, all on loopback addresses of their own.
pub struct Fleet {
    pub stores: Vec<Machine>,
    pub entries: Vec<Machine>,
    ports: [u16; 3],
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes for the first time.
    pub fn start(record: &Record, entries: usize) -> Setup<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let ports = [free_port()?, free_port()?, free_port()?];
        let internal = free_port()?;
        let zones = ["szeged-a", "budapest-a", "szeged-b"];
        let ip = |number: usize| {
            let id = std::process::id();
            Ipv4Addr::new(127, 20 + (id >> 8) as u8 % 200, id as u8, 10 + number as u8)
        };
        let seeds: Vec<String> = (0..3).map(|n| format!("\"{}:{}\"", ip(n), ports[0])).collect();
        let seeds = format!("[{}]", seeds.join(", "));
        let machine = |name: String, number: usize| {
            let mut fields = HashMap::new();
            let mut set = |key: &str, value: String| drop(fields.insert(key.to_owned(), value));
            set("node_name", name.clone());
            set("zone", zones[number % 3].to_owned());
            set("region", if number % 3 == 1 { "hu-north" } else { "hu-south" }.to_owned());
            set(
                "zones",
                r#"{"szeged-a": "hu-south", "budapest-a": "hu-north", "szeged-b": "hu-south"}"#
                    .to_owned(),
            );
            set("ip", ip(number).to_string());
            set("seeds", seeds.clone());
            set("internal_ports.0", internal.to_string());
            set("fault_tolerance.machines", "1".to_owned());
            set("heartbeat_ms", "1200".to_owned());
            let settings = folder.join(format!("{name}.settings"));
            let log = folder.join(format!("{name}.log"));
            Machine { name, ip: ip(number), settings, log, fields, process: None }
        };
        let mut fleet =
            Fleet { stores: Vec::new(), entries: Vec::new(), ports, folder: folder.clone() };
        for number in 0..3 {
            let mut store = machine(format!("store-{}", number + 1), number);
            let data = folder.join(&store.name);
            fs::create_dir_all(&data).map_err(|e| e.to_string())?;
            store.fields.insert("data_dir".into(), data.display().to_string());
            let control = format!("{}:{}", store.ip, ports[0]);
            store.fields.insert("listen.control".into(), control);
            fleet.stores.push(store);
        }
        for number in 0..entries {
            let mut entry = machine(format!("front-{}", number + 1), 3 + number);
            let (front, ready) = (entry.ip, entry.ip);
            entry.fields.insert("listen.front".into(), format!("{front}:{}", ports[1]));
            entry.fields.insert("listen.ready".into(), format!("{ready}:{}", ports[2]));
            fleet.entries.push(entry);
        }
        for machine in fleet.stores.iter_mut().chain(&mut fleet.entries) {
            machine.start(true)?;
        }
        record.line(&format!("started 3 stores and {entries} entries"));
        Ok(fleet)
    }

    /// Returns the operators' and workers' addresses.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.stores.iter().map(|store| (store.ip, self.ports[0]).into()).collect()
    }

    /// Returns the clients' address of an entry.
    pub fn front(&self, entry: usize) -> SocketAddr {
        (self.entries[entry].ip, self.ports[1]).into()
    }

    /// Puts a configuration in force: sends it to one store after another until one acknowledges it.
    pub fn configure(&self, record: &Record, config: &str) -> Setup<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            for control in self.controls() {
                let wait = Duration::from_secs(4);
                let answer = ask(control, "PUT", "/config", &[], config.as_bytes(), wait);
                match answer.map(|answer| answer.status) {
                    Some(200) => {
                        record.line("the configuration is acknowledged");
                        return Ok(());
                    }
                    Some(400) => return Err("the configuration was refused".to_owned()),
                    _ => thread::sleep(Duration::from_millis(200)),
                }
            }
        }
        Err("the configuration got no ack".to_owned())
    }

    /// Waits until all entries report that they are ready.
    pub fn until_ready(&self) -> Setup<()> {
        for entry in &self.entries {
            let ready = SocketAddr::from((entry.ip, self.ports[2]));
            until(Duration::from_secs(30), || {
                let wait = Duration::from_secs(1);
                ask(ready, "GET", "/ready", &[], b"", wait).is_some_and(|a| a.status == 200)
            })
            .ok_or(format!("{} isn't ready", entry.name))?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Polls until `done` returns true. Returns `None` if that takes longer than `limit`.
pub fn until(limit: Duration, mut done: impl FnMut() -> bool) -> Option<()> {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    Some(())
}

fn free_port() -> Setup<u16> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    Ok(listener.local_addr().map_err(|e| e.to_string())?.port())
}

/// Returns a new request id.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// An answer, as far as the client got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: HashMap<String, String>,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

/// Sends a request on a new channel and reads the answer.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Answer> {
    read_answer(&mut send(to, method, path, headers, body, wait)?, |_| {})
}

/// Sends a request on a new channel, and returns the channel.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        let _ = write!(head, "Host: {to}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    Some(BufReader::new(stream))
}

/// Reads an answer. Calls `seen` with the body so far after each piece.
pub fn read_answer(from: &mut BufReader<TcpStream>, mut seen: impl FnMut(&[u8])) -> Option<Answer> {
    let first = read_line(from)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(from)?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    let chunked = answer.headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if !chunked {
        let length = answer.headers.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        answer.whole = from.read_exact(&mut body).is_ok();
        answer.body = body;
        return Some(answer);
    }
    loop {
        let Some(size) = read_line(from) else { return Some(answer) };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Some(answer) };
        let mut chunk = vec![0; size + 2];
        if from.read_exact(&mut chunk).is_err() {
            return Some(answer);
        }
        if size == 0 {
            answer.whole = true;
            return Some(answer);
        }
        answer.body.extend_from_slice(&chunk[..size]);
        seen(&answer.body);
    }
}

fn read_line(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = from.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(from: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// A request as a worker got it.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// How a worker treats one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Answers it as a sound worker does.
    Sound,
    /// Truncates the answer after this many events.
    Truncate(u64),
}

type Treat = Arc<dyn Fn(&Run) -> Treatment + Send + Sync>;

/// A stand-in worker that answers with streams of events. It reports itself to the control
/// addresses every 1.2 s until it is dropped.
pub struct Worker {
    runs: Arc<Mutex<Vec<Run>>>,
    stopped: Arc<AtomicBool>,
}

/// Events of a complete stream.
pub const EVENTS: u64 = 15;
/// Pause between two events, in milliseconds.
pub static EVENT_PAUSE_MS: AtomicU64 = AtomicU64::new(5);

/// Returns the id of a worker.
pub fn worker_name(number: u8) -> String {
    format!("i-{number:08x}")
}

/// Returns the data of an event of a request: what the stand-in engine says.
pub fn event_data(id: &str, number: u64) -> String {
    format!("answer-{id}-{number}")
}

impl Worker {
    /// Starts a worker of a service.
    pub fn start(fleet: &Fleet, number: u8, service: &str, treat: Treat) -> Setup<Worker> {
        let id = std::process::id();
        let ip = Ipv4Addr::new(127, 20 + (id >> 8) as u8 % 200, id as u8, 100 + number);
        let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let name = worker_name(number);
        let (runs, stopped) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let worker = Worker { runs: Arc::clone(&runs), stopped: Arc::clone(&stopped) };
        let beats = (name.clone(), service.to_owned(), fleet.controls(), Arc::clone(&stopped));
        thread::spawn(move || beat(address, beats));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, runs, treat) = (name.clone(), Arc::clone(&runs), Arc::clone(&treat));
                thread::spawn(move || serve(stream, &name, &runs, &treat));
            }
        });
        Ok(worker)
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn beat(
    address: SocketAddr,
    (name, service, controls, stopped): (String, String, Vec<SocketAddr>, Arc<AtomicBool>),
) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
    for sequence in 1.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"szeged-a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
        );
        let path = format!("/instances/{name}");
        for control in &controls {
            let wait = Duration::from_secs(1);
            let answer = ask(*control, "PUT", &path, &[], body.as_bytes(), wait);
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(1_200));
    }
}

/// Serves one channel: one request at a time.
fn serve(stream: TcpStream, name: &str, runs: &Mutex<Vec<Run>>, treat: &Treat) {
    let Ok(mut out) = stream.try_clone() else { return };
    let _ = out.set_nodelay(true);
    let mut from = BufReader::new(stream);
    while let Some(first) = read_line(&mut from) {
        let Some(headers) = read_headers(&mut from) else { return };
        let length = headers.get("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        if from.read_exact(&mut body).is_err() {
            return;
        }
        let id = headers.get("request-id").cloned().unwrap_or_default();
        if headers.get("expect-instance").is_some_and(|expected| expected != name) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if first.starts_with("GET /health") {
            let head =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let run = Run { worker: name.to_owned(), id: id.clone(), headers: headers.clone(), body };
        let treatment = treat(&run);
        runs.lock().unwrap().push(run);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.{name}.{id}\r\nContent-Type: text/event-stream\r\nServer-Load: 1,0,16\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if out.write_all(head.as_bytes()).is_err() {
            return;
        }
        let after = headers.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for (sent, number) in (after + 1..=EVENTS).enumerate() {
            if treatment == Treatment::Truncate(sent as u64) {
                // Breaks off in the middle of an event, and closes the channel.
                let _ = out.write_all(b"5\r\nid: 1\r\n");
                return;
            }
            thread::sleep(Duration::from_millis(EVENT_PAUSE_MS.load(Ordering::Relaxed)));
            let event = format!("id: {number}\ndata: {}\n\n", event_data(&id, number));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        match out.write_all(b"0\r\n\r\n") {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::BrokenPipe => return,
            Err(_) => return,
        }
    }
}

/// Returns the ids of the complete events in a stream.
pub fn event_ids(stream: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(stream);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// A route of a configuration, for one service.
pub fn route(name: &str, prefix: &str, service: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"site.example","path_prefix":"{prefix}","kind":"streaming","timeout_ms":4000,"target_latency_ms":300,"priority":1,"service":"{service}","sticky":true,"gap_aim_ms":400,"retention_s":60.0,{more}}}"#
    )
}

/// A configuration with these routes, and one service of engines.
pub fn config(routes: &[String], more: &str) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[{{"name":"models","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity_tokens":463921,"kv_token_bytes":18432,"link_mbps":740000.0,"moves":true,"backups":true,"tokens_per_event":23,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}{more}}}"#
    )
}
