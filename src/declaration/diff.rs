//! What a change of the declaration would do, in an operator's words.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Fleet, Model};

/// Returns one line for each effect that publishing `new` after `old` has.
pub fn diff(old: &Fleet, new: &Fleet) -> Vec<String> {
    let mut lines = Vec::new();
    if new.revision() <= old.revision() {
        lines.push(format!(
            "REFUSED: revision {} is not above {}",
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
    models(old, new, &mut lines);
    names(
        "workspace",
        old.workspaces().iter().map(|w| (w.name(), w)),
        new.workspaces().iter().map(|w| (w.name(), w)),
        &mut lines,
    );
    names(
        "service",
        old.services().iter().map(|s| (s.name(), s)),
        new.services().iter().map(|s| (s.name(), s)),
        &mut lines,
    );
    let before = lines.len();
    names(
        "backend server",
        old.backends().iter().map(|b| (b.name(), b)),
        new.backends().iter().map(|b| (b.name(), b)),
        &mut lines,
    );
    if lines.len() > before {
        lines.push(
            "guards move: keyed requests that must not repeat are refused \
             where a guard is new, until the key window has passed"
                .to_string(),
        );
    }
    lines
}

fn models(old: &Fleet, new: &Fleet, lines: &mut Vec<String>) {
    for model in new.models() {
        let name = model.name();
        let Some(was) = old.model(name) else {
            lines.push(format!(
                "model {name} is new: {} replicas fetch {}",
                model.total_replicas(),
                model.served_version().name()
            ));
            continue;
        };
        served(was, model, lines);
        if was.total_replicas() != model.total_replicas() {
            lines.push(format!(
                "model {name}: {} replicas instead of {}",
                model.total_replicas(),
                was.total_replicas()
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

fn served(was: &Model, model: &Model, lines: &mut Vec<String>) {
    let (old, new) = (was.served_version(), model.served_version());
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

fn names<'a, T: PartialEq + 'a>(
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
            Some(was) if was != item => {
                lines.push(format!("{what} {name} changes"));
            }
            Some(_) => {}
        }
    }
    for name in old.keys() {
        if !new.contains_key(name) {
            lines.push(format!("{what} {name} goes"));
        }
    }
}
