//! Case 2: two versions are named while the origin is away.
//!
//! Exits with 1 if the rule RECOVER was broken, 0 if it held, and 2 if the
//! case could not run.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins::client::call;
use review_standins::model::Replica;
use review_standins::origin::{Origin, piece};
use review_standins::process::{Agent, Entry, configuration};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{free, ip, sleep_until, trouble, wait};

const PIECES: u32 = 96;
/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

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
        agents.push(Agent {
            name: format!("side-{i}"),
            zone: "z1".into(),
            listen: SocketAddr::new(own.into(), port),
            engine: replica.addr,
            store: store_addr,
            first_start: true,
        });
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
    let mut processes: Vec<_> = agents.iter().map(Agent::start).collect();
    processes.push(entry.start());
    let front = entry.front;
    let mut number = 0;
    let mut send = || {
        number += 1;
        let id = format!("q{number:04}");
        let text = format!(
            "POST /words/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nModel: m\r\nToken-Counts: 100,20\r\n\
             Content-Length: 4\r\nConnection: close\r\n\r\nbody"
        );
        let status = call(front, &text, Duration::from_secs(4));
        record.note(format!("client: {id} gets {status}"));
        status == 200
    };
    if !wait(Duration::from_secs(20), &mut send) {
        record.note("nothing is served");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let served = (0..10).filter(|_| send()).count();
    if served < 10 {
        record.note("not all is served before the final fault");
        return 2;
    }

    let fault = Instant::now();
    if trouble() {
        origin.set_away(true);
        record.note("the origin is away");
        for process in processes.drain(..) {
            process.kill();
        }
        record.note("all processes are killed");
        sleep_until(fault + Duration::from_millis(500));
        entry.first_start = false;
        for agent in &mut agents {
            agent.first_start = false;
            processes.push(agent.start());
        }
        processes.push(entry.start());
    }
    let back = Instant::now();
    record.note("the machines are back");
    for (version, after) in [(2, 3_000), (3, 4_000)] {
        sleep_until(back + Duration::from_millis(after));
        origin.name(version);
        let value = format!("{{\"model\":\"m\",\"version\":{version}}}");
        store.put("op/version/m", &value);
        record.note(format!("store: version {version} is named"));
    }
    sleep_until(back + Duration::from_secs(6));
    origin.set_away(false);
    record.note("the origin is there");
    sleep_until(back + RECOVERY + Duration::from_millis(100));
    let (mut sent, mut served) = (0, 0);
    while back.elapsed() < Duration::from_secs(40) {
        sent += 1;
        served += u32::from(send());
        std::thread::sleep(Duration::from_millis(100));
    }
    let held: Vec<_> = replicas.iter().map(|r| r.version()).collect();
    record.note(format!(
        "{served} of {sent} requests sent later than 12 s after the machines \
         were back are served; the replicas hold versions {held:?}"
    ));
    i32::from(served * 4 < sent)
}
