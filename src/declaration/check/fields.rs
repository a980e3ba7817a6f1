//! The checks that single fields of a declaration have in common.

use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::sync::Arc;

use super::super::Fault;
use super::super::raw::{Number, Text};
use super::Checker;
use crate::Code;

/// The longest name of anything declared, in bytes.
const LONGEST_NAME: usize = 64;

impl Checker {
    pub(super) fn name(&mut self, field: &str, text: &Text) -> Arc<str> {
        let value = text.value.as_str();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let fits = (1..=LONGEST_NAME).contains(&value.len());
        if !fits || !value.chars().all(plain) {
            self.faults.push(Fault::new(
                Code::OutOfRange,
                text.referenced.line(),
                field,
                format_args!("\"{value}\""),
                format!("1 to {LONGEST_NAME} of a-z A-Z 0-9 - _ ."),
            ));
        }
        Arc::from(value)
    }

    pub(super) fn unique(
        &mut self,
        field: &str,
        text: &Text,
        seen: &mut HashSet<Arc<str>>,
    ) -> Arc<str> {
        let name = self.name(field, text);
        if !seen.insert(Arc::clone(&name)) {
            self.faults.push(Fault::new(
                Code::Duplicate,
                text.referenced.line(),
                field,
                format_args!("\"{name}\""),
                "a name that does not stand above",
            ));
        }
        name
    }

    pub(super) fn number(
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

    pub(super) fn optional(
        &mut self,
        field: &str,
        raw: Option<&Number>,
        range: RangeInclusive<i64>,
        usual: i64,
    ) -> i64 {
        raw.map_or(usual, |n| self.number(field, n, range))
    }

    pub(super) fn unknown<'a>(
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
