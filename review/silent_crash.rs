//! A lookup crashes each worker that begins to run it, and a crashed worker is silent until it is back.
//! How often does it reach workers after it has crashed the third?

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::{
    Answer, Deployment, HOST, Record, Verdict, call, config, fresh_id, header, ms, read_request,
};

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

const WORKERS: usize = 3;
/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_secs(4);
/// How long a lookup runs, and how long the crashing one runs before its worker ends.
const WORK: Duration = Duration::from_millis(20);
/// Time for which the crashing lookup comes again.
const DURING: Duration = Duration::from_secs(40);
/// Pause of its client after each answer.
const PAUSE: Duration = Duration::from_millis(500);
/// `stable_window_ms` of the site.
const WINDOW: Duration = Duration::from_secs(3);
/// Most retries that may reach workers then.
const ALLOWED: usize = 3;
/// Most channels with which the queue of a silent worker is filled.
const QUEUED: usize = 64;
/// Path of the lookup that crashes workers.
const CRASHING: &str = "/look/7c";

/// Moments at which the crashing lookup began to run.
type Runs = Arc<Mutex<Vec<Instant>>>;

/// One start of a worker.
struct Life {
    id: String,
    crashed: AtomicBool,
    ended: AtomicBool,
    /// Whether the lookup crashes workers.
    deadly: bool,
    runs: Runs,
    record: Record,
}

/// Runs a worker, and starts it again after each crash.
fn keep_alive(number: usize, control: Vec<SocketAddr>, deadly: bool, runs: Runs, record: Record) {
    for start in 1.. {
        let id = format!("i-desk{number}-{start}");
        let (runs, record) = (Arc::clone(&runs), record.clone());
        let (crashed, ended) = (AtomicBool::new(false), AtomicBool::new(false));
        let life = Arc::new(Life { id, crashed, ended, deadly, runs, record });
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("bound");
        socket.set_nonblocking(true).expect("a socket that doesn't wait");
        let (reporting, nodes) = (Arc::clone(&life), control.clone());
        thread::spawn(move || report(&reporting, address, &nodes));
        while !life.crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = socket.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let serving = Arc::clone(&life);
            thread::spawn(move || serve(stream, &serving));
        }
        // Silent: channels stay open without an answer, and new ones are never established.
        // SAFETY: `listen` takes two integers; the socket is open.
        unsafe { listen(socket.as_raw_fd(), 0) };
        let until = Instant::now() + DOWN;
        let mut queued = Vec::new();
        while queued.len() < QUEUED
            && let Ok(channel) = TcpStream::connect_timeout(&address, ms(20))
        {
            queued.push(channel);
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
        life.ended.store(true, Ordering::SeqCst);
    }
}

fn serve(stream: TcpStream, life: &Life) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(seen) = read_request(&mut stream) {
        let request = header(&seen.head, "request-id").unwrap_or_default().to_owned();
        if header(&seen.head, "expect-instance").is_some_and(|meant| meant != life.id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if stream.get_mut().write_all(refusal.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let crashing = seen.path == CRASHING;
        if crashing && !life.crashed.load(Ordering::SeqCst) {
            life.runs.lock().unwrap().push(Instant::now());
            life.record.line(&format!("worker {} runs {CRASHING}, request {request}", life.id));
        }
        thread::sleep(WORK);
        if crashing && life.deadly && !life.crashed.swap(true, Ordering::SeqCst) {
            life.record.line(&format!("worker {} has crashed", life.id));
        }
        if life.crashed.load(Ordering::SeqCst) {
            while !life.ended.load(Ordering::SeqCst) {
                thread::sleep(ms(20));
            }
            return;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Seal: 3e1b.07.5a2\r\n\
             Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\nfree"
        );
        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn report(life: &Life, address: SocketAddr, control: &[SocketAddr]) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_millis());
    for sequence in 1.. {
        for to in control {
            if life.crashed.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"a\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            let path = format!("/instances/{}", life.id);
            let answer = call(*to, "PUT", &path, &[], body.as_bytes(), ms(1_000), ms(1_000));
            if answer.status == Some(200) {
                break;
            }
        }
        thread::sleep(ms(1_200));
    }
}

fn look_up(to: SocketAddr, path: &str) -> Answer {
    let headers =
        [("Host", HOST.to_owned()), ("Request-Id", fresh_id()), ("Deadline-Ms", "1200".to_owned())];
    call(to, "GET", path, &headers, b"", ms(1_200), ms(1_200))
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let deployment = match Deployment::start(3, 3) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CannotRun(error),
    };
    if !deployment.put_config(&config(1), Duration::from_secs(15)) {
        return Verdict::CannotRun("no store takes the configuration".to_owned());
    }
    let runs: Runs = Arc::default();
    for number in 0..WORKERS {
        let (control, runs, record) =
            (deployment.control.clone(), Arc::clone(&runs), record.clone());
        thread::spawn(move || keep_alive(number, control, trouble, runs, record));
    }
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Verdict::CannotRun("an entry isn't ready".to_owned());
    }
    let warm = (0..20).any(|_| {
        thread::sleep(ms(200));
        look_up(deployment.callers[0], "/look/2f").is_success()
    });
    if !warm {
        return Verdict::CannotRun("no lookup is served".to_owned());
    }
    // After the start, until all machines are in touch.
    thread::sleep(WINDOW);
    let until = Instant::now() + DURING;
    let (served, all) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for number in 0..4 {
        let (callers, served, all) =
            (deployment.callers.clone(), Arc::clone(&served), Arc::clone(&all));
        clients.push(thread::spawn(move || {
            let mut next = number;
            while Instant::now() < until {
                next += 1;
                all.fetch_add(1, Ordering::SeqCst);
                let path = format!("/look/{:02x}", next % 64);
                if look_up(callers[next % callers.len()], &path).is_success() {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(ms(50));
            }
        }));
    }
    let mut next = 0;
    while Instant::now() < until {
        next += 1;
        let answer = look_up(deployment.callers[next % deployment.callers.len()], CRASHING);
        record.line(&format!("{CRASHING} is sent to entry {}: {}", next % 3, answer.describe()));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    record.line(&format!(
        "{} of {} other lookups were served",
        served.load(Ordering::SeqCst),
        all.load(Ordering::SeqCst)
    ));
    let third = runs.get(2).map(|began| *began + WORK);
    let late = |third: Instant| runs.iter().filter(|began| **began > third + WINDOW).count();
    let late = if trouble { third.map_or(0, late) } else { 0 };
    record.line(&format!(
        "{CRASHING} ran {} times, {late} of these later than 3 s after it had crashed the third worker",
        runs.len()
    ));
    if late > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
