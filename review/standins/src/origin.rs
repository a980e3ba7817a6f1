//! The service that gives out weights.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use crate::digest::sha256;
use crate::http::{Handler, Request, answer, serve};
use crate::record::Record;

/// Returns piece `index` of a version.
pub fn piece(version: u64, index: u32, bytes: usize) -> Vec<u8> {
    let text = format!("version {version} piece {index} ");
    text.bytes().cycle().take(bytes).collect()
}

pub struct Origin {
    pub addr: SocketAddr,
    pub pieces: u32,
    pub piece_bytes: usize,
    newest: AtomicU64,
    away: AtomicBool,
    record: Arc<Record>,
}

impl Origin {
    pub fn start(
        addr: SocketAddr,
        pieces: u32,
        record: Arc<Record>,
    ) -> Arc<Origin> {
        // The address is taken only while the service is there.
        drop(TcpListener::bind(addr).expect("an address for the origin"));
        let origin = Arc::new(Origin {
            addr,
            pieces,
            piece_bytes: 24_576,
            newest: AtomicU64::new(1),
            away: AtomicBool::default(),
            record,
        });
        serve(addr, Arc::clone(&origin));
        origin
    }

    pub fn name(&self, version: u64) {
        self.newest.store(version, Ordering::Relaxed);
    }

    pub fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
    }

    fn manifest(&self, model: &str, version: u64) -> String {
        let mut digests = Vec::new();
        for index in 0..self.pieces {
            let bytes = piece(version, index, self.piece_bytes);
            digests.push(sha256(&bytes));
        }
        self.record.note(format!("origin: manifest {version}"));
        let digests: Vec<String> =
            digests.iter().map(|d| format!("\"{d}\"")).collect();
        format!(
            "{{\"model\":\"{model}\",\"version\":{version},\"chunkBytes\":{},\
             \"layers\":4,\"digests\":[{}]}}",
            self.piece_bytes,
            digests.join(",")
        )
    }
}

impl Handler for Origin {
    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        if self.away.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("away"));
        }
        let newest = self.newest.load(Ordering::Relaxed);
        let version = request.number("version").unwrap_or(newest);
        if version > newest {
            return answer(stream, 404, "", b"{}");
        }
        if version + 2 <= newest {
            self.record.note(format!("origin: 410 for {}", request.target));
            return answer(stream, 410, "", b"{}");
        }
        let path = request.path();
        if let Some(model) = path.strip_prefix("/v1/manifest/") {
            let body = self.manifest(model, version);
            let json = "Content-Type: application/json\r\n";
            return answer(stream, 200, json, body.as_bytes());
        }
        let index = request.number("chunkCount").unwrap_or(0) as u32;
        if path.starts_with("/v1/piece/") && index < self.pieces {
            let bytes = piece(version, index, self.piece_bytes);
            return answer(stream, 200, "", &bytes);
        }
        answer(stream, 404, "", b"{}")
    }
}
