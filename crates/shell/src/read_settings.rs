//! Deserialization of settings files.

use serde::de::DeserializeOwned;
use serde_json::Value;
use stairhinge::{Code, Error};

/// Deserializes settings from YAML.
///
/// # Errors
///
/// [`Code::BadSettings`] with a message of one line: the position of invalid
/// YAML, or the field, its value and what is allowed.
pub fn read_settings<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let value: Value = serde_saphyr::from_str(text).map_err(fault)?;
    serde_path_to_error::deserialize(value).map_err(fault)
}

fn fault(error: impl std::fmt::Display) -> Error {
    let text = error.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    Error::new(Code::BadSettings, lines.join(" "))
}
