//! Faults found when a declaration or settings file is validated.

use std::fmt;

use crate::{Code, Error};

/// A fault in a file: its position, the value found and the allowed values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    code: Code,
    line: u64,
    field: String,
    value: String,
    allowed: String,
}

impl Fault {
    /// Returns a fault at a line, counted from 1, or 0 if it is not known.
    pub fn new(
        code: Code,
        line: u64,
        field: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Fault {
        Fault {
            code,
            line,
            field: field.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }

    /// Returns the code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Returns the line, counted from 1, or 0 if it is not known.
    pub fn line(&self) -> u64 {
        self.line
    }

    /// Returns the path of the field, such as `models[0].name`.
    pub fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { code, line, field, value, allowed } = self;
        if *line > 0 {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{code} {field}: {value}; allowed: {allowed}")
    }
}

/// The faults of one file, in the order in which they were found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    /// Returns an empty list.
    pub const fn new() -> Faults {
        Faults { list: Vec::new() }
    }

    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.list.push(fault);
    }

    /// Returns whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns an iterator over the faults.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.list.iter()
    }

    /// Returns one error whose message lists all faults.
    ///
    /// It has the code of the first fault, or [`Code::Internal`] if there is
    /// none.
    pub fn into_error(self) -> Error {
        let code = self.list.first().map_or(Code::Internal, Fault::code);
        Error::new(code, self)
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Faults {
        Faults { list: vec![fault] }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
