//! A staged piece turns bad after the order to load it, and all processes are
//! killed before the load has been confirmed.

use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::engine::{start_origin, Engine, CHUNKS, LAYERS};
use review_standins_2::record::Record;
use review_standins_2::site::{call, machine_ip, Agent, Entry, Folder};
use review_standins_2::store::Store;

/// How long a piece may have been bad that is taken.
const ALLOWED: Duration = Duration::from_secs(3);

/// After the order: when the piece turns bad, and when all are killed.
const ROT: Duration = Duration::from_millis(200);
const KILL: Duration = Duration::from_millis(3_600);

/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(1_100);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(&args[0]));
    let code = run(trouble, &record);
    record.line(format!("exit {code}"));
    exit(code);
}

fn configuration(origin: &str) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"w\",\"host\":\"a.example\",\"pathPrefix\":\"/words/\",\
         \"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":500,\"targetGapMs\":400,\
         \"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
         \"streamResume\":true}}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\
         \"maxConnections\":424,\"engine\":{{\"slots\":16,\"kvCapacity\":317000,\"models\":[{{\"name\":\"m\",\
         \"pace\":1.0,\"loadS\":4.0,\"warmS\":0.3}}],\"step_ms\":9.27,\"read_per_s\":20700.0,\
         \"usual\":{{\"prompt\":979,\"answer\":92}},\"layers\":{LAYERS},\"chunks\":{CHUNKS},\
         \"chunkBytes\":24576}}}},{{\"name\":\"origin\",\"origin\":\"{origin}\",\"zone\":\"z1\",\
         \"linkMbps\":7.3,\"maxConnections\":48}}],\"limits\":{{\"maxHeaderBytes\":16384,\
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
    let engines: Vec<Engine> = (0..2)
        .map(|i| {
            Engine::start(
                &format!("i-engine{i}"),
                &machine_ip(10 + i),
                &store,
                record,
            )
        })
        .collect();
    let start = |first: bool| -> Vec<Agent> {
        engines
            .iter()
            .map(|e| Agent::start(&folder.0, store.addr, e.addr, first))
            .collect()
    };
    let mut agents = start(true);
    let mut entries: Vec<Entry> = (1..=2)
        .map(|n| Entry::start_numbered(&folder.0, store.addr, n))
        .collect();
    if !entries.iter().all(Entry::wait_ready) {
        record.line("an entry is not ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for c in 0..16usize {
        let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
        let addr = entries[c % entries.len()].addr;
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(120 * c as u64));
            for n in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{c}n{n}");
                // A stream of 4.5 s.
                let answer = call(addr, &format!(
                    "POST /words/45/100 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
                     Model: m\r\nToken-Counts: 900,225\r\nPrompt-Prefix: aa:40,{c:04x}{n:04x}:860\r\n\
                     Deadline-Ms: 6000\r\nAuthorization: Token key1\r\nContent-Length: 0\r\n\r\n"
                ));
                record.line(format!("client {id}: status {}, complete {}", answer.status, answer.whole));
                if answer.status != 200 {
                    thread::sleep(Duration::from_millis(60));
                }
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(30);
    while engines.iter().any(|e| e.runs().is_empty()) {
        if Instant::now() > end {
            record.line("not served");
            return 2;
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(7));
    store.put("op/version/m", "{\"model\":\"m\",\"version\":2}");
    record.line("the store has taken version 2");
    let end = Instant::now() + Duration::from_secs(12);
    let ordered = loop {
        let found = engines.iter().find(|e| e.ordered_at().is_some());
        if let Some(engine) = found {
            break engine;
        }
        if Instant::now() > end {
            record.line("no order came");
            return 2;
        }
        thread::sleep(Duration::from_millis(5));
    };
    let at = ordered.ordered_at().unwrap_or_else(Instant::now);
    if trouble {
        thread::sleep(ROT.saturating_sub(at.elapsed()));
        ordered.spoil(40);
        thread::sleep(KILL.saturating_sub(at.elapsed()));
        record.line(format!("the order still waits: {}", ordered.waits()));
        entries.iter_mut().for_each(Entry::kill);
        agents.iter_mut().for_each(Agent::kill);
        record.line("all processes are killed");
        thread::sleep(DOWN);
        agents = start(false);
        entries = entries
            .iter()
            .map(|e| Entry::start_again(&folder.0, store.addr, e))
            .collect();
        record.line("all start again");
    }
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    let mut broken = 0;
    for engine in &engines {
        let runs = engine.runs();
        let on = |v| runs.iter().filter(|r| r.1 == v).count();
        record.line(format!(
            "{}: {} runs on version 1, {} on version 2",
            engine.id,
            on(1),
            on(2)
        ));
        for (id, version, bad) in runs {
            if bad > ALLOWED {
                broken += 1;
                record.line(format!(
                    "BROKEN {}: runs {id} on version {version}, with a layer that was taken when a piece \
                     of it had been bad for {bad:?}",
                    engine.id
                ));
            }
        }
    }
    let told = [
        "\"start\"",
        "load_",
        "target_taken",
        "fetch_",
        "dependency_",
        "caught_up",
    ];
    let mut logs: Vec<String> = agents.iter().map(Agent::logged).collect();
    logs.extend(entries.iter().map(Entry::logged));
    for line in logs.iter().flat_map(|log| log.lines()) {
        if told.iter().any(|event| {
            line.contains(&format!("\"event\":\"{}", event.trim_matches('"')))
        }) {
            record.line(format!("log: {line}"));
        }
    }
    record.line(format!("{broken} requests ran on such a layer"));
    if entries.iter_mut().any(Entry::has_ended) {
        record.line("an entry has ended by itself");
        return 1;
    }
    i32::from(broken > 0)
}
