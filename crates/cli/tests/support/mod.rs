//! A fleet of separate processes on a loopback address that no other fleet
//! uses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::Request;
use stairhinge::document::{Instance, Listing, Presence, Role};
use stairhinge_local::{Plan, Version, until};
use stairhinge_shell::http::{Client, full};
use stairhinge_standins::{Pack, Record, weights};
use tokio::net::TcpStream;

/// Timeout of every wait and every call.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Number of the next fleet that this process starts.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(1);

/// One process of the fleet; killed when dropped.
pub struct Proc {
    child: Child,
    pub log: PathBuf,
}

impl Proc {
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Pauses the process with `SIGSTOP` and resumes it after a time.
    fn pause_for(&self, duration: Duration) {
        let id = self.child.id();
        signal(id, "-STOP");
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            signal(id, "-CONT");
        });
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> ExitStatus {
        let end = tokio::time::Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "the process does not exit"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends a signal to a process of the fleet.
fn signal(id: u32, name: &str) {
    let id = id.to_string();
    let done = Command::new("kill").args([name, &id]).status().unwrap();
    assert!(done.success(), "kill {name} {id}");
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fleet of processes: platform, origin, engines, services, agents,
/// entries.
pub struct Fleet {
    dir: PathBuf,
    ip: String,
    pub plan: Plan,
    pub client: Client,
    versions: Vec<Version>,
    revision: u64,
    standins: Vec<Proc>,
    pub agents: Vec<Proc>,
    pub services: Vec<Proc>,
    pub entries: Vec<Proc>,
}

const PLATFORM: u16 = 7001;
const ORIGIN: u16 = 7002;

/// Returns the path of a program; cargo builds all into one directory.
fn program(name: &str) -> PathBuf {
    let stairhinge = PathBuf::from(env!("CARGO_BIN_EXE_stairhinge"));
    stairhinge.with_file_name(name)
}

impl Fleet {
    /// Starts all processes of a plan and publishes `v1`.
    pub async fn start(plan: Plan) -> Fleet {
        Fleet::start_with_paused_engines(plan, Duration::ZERO).await
    }

    /// Starts a fleet whose engines are paused for a time right after their
    /// start, as on a machine that schedules them late.
    pub async fn start_with_paused_engines(
        plan: Plan,
        pause: Duration,
    ) -> Fleet {
        let id = std::process::id();
        let n = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        // Each fleet has a loopback address of its own, so that it can use
        // fixed ports.
        let (b, c) = (1 + (id >> 8) % 254, id % 256);
        let ip = format!("127.{b}.{c}.{n}");
        let dir = std::env::temp_dir().join(format!("stairhinge-{id}-{n}"));
        std::fs::create_dir_all(&dir).unwrap();
        let mut fleet = Fleet {
            dir,
            ip,
            client: Client::new(),
            versions: Vec::new(),
            revision: 0,
            standins: Vec::new(),
            agents: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            plan,
        };
        let ports = fleet.start_standins(pause);
        for port in ports {
            fleet.wait_for_port(port).await;
        }
        fleet.publish("v1", 1).await;
        fleet.publish_instances().await;
        for r in 0..fleet.plan.replicas {
            let agent = fleet.start_agent(r);
            fleet.agents.push(agent);
        }
        for i in 0..fleet.plan.halls {
            if fleet.plan.service {
                let extra = format!(
                    "plain: true\nbackend: {}\n",
                    fleet.addr_text(7500 + i)
                );
                let name = format!("service-{i}");
                let proc =
                    fleet.start_role("agent", &name, i, 7550 + i, &extra);
                fleet.services.push(proc);
            }
            let name = format!("entry-{i}-0");
            let extra = fleet.plan.entry.clone();
            let proc = fleet.start_role("entry", &name, i, 7600 + i, &extra);
            fleet.entries.push(proc);
        }
        fleet
    }

    /// Starts the stand-ins, pauses the engines for a time, and returns the
    /// ports of all.
    fn start_standins(&mut self, pause: Duration) -> Vec<u16> {
        let kb = (self.plan.size / 1024).to_string();
        let chunk = (self.plan.chunk / 1024).to_string();
        let mut all: Vec<(&str, u16, Vec<String>)> = vec![
            ("platform", PLATFORM, vec![]),
            (
                "origin",
                ORIGIN,
                ["--size-kb", &kb, "--chunk-kb", &chunk, "--seed", "1"]
                    .iter()
                    .chain(&["--seed", "2", "--seed", "3"])
                    .map(ToString::to_string)
                    .collect(),
            ),
        ];
        for r in 0..self.plan.replicas {
            let no_fences =
                (!self.plan.engine.fences).then(|| "--no-fences".into());
            all.push((
                "engine",
                7100 + r as u16,
                no_fences.into_iter().collect(),
            ));
        }
        for i in 0..self.plan.halls {
            all.push(("service", 7500 + i as u16, vec![]));
        }
        let mut ports = Vec::new();
        for (kind, port, extra) in all {
            ports.push(port);
            let listen = self.addr_text(port.into());
            let mut args = vec![kind.into(), "--listen".into(), listen];
            args.extend(extra);
            let name = format!("{kind}-{port}");
            let proc = self.spawn("stairhinge-standin", &name, &args);
            if kind == "engine" && pause > Duration::ZERO {
                proc.pause_for(pause);
            }
            self.standins.push(proc);
        }
        ports
    }

    /// Waits until a port of the fleet accepts connections.
    async fn wait_for_port(&self, port: u16) {
        let addr = self.addr(port.into());
        until("a stand-in listens", async || {
            TcpStream::connect(addr).await.is_ok()
        })
        .await;
    }

    /// Returns the fleet's address with a port, as it is written in settings.
    fn addr_text(&self, port: usize) -> String {
        format!("{}:{port}", self.ip)
    }

    pub fn addr(&self, port: usize) -> SocketAddr {
        self.addr_text(port).parse().unwrap()
    }

    /// Returns the HTTP address of the entry of a hall.
    pub fn entry(&self, hall: usize) -> SocketAddr {
        self.addr(7600 + hall)
    }

    /// Starts a program that appends its output to a log named after the
    /// process.
    fn spawn(&self, program: &str, name: &str, args: &[String]) -> Proc {
        let log = self.dir.join(format!("{name}.log"));
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let child = Command::new(self::program(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap();
        Proc { child, log }
    }

    /// Starts an agent or entry; its control port is its HTTP port plus
    /// 1000.
    fn start_role(
        &self,
        role: &str,
        name: &str,
        hall: usize,
        port: usize,
        extra: &str,
    ) -> Proc {
        let text = format!(
            "name: {name}\nhall: {}\nhttp: {}\ncontrol: {}\nplatform: \
             {}\nbeat_ms: 200\nstep_ms: 1000\nlinger_ms: 500\n{extra}",
            self.plan.hall(hall),
            self.addr_text(port),
            self.addr_text(port + 1000),
            self.addr_text(PLATFORM.into()),
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, text).unwrap();
        let args = ["--settings".into(), path.display().to_string()];
        self.spawn(&format!("stairhinge-{role}"), name, &args)
    }

    /// Starts the agent of a replica.
    pub fn start_agent(&self, r: usize) -> Proc {
        let extra = format!(
            "backend: {}\norigin: {}\nsuspect_ms: 1000\n{}",
            self.addr_text(7100 + r),
            self.addr_text(ORIGIN.into()),
            self.plan.agent
        );
        let halls = self.plan.halls;
        let name = format!("agent-{}-{}", r % halls, r / halls);
        self.start_role("agent", &name, r % halls, 7200 + r, &extra)
    }

    /// Puts a document on the platform; retries until it accepts it.
    async fn put(&self, path: &str, bytes: Vec<u8>) {
        let addr = self.addr(PLATFORM.into());
        let end = tokio::time::Instant::now() + TIMEOUT;
        loop {
            let request = Request::put(path).body(full(bytes.clone()));
            let sent = self.client.send(addr, request.unwrap(), TIMEOUT).await;
            if sent.is_ok_and(|r| r.status() == 200) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "the platform accepts no document"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Publishes a declaration that adds and serves a version, whose weights
    /// are made from a seed.
    pub async fn publish(&mut self, name: &str, seed: u64) {
        let bytes = weights(seed, self.plan.size);
        let pack = Pack::new(&bytes, self.plan.chunk).unwrap();
        let manifest = pack.manifest();
        self.versions.push(Version { name: name.into(), manifest });
        self.revision += 1;
        let text = self.plan.declare(self.revision, &self.versions, name);
        let path = format!("/v1/config?revision={}", self.revision);
        self.put(&path, text.into_bytes()).await;
    }

    /// Publishes the list of all instances.
    async fn publish_instances(&self) {
        let mut listing = Listing { revision: 1, instances: Vec::new() };
        let mut add = |name: String, hall: usize, role, port: usize| {
            listing.instances.push(Instance {
                name: name.into(),
                hall: self.plan.hall(hall).into(),
                role,
                http: self.addr(port),
                control: self.addr(port + 1000),
                presence: Presence::Live,
            });
        };
        let halls = self.plan.halls;
        for r in 0..self.plan.replicas {
            let name = format!("agent-{}-{}", r % halls, r / halls);
            add(name, r % halls, Role::Agent, 7200 + r);
        }
        for i in 0..halls {
            if self.plan.service {
                add(format!("service-{i}"), i, Role::Agent, 7550 + i);
            }
            add(format!("entry-{i}-0"), i, Role::Entry, 7600 + i);
        }
        let json = serde_json::to_vec(&listing).unwrap();
        self.put("/v1/instances?revision=1", json).await;
    }

    /// Returns the requests that the engine of a replica ran.
    pub async fn records(&self, r: usize) -> Vec<Record> {
        let addr = self.addr(7100 + r);
        let got = self.client.get(addr, "/record", 1 << 24, TIMEOUT).await;
        serde_json::from_slice(&got.unwrap().2).unwrap()
    }

    /// Returns how often a request ran on all engines together.
    pub async fn runs(&self, prompt: &str) -> usize {
        let mut runs = 0;
        for r in 0..self.plan.replicas {
            let records = self.records(r).await;
            runs += records.iter().filter(|x| x.prompt == prompt).count();
        }
        runs
    }

    /// Returns the version that the engine of a replica has loaded.
    pub async fn version(&self, r: usize) -> String {
        let addr = self.addr(7100 + r);
        let got = self.client.get(addr, "/engine", 1 << 20, TIMEOUT).await;
        let json: serde_json::Value =
            serde_json::from_slice(&got.unwrap().2).unwrap();
        json["version"].as_str().unwrap().to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The logs are for debugging, or to be cut down to a trace for
        // `tests/replay.rs`.
        let keep = std::env::var_os("STAIRHINGE_KEEP_LOGS").is_some();
        if keep || std::thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
