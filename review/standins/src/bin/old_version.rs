//! Case 3: an entry that starts again between two versions.
//!
//! Exits with 1 if the rule VERSION was broken, 0 if it held, and 2 if the
//! case could not run.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use review_standins::client::call;
use review_standins::model::Replica;
use review_standins::origin::{Origin, piece};
use review_standins::process::{Agent, Entry, Process, configuration};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{free, ip, sleep_until, trouble, wait};

const PIECES: u32 = 96;
/// `version_ms` and `contactMs` of the deployment.
const VERSION_MS: u64 = 8_000;
const CONTACT_MS: u64 = 3_000;
/// When the second version is named, after the first.
const NEXT: Duration = Duration::from_millis(5_500);

struct Caller {
    front: SocketAddr,
    record: Arc<Record>,
    sent: AtomicU64,
}

impl Caller {
    fn send(&self, within: Duration) -> (String, u16) {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("q{number:04}");
        let text = format!(
            "POST /words/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nModel: m\r\nToken-Counts: 100,20\r\n\
             Content-Length: 4\r\nConnection: close\r\n\r\nbody"
        );
        let status = call(self.front, &text, within);
        self.record.note(format!("client: {id} gets {status}"));
        (id, status)
    }
}

fn main() {
    let record = Arc::new(Record::default());
    let status = run(&record);
    record.write();
    exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let store = Arc::new(Store::default());
    let store_addr = free(ip(1));
    let _door = store.open(store_addr);
    let origin = Origin::start(free(ip(2)), PIECES, Arc::clone(record));
    store.put("op/config", &configuration(1, origin.addr, PIECES));
    let port = free(ip(3)).port();
    let mut replicas = Vec::new();
    let mut agents = Vec::new();
    for i in 0..2 {
        let (own, id) = (ip(50 + i), format!("i-m{i}"));
        let replica = Replica::start(
            &id,
            free(own),
            "z1",
            "pool",
            Some(1),
            Arc::clone(record),
        );
        let pieces = (0..PIECES).map(|j| piece(1, j, origin.piece_bytes));
        replica.stage(pieces.collect());
        store.put(&format!("servers/{id}"), &replica.entry("ready"));
        let agent = Agent {
            name: format!("side-{i}"),
            zone: "z1".into(),
            listen: SocketAddr::new(own.into(), port),
            engine: replica.addr,
            store: store_addr,
            first_start: true,
        };
        agents.push(agent.start());
        replicas.push(replica);
    }
    let own = ip(150);
    let mut entry = Entry {
        name: "front-1".into(),
        zone: "z1".into(),
        front: free(own),
        ready: free(own),
        peers: SocketAddr::new(own.into(), port),
        store: store_addr,
        zones: "{\"z1\":\"r1\"}".into(),
        first_start: true,
    };
    let mut process = Some(entry.start());
    entry.first_start = false;
    let caller = Arc::new(Caller {
        front: entry.front,
        record: Arc::clone(record),
        sent: AtomicU64::new(0),
    });
    let long = Duration::from_secs(4);
    if !wait(Duration::from_secs(20), || caller.send(long).1 == 200) {
        record.note("nothing is served");
        return 2;
    }
    // Agents get the manifest of what their replicas hold meanwhile.
    std::thread::sleep(Duration::from_secs(3));

    origin.set_away(true);
    record.note("the origin is away");
    origin.name(2);
    store.put("op/version/m", "{\"model\":\"m\",\"version\":2}");
    let named = Instant::now();
    let named_ms = record.note("store: version 2 is named");
    std::thread::sleep(Duration::from_secs(1));
    if caller.send(long).1 != 200 {
        record.note("version 1 is not served one second later");
        return 2;
    }
    sleep_until(named + NEXT);
    origin.name(3);
    store.put("op/version/m", "{\"model\":\"m\",\"version\":3}");
    let next = Instant::now();
    record.note("store: version 3 is named");

    let mut started_ms = 0;
    if trouble() {
        sleep_until(next + Duration::from_millis(300));
        signal_all(&agents, "-STOP", record);
        if let Some(process) = process.take() {
            process.kill();
            record.note("the entry is killed");
        }
        sleep_until(next + Duration::from_millis(900));
        process = Some(entry.start());
        started_ms = record.note("the entry starts again");
        sleep_until(next + Duration::from_millis(2_400));
        signal_all(&agents, "-CONT", record);
    }
    // From here on the entry has been in touch for `contactMs`.
    sleep_until(next + Duration::from_millis(4_100));
    let from_ms = record.note("the entry is in touch; requests begin");
    assert!(started_ms + CONTACT_MS < from_ms);
    let mut sends = Vec::new();
    while next.elapsed() < Duration::from_millis(7_500) {
        let caller = Arc::clone(&caller);
        sends.push(std::thread::spawn(move || caller.send(long)));
        std::thread::sleep(Duration::from_millis(25));
    }
    let sent = sends.len();
    for send in sends {
        let _ = send.join();
    }
    drop(process);

    let bound_ms = named_ms + VERSION_MS;
    let mut late = 0;
    let mut last = 0;
    for replica in &replicas {
        for run in replica.runs.lock().unwrap().iter() {
            let counts = run.at_ms > bound_ms.max(from_ms);
            if counts && run.version < 2 {
                late += 1;
                last = last.max(run.at_ms);
            }
        }
    }
    record.note(format!(
        "{late} of {sent} requests that an entry in touch sent on began on \
         version 1 more than {VERSION_MS} ms after version 2 was named; the \
         last {} ms after",
        last.saturating_sub(named_ms)
    ));
    i32::from(late > 0)
}

fn signal_all(agents: &[Process], signal: &str, record: &Record) {
    for agent in agents {
        agent.signal(signal);
    }
    record.note(format!("both agents get {signal}"));
}
