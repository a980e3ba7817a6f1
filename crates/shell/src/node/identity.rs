//! Who a process is, by its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::Role;

use crate::settings::Values;

/// Who a process is and how it keeps in touch.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance's name.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// What runs here.
    pub role: Role,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Where the platform's service answers.
    pub platform: SocketAddr,
    /// Control addresses asked at start, beside the platform.
    pub seeds: Vec<SocketAddr>,
    /// Time between exchanges with a peer.
    pub beat: Duration,
    /// How many instances of a hall hold a watch.
    pub watchers: usize,
    /// Time between ranks, before the next asks the platform.
    pub step: Duration,
}

impl Identity {
    /// Returns the identity in a settings file.
    pub fn of(values: &Values, role: Role) -> Identity {
        Identity {
            name: values.text("name"),
            hall: values.text("hall"),
            role,
            control: values.address("control"),
            platform: values.address("platform"),
            seeds: values.addresses("peers").to_vec(),
            beat: values.millis("beat_ms"),
            watchers: values.number("watchers") as usize,
            step: values.millis("step_ms"),
        }
    }
}
