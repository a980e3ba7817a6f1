//! A sound replica names a long time in `Keep-Alive`.

use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_2::record::Record;
use review_standins_2::replica::{plain_body, Manner, Replica};
use review_standins_2::site::{call, call_on, configuration, request, Entry, Folder};
use review_standins_2::store::Store;

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
    let seconds = if trouble { "timeout=18446744073709551615" } else { "timeout=5" };
    let manner = Manner { keep_alive: seconds.into(), ..Manner::default() };
    let replicas: Vec<Replica> =
        (0..2).map(|i| Replica::start(&format!("i-{i}"), &manner)).collect();
    for replica in &replicas {
        store.put(&format!("servers/{}", replica.id), &replica.entry("plain", "ready"));
    }
    let mut entry = Entry::start(&folder.0, store.addr);
    if !entry.wait_ready() {
        return 2;
    }
    let end = Instant::now() + Duration::from_secs(10);
    while call(entry.addr, &request("GET", "/safe/0", "warm", 3_000, "")).status == 503 && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    let (mut closed, mut served) = (0, 0);
    for i in 0..20 {
        let id = format!("n{i}");
        let (method, path) = [("POST", "/once/20"), ("GET", "/safe/20")][i % 2];
        let Ok(stream) = TcpStream::connect(entry.addr) else { return 2 };
        let answer = call_on(&stream, &request(method, path, &id, 3_000, ""));
        record.line(format!("{id} {method}: status {}, complete {}, after {} ms", answer.status, answer.whole, answer.took.as_millis()));
        closed += u32::from(answer.status == 0);
        served += u32::from(answer.whole && answer.text == plain_body(&id));
    }
    for replica in &replicas {
        for arrival in replica.arrivals() {
            record.line(format!("{}: {} ran {}", replica.id, arrival.id, arrival.ran));
        }
    }
    for line in entry.logged().lines().filter(|l| l.contains("overflow")).take(4) {
        record.line(format!("entry: {line}"));
    }
    record.line(format!("{closed} connections closed without an answer, {served} served"));
    if entry.has_ended() {
        record.line("the entry has ended by itself");
        return 1;
    }
    i32::from(closed > 3)
}
