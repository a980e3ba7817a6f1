//! Validation of a parsed declaration and its conversion to [`Fleet`].

mod fields;

use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use super::fleet::{
    Backend, Fleet, Model, Prefer, Service, Site, Version, Workspace,
};
use super::raw::{
    RawBackend, RawFleet, RawModel, RawPlacement, RawVersion, Text, parse_yaml,
};
use super::{Fault, Faults, MAX_DOCUMENT_BYTES};
use crate::{Code, Digest};

const REVISION_RANGE: RangeInclusive<i64> = 1..=i64::MAX;
const ORIGIN_BUDGET_RANGE: RangeInclusive<i64> = 1..=16;
const ROLLOUT_WINDOW_S_RANGE: RangeInclusive<i64> = 1..=86_400;
const KEY_WINDOW_S_RANGE: RangeInclusive<i64> = 0..=86_400;
const PRIORITY_RANGE: RangeInclusive<i64> = 0..=9;
const SHARE_RANGE: RangeInclusive<i64> = 1..=1_000;
const REPLICAS_RANGE: RangeInclusive<i64> = 0..=10_000;

/// How many data halls may each fetch a whole copy from the origin if the
/// declaration doesn't say. It is 1 for both preferences: with 12 replicas in
/// 3 halls, a second and a third copy made the version live later, because
/// the origin's link became the bottleneck (`DESIGN.md`).
const DEFAULT_ORIGIN_BUDGET: i64 = 1;

/// The time within which a version is to be live if none is declared.
const DEFAULT_ROLLOUT_WINDOW_S: i64 = 300;

/// How long an idempotency key identifies one request if the declaration
/// doesn't say: longer than users are known to wait before they submit again.
const DEFAULT_KEY_WINDOW_S: i64 = 600;

impl Fleet {
    /// Parses and validates a declaration.
    ///
    /// # Errors
    ///
    /// All faults of the declaration, each with its line. A YAML syntax error
    /// or a missing or unknown field is reported alone, since nothing else
    /// can be validated then.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::declaration::Fleet;
    ///
    /// let faults = Fleet::parse("revision: 0\nname: x\n").unwrap_err();
    /// let line = faults.iter().next().unwrap().to_string();
    /// assert!(line.starts_with("line 1: 2004 revision: 0; allowed: 1 to"));
    /// ```
    pub fn parse(text: &str) -> Result<Fleet, Faults> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(Faults::from(Fault::new(
                Code::TooLarge,
                0,
                "file",
                format_args!("{} bytes", text.len()),
                format!("at most {MAX_DOCUMENT_BYTES} bytes"),
            )));
        }
        let raw: RawFleet = parse_yaml(text)?;
        Checker::default().fleet(raw)
    }
}

/// Collects the faults found while it builds the typed form.
#[derive(Default)]
struct Checker {
    faults: Faults,
}

impl Checker {
    fn fleet(mut self, raw: RawFleet) -> Result<Fleet, Faults> {
        let revision =
            self.checked_number("revision", &raw.revision, REVISION_RANGE);
        let name = self.checked_name("name", &raw.name);
        let prefer = self.prefer(raw.prefer.as_ref());
        let origin_budget = self.number_or_default(
            "origin_budget",
            raw.origin_budget.as_ref(),
            ORIGIN_BUDGET_RANGE,
            DEFAULT_ORIGIN_BUDGET,
        );
        let rollout_window = self.number_or_default(
            "window_s",
            raw.window_s.as_ref(),
            ROLLOUT_WINDOW_S_RANGE,
            DEFAULT_ROLLOUT_WINDOW_S,
        );
        let key_window = self.number_or_default(
            "key_window_s",
            raw.key_window_s.as_ref(),
            KEY_WINDOW_S_RANGE,
            DEFAULT_KEY_WINDOW_S,
        );
        let sites = self.sites(&raw);
        let models = self.models(&raw.models, &sites);
        let services = self.services(&raw);
        let workspaces = self.workspaces(&raw);
        let backends = self.backends(&raw.backends, &sites, &services);
        if !self.faults.is_empty() {
            return Err(self.faults);
        }
        Ok(Fleet {
            revision: revision as u64,
            name,
            prefer,
            origin_budget: origin_budget as u32,
            rollout_window: Duration::from_secs(rollout_window as u64),
            key_window: Duration::from_secs(key_window as u64),
            models,
            services,
            sites,
            workspaces,
            backends,
        })
    }

    fn sites(&mut self, raw: &RawFleet) -> Vec<Site> {
        let mut seen = HashSet::new();
        let mut sites = Vec::new();
        for (i, site) in raw.sites.iter().enumerate() {
            let name = self.unique_name(
                &format!("sites[{i}].name"),
                &site.name,
                &mut seen,
            );
            let region = match &site.region {
                Some(r) => self.checked_name(&format!("sites[{i}].region"), r),
                None => Arc::clone(&name),
            };
            sites.push(Site { name, region });
        }
        sites
    }

