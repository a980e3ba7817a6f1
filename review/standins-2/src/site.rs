//! The project's programs as processes, and clients.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, Head};

/// The first of the ports for what nodes say to each other, the same on all
/// machines. Each machine has an address of its own.
const PEER_PORT: u16 = 7700;

/// Returns the address of a machine, of this run's own.
pub fn machine_ip(number: u32) -> String {
    let own = std::process::id();
    format!("127.{}.{}.{}", 64 + own % 64, own / 64 % 250 + 1, number)
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let name = format!("review-case-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An entry of the project as a process; it is killed when dropped.
pub struct Entry {
    pub addr: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    number: u32,
    child: Child,
}

/// Returns a free port of an address.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("port").local_addr().unwrap().port()
}

/// Fills the gaps `{{NAME}}` of a template; others come out empty.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let Some((name, after)) = after.split_once("}}") else { break };
        if let Some((_, value)) = values.iter().find(|(n, _)| *n == name) {
            text.push_str(value);
        }
        rest = after;
    }
    text + rest
}

impl Entry {
    /// Starts an entry with the settings of its template, by the bounds of the
    /// small deployment of the pages.
    pub fn start(folder: &Path, store: SocketAddr) -> Entry {
        Entry::start_numbered(folder, store, 1)
    }

    /// Starts one of several entries.
    pub fn start_numbered(
        folder: &Path,
        store: SocketAddr,
        number: u32,
    ) -> Entry {
        Entry::start_at(folder, store, true, number, None)
    }

    /// Starts it again at the addresses of one that has ended.
    pub fn start_again(
        folder: &Path,
        store: SocketAddr,
        ended: &Entry,
    ) -> Entry {
        Entry::start_at(
            folder,
            store,
            false,
            ended.number,
            Some((ended.addr, ended.ready)),
        )
    }

    fn start_at(
        folder: &Path,
        store: SocketAddr,
        first_start: bool,
        number: u32,
        at: Option<(SocketAddr, SocketAddr)>,
    ) -> Entry {
        let ip = machine_ip(number);
        let (front, ready) = match at {
            Some((front, ready)) => (front.port(), ready.port()),
            None => (free_port(&ip), free_port(&ip)),
        };
        let peers = PEER_PORT;
        let values = [
            ("node", format!("front-z1-{number}")),
            ("zone", "z1".into()),
            ("zones|json", "{\"z1\": \"r1\"}".into()),
            ("listen.front", format!("{ip}:{front}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("ip", ip.clone()),
            ("internalPorts.0", peers.to_string()),
            ("limits.linkMbps", "1000.0".into()),
            ("limits.memoryMb", "260".into()),
            ("bootstrap", first_start.to_string()),
            ("heartbeatMs", "1200".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.drainMs", "2000".into()),
            ("bounds.configApplyMs", "2000".into()),
            ("bounds.version_ms", "8000".into()),
            ("bounds.contactMs", "3000".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.budgetMinRetries", "102".into()),
            ("platformApi.address", store.to_string()),
        ];
        let template =
            fs::read_to_string("platform/entry.yaml").expect("template");
        let settings = folder.join(format!("entry-{number}.yaml"));
        fs::write(&settings, fill(&template, &values)).unwrap();
        let log = folder.join(format!("entry-{number}.log"));
        let out =
            File::options().create(true).append(true).open(&log).unwrap();
        let child = Command::new("target/release/stairhinge-platform")
            .arg("entry")
            .env("STAIRHINGE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .expect("stairhinge-platform");
        let addr = format!("{ip}:{front}").parse().unwrap();
        let ready = format!("{ip}:{ready}").parse().unwrap();
        Entry { addr, ready, log, number, child }
    }

    /// Waits until it says that it is ready; returns whether it did in time.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let text = "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            if call(self.ready, text).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the memory that it uses, in KB, as the system tells it.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0)
    }

    /// Returns whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what it has logged.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An agent of the project as a process; it is killed when dropped.
pub struct Agent {
    pub log: PathBuf,
    child: Child,
}

impl Agent {
    /// Starts the agent beside a model replica.
    pub fn start(
        folder: &Path,
        store: SocketAddr,
        engine: SocketAddr,
        first_start: bool,
    ) -> Agent {
        let ip = engine.ip().to_string();
        let values = [
            ("node", format!("side-{ip}")),
            ("zone", "z1".into()),
            ("ip", ip.clone()),
            ("internalPorts.0", PEER_PORT.to_string()),
            ("app", engine.to_string()),
            ("service", "pool".into()),
            ("bootstrap", first_start.to_string()),
            ("bounds.graceS", "8".into()),
            ("bounds.version_ms", "8000".into()),
            ("bounds.contactMs", "3000".into()),
            ("limits.linkMbps", "7.3".into()),
            ("platformApi.address", store.to_string()),
        ];
        let template =
            fs::read_to_string("platform/agent.yaml").expect("template");
        let settings = folder.join(format!("agent-{ip}.yaml"));
        fs::write(&settings, fill(&template, &values)).unwrap();
        let log = folder.join(format!("agent-{ip}.log"));
        let out =
            File::options().create(true).append(true).open(&log).unwrap();
        let child = Command::new("target/release/stairhinge-platform")
            .arg("agent")
            .env("STAIRHINGE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .expect("stairhinge-platform");
        Agent { log, child }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns what it has logged.
    pub fn logged(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a client has seen.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub head: Head,
    pub text: String,
    /// Whether the framing says that the answer is complete.
    pub whole: bool,
    pub took: Duration,
}

/// Sends a request on a new connection, and reads its answer.
pub fn call(addr: SocketAddr, request: &str) -> Answer {
    match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
        Ok(stream) => call_on(&stream, request),
        Err(_) => Answer::default(),
    }
}

/// Sends a request on a kept connection, and reads its answer.
pub fn call_on(stream: &TcpStream, request: &str) -> Answer {
    let sent = Instant::now();
    let mut answer = Answer::default();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let Ok(mut out) = stream.try_clone() else { return answer };
    let Ok(input) = stream.try_clone() else { return answer };
    if out.write_all(request.as_bytes()).is_err() {
        return answer;
    }
    let mut input = BufReader::new(input);
    if let Ok(Some(head)) = read_head(&mut input) {
        let body = read_body(&mut input, &head, true);
        answer.status = head.status();
        answer.text = String::from_utf8_lossy(&body.bytes).into_owned();
        answer.whole = body.whole;
        answer.head = head;
    }
    answer.took = sent.elapsed();
    answer
}

/// Returns a request as a client of tenant `t1` sends it.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a configuration with the routes `/words/` (a stream that may be
/// resumed), `/talk/` (one that may not), `/safe/` and `/once/`, all to one
/// service.
pub fn configuration(
    version: u64,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
) -> String {
    let route = |path: &str, kind: &str, resume: bool| {
        format!(
            "{{\"name\":\"{path}\",\"host\":\"a.example\",\"pathPrefix\":\"{path}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"targetGapMs\":400,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\"streamResume\":{resume}}}"
        )
    };
    let routes = [
        route("/words/", "streaming", true),
        route("/safe/", "safe", false),
        route("/once/", "unsafe", false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
         \"healthPath\":\"/health\",\"maxConnections\":100}}],\"tenants\":[{{\"name\":\"t1\",\
         \"apiKeys\":[\"key1\"]}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":10000}}}}",
        routes.join(",")
    )
}
