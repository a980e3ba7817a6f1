//! Processes of the project, with the commands of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process, which is killed when dropped.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts `stairhinge-platform ROLE` with these settings. Its log goes to
    /// the folder that `RUN_DIR` names.
    pub fn start(role: &str, name: &str, settings: &str) -> Process {
        let dir = PathBuf::from(
            std::env::var("RUN_DIR").expect("RUN_DIR names a folder"),
        );
        let program = std::env::var("STAIRHINGE_PLATFORM")
            .unwrap_or("target/release/stairhinge-platform".into());
        let file = dir.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("a settings file");
        let log = open_log(&dir, name);
        let child = Command::new(program)
            .arg(role)
            .env("STAIRHINGE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the program starts");
        Process { child, name: name.to_string() }
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(
            sent.is_ok_and(|s| s.success()),
            "kill {signal} {}",
            self.name
        );
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn open_log(dir: &Path, name: &str) -> File {
    let path = dir.join(format!("{name}.log"));
    let mut options = File::options();
    options.create(true).append(true).open(path).expect("a log file")
}

/// The settings of an entry, as its template fills them.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub store: SocketAddr,
    pub zones: String,
    pub first_start: bool,
}

impl Entry {
    pub fn start(&self) -> Process {
        let settings = format!(
            "instance: \"{}\"\nhall: \"{}\"\nregions: {}\nlisten: \"{}\"\n\
             ready: \"{}\"\nmetrics: \"{}:9464\"\npeers: \"{}\"\n\
             agent_port: {}\nlink_mbps: 1000.0\nfirst_start: {}\ngrace_s: 8\n\
             drain_ms: 2000\nroutes_ms: 2000\nheartbeat_ms: 1200\n\
             version_ms: 8000\ncontact_ms: 3000\nevacuate_ms:\nmemory_mb: 260\n\
             buffers:\n  unread_ms: 10000\n  body_ms: 10000\n\
             cold:\n  overage:\n  slack:\n\
             overload:\n  policy: new-first\n  floor: 0.66\n\
             health:\n  max_ejected: 0.5\n  eject_ms: 1000\n  speed: true\n\
             versions:\n  memory_mb: 16\n\
             retry:\n  ratio: 0.2\n  window_s: 10\n  minimum: 102\n\
             store: \"{}\"\n",
            self.name,
            self.zone,
            self.zones,
            self.front,
            self.ready,
            self.front.ip(),
            self.peers,
            self.peers.port(),
            self.first_start,
            self.store
        );
        Process::start("entry", &self.name, &settings)
    }
}

/// The settings of an agent, as its template fills them.
pub struct Agent {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub store: SocketAddr,
    pub first_start: bool,
}

impl Agent {
    pub fn start(&self) -> Process {
        let settings = format!(
            "instance: \"{}\"\nhall: \"{}\"\nlisten: \"{}\"\nengine: \"{}\"\n\
             service: \"pool\"\nfirst_start: {}\ngrace_s: 8\n\
             version_ms: 8000\ncontact_ms: 3000\nlink_mbps: 7.3\n\
             versions:\n  memory_mb: 16\nstore: \"{}\"\n",
            self.name,
            self.zone,
            self.listen,
            self.engine,
            self.first_start,
            self.store
        );
        Process::start("agent", &self.name, &settings)
    }
}

/// A configuration with a plain service, a model and an origin of weights.
pub fn configuration(version: u64, origin: SocketAddr, pieces: u32) -> String {
    let route = |path: &str, kind: &str, service: &str, resume: bool| {
        format!(
            "{{\"name\":\"{path}\",\"host\":\"a.example\",\"pathPrefix\":\
             \"{path}\",\"kind\":\"{kind}\",\"timeoutMs\":4000,\
             \"targetLatencyMs\":400,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"public\":true,\"streamResume\":{resume},\
             \"sticky\":{resume}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[\
         {{\"name\":\"plain\",\"healthPath\":\"/h\",\"maxConnections\":100}},\
         {{\"name\":\"pool\",\"healthPath\":\"/h\",\"maxConnections\":264,\
         \"engine\":{{\"slots\":8,\"layers\":4,\"chunks\":{pieces},\
         \"read_per_s\":20000.0,\"step_ms\":9.0,\"usual\":{{\"prompt\":900,\
         \"answer\":90}},\"models\":[{{\"name\":\"m\",\"warmS\":0.1}}]}}}},\
         {{\"name\":\"weights\",\"origin\":\"{origin}\",\"linkMbps\":7.3,\
         \"maxConnections\":48}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[]}}",
        route("/safe/", "safe", "plain", false),
        route("/once/", "unsafe", "plain", false),
        route("/words/", "streaming", "pool", true),
    )
}
