//! Stand-ins of the users' platform for the scripts of the review, and the
//! processes of the project that they run against. Only the standard library.

pub mod client;
pub mod digest;
pub mod http;
pub mod model;
pub mod origin;
pub mod process;
pub mod record;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A block of loopback addresses of this run, 127.B.0.0/16.
pub fn block() -> u8 {
    64 + (std::process::id() % 128) as u8
}

/// Returns address number `n` of this run.
pub fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, block(), 0, n)
}

/// Returns an address of this ip with a port that is free now.
pub fn free(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Returns whether the run has the disruption, which `TROUBLE=0` leaves out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Waits until a condition holds, for at most `within`.
pub fn wait(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    std::thread::sleep(left);
}
