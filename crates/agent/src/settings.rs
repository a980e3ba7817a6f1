//! The agent's settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::declaration::Faults;
use stairhinge::weights::FetchTimeouts;
use stairhinge_shell::settings::{Field, Shape, Values, common};

/// Returns the descriptions of all settings of an agent.
pub fn table() -> Vec<Field> {
    let mut table = common().to_vec();
    table.extend([
        Field::new(
            "backend",
            Shape::Address,
            "Where the engine or plain service answers.",
        ),
        Field::new(
            "plain",
            Shape::Flag(false),
            "Whether the backend server is a plain service, not an engine.",
        ),
        Field::new(
            "origin",
            Shape::MaybeAddress,
            "Where the origin of weights answers; needed for an engine.",
        ),
        Field::new(
            "strategy",
            Shape::Word(&["own", "tree", "direct"]),
            "How chunks are drawn; tree and direct are baselines to measure \
             against.",
        ),
        Field::number(
            "store_mb",
            (65_536, 1, 16_777_216),
            "MB",
            "The most memory for copies of weights.",
        ),
        Field::number(
            "link_kb_s",
            (0, 0, 1_000_000_000),
            "KB/s",
            "The rate of the instance's link for copies; 0 is not shaped.",
        ),
        Field::new(
            "link_shared",
            Shape::Flag(false),
            "Whether that rate holds for both directions together.",
        ),
        Field::number(
            "stall_ms",
            (2_000, 50, 600_000),
            "ms",
            "Without a byte, after which a transfer is moved elsewhere.",
        ),
        Field::number(
            "hold_ms",
            (1_000, 10, 60_000),
            "ms",
            "How long a question for chunks waits at a peer.",
        ),
        Field::number(
            "waiting_ms",
            (10_000, 50, 3_600_000),
            "ms",
            "After which a peer that gets nothing new is left for the next.",
        ),
        Field::number(
            "suspect_ms",
            (5_000, 50, 600_000),
            "ms",
            "How long a peer is left out after its first failure.",
        ),
        Field::number(
            "engine_ms",
            (30_000, 50, 600_000),
            "ms",
            "Without a byte, after which an engine's answer is given up.",
        ),
        Field::number(
            "poll_ms",
            (500, 20, 60_000),
            "ms",
            "Between looks at the engine.",
        ),
        Field::number(
            "lease_ms",
            (1_000, 10, 60_000),
            "ms",
            "How old a decision may be when its order is sent.",
        ),
        Field::number(
            "turn_ms",
            (15_000, 0, 3_600_000),
            "ms",
            "How long the second half of a hall waits for the first to \
             switch.",
        ),
        Field::number(
            "claim_ms",
            (1_000, 10, 60_000),
            "ms",
            "How long a key's guard may take to answer.",
        ),
        Field::number(
            "guard_keys",
            (200_000, 1, 10_000_000),
            "keys",
            "The most keys, and attempts, that are remembered.",
        ),
        Field::number(
            "keep_ms",
            (600_000, 100, 86_400_000),
            "ms",
            "How long an attempt is remembered after its end.",
        ),
    ]);
    table
}

/// The checked settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The values of all settings.
    pub values: Values,
    /// The address of the engine or plain service.
    pub backend: SocketAddr,
    /// Whether the backend server is a plain service.
    pub plain: bool,
    /// The address of the origin of weights.
    pub origin: Option<SocketAddr>,
    /// The instance's name.
    pub name: Arc<str>,
}

impl Settings {
    /// Returns the settings with the given checked values.
    pub fn new(values: Values) -> Settings {
        Settings {
            backend: values.address("backend"),
            plain: values.flag("plain"),
            origin: values.optional_address("origin"),
            name: values.text("name"),
            values,
        }
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the text, not only the first.
    pub fn parse(text: &str) -> Result<Settings, Faults> {
        Values::parse(text, &table()).map(Settings::new)
    }

    /// Returns the timeouts for sources of chunks.
    pub fn fetch_timeouts(&self) -> FetchTimeouts {
        FetchTimeouts::new()
            .with_hold(self.values.millis("hold_ms"))
            .with_not_yet_limit(self.values.millis("waiting_ms"))
            .with_suspicion(self.values.millis("suspect_ms"))
    }

    /// Returns the time without data after which a transfer is stopped.
    pub fn stall_timeout(&self) -> Duration {
        self.values.millis("stall_ms")
    }
}
