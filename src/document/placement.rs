//! Which agent serves which model.
//!
//! Every process computes the placement from the declaration and the instance
//! list. There is no coordinator, and an entry knows which agents to ask
//! before it has received a report from any. Models choose instances in order
//! of priority. Within a data hall rendezvous hashing selects the instances,
//! so the loss of an instance moves one replica and not all of them.
//!
//! While two processes hold different lists their results may differ. An
//! agent loads what its own lists say, and it refuses a request for a model
//! that it does not serve; the entry then tries another agent.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Listing, Presence, Role};
use crate::declaration::{Fleet, Model};
use crate::rank;

/// Returns each declared model with the agents assigned to it in a data hall.
pub fn assign_agents<'a>(
    fleet: &'a Fleet,
    listing: &Listing,
    hall: &str,
) -> Vec<(&'a Model, Vec<Arc<str>>)> {
    let mut available: HashSet<Arc<str>> = HashSet::new();
    for instance in listing.hall(hall) {
        let live = instance.presence == Presence::Live;
        if instance.role != Role::Agent || !live {
            continue;
        }
        let declared = fleet.backend(&instance.name);
        if declared.is_some_and(|b| b.service().is_none()) {
            available.insert(Arc::clone(&instance.name));
        }
    }
    let mut models: Vec<&Model> = fleet.models().iter().collect();
    models.sort_by_key(|m| (m.priority(), Arc::clone(m.name())));
    let mut assigned = Vec::new();
    for model in models {
        let replica_count = model.replicas(hall) as usize;
        let mut chosen =
            rank::order(model.name().as_bytes(), available.iter());
        chosen.truncate(replica_count);
        for name in &chosen {
            available.remove(name);
        }
        assigned.push((model, chosen));
    }
    assigned
}

/// Returns the model assigned to an agent, if any.
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

/// Returns the agents assigned to a model by data hall, in the order in which
/// the halls are declared. Halls without such an agent are left out.
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
