//! The validated values of a settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_saphyr::Spanned;
use stairhinge::Code;
use stairhinge::declaration::{Fault, Faults, parse_yaml};

use super::{Field, Shape};

type Raw = BTreeMap<String, Spanned<Value>>;

#[derive(Clone, Debug)]
enum Checked {
    Text(Arc<str>),
    Addresses(Vec<SocketAddr>),
    Number(u64),
    Flag(bool),
}

/// The values of all fields of a table, with defaults where the file has none.
///
/// The getters panic if the table has no such field of the matching shape.
/// That is a programming error, which shows at every start of the program.
#[derive(Clone, Debug)]
pub struct Values {
    map: BTreeMap<&'static str, Checked>,
}

impl Values {
    /// Parses the text of a settings file and validates it against a table.
    ///
    /// # Errors
    ///
    /// All faults in the text, each with its line.
    pub fn parse(text: &str, table: &[Field]) -> Result<Values, Faults> {
        let raw: Raw = parse_yaml(text)?;
        let mut faults = Faults::new();
        for (name, value) in &raw {
            if table.iter().any(|f| f.name == *name) {
                continue;
            }
            let names: Vec<&str> = table.iter().map(|f| f.name).collect();
            faults.push(Fault::new(
                Code::BadYaml,
                value.referenced.line(),
                name,
                "unknown field",
                format!("one of {}", names.join(", ")),
            ));
        }
        let mut map = BTreeMap::new();
        for field in table {
            match check(field, raw.get(field.name)) {
                Ok(value) => {
                    map.insert(field.name, value);
                }
                Err(fault) => faults.push(fault),
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Values { map })
    }

    /// Returns the value of a name or word field.
    pub fn text(&self, name: &str) -> Arc<str> {
        match self.map.get(name) {
            Some(Checked::Text(text)) => Arc::clone(text),
            _ => panic!("no text field {name}"),
        }
    }

    /// Returns the value of a number field.
    pub fn number(&self, name: &str) -> u64 {
        match self.map.get(name) {
            Some(Checked::Number(n)) => *n,
            _ => panic!("no number field {name}"),
        }
    }

    /// Returns the value of a number field in milliseconds as a duration.
    pub fn millis(&self, name: &str) -> Duration {
        Duration::from_millis(self.number(name))
    }

    /// Returns the value of a flag field.
    pub fn flag(&self, name: &str) -> bool {
        match self.map.get(name) {
            Some(Checked::Flag(flag)) => *flag,
            _ => panic!("no flag field {name}"),
        }
    }

    /// Returns the values of an address field.
    pub fn addresses(&self, name: &str) -> &[SocketAddr] {
        match self.map.get(name) {
            Some(Checked::Addresses(list)) => list,
            _ => panic!("no address field {name}"),
        }
    }

    /// Returns the value of an optional address field.
    pub fn optional_address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses(name).first().copied()
    }

    /// Returns the value of a required address field.
    pub fn address(&self, name: &str) -> SocketAddr {
        match self.optional_address(name) {
            Some(addr) => addr,
            None => panic!("no required address field {name}"),
        }
    }
}

fn check(
    field: &Field,
    raw: Option<&Spanned<Value>>,
) -> Result<Checked, Fault> {
    let Some(raw) = raw else { return default_value(field) };
    let line = raw.referenced.line();
    let fault = |code, allowed: String| {
        Err(Fault::new(code, line, field.name, &raw.value, allowed))
    };
    match field.shape {
        Shape::Name => match raw.value.as_str() {
            Some(s) if (1..=64).contains(&s.len()) => {
                Ok(Checked::Text(s.into()))
            }
            _ => fault(Code::OutOfRange, "text of 1 to 64 bytes".into()),
        },
        Shape::Address | Shape::MaybeAddress => match addr(&raw.value) {
            Some(a) => Ok(Checked::Addresses(vec![a])),
            None => fault(Code::BadAddress, "an IP address, a port".into()),
        },
        Shape::Addresses => {
            let list = raw.value.as_array();
            let parsed: Option<Vec<_>> =
                list.and_then(|l| l.iter().map(addr).collect());
            match parsed {
                Some(list) => Ok(Checked::Addresses(list)),
                None => fault(Code::BadAddress, "a list of IP:port".into()),
            }
        }
        Shape::Number { min, max, .. } => match raw.value.as_u64() {
            Some(n) if (min..=max).contains(&n) => Ok(Checked::Number(n)),
            _ => fault(Code::OutOfRange, format!("{min} to {max}")),
        },
        Shape::Word(words) => match raw.value.as_str() {
            Some(s) if words.contains(&s) => Ok(Checked::Text(s.into())),
            _ => fault(Code::OutOfRange, words.join(", ")),
        },
        Shape::Flag(_) => match raw.value.as_bool() {
            Some(flag) => Ok(Checked::Flag(flag)),
            None => fault(Code::OutOfRange, "true or false".into()),
        },
    }
}

fn addr(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn default_value(field: &Field) -> Result<Checked, Fault> {
    match field.shape {
        Shape::Name | Shape::Address => Err(Fault::new(
            Code::BadYaml,
            0,
            field.name,
            "missing",
            "a value: this field is required",
        )),
        Shape::MaybeAddress | Shape::Addresses => {
            Ok(Checked::Addresses(Vec::new()))
        }
        Shape::Number { default, .. } => Ok(Checked::Number(default)),
        Shape::Word(words) => Ok(Checked::Text(words[0].into())),
        Shape::Flag(default) => Ok(Checked::Flag(default)),
    }
}
