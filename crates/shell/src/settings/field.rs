//! One field of a settings file.

use std::fmt::Write as _;

/// What a field's value looks like, with its usual value.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A name; must be given.
    Name,
    /// An IP address with a port; must be given.
    Address,
    /// An IP address with a port, or nothing.
    MaybeAddress,
    /// A list of IP addresses with ports; usually empty.
    Addresses,
    /// A whole number with its usual value and range.
    Number {
        /// What it is if the file does not say.
        usual: u64,
        /// The least allowed.
        least: u64,
        /// The most allowed.
        most: u64,
        /// The unit.
        unit: &'static str,
    },
    /// One of some words, the usual one first.
    Word(&'static [&'static str]),
    /// Yes or no, with the usual value.
    Flag(bool),
}

/// One field of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    pub(super) name: &'static str,
    pub(super) shape: Shape,
    meaning: &'static str,
}

impl Field {
    /// Returns a field with a name, a shape and one sentence of meaning.
    pub const fn new(
        name: &'static str,
        shape: Shape,
        meaning: &'static str,
    ) -> Field {
        Field { name, shape, meaning }
    }

    /// Returns a numeric field.
    pub const fn number(
        name: &'static str,
        (usual, least, most): (u64, u64, u64),
        unit: &'static str,
        meaning: &'static str,
    ) -> Field {
        Field::new(name, Shape::Number { usual, least, most, unit }, meaning)
    }

    fn row(&self) -> String {
        let (unit, usual, range) = match self.shape {
            Shape::Name => ("", "required".into(), "1 to 64 bytes".into()),
            Shape::Address => ("", "required".into(), "IP:port".into()),
            Shape::MaybeAddress => ("", "none".into(), "IP:port".into()),
            Shape::Addresses => ("", "none".into(), "list of IP:port".into()),
            Shape::Number { usual, least, most, unit } => {
                (unit, usual.to_string(), format!("{least} to {most}"))
            }
            Shape::Word(words) => ("", words[0].into(), words.join(", ")),
            Shape::Flag(usual) => ("", usual.to_string(), "yes or no".into()),
        };
        let usual: String = usual;
        let range: String = range;
        format!(
            "| `{}` | {unit} | {usual} | {range} | {} |\n",
            self.name, self.meaning
        )
    }
}

/// Returns the fields that every program of the system has.
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

/// Renders the rows of `docs/SETTINGS.md` for a table.
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
