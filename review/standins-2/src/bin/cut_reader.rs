//! One machine is cut off from the store while services of one replica lose it.
//! Requests that the other machines send there too late are counted.

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::engine::{start_origin, Engine, CHUNKS, LAYERS};
use review_standins_2::record::Record;
use review_standins_2::replica::{now_unix_ms, Manner, Replica};
use review_standins_2::site::{
    call, machine_ip, request, Agent, Entry, Folder,
};
use review_standins_2::store::Store;

/// The bound of the rule.
const DRAIN_MS: u128 = 2_000;

/// Services that have one replica each.
const SERVICES: [&str; 3] = ["archive", "notices", "claims"];

/// How long after the one before each replica leaves, the first one after the
/// cut has begun, and how long the cut lasts.
const PAUSE: Duration = Duration::from_millis(900);
const CUT: Duration = Duration::from_millis(5_500);

/// How long a replica serves on once its entry has gone.
const SERVES_ON: Duration = Duration::from_secs(9);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "replica") {
        return review_standins_2::replica::main(&args[1..]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(&args[0]));
    let code = run(trouble, &record);
    record.line(format!("exit {code}"));
    exit(code);
}

fn configuration(origin: &str) -> String {
    let route = |name: &&str| {
        format!(
            ",{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"unsafe\",\
             \"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{name}\",\
             \"maxAttempts\":2,\"public\":false}}"
        )
    };
    let service = |name: &&str| {
        format!(",{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":100}}")
    };
    let routes: String = SERVICES.iter().map(route).collect();
    let services: String = SERVICES.iter().map(service).collect();
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"w\",\"host\":\"a.example\",\"pathPrefix\":\"/words/\",\
         \"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":500,\"targetGapMs\":400,\
         \"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
         \"streamResume\":true}}{routes}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\
         \"maxConnections\":424,\"engine\":{{\"slots\":16,\"kvCapacity\":317000,\"models\":[{{\"name\":\"m\",\
         \"pace\":1.0,\"loadS\":4.0,\"warmS\":0.3}}],\"step_ms\":9.27,\"read_per_s\":20700.0,\
         \"usual\":{{\"prompt\":979,\"answer\":92}},\"layers\":{LAYERS},\"chunks\":{CHUNKS},\
         \"chunkBytes\":24576}}}},{{\"name\":\"origin\",\"origin\":\"{origin}\",\"zone\":\"z1\",\
         \"linkMbps\":7.3,\"maxConnections\":48}}{services}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[\"key1\"]}}]}}"
    )
}

fn run(trouble: bool, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let store = Store::start();
    let origin = start_origin();
    store.put("op/config", &configuration(&origin.to_string()));
    store.put("op/version/m", "{\"model\":\"m\",\"version\":1}");
    // Machines find one another through the agents of model replicas.
    let engine = Engine::start("i-engine0", &machine_ip(10), &store, record);
    let _agent = Agent::start(&folder.0, store.addr, engine.addr, true);
    let only: Vec<Replica> = SERVICES
        .iter()
        .map(|s| Replica::start(&format!("i-{s}"), &Manner::default()))
        .collect();
    for (replica, service) in only.iter().zip(SERVICES) {
        store.put(
            &format!("servers/{}", replica.id),
            &replica.entry(service, "ready"),
        );
    }
    let (behind, link) = store.behind_link();
    let mut entries: Vec<Entry> = (1..=3)
        .map(|n| {
            Entry::start_numbered(
                &folder.0,
                if n == 1 { behind } else { store.addr },
                n,
            )
        })
        .collect();
    if !entries.iter().all(Entry::wait_ready) {
        record.line("an entry is not ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for c in 0..6usize {
        // No client uses the machine that is cut off.
        let (addr, machine) = (entries[1 + c % 2].addr, 2 + c % 2);
        let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
        let path = format!("/{}/20", SERVICES[c / 2]);
        clients.push(thread::spawn(move || {
            for i in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("m{machine}c{c}n{i}");
                let answer =
                    call(addr, &request("POST", &path, &id, 3_000, ""));
                record.line(format!("client {id}: status {}", answer.status));
                thread::sleep(Duration::from_millis(80));
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(15);
    while only.iter().any(|r| r.arrivals().len() < 20) && Instant::now() < end
    {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(8));
    if only.iter().any(|r| r.arrivals().len() < 20) {
        record.line("not served");
        return 2;
    }
    if trouble {
        link.cut();
        record.line("machine 1 is cut off from the store");
    }
    let mut gone = Vec::new();
    for replica in &only {
        thread::sleep(PAUSE);
        store.delete(&format!("servers/{}", replica.id));
        gone.push(now_unix_ms());
        record.line(format!(
            "the store has taken that the entry of {} is gone",
            replica.id
        ));
    }
    thread::sleep(CUT - PAUSE * 3);
    link.heal();
    record.line("the link is whole again");
    thread::sleep(SERVES_ON - (CUT - PAUSE * 3));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    for (replica, gone) in only.iter().zip(gone) {
        for arrival in replica.arrivals() {
            let after = arrival.at as i128 - gone as i128;
            if after > 0 {
                record.line(format!(
                    "{}: {} ran {} at {after} ms of its going",
                    replica.id, arrival.id, arrival.ran
                ));
            }
            late += u32::from(arrival.ran && arrival.at > gone + DRAIN_MS);
        }
    }
    for entry in &entries {
        for line in entry.logged().lines() {
            if line.contains("event\":\"replica_")
                || line.contains("dependency")
            {
                record.line(format!("{}: {line}", entry.addr));
            }
        }
    }
    record.line(format!("{late} requests reached a replica later than {DRAIN_MS} ms after its entry had gone"));
    if entries.iter_mut().any(Entry::has_ended) {
        record.line("an entry has ended by itself");
        return 1;
    }
    i32::from(late > 0)
}
