//! Describes the effects of a change of the declaration to an operator.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Fleet, Model};

/// Returns one line for each effect of publishing `new` after `old`.
pub fn diff(old: &Fleet, new: &Fleet) -> Vec<String> {
    let mut lines = Vec::new();
    if new.revision() <= old.revision() {
        lines.push(format!(
            "REFUSED: revision {} is not higher than {}",
            new.revision(),
            old.revision()
        ));
    }
    if old.prefer() != new.prefer() {
        lines.push(format!(
            "distribution prefers {} instead of {}",
            new.prefer().as_str(),
            old.prefer().as_str()
        ));
    }
    diff_models(old, new, &mut lines);
    diff_named(
        "workspace",
        old.workspaces().iter().map(|w| (w.name(), w)),
        new.workspaces().iter().map(|w| (w.name(), w)),
        &mut lines,
    );
    diff_named(
        "service",
        old.services().iter().map(|s| (s.name(), s)),
        new.services().iter().map(|s| (s.name(), s)),
        &mut lines,
    );
    let before = lines.len();
    diff_named(
        "backend server",
        old.backends().iter().map(|b| (b.name(), b)),
        new.backends().iter().map(|b| (b.name(), b)),
        &mut lines,
    );
    if lines.len() > before {
        lines.push(
            "guards move: keyed requests that must not be repeated are \
             refused by new guards until the key window has passed"
                .to_string(),
        );
    }
    lines
}

fn diff_models(old: &Fleet, new: &Fleet, lines: &mut Vec<String>) {
    for model in new.models() {
        let name = model.name();
        let Some(previous) = old.model(name) else {
            lines.push(format!(
                "model {name} is new: {} replicas fetch {}",
                model.total_replicas(),
                model.served_version().name()
            ));
            continue;
        };
        diff_served_version(previous, model, lines);
        if previous.total_replicas() != model.total_replicas() {
            lines.push(format!(
                "model {name}: {} replicas instead of {}",
                model.total_replicas(),
                previous.total_replicas()
            ));
        }
    }
    for model in old.models() {
        if new.model(model.name()).is_some() {
            continue;
        }
        lines.push(format!("model {} is no longer served", model.name()));
    }
}

fn diff_served_version(
    previous: &Model,
    model: &Model,
    lines: &mut Vec<String>,
) {
    let (old, new) = (previous.served_version(), model.served_version());
    if old.manifest() == new.manifest() {
        return;
    }
    lines.push(format!(
        "model {}: {} replicas switch from {} to {}",
        model.name(),
        model.total_replicas(),
        old.name(),
        new.name()
    ));
}

fn diff_named<'a, T: PartialEq + 'a>(
    what: &str,
    old: impl Iterator<Item = (&'a Arc<str>, &'a T)>,
    new: impl Iterator<Item = (&'a Arc<str>, &'a T)>,
    lines: &mut Vec<String>,
) {
    let old: BTreeMap<_, _> = old.collect();
    let new: BTreeMap<_, _> = new.collect();
    for (name, item) in &new {
        match old.get(name) {
            None => lines.push(format!("{what} {name} is new")),
            Some(previous) if previous != item => {
                lines.push(format!("{what} {name} is changed"));
            }
            Some(_) => {}
        }
    }
    for name in old.keys() {
        if !new.contains_key(name) {
            lines.push(format!("{what} {name} is removed"));
        }
    }
}
