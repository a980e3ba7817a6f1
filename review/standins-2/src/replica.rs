//! A replica as a process of its own, and its handle in a case.
//!
//! What a request makes it do stands in the path:
//! `/words/COUNT/GAP_MS`: a stream of COUNT events, one each GAP_MS;
//! `/safe/WAIT_MS`, `/once/WAIT_MS`: half of a body, a wait, the other half.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_body, read_head, Head};

/// How a replica behaves.
#[derive(Clone, Debug, Default)]
pub struct Manner {
    /// Its answers have neither a length nor chunks, and end with their
    /// connection.
    pub unframed: bool,
    /// The value of `Keep-Alive` in its answers, if it names one.
    pub keep_alive: String,
}

/// The body of a plain answer.
pub fn plain_body(id: &str) -> String {
    format!("first half of {id};second half of {id};")
}

/// Event `n` of a stream.
pub fn event(n: u64) -> String {
    format!("id: {n}\ndata: word{n}\n\n")
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Runs a replica in this process: `replica ID UNFRAMED KEEP_ALIVE`. Tells its
/// address on the first line, then each request that it runs or rejects.
pub fn main(args: &[String]) {
    let id = args[0].clone();
    let manner =
        Manner { unframed: args[1] == "1", keep_alive: args[2].clone() };
    let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
    println!("{}", listener.local_addr().unwrap());
    for stream in listener.incoming().flatten() {
        let (id, manner) = (id.clone(), manner.clone());
        thread::spawn(move || serve(stream, &id, &manner));
    }
}

fn serve(stream: TcpStream, own: &str, manner: &Manner) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut input) {
        let body = read_body(&mut input, &head, false);
        if !body.whole {
            return;
        }
        let id = head.get("request-id").to_string();
        if head.get("expect-instance") != own {
            println!("misdirected {id} {}", unix_ms());
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        println!("run {id} {}", unix_ms());
        if answer(&mut out, &head, own, &id, manner).is_err()
            || manner.unframed
        {
            return;
        }
    }
}

fn answer(
    out: &mut TcpStream,
    head: &Head,
    own: &str,
    id: &str,
    manner: &Manner,
) -> std::io::Result<()> {
    let parts: Vec<&str> = head.path().split('/').collect();
    let number = |i: usize| {
        parts.get(i).and_then(|p| p.parse::<u64>().ok()).unwrap_or(0)
    };
    let mut more = String::new();
    if !manner.keep_alive.is_empty() {
        more = format!("Keep-Alive: {}\r\n", manner.keep_alive);
    }
    let start = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {own}.{id}\r\n{more}"
    );
    if parts.get(1) == Some(&"words") {
        let framing = if manner.unframed {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let text =
            format!("{start}Content-Type: text/event-stream\r\n{framing}\r\n");
        out.write_all(text.as_bytes())?;
        let after = head.get("last-event-id").parse::<u64>().unwrap_or(0);
        for n in after + 1..=number(2) {
            thread::sleep(Duration::from_millis(number(3)));
            let event = event(n);
            let text = match manner.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            out.write_all(text.as_bytes())?;
        }
        if !manner.unframed {
            out.write_all(b"0\r\n\r\n")?;
        }
        return Ok(());
    }
    let body = plain_body(id);
    let framing = match manner.unframed {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    let (first, second) = body.split_at(body.len() / 2);
    out.write_all(format!("{start}{framing}\r\n{first}").as_bytes())?;
    thread::sleep(Duration::from_millis(number(2)));
    out.write_all(second.as_bytes())
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    /// Whether it ran it, or answered 421.
    pub ran: bool,
    /// When, in milliseconds of Unix time.
    pub at: u128,
}

/// A replica that a case has started; it is killed when dropped.
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    child: Mutex<Child>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Replica {
    /// Starts a process of the running program as a replica.
    pub fn start(id: &str, manner: &Manner) -> Replica {
        let program = std::env::current_exe().expect("own program");
        let mut child = Command::new(program)
            .args([
                "replica",
                id,
                if manner.unframed { "1" } else { "0" },
                &manner.keep_alive,
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("replica");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let addr = lines.next().unwrap().unwrap().parse().unwrap();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let into = Arc::clone(&arrivals);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let parts: Vec<&str> = line.split(' ').collect();
                let [what, id, at] = parts[..] else { continue };
                let (id, at) = (id.to_string(), at.parse().unwrap_or(0));
                into.lock().unwrap().push(Arrival {
                    id,
                    ran: what == "run",
                    at,
                });
            }
        });
        Replica {
            id: id.to_string(),
            addr,
            child: Mutex::new(child),
            arrivals,
        }
    }

    /// Returns its entry in the platform's store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"1.0\",\
             \"slots\":16,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":0}}",
            self.addr
        )
    }

    /// Returns what has reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Ends its process.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the Unix time in milliseconds.
pub fn now_unix_ms() -> u128 {
    unix_ms()
}
