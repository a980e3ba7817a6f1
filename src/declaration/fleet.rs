//! The validated declaration.

use std::sync::Arc;
use std::time::Duration;

use crate::Digest;

/// Which cost matters more in the distribution of weights.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Prefer {
    /// The time until a version is live on all replicas.
    Time,
    /// The bytes fetched from the origin.
    Origin,
}

impl Prefer {
    /// Returns the value used in declarations.
    pub const fn as_str(self) -> &'static str {
        match self {
            Prefer::Time => "time",
            Prefer::Origin => "origin",
        }
    }
}

/// A version or an adapter of a model: a name and the digest of its weights'
/// manifest.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Version {
    pub(super) name: Arc<str>,
    pub(super) manifest: Digest,
}

impl Version {
    /// Returns a version with a name and the digest of its manifest.
    pub fn new(name: impl Into<Arc<str>>, manifest: Digest) -> Version {
        Version { name: name.into(), manifest }
    }

    /// Returns the name, unique within its model.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the digest of the manifest.
    pub fn manifest(&self) -> Digest {
        self.manifest
    }
}

/// An adapter of a model; it has the same fields as a version.
pub type Adapter = Version;

/// A model with its versions and its placements in data halls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    pub(super) name: Arc<str>,
    pub(super) priority: u8,
    pub(super) repeatable: bool,
    pub(super) versions: Vec<Version>,
    pub(super) adapters: Vec<Adapter>,
    pub(super) served_index: usize,
    pub(super) placements: Vec<(Arc<str>, u32)>,
}

impl Model {
    /// Returns the name, unique in the fleet.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the priority, 0 to 9; models with lower values get instances
    /// and link capacity first.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Returns whether requests may be repeated unless they forbid it.
    pub fn repeatable(&self) -> bool {
        self.repeatable
    }

    /// Returns all declared versions.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// Returns the adapters that are loaded together with each version.
    pub fn adapters(&self) -> &[Adapter] {
        &self.adapters
    }

    /// Returns the version to be served.
    pub fn served_version(&self) -> &Version {
        &self.versions[self.served_index]
    }

    /// Returns the declared number of replicas in each data hall.
    pub fn placements(&self) -> &[(Arc<str>, u32)] {
        &self.placements
    }

    /// Returns the declared number of replicas in one data hall.
    pub fn replicas(&self, hall: &str) -> u32 {
        for (site, n) in &self.placements {
            if **site == *hall {
                return *n;
            }
        }
        0
    }

    /// Returns the declared number of replicas in all data halls.
    pub fn total_replicas(&self) -> u32 {
        self.placements.iter().map(|(_, n)| n).sum()
    }
}

/// A service that is not a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    pub(super) name: Arc<str>,
    pub(super) repeatable: bool,
}

impl Service {
    /// Returns the name, unique in the fleet.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns whether calls may be repeated unless they forbid it.
    pub fn repeatable(&self) -> bool {
        self.repeatable
    }
}

/// A data hall.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Site {
    pub(super) name: Arc<str>,
    pub(super) region: Arc<str>,
}

impl Site {
    /// Returns the data hall's name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the region of the data hall.
    pub fn region(&self) -> &Arc<str> {
        &self.region
    }
}

/// A workspace, on whose behalf requests are made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    pub(super) name: Arc<str>,
    pub(super) share: u32,
    pub(super) priority: u8,
}

impl Workspace {
    /// Returns a workspace with a share (1 to 1,000) and priority (0 to 9).
    pub fn new(
        name: impl Into<Arc<str>>,
        share: u32,
        priority: u8,
    ) -> Workspace {
        Workspace { name: name.into(), share, priority }
    }

    /// Returns the name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns its weight in fair sharing under load, 1 to 1,000.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the priority, 0 to 9; lower values are served first.
    pub fn priority(&self) -> u8 {
        self.priority
    }
}

/// A backend server that may be sent requests.
///
/// Backend servers are declared rather than taken from the instance list: the
/// guard of a key is selected among them and must not change when the instance
/// list is out of date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    pub(super) name: Arc<str>,
    pub(super) site: Arc<str>,
    pub(super) service: Option<Arc<str>>,
    pub(super) checks_fences: bool,
}

impl Backend {
    /// Returns the name, which equals the name of its instance.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the data hall.
    pub fn site(&self) -> &Arc<str> {
        &self.site
    }

    /// Returns its plain service, or `None` if it is a model engine.
    pub fn service(&self) -> Option<&Arc<str>> {
        self.service.as_ref()
    }

    /// Returns whether it checks the fencing token of each order.
    pub fn checks_fences(&self) -> bool {
        self.checks_fences
    }
}

/// The validated declaration of a whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    pub(super) revision: u64,
    pub(super) name: Arc<str>,
    pub(super) prefer: Prefer,
    pub(super) origin_budget: u32,
    pub(super) rollout_window: Duration,
    pub(super) key_window: Duration,
    pub(super) models: Vec<Model>,
    pub(super) services: Vec<Service>,
    pub(super) sites: Vec<Site>,
    pub(super) workspaces: Vec<Workspace>,
    pub(super) backends: Vec<Backend>,
}

impl Fleet {
    /// Returns the revision, which increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the fleet's name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns which matters more, time or bytes fetched from the origin.
    pub fn prefer(&self) -> Prefer {
        self.prefer
    }

    /// Returns how many whole copies of a version may be fetched from the
    /// origin, 1 to 16.
    pub fn origin_budget(&self) -> u32 {
        self.origin_budget
    }

    /// Returns the time within which a new version is to be live.
    pub fn rollout_window(&self) -> Duration {
        self.rollout_window
    }

    /// Returns how long an idempotency key identifies one request.
    pub fn key_window(&self) -> Duration {
        self.key_window
    }

    /// Returns the models.
    pub fn models(&self) -> &[Model] {
        &self.models
    }

    /// Returns the plain services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the data halls.
    pub fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// Returns the workspaces.
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns the model with a name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| *m.name == *name)
    }

    /// Returns the plain service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| *s.name == *name)
    }

    /// Returns the workspace with a name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| *w.name == *name)
    }

    /// Returns the backend server with a name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.iter().find(|b| *b.name == *name)
    }

    /// Returns a one-line summary for operators.
    pub fn summary(&self) -> String {
        let replicas: u32 =
            self.models.iter().map(Model::total_replicas).sum();
        format!(
            "{} revision {}: {} models, {} replicas, {} services, {} sites, \
             {} workspaces, {} backend servers, prefer {}",
            self.name,
            self.revision,
            self.models.len(),
            replicas,
            self.services.len(),
            self.sites.len(),
            self.workspaces.len(),
            self.backends.len(),
            self.prefer.as_str(),
        )
    }
}
