//! Which agent is to serve which model.
//!
//! Every process works this out from the declaration and the instance list,
//! so nobody has to assign anything and an entry knows where to ask before
//! it has heard from an agent. Models claim instances by priority; within a
//! hall the rank by hash decides, so a lost instance moves one replica and
//! not all of them. Where two processes hold different lists they may differ
//! for a while: an agent's own view decides what it loads, and a request sent
//! to an agent that does not serve its model is refused and goes elsewhere.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Listing, Presence, Role};
use crate::declaration::{Fleet, Model};
use crate::rank;

/// Returns the model and the agents assigned to it, for each model of a hall.
pub fn assign_agents<'a>(
    fleet: &'a Fleet,
    listing: &Listing,
    hall: &str,
) -> Vec<(&'a Model, Vec<Arc<str>>)> {
    let mut free: HashSet<Arc<str>> = HashSet::new();
    for instance in listing.hall(hall) {
        let staying = instance.presence == Presence::Live;
        if instance.role != Role::Agent || !staying {
            continue;
        }
        let declared = fleet.backend(&instance.name);
        if declared.is_some_and(|b| b.service().is_none()) {
            free.insert(Arc::clone(&instance.name));
        }
    }
    let mut models: Vec<&Model> = fleet.models().iter().collect();
    models.sort_by_key(|m| (m.priority(), Arc::clone(m.name())));
    let mut assigned = Vec::new();
    for model in models {
        let want = model.replicas(hall) as usize;
        let mut order = rank::order(model.name().as_bytes(), free.iter());
        order.truncate(want);
        for name in &order {
            free.remove(name);
        }
        assigned.push((model, order));
    }
    assigned
}

/// Returns the model that an agent is to serve, if any.
pub fn assigned_model<'a>(
    fleet: &'a Fleet,
    listing: &Listing,
    hall: &str,
    name: &str,
) -> Option<&'a Model> {
    for (model, names) in assign_agents(fleet, listing, hall) {
        if names.iter().any(|n| **n == *name) {
            return Some(model);
        }
    }
    None
}

/// Returns the agents that serve a model, by data hall, in declared order.
pub fn agents_by_hall(
    fleet: &Fleet,
    listing: &Listing,
    model: &str,
) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
    let mut halls = Vec::new();
    for site in fleet.sites() {
        let assigned = assign_agents(fleet, listing, site.name());
        let found = assigned.into_iter().find(|(m, _)| **m.name() == *model);
        let Some((_, names)) = found else { continue };
        if names.is_empty() {
            continue;
        }
        halls.push((Arc::clone(site.name()), names));
    }
    halls
}
