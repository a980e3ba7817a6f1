//! Answers without a length, the replica of which ends while it leaves.
//!
//! A replica says `draining`, serves on for `drainMs` and a little longer, and
//! ends. What it has not finished by then is cut. Its answers have neither a
//! length nor chunks.

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::record::Record;
use review_standins_2::replica::{event, plain_body, Manner, Replica};
use review_standins_2::site::{call, configuration, request, Entry, Folder};
use review_standins_2::store::Store;

const EVENTS: u64 = 45;
const GAP_MS: u64 = 100;
const WAIT_MS: u64 = 4_500;

/// How long after the store has taken `draining` the replica ends: `drainMs`
/// and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_000);

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
    store.put("op/config", &configuration(3, "plain", 2, 8_000));
    let manner = Manner { unframed: true, ..Manner::default() };
    let leaving = Replica::start("i-leaving", &manner);
    store.put("servers/i-leaving", &leaving.entry("plain", "ready"));
    let mut entry = Entry::start(&folder.0, store.addr);
    if !entry.wait_ready() {
        record.line("the entry is not ready");
        return 2;
    }
    // One warm-up request of each kind shows that all is served.
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let answer =
            call(entry.addr, &request("GET", "/safe/0", "warm", 3_000, ""));
        if answer.status == 200
            && answer.whole
            && answer.text == plain_body("warm")
        {
            break;
        }
        if Instant::now() > end {
            record.line(format!("not served: {answer:?}"));
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let kinds = [
        ("POST", format!("/words/{EVENTS}/{GAP_MS}"), "stream"),
        ("GET", format!("/safe/{WAIT_MS}"), "safe"),
        ("POST", format!("/once/{WAIT_MS}"), "once"),
    ];
    let mut calls = Vec::new();
    for (method, path, kind) in kinds {
        for i in 0..4 {
            let id = format!("{kind}{i}");
            let text = request(method, &path, &id, 8_000, "");
            record.line(format!("sent {id}: {method} {path}"));
            let (addr, record) = (entry.addr, Arc::clone(record));
            calls.push(thread::spawn(move || {
                let answer = call(addr, &text);
                record.line(format!(
                    "answered {id}: status {}, {} bytes, complete {}, stamp {:?}, after {} ms",
                    answer.status,
                    answer.text.len(),
                    answer.whole,
                    answer.head.get("response-stamp"),
                    answer.took.as_millis()
                ));
                (id, answer)
            }));
        }
    }
    thread::sleep(Duration::from_millis(700));
    // A second replica is there all the while from now on.
    let staying = Replica::start("i-staying", &Manner::default());
    store.put("servers/i-staying", &staying.entry("plain", "ready"));
    if trouble {
        store.put("servers/i-leaving", &leaving.entry("plain", "draining"));
        record.line("the store has taken that i-leaving is draining");
        thread::sleep(SERVES_ON);
        leaving.kill();
        record.line("i-leaving has ended");
    }
    let whole_stream: String = (1..=EVENTS).map(event).collect();
    let (mut broken, mut served) = (0, 0);
    for call in calls {
        let Ok((id, answer)) = call.join() else { return 2 };
        let right = match id.starts_with("stream") {
            true => answer.text == whole_stream,
            false => answer.text == plain_body(&id),
        };
        let success = (200..300).contains(&answer.status);
        if success && answer.whole && !right {
            broken += 1;
            record.line(format!(
                "BROKEN {id}: a success that looks complete has {:?}...",
                answer
                    .text
                    .chars()
                    .rev()
                    .take(30)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .rev()
                    .collect::<String>()
            ));
        }
        served += usize::from(success && answer.whole && right);
    }
    for (replica, name) in [(&leaving, "i-leaving"), (&staying, "i-staying")] {
        for arrival in replica.arrivals() {
            record.line(format!("{name}: {} ran {}", arrival.id, arrival.ran));
        }
    }
    let line = |l: &&str| {
        l.contains("event\":\"replica_") || l.contains("event\":\"ended")
    };
    for line in entry.logged().lines().filter(line) {
        record.line(format!("entry: {line}"));
    }
    record.line(format!("{broken} successes cut short, {served} whole"));
    if entry.has_ended() {
        record.line("the entry has ended by itself");
        return 1;
    }
    if !trouble && served < 12 {
        return 1;
    }
    i32::from(broken > 0)
}
