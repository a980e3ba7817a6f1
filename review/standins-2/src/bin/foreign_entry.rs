//! Entries of another writer lie in the store, and all processes end once.
//!
//! With `key` the foreign entry has a name with a `#` and fills a page of a
//! range. With `service` foreign entries name a service that is not in the
//! configuration, at the addresses of the replicas.

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::record::Record;
use review_standins_2::replica::{plain_body, Manner, Replica};
use review_standins_2::site::{call, configuration, request, Entry, Folder};
use review_standins_2::store::Store;

/// The bound of the rule, and how long it is observed after that.
const RECOVERY: Duration = Duration::from_secs(12);
const OBSERVED: Duration = Duration::from_secs(15);

/// The machines that take requests.
const ENTRIES: u32 = 2;

/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(1_300);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "replica") {
        return review_standins_2::replica::main(&args[1..]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(&args[0]));
    let service = args.get(1).is_some_and(|a| a == "service");
    let code = run(trouble, service, &record);
    record.line(format!("exit {code}"));
    exit(code);
}

fn run(trouble: bool, service: bool, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &configuration(3, "plain", 2, 4_000));
    let replicas: Vec<Replica> = ["i-a1", "s-b2", "w-c3"]
        .iter()
        .map(|id| Replica::start(id, &Manner::default()))
        .collect();
    for replica in &replicas {
        store.put(
            &format!("servers/{}", replica.id),
            &replica.entry("plain", "ready"),
        );
    }
    let start = |number| Entry::start_numbered(&folder.0, store.addr, number);
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(start).collect();
    if !entries.iter().all(Entry::wait_ready) {
        record.line("an entry is not ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    // By request: when it was sent, and whether it was served.
    let seen: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for c in 0..4 {
        let addr = entries[c % entries.len()].addr;
        let (stop, record, seen) =
            (Arc::clone(&stop), Arc::clone(record), Arc::clone(&seen));
        clients.push(thread::spawn(move || {
            for i in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{c}n{i}");
                let sent = Instant::now();
                let answer =
                    call(addr, &request("GET", "/safe/20", &id, 3_000, ""));
                let served = answer.status == 200
                    && answer.whole
                    && answer.text == plain_body(&id);
                record.line(format!(
                    "client {id}: status {}, served {served}",
                    answer.status
                ));
                seen.lock().unwrap().push((sent, served));
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let served_since = |from: Instant| {
        let seen = seen.lock().unwrap();
        let all: Vec<bool> = seen
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, s)| *s)
            .collect();
        (all.iter().filter(|s| **s).count(), all.len())
    };
    let end = Instant::now() + Duration::from_secs(15);
    while served_since(end - Duration::from_secs(16)).0 < 40
        && Instant::now() < end
    {
        thread::sleep(Duration::from_millis(50));
    }
    let calm = Instant::now();
    if trouble && service {
        for replica in &replicas {
            let key = format!("servers/inventory-{}", replica.id);
            store.put(&key, &replica.entry("inventory", "ready"));
            record.line(format!("another writer has written {key}"));
        }
    } else if trouble {
        // Bytes that can't be read, as many as a value may have.
        store.put("servers/rack#7", &"\u{1}".repeat(1_048_576));
        record.line("another writer has written servers/rack#7");
    }
    thread::sleep(Duration::from_secs(5));
    let (served, all) = served_since(calm);
    record
        .line(format!("before the final fault {served} of {all} are served"));
    if served * 2 < all || all < 20 {
        return 2;
    }
    entries.iter_mut().for_each(Entry::kill);
    record.line("all processes are killed");
    thread::sleep(DOWN);
    let again =
        |entry: &Entry| Entry::start_again(&folder.0, store.addr, entry);
    let mut entries: Vec<Entry> = entries.iter().map(again).collect();
    record.line("they are back");
    let pages = store.range_calls();
    thread::sleep(RECOVERY);
    let late = Instant::now();
    thread::sleep(OBSERVED);
    let (served, all) = served_since(late);
    record.line(format!(
        "later than {RECOVERY:?} after that {served} of {all} are served"
    ));
    record.line(format!(
        "pages of items read since: {}",
        store.range_calls() - pages
    ));
    for entry in &entries {
        let log = entry.logged();
        let lives: Vec<&str> = log.split("\"event\":\"start\"").collect();
        let last = lives.last().copied().unwrap_or_default();
        for line in last.lines().filter(|l| l.contains("\"event\":\"replica_"))
        {
            record.line(format!("{}: {line}", entry.addr));
        }
        record.line(format!(
            "{}: memory {} KB",
            entry.addr,
            entry.memory_kb()
        ));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if entries.iter_mut().any(Entry::has_ended) {
        record.line("an entry has ended by itself");
        return 1;
    }
    i32::from(served * 4 < all)
}
