//! The only replica of a service leaves soon after a waiting watch was cut.
//!
//! It never says `draining`: its entry goes, and it serves on. Requests that
//! reach it later than `drainMs` after that are counted.

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::record::Record;
use review_standins_2::replica::{now_unix_ms, Manner, Replica};
use review_standins_2::site::{call, configuration, request, Entry, Folder};
use review_standins_2::store::Store;

/// The bound of the rule.
const DRAIN_MS: u128 = 2_000;

/// How long the replica serves on once its entry has gone.
const SERVES_ON: Duration = Duration::from_secs(8);

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

fn run(trouble: bool, record: &Arc<Record>) -> i32 {
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", &configuration(3, "plain", 2, 4_000));
    let only = Replica::start("i-only", &Manner::default());
    store.put("servers/i-only", &only.entry("plain", "ready"));
    let mut entry = Entry::start(&folder.0, store.addr);
    if !entry.wait_ready() {
        record.line("the entry is not ready");
        return 2;
    }
    let addr = entry.addr;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for c in 0..4 {
        let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
        clients.push(thread::spawn(move || {
            let mut counts = std::collections::BTreeMap::new();
            for i in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{c}n{i}");
                let answer = call(addr, &request("POST", "/once/20", &id, 3_000, ""));
                record.line(format!("client {id}: status {}", answer.status));
                *counts.entry(answer.status).or_insert(0u32) += 1;
                thread::sleep(Duration::from_millis(80));
            }
            counts
        }));
    }
    // The machine has been in touch for far longer than `contactMs`.
    let end = Instant::now() + Duration::from_secs(15);
    while only.arrivals().len() < 40 && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(4));
    if only.arrivals().len() < 40 {
        record.line("not served");
        return 2;
    }
    if trouble {
        let cut = store.cut_watches("servers/");
        record.line(format!("{cut} waiting watches on servers/ are cut"));
        if cut == 0 {
            return 2;
        }
    }
    thread::sleep(Duration::from_millis(100));
    store.delete("servers/i-only");
    let gone = now_unix_ms();
    record.line("the store has taken that the entry of i-only is gone");
    thread::sleep(SERVES_ON);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let counts = client.join();
        record.line(format!("client's answers by status: {counts:?}"));
    }
    let mut late = 0;
    for arrival in only.arrivals() {
        let after = arrival.at as i128 - gone as i128;
        record.line(format!("i-only: {} ran {} at {after} ms of its going", arrival.id, arrival.ran));
        late += u32::from(arrival.ran && arrival.at > gone + DRAIN_MS);
    }
    for line in entry.logged().lines() {
        if line.contains("event\":\"replica_") || line.contains("dependency") {
            record.line(format!("entry: {line}"));
        }
    }
    record.line(format!("{late} requests reached it later than {DRAIN_MS} ms after that"));
    if entry.has_ended() {
        record.line("the entry has ended by itself");
        return 1;
    }
    i32::from(late > 0)
}
