//! UDP messages between entries.
//!
//! On a stalled connection a question would be blocked until a timeout, while
//! datagrams do not block. Lost datagrams are covered by the timeouts and
//! expiries of their senders.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use stairhinge::placing::Message;
use stairhinge::{Code, Error};
use tokio::net::UdpSocket;

/// The maximum size of a datagram. A question that lists a few tried replicas
/// takes 400 bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// The maximum number of senders of malformed messages that are remembered.
const MAX_FAULTY_SENDERS: usize = 64;

/// The UDP socket on which an entry exchanges messages with other entries.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    faulty_senders: Mutex<HashSet<SocketAddr>>,
}

impl PeerSocket {
    /// Binds a socket to an address.
    ///
    /// # Errors
    ///
    /// [`Code::CannotBind`] if the address is taken.
    pub(crate) async fn bind(addr: SocketAddr) -> Result<PeerSocket, Error> {
        let socket = UdpSocket::bind(addr).await.map_err(|e| {
            Error::new(Code::CannotBind, format_args!("{addr}, UDP: {e}"))
        })?;
        Ok(PeerSocket { socket, faulty_senders: Mutex::default() })
    }

    /// Sends a message, and drops it if the socket's buffer is full, so that
    /// no request waits for the socket. Messages may be lost in transit
    /// anyway.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(datagram) = encode(message) {
            self.send_datagram(to, &datagram);
        }
    }

    /// Sends an encoded message, like [`Self::send`].
    pub(crate) fn send_datagram(&self, to: SocketAddr, datagram: &[u8]) {
        let _ = self.socket.try_send_to(datagram, to);
    }

    /// Waits for the next message.
    pub(crate) async fn receive(
        &self,
    ) -> (SocketAddr, Result<Message, Error>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was not delivered.
            let got = self.socket.recv_from(&mut buffer).await;
            if let Ok((length, from)) = got {
                return (from, parse(&buffer[..length]));
            }
        }
    }

    /// Returns the next message if one has already arrived.
    pub(crate) fn try_receive(
        &self,
    ) -> Option<(SocketAddr, Result<Message, Error>)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let got = self.socket.try_recv_from(&mut buffer);
        got.ok().map(|(length, from)| (from, parse(&buffer[..length])))
    }

    /// Returns whether this is the first malformed message of a sender.
    pub(crate) fn is_first_fault(&self, from: SocketAddr) -> bool {
        let mut faulty_senders =
            self.faulty_senders.lock().unwrap_or_else(PoisonError::into_inner);
        faulty_senders.len() < MAX_FAULTY_SENDERS
            && faulty_senders.insert(from)
    }
}

/// Encodes a message as one datagram.
pub(crate) fn encode(message: &Message) -> Option<Vec<u8>> {
    serde_json::to_vec(message).ok()
}

fn parse(bytes: &[u8]) -> Result<Message, Error> {
    serde_json::from_slice(bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))
}