    fn models(&mut self, raw: &[RawModel], sites: &[Site]) -> Vec<Model> {
        let mut seen = HashSet::new();
        let mut models = Vec::new();
        for (i, model) in raw.iter().enumerate() {
            let at = format!("models[{i}]");
            let name = self.unique_name(
                &format!("{at}.name"),
                &model.name,
                &mut seen,
            );
            let priority = self.number_or_default(
                &format!("{at}.priority"),
                model.priority.as_ref(),
                PRIORITY_RANGE,
                5,
            );
            let versions =
                self.versions(&format!("{at}.versions"), &model.versions);
            let adapters =
                self.versions(&format!("{at}.adapters"), &model.adapters);
            let served_index = self.served_index(&at, &model.serve, &versions);
            let placements = self.placements(&at, &model.placements, sites);
            models.push(Model {
                name,
                priority: priority as u8,
                repeatable: model.repeatable.unwrap_or(true),
                versions,
                adapters,
                served_index,
                placements,
            });
        }
        models
    }

    fn versions(&mut self, at: &str, raw: &[RawVersion]) -> Vec<Version> {
        let mut seen = HashSet::new();
        let mut versions = Vec::new();
        for (i, version) in raw.iter().enumerate() {
            let name = self.unique_name(
                &format!("{at}[{i}].name"),
                &version.name,
                &mut seen,
            );
            let text = &version.manifest;
            let manifest = text.value.parse().unwrap_or_else(|_| {
                self.faults.push(Fault::new(
                    Code::BadDigest,
                    text.referenced.line(),
                    format!("{at}[{i}].manifest"),
                    format_args!("\"{}\"", text.value),
                    "a blake3 digest of 64 hex digits",
                ));
                Digest::of(b"")
            });
            versions.push(Version { name, manifest });
        }
        versions
    }

    fn served_index(
        &mut self,
        at: &str,
        raw: &Text,
        all: &[Version],
    ) -> usize {
        let found = all.iter().position(|v| *v.name == *raw.value);
        found.unwrap_or_else(|| {
            let names = all.iter().map(|v| &v.name);
            self.report_unknown(&format!("{at}.serve"), raw, names);
            0
        })
    }

    fn placements(
        &mut self,
        at: &str,
        raw: &[RawPlacement],
        sites: &[Site],
    ) -> Vec<(Arc<str>, u32)> {
        let mut seen = HashSet::new();
        let mut placements = Vec::new();
        for (i, placement) in raw.iter().enumerate() {
            let field = format!("{at}.placements[{i}]");
            let site = self.unique_name(
                &format!("{field}.site"),
                &placement.site,
                &mut seen,
            );
            self.check_site(&format!("{field}.site"), &placement.site, sites);
            let replicas = self.checked_number(
                &format!("{field}.replicas"),
                &placement.replicas,
                REPLICAS_RANGE,
            );
            placements.push((site, replicas as u32));
        }
        placements
    }

    fn services(&mut self, raw: &RawFleet) -> Vec<Service> {
        let mut seen = HashSet::new();
        let mut services = Vec::new();
        for (i, service) in raw.services.iter().enumerate() {
            let name = self.unique_name(
                &format!("services[{i}].name"),
                &service.name,
                &mut seen,
            );
            let repeatable = service.repeatable.unwrap_or(true);
            services.push(Service { name, repeatable });
        }
        services
    }

    fn workspaces(&mut self, raw: &RawFleet) -> Vec<Workspace> {
        let mut seen = HashSet::new();
        let mut workspaces = Vec::new();
        for (i, workspace) in raw.workspaces.iter().enumerate() {
            let at = format!("workspaces[{i}]");
            let name = self.unique_name(
                &format!("{at}.name"),
                &workspace.name,
                &mut seen,
            );
            let share = self.number_or_default(
                &format!("{at}.share"),
                workspace.share.as_ref(),
                SHARE_RANGE,
                1,
            );
            let priority = self.number_or_default(
                &format!("{at}.priority"),
                workspace.priority.as_ref(),
                PRIORITY_RANGE,
                5,
            );
            workspaces.push(Workspace::new(
                name,
                share as u32,
                priority as u8,
            ));
        }
        workspaces
    }

    fn backends(
        &mut self,
        raw: &[RawBackend],
        sites: &[Site],
        services: &[Service],
    ) -> Vec<Backend> {
        let mut seen = HashSet::new();
        let mut backends = Vec::new();
        for (i, backend) in raw.iter().enumerate() {
            let at = format!("backends[{i}]");
            let name = self.unique_name(
                &format!("{at}.name"),
                &backend.name,
                &mut seen,
            );
            self.check_site(&format!("{at}.site"), &backend.site, sites);
            let service = backend.service.as_ref().map(|text| {
                let known = services.iter().map(|s| &s.name);
                if !known.clone().any(|n| **n == *text.value) {
                    self.report_unknown(&format!("{at}.service"), text, known);
                }
                Arc::from(text.value.as_str())
            });
            backends.push(Backend {
                name,
                site: Arc::from(backend.site.value.as_str()),
                service,
                checks_fences: backend.checks_fences.unwrap_or(true),
            });
        }
        backends
    }

    fn check_site(&mut self, field: &str, text: &Text, sites: &[Site]) {
        if sites.iter().any(|s| *s.name == *text.value) {
            return;
        }
        self.report_unknown(field, text, sites.iter().map(|s| &s.name));
    }

    fn prefer(&mut self, raw: Option<&Text>) -> Prefer {
        let Some(text) = raw else { return Prefer::Time };
        match text.value.as_str() {
            "time" => Prefer::Time,
            "origin" => Prefer::Origin,
            other => {
                self.faults.push(Fault::new(
                    Code::OutOfRange,
                    text.referenced.line(),
                    "prefer",
                    format_args!("\"{other}\""),
                    "time or origin",
                ));
                Prefer::Time
            }
        }
    }
}
