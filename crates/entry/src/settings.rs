//! The entry's settings.

use stairhinge::declaration::Faults;
use stairhinge_shell::settings::{Field, Values, common};

/// Returns all fields of an entry's settings.
pub fn table() -> Vec<Field> {
    let mut table = common().to_vec();
    table.extend([
        Field::number(
            "running",
            (256, 1, 1_000_000),
            "requests",
            "The most requests in progress.",
        ),
        Field::number(
            "queued",
            (256, 0, 1_000_000),
            "requests",
            "The most requests waiting, for each workspace.",
        ),
        Field::number(
            "usual_ms",
            (1_000, 1, 600_000),
            "ms",
            "How long a request is taken to run until some have finished.",
        ),
        Field::number(
            "deadline_ms",
            (60_000, 50, 3_600_000),
            "ms",
            "The deadline of a request that names none, and the longest.",
        ),
        Field::number(
            "wait_ms",
            (5_000, 0, 600_000),
            "ms",
            "How long a request waits while no backend server can take it.",
        ),
        Field::number(
            "tries",
            (4, 1, 100),
            "attempts",
            "The most attempts of a request that may have run before.",
        ),
        Field::number(
            "retry_percent",
            (10, 0, 100),
            "%",
            "Retries earned by each request.",
        ),
        Field::number(
            "retry_saved",
            (20, 1, 100_000),
            "retries",
            "The most retries that are saved up.",
        ),
        Field::number(
            "first_ms",
            (5_000, 50, 600_000),
            "ms",
            "Within which a streamed answer must begin, before its agent is \
             given up.",
        ),
        Field::number(
            "idle_ms",
            (30_000, 50, 600_000),
            "ms",
            "Without a byte, after which an answer is given up.",
        ),
        Field::number(
            "revoke_ms",
            (500, 10, 60_000),
            "ms",
            "How long a silent agent may take to say whether it ran.",
        ),
        Field::number(
            "keep_ms",
            (600_000, 100, 86_400_000),
            "ms",
            "How long agents remember attempts; as in their settings.",
        ),
        Field::number(
            "answer_kb",
            (16_384, 1, 1_048_576),
            "KB",
            "The largest answer that is not streamed.",
        ),
    ]);
    table
}

/// An entry's settings, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The values of all fields.
    pub values: Values,
}

impl Settings {
    /// Wraps values that have been checked.
    pub fn new(values: Values) -> Settings {
        Settings { values }
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, not just the first.
    pub fn parse(text: &str) -> Result<Settings, Faults> {
        Values::parse(text, &table()).map(Settings::new)
    }
}
