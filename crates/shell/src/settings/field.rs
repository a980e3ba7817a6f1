//! The fields of settings files and their documentation.

use std::fmt::Write as _;

/// The type of a field, with its range and default.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A required name of 1 to 64 bytes.
    Name,
    /// A required IP address with a port.
    Address,
    /// An optional IP address with a port.
    MaybeAddress,
    /// A list of IP addresses with ports, empty by default.
    Addresses,
    /// An integer with a default and a range.
    Number {
        /// The default.
        default: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
        /// The unit, as documented.
        unit: &'static str,
    },
    /// One of several words, of which the first is the default.
    Word(&'static [&'static str]),
    /// A boolean with a default.
    Flag(bool),
}

/// One field of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    pub(super) name: &'static str,
    pub(super) shape: Shape,
    description: &'static str,
}

impl Field {
    /// Returns a field with its name, its shape and a description of one
    /// sentence.
    pub const fn new(
        name: &'static str,
        shape: Shape,
        description: &'static str,
    ) -> Field {
        Field { name, shape, description }
    }

    /// Returns an integer field; the tuple holds the default, the smallest and
    /// the largest value.
    pub const fn number(
        name: &'static str,
        (default, min, max): (u64, u64, u64),
        unit: &'static str,
        description: &'static str,
    ) -> Field {
        Field::new(
            name,
            Shape::Number { default, min, max, unit },
            description,
        )
    }

    fn row(&self) -> String {
        let (unit, default, range) = match self.shape {
            Shape::Name => ("", "required".into(), "1 to 64 bytes".into()),
            Shape::Address => ("", "required".into(), "IP:port".into()),
            Shape::MaybeAddress => ("", "none".into(), "IP:port".into()),
            Shape::Addresses => ("", "none".into(), "list of IP:port".into()),
            Shape::Number { default, min, max, unit } => {
                (unit, default.to_string(), format!("{min} to {max}"))
            }
            Shape::Word(words) => ("", words[0].into(), words.join(", ")),
            Shape::Flag(default) => {
                ("", default.to_string(), "yes or no".into())
            }
        };
        let default: String = default;
        let range: String = range;
        format!(
            "| `{}` | {unit} | {default} | {range} | {} |\n",
            self.name, self.description
        )
    }
}

/// Returns the fields that the settings of all programs have in common.
pub const fn common() -> [Field; 16] {
    [
        Field::new("name", Shape::Name, "The instance's name."),
        Field::new("hall", Shape::Name, "The instance's data hall."),
        Field::new("http", Shape::Address, "Where it takes requests."),
        Field::new("control", Shape::Address, "Where it takes control calls."),
        Field::new(
            "platform",
            Shape::Address,
            "Where the platform's service answers.",
        ),
        Field::new(
            "peers",
            Shape::Addresses,
            "Control addresses asked at start, beside the platform.",
        ),
        Field::new(
            "log",
            Shape::Word(&["info", "off", "error", "warn", "debug", "trace"]),
            "The least severe level that is logged.",
        ),
        Field::number(
            "beat_ms",
            (2_000, 50, 60_000),
            "ms",
            "Time between exchanges with a peer.",
        ),
        Field::number(
            "watchers",
            (2, 1, 100),
            "instances",
            "How many instances of a hall hold a watch at the platform.",
        ),
        Field::number(
            "step_ms",
            (2_000, 100, 600_000),
            "ms",
            "Between ranks, before the next asks the platform itself.",
        ),
        Field::number(
            "head_kb",
            (32, 8, 1_024),
            "KB",
            "The largest head of a request.",
        ),
        Field::number(
            "body_kb",
            (4_096, 1, 1_048_576),
            "KB",
            "The largest body of a request.",
        ),
        Field::number(
            "head_ms",
            (5_000, 50, 600_000),
            "ms",
            "Within which a request's head must arrive.",
        ),
        Field::number(
            "body_ms",
            (10_000, 50, 600_000),
            "ms",
            "Within which a request's body must arrive.",
        ),
        Field::number(
            "linger_ms",
            (3_000, 0, 600_000),
            "ms",
            "How long a stopping process still listens, so that others see \
             that it leaves.",
        ),
        Field::number(
            "connections",
            (4_096, 1, 1_000_000),
            "connections",
            "The most connections that are open at a time.",
        ),
    ]
}

/// Renders a table of fields in Markdown, for `docs/SETTINGS.md`.
pub fn document(table: &[Field]) -> String {
    let mut out = String::from(
        "| field | unit | usual | range | meaning |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for field in table {
        let _ = write!(out, "{}", field.row());
    }
    out
}
