//! The identity of a process, from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::document::Role;

use crate::settings::Values;

/// The identity of a process, and its addresses and polling intervals.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance's name.
    pub name: Arc<str>,
    /// The data hall of the instance.
    pub hall: Arc<str>,
    /// The role of the instance.
    pub role: Role,
    /// The address on which it accepts control calls.
    pub control: SocketAddr,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of peers to exchange reports with at start.
    pub seeds: Vec<SocketAddr>,
    /// Time between two exchanges of reports.
    pub beat: Duration,
    /// Number of instances per data hall that watch the platform.
    pub watchers: usize,
    /// Delay between consecutive ranks in reading from the platform.
    pub step: Duration,
}

impl Identity {
    /// Returns the identity that a settings file describes.
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
