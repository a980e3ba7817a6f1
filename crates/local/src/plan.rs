//! What a local fleet is to look like.

use std::fmt::Write as _;
use std::time::Duration;

use stairhinge::Digest;
use stairhinge::declaration::Prefer;
use stairhinge_standins::EngineSettings;

/// A version that a declaration names.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its name.
    pub name: String,
    /// The digest of its manifest.
    pub manifest: Digest,
}

/// What a local fleet is to look like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data halls.
    pub halls: usize,
    /// Model replicas, spread over the halls.
    pub replicas: usize,
    /// Entries in each hall.
    pub entries: usize,
    /// Whether each hall has a plain service, `archive`.
    pub service: bool,
    /// What weighs more.
    pub prefer: Prefer,
    /// Copies that may be drawn from the origin, if the usual is not to hold.
    pub budget: Option<u32>,
    /// Bytes of a version.
    pub size: usize,
    /// Bytes of a chunk.
    pub chunk: usize,
    /// Rate of the origin's link, bytes a second; 0 is not shaped.
    pub origin_rate: u64,
    /// Rate of each machine's link, bytes a second; 0 is not shaped.
    pub link_rate: u64,
    /// Whether that rate holds for both directions together.
    pub link_shared: bool,
    /// How long a key names one request, seconds.
    pub key_window_s: u64,
    /// Whether the model's requests may be repeated unless they say no.
    pub repeatable: bool,
    /// Time between exchanges with a peer, milliseconds.
    pub beat_ms: u64,
    /// Time between ranks before the next asks the platform, milliseconds.
    pub step_ms: u64,
    /// How the engines behave.
    pub engine: EngineSettings,
    /// Lines added to every agent's settings.
    pub agent: String,
    /// Lines added to every entry's settings.
    pub entry: String,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            halls: 3,
            replicas: 12,
            entries: 1,
            service: true,
            prefer: Prefer::Time,
            budget: None,
            size: 1 << 20,
            chunk: 16 << 10,
            origin_rate: 0,
            link_rate: 0,
            link_shared: false,
            key_window_s: 1,
            repeatable: true,
            beat_ms: 250,
            step_ms: 1_000,
            engine: EngineSettings::default(),
            agent: String::new(),
            entry: String::new(),
        }
    }
}

/// The model of a local fleet.
pub(crate) const MODEL: &str = "matcher";

/// The plain service of a local fleet.
pub(crate) const SERVICE: &str = "archive";

impl Plan {
    /// Returns the name of a hall.
    pub fn hall(&self, i: usize) -> String {
        format!("hall-{i}")
    }

    /// Returns the hall of a replica: in turn, so that sizes differ by one
    /// at most.
    pub(crate) fn hall_of(&self, replica: usize) -> usize {
        replica % self.halls
    }

    pub(crate) fn agent_name(&self, replica: usize) -> String {
        format!("agent-{}-{}", self.hall_of(replica), replica / self.halls)
    }

    /// Returns the declaration of a revision that serves one of some
    /// versions.
    pub fn declare(
        &self,
        revision: u64,
        versions: &[Version],
        serve: &str,
    ) -> String {
        let mut out = format!(
            "revision: {revision}\nname: local\nprefer: {}\n\
             key_window_s: {}\nsites:\n",
            self.prefer.as_str(),
            self.key_window_s
        );
        for i in 0..self.halls {
            let _ = writeln!(out, "  - {{name: {}}}", self.hall(i));
        }
        if let Some(budget) = self.budget {
            let _ = writeln!(out, "origin_budget: {budget}");
        }
        let _ = writeln!(
            out,
            "workspaces:\n  - {{name: counter, share: 4, priority: 2}}\n  \
             - {{name: web, share: 1}}\n\
             models:\n  - name: {MODEL}\n    serve: {serve}\n    \
             repeatable: {}\n    versions:",
            self.repeatable
        );
        for version in versions {
            let Version { name, manifest } = version;
            let _ = writeln!(
                out,
                "      - {{name: {name}, manifest: '{manifest}'}}"
            );
        }
        out.push_str("    placements:\n");
        for i in 0..self.halls {
            let there = (0..self.replicas).filter(|r| self.hall_of(*r) == i);
            let _ = writeln!(
                out,
                "      - {{site: {}, replicas: {}}}",
                self.hall(i),
                there.count()
            );
        }
        if self.service {
            let _ = writeln!(
                out,
                "services:\n  - {{name: {SERVICE}, repeatable: false}}"
            );
        }
        out.push_str("backends:\n");
        for r in 0..self.replicas {
            let _ = writeln!(
                out,
                "  - {{name: {}, site: {}, checks_fences: {}}}",
                self.agent_name(r),
                self.hall(self.hall_of(r)),
                self.engine.fences
            );
        }
        if self.service {
            for i in 0..self.halls {
                let _ = writeln!(
                    out,
                    "  - {{name: service-{i}, site: {}, service: {SERVICE}}}",
                    self.hall(i)
                );
            }
        }
        out
    }

    /// Returns the usual settings of bursts in a window: the origin's link
    /// carries four copies in it, a machine's link two.
    #[must_use]
    pub fn with_window(mut self, window: Duration) -> Plan {
        let rate = self.size as f64 / window.as_secs_f64();
        self.origin_rate = (rate * 4.0) as u64;
        self.link_rate = (rate * 2.0) as u64;
        self
    }
}
