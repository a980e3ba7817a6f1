//! The declaration as deserialized from YAML, with the line of each value.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;

use super::{Fault, Faults};
use crate::Code;

pub(super) type Text = Spanned<String>;
pub(super) type Number = Spanned<i64>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFleet {
    pub revision: Number,
    pub name: Text,
    pub prefer: Option<Text>,
    pub origin_budget: Option<Number>,
    pub window_s: Option<Number>,
    pub key_window_s: Option<Number>,
    #[serde(default)]
    pub models: Vec<RawModel>,
    #[serde(default)]
    pub services: Vec<RawService>,
    #[serde(default)]
    pub sites: Vec<RawSite>,
    #[serde(default)]
    pub workspaces: Vec<RawWorkspace>,
    #[serde(default)]
    pub backends: Vec<RawBackend>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawModel {
    pub name: Text,
    pub priority: Option<Number>,
    pub serve: Text,
    pub repeatable: Option<bool>,
    pub versions: Vec<RawVersion>,
    #[serde(default)]
    pub adapters: Vec<RawVersion>,
    pub placements: Vec<RawPlacement>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawVersion {
    pub name: Text,
    pub manifest: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPlacement {
    pub site: Text,
    pub replicas: Number,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub name: Text,
    pub repeatable: Option<bool>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSite {
    pub name: Text,
    pub region: Option<Text>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawWorkspace {
    pub name: Text,
    pub share: Option<Number>,
    pub priority: Option<Number>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawBackend {
    pub name: Text,
    pub site: Text,
    pub service: Option<Text>,
    pub checks_fences: Option<bool>,
}

/// Deserializes a value from YAML.
///
/// # Errors
///
/// [`Code::BadYaml`] with the line and the first line of the YAML library's
/// message.
pub fn parse_yaml<T: DeserializeOwned>(text: &str) -> Result<T, Faults> {
    serde_saphyr::from_str(text).map_err(|err| {
        let line = err.location().map_or(0, |l| l.line());
        let message = err.to_string();
        let summary = message.lines().next().unwrap_or_default();
        let source_line = text
            .lines()
            .nth((line as usize).saturating_sub(1))
            .unwrap_or_default()
            .trim();
        Faults::from(Fault::new(
            Code::BadYaml,
            line,
            format!("\"{source_line}\""),
            summary,
            "YAML with the fields that docs/SETTINGS.md lists",
        ))
    })
}
