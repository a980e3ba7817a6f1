//! Case 3: the first entries of a hall cannot read the platform.
//!
//! Exits with 1 if the rule CONFIG was broken, 0 if it held, and 2 if the case
//! could not run.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use review_standins::client::call;
use review_standins::model::Replica;
use review_standins::origin::{Origin, piece};
use review_standins::process::{Agent, Entry, Process, configuration};
use review_standins::record::Record;
use review_standins::store::{Door, Store};
use review_standins::{free, ip, trouble, wait};

const PIECES: u32 = 8;
/// The keys that are dropped, one after the other.
const DROPPED: [&str; 3] = ["k2", "k3", "k4"];
/// The entries of the hall, in the order of their addresses.
const ENTRIES: u8 = 5;
/// The entries that stand still; the first one is cut off from the store.
const FROZEN: [usize; 3] = [1, 2, 4];
/// The entry that is judged, in touch all the while.
const JUDGED: usize = 3;
/// `configApplyMs` of the deployment.
const APPLY: Duration = Duration::from_millis(2_000);
/// Longer than two calls of a reader to the store are apart.
const FRESH: Duration = Duration::from_millis(300);
/// How long requests are sent after the change.
const SENDING: Duration = Duration::from_secs(9);
/// How long the fleet is left alone after the disruption.
const HEALED: Duration = Duration::from_secs(10);

fn request(id: &str, key: &str) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 3000\r\nAuthorization: Token {key}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    )
}

fn main() {
    let record = Arc::new(Record::default());
    let status = run(&record);
    record.write();
    exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let store = Arc::new(Store::default());
    let cut_addr = free(ip(4));
    let first_door = store.open(cut_addr);
    let store_addr = free(ip(1));
    let _door = store.open(store_addr);
    let origin = Origin::start(free(ip(2)), PIECES, Arc::clone(record));
    let config = |version: u64, dropped: &[&str]| {
        let mut keys = String::from("\"k1\"");
        for key in dropped {
            keys += &format!(",\"{key}\"");
        }
        let tenant = format!(
            "\"tenants\":[{{\"name\":\"desk\",\"apiKeys\":[{keys}]}}]"
        );
        configuration(version, origin.addr, PIECES)
            .replace("\"public\":true", "\"public\":false")
            .replace("\"tenants\":[]", &tenant)
    };
    store.put("op/config", &config(1, &DROPPED));
    let port = free(ip(3)).port();
    let own = ip(50);
    let model = Replica::start(
        "i-m0",
        free(own),
        "z1",
        "pool",
        Some(1),
        Arc::clone(record),
    );
    let pieces = (0..PIECES).map(|j| piece(1, j, origin.piece_bytes));
    model.stage(pieces.collect());
    store.put("servers/i-m0", &model.entry("ready"));
    let agent = Agent {
        name: "side-0".into(),
        zone: "z1".into(),
        listen: SocketAddr::new(own.into(), port),
        engine: model.addr,
        store: store_addr,
        first_start: true,
    };
    let _agent = agent.start();
    let mut plain = Vec::new();
    for i in 0..3 {
        let id = format!("i-p{i}");
        let replica = Replica::start(
            &id,
            free(ip(60 + i)),
            "z1",
            "plain",
            None,
            Arc::clone(record),
        );
        store.put(&format!("servers/{id}"), &replica.entry("ready"));
        plain.push(replica);
    }
    let mut entries = Vec::new();
    for i in 0..ENTRIES {
        let own = ip(150 + i);
        entries.push(Entry {
            name: format!("front-{}", i + 1),
            zone: "z1".into(),
            front: free(own),
            ready: free(own),
            peers: SocketAddr::new(own.into(), port),
            store: if i == 0 { cut_addr } else { store_addr },
            zones: "{\"z1\":\"r1\"}".into(),
            first_start: true,
        });
    }
    let processes: Vec<_> = entries.iter().map(Entry::start).collect();
    let long = Duration::from_secs(4);
    for entry in &entries {
        let first = request("first", "k2");
        let served = wait(Duration::from_secs(20), || {
            call(entry.front, &first, long) == 200
        });
        if !served {
            record.note(format!("{} does not serve", entry.name));
            return 2;
        }
    }
    // The entries find one another, and the first one reads for all.
    std::thread::sleep(Duration::from_secs(8));

    let site = Site { store, first_door, entries, processes };
    let mut broken = false;
    let mut version = 1;
    for (i, key) in DROPPED.iter().enumerate() {
        // Changes that matter to no request, so that what all entries know is
        // fresh.
        for _ in 0..2 {
            version += 1;
            let idle = format!("\"idleTimeoutMs\":150{version:02}");
            let text = config(version, &DROPPED[i..]);
            let text = text.replace("\"idleTimeoutMs\":15000", &idle);
            site.store.put("op/config", &text);
            record.note(format!(
                "store: version {version} of the configuration"
            ));
            std::thread::sleep(FRESH);
        }
        version += 1;
        let text = config(version, &DROPPED[i + 1..]);
        let Some(late) = site.drop_key(key, &text, record) else { return 2 };
        broken |= late;
    }
    i32::from(broken)
}

struct Site {
    store: Arc<Store>,
    first_door: Arc<Door>,
    entries: Vec<Entry>,
    processes: Vec<Process>,
}

impl Site {
    /// Cuts off the first entry, freezes the next ones and drops a key. Returns
    /// whether an entry in touch used it too long, or nothing if that could
    /// not be found out.
    fn drop_key(
        &self,
        key: &'static str,
        config: &str,
        record: &Arc<Record>,
    ) -> Option<bool> {
        let long = Duration::from_secs(4);
        let judged = &self.entries[JUDGED..=JUDGED];
        let frozen = FROZEN.map(|i| &self.processes[i]);
        if trouble() {
            self.first_door.cut.store(true, Ordering::Relaxed);
            record.note("front-1 is cut off from the store");
            for process in frozen {
                process.signal("-STOP");
            }
            record.note("front-2, front-3 and front-5 stand still");
        }
        self.store.put("op/config", config);
        let acked = Instant::now();
        record.note(format!("store: a configuration without the key {key}"));
        let mut threads = Vec::new();
        for entry in judged {
            let (name, front) = (entry.name.clone(), entry.front);
            let record = Arc::clone(record);
            threads.push(std::thread::spawn(move || {
                let (mut late, mut last) = (0, Duration::ZERO);
                let mut number = 0;
                while acked.elapsed() < SENDING {
                    number += 1;
                    let id = format!("{name}-{key}-{number:04}");
                    let sent = acked.elapsed();
                    let status = call(front, &request(&id, key), long);
                    record.note(format!(
                        "client: {id} with {key} gets {status}"
                    ));
                    if status == 200 && sent > APPLY {
                        late += 1;
                        last = sent;
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
                (name, late, last)
            }));
        }
        let mut broken = false;
        for thread in threads {
            let (name, late, last) = thread.join().ok()?;
            broken |= late > 0;
            record.note(format!(
                "{name}, in touch all the while, had {late} requests with the \
                 dropped key {key} run that were sent more than 2000 ms after \
                 the acknowledgement; the last was sent {} ms after it",
                last.as_millis()
            ));
        }
        if trouble() {
            self.first_door.cut.store(false, Ordering::Relaxed);
            for process in frozen {
                process.signal("-CONT");
            }
            record.note("the cut heals, and the others wake");
        }
        std::thread::sleep(HEALED);
        let after = judged
            .iter()
            .all(|e| call(e.front, &request("after", "k1"), long) == 200);
        if !after {
            record.note("the key that stayed is not served");
        }
        after.then_some(broken)
    }
}
