//! Starting one role from the text of its settings.

use std::time::Duration;

use stairhinge::document::Role;
use stairhinge::{Code, Error};
use stairhinge_shell::Slot;
use stairhinge_shell::control::Wire;

use crate::cell::Cell;

/// How often a slot is tried, and the pause between.
const SLOT_TRIES: u32 = 100;
const SLOT_PAUSE: Duration = Duration::from_millis(50);

/// The control thread of a killed role lets go of its address a moment after
/// the role itself has ended.
pub(crate) fn free_slot(role: Role, settings: &str) -> Result<Slot, Error> {
    for _ in 0..SLOT_TRIES {
        match slot(role, settings) {
            Err(err) if err.code() == Code::CannotBind => {
                std::thread::sleep(SLOT_PAUSE);
            }
            done => return done,
        }
    }
    slot(role, settings)
}

fn slot(role: Role, settings: &str) -> Result<Slot, Error> {
    match role {
        Role::Agent => {
            let parsed = stairhinge_agent::Settings::parse(settings);
            Slot::of(&parsed.map_err(|f| f.into_error())?.values)
        }
        Role::Entry => {
            let parsed = stairhinge_entry::Settings::parse(settings);
            Slot::of(&parsed.map_err(|f| f.into_error())?.values)
        }
    }
}

/// Starts a role on a slot.
pub(crate) fn launch(
    name: &str,
    role: Role,
    settings: &str,
    slot: Slot,
) -> Result<Cell, Error> {
    match role {
        Role::Agent => {
            let parsed = stairhinge_agent::Settings::parse(settings);
            let settings = parsed.map_err(|f| f.into_error())?;
            Cell::start(name, |shutdown| async move {
                let wire = Wire::start()?;
                stairhinge_agent::run(settings, slot, wire, shutdown).await
            })
        }
        Role::Entry => {
            let parsed = stairhinge_entry::Settings::parse(settings);
            let settings = parsed.map_err(|f| f.into_error())?;
            Cell::start(name, |shutdown| async move {
                let wire = Wire::start()?;
                stairhinge_entry::run(settings, slot, wire, shutdown).await
            })
        }
    }
}
