//! Settings files in flat YAML, fully validated at start.
//!
//! Each program has one table of [`Field`]s. The table validates a file,
//! supplies the defaults and generates `docs/SETTINGS.md`, so that these
//! always agree.

mod field;
mod values;

pub use self::field::{Field, Shape, common, document};
pub use self::values::Values;

use std::path::Path;

use stairhinge::Code;
use stairhinge::declaration::{Fault, Faults};

/// Reads a settings file and validates it against a table.
///
/// # Errors
///
/// All faults in the file, each with its line.
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
