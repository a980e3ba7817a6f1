//! Settings files: flat YAML, checked whole at start.
//!
//! Each program has one table of [`Field`]s. The same table checks a file,
//! fills in what it leaves out, and makes `docs/SETTINGS.md`, so that these
//! cannot drift apart.

mod field;
mod values;

pub use self::field::{Field, Shape, common, document};
pub use self::values::Values;

use std::path::Path;

use stairhinge::Code;
use stairhinge::declaration::{Fault, Faults};

/// Reads and checks a settings file under a table.
///
/// # Errors
///
/// All faults at once, each with its line.
pub fn load(path: &Path, table: &[Field]) -> Result<Values, Faults> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        Faults::from(Fault::new(
            Code::Unreadable,
            0,
            path.display().to_string(),
            e,
            "a readable file",
        ))
    })?;
    Values::parse(&text, table)
}
