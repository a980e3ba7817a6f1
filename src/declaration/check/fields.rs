//! Validation of names, numbers and references in a declaration.

use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::sync::Arc;

use super::super::Fault;
use super::super::raw::{Number, Text};
use super::Checker;
use crate::Code;

/// The maximum length of a declared name, in bytes.
const MAX_NAME_BYTES: usize = 64;

impl Checker {
    pub(super) fn checked_name(
        &mut self,
        field: &str,
        text: &Text,
    ) -> Arc<str> {
        let value = text.value.as_str();
        let is_allowed =
            |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let has_valid_length = (1..=MAX_NAME_BYTES).contains(&value.len());
        if !has_valid_length || !value.chars().all(is_allowed) {
            self.faults.push(Fault::new(
                Code::OutOfRange,
                text.referenced.line(),
                field,
                format_args!("\"{value}\""),
                format!(
                    "1 to {MAX_NAME_BYTES} characters of a-z A-Z 0-9 - _ ."
                ),
            ));
        }
        Arc::from(value)
    }

    pub(super) fn unique_name(
        &mut self,
        field: &str,
        text: &Text,
        seen: &mut HashSet<Arc<str>>,
    ) -> Arc<str> {
        let name = self.checked_name(field, text);
        if !seen.insert(Arc::clone(&name)) {
            self.faults.push(Fault::new(
                Code::Duplicate,
                text.referenced.line(),
                field,
                format_args!("\"{name}\""),
                "a name that is not used above",
            ));
        }
        name
    }

    pub(super) fn checked_number(
        &mut self,
        field: &str,
        raw: &Number,
        range: RangeInclusive<i64>,
    ) -> i64 {
        if !range.contains(&raw.value) {
            self.faults.push(Fault::new(
                Code::OutOfRange,
                raw.referenced.line(),
                field,
                raw.value,
                format!("{} to {}", range.start(), range.end()),
            ));
        }
        raw.value
    }

    pub(super) fn number_or_default(
        &mut self,
        field: &str,
        raw: Option<&Number>,
        range: RangeInclusive<i64>,
        default: i64,
    ) -> i64 {
        raw.map_or(default, |n| self.checked_number(field, n, range))
    }

    pub(super) fn report_unknown<'a>(
        &mut self,
        field: &str,
        text: &Text,
        known: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let known: Vec<&str> = known.map(|n| &**n).collect();
        self.faults.push(Fault::new(
            Code::UnknownReference,
            text.referenced.line(),
            field,
            format_args!("\"{}\"", text.value),
            format!("one of {}", known.join(", ")),
        ));
    }
}
