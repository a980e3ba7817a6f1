//! Starting one role from the text of its settings.

use std::time::Duration;

use stairhinge::document::Role;
use stairhinge::{Code, Error};
use stairhinge_shell::Listeners;
use stairhinge_shell::control::Wire;

use crate::cell::Cell;

/// The number of attempts to bind the listeners, and the pause between them.
const BIND_ATTEMPTS: u32 = 100;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The control thread of a killed role lets go of its address a moment after
/// the role itself has ended.
pub(crate) fn bind_listeners(
    role: Role,
    settings: &str,
) -> Result<Listeners, Error> {
    for _ in 0..BIND_ATTEMPTS {
        match try_bind(role, settings) {
            Err(err) if err.code() == Code::CannotBind => {
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            done => return done,
        }
    }
    try_bind(role, settings)
}

fn try_bind(role: Role, settings: &str) -> Result<Listeners, Error> {
    match role {
        Role::Agent => {
            let parsed = stairhinge_agent::Settings::parse(settings);
            Listeners::of(&parsed.map_err(|f| f.into_error())?.values)
        }
        Role::Entry => {
            let parsed = stairhinge_entry::Settings::parse(settings);
            Listeners::of(&parsed.map_err(|f| f.into_error())?.values)
        }
    }
}

/// Starts a role on bound listeners.
pub(crate) fn launch(
    name: &str,
    role: Role,
    settings: &str,
    listeners: Listeners,
) -> Result<Cell, Error> {
    match role {
        Role::Agent => {
            let parsed = stairhinge_agent::Settings::parse(settings);
            let settings = parsed.map_err(|f| f.into_error())?;
            Cell::start(name, |shutdown| async move {
                let wire = Wire::start()?;
                stairhinge_agent::run(settings, listeners, wire, shutdown)
                    .await
            })
        }
        Role::Entry => {
            let parsed = stairhinge_entry::Settings::parse(settings);
            let settings = parsed.map_err(|f| f.into_error())?;
            Cell::start(name, |shutdown| async move {
                let wire = Wire::start()?;
                stairhinge_entry::run(settings, listeners, wire, shutdown)
                    .await
            })
        }
    }
}
