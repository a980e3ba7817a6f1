//! Chooses the agent that a request is sent to.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::declaration::Fleet;
use stairhinge::document::{Listing, Presence, Role, agents_by_hall};
use stairhinge::routing::{Candidate, Health, pick};
use stairhinge::{Time, rank};
use stairhinge_shell::node::View;

use crate::Entry;
use crate::checked_request::{CheckedRequest, Requested};

/// What this entry knows of one agent from its own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentState {
    /// Requests of this entry in progress at the agent.
    pub(crate) own_requests: u32,
    /// Requests in progress at the agent, as reported by its last answer.
    pub(crate) reported_requests: u32,
    pub(crate) health: Health,
    /// End of the exclusion that follows an answer of not serving or
    /// overloaded.
    pub(crate) excluded_until: Time,
    /// The latest incarnation seen in an answer.
    pub(crate) incarnation: Option<u64>,
    /// Whether this incarnation has answered that it is leaving; cleared when
    /// a newer incarnation answers.
    pub(crate) leaving: bool,
}

pub(crate) type AgentStates = HashMap<Arc<str>, AgentState>;

/// How long an agent is excluded after it refused as not serving or
/// overloaded.
const EXCLUSION_PERIOD: Duration = Duration::from_millis(200);

/// Length in bytes of the body's prefix by which requests for a model are
/// assigned to agents.
const PREFIX_BYTES: usize = 256;

/// The agent chosen for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct ChosenAgent {
    pub(crate) name: Arc<str>,
    pub(crate) http: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) incarnation: Option<u64>,
}

impl Entry {
    /// Chooses an agent for a request. Agents in `tried` are chosen only if
    /// there are no others. If the request `shares_replica`, all entries
    /// choose the same one.
    pub(crate) fn choose(
        &self,
        checked: &CheckedRequest,
        tried: &HashSet<Arc<str>>,
        shares_replica: bool,
    ) -> Option<ChosenAgent> {
        let view = self.node.view();
        let fleet = view.fleet.as_ref()?;
        let names = serving_agents(fleet, &view, &checked.requested);
        let now = self.node.now();
        let usable = self.usable(&names, now);
        let untried: Vec<_> =
            usable.iter().filter(|n| !tried.contains(*n)).cloned().collect();
        let from = if untried.is_empty() { &usable } else { &untried };
        let name = if shares_replica {
            rank::first(checked.features.request.to_string().as_bytes(), from)?
        } else {
            self.pick_agent(checked, from, &view.listing)?
        };
        let instance = view.listing.get(&name)?;
        let incarnation = self.incarnation(&name);
        Some(ChosenAgent {
            http: instance.http,
            control: instance.control,
            name,
            incarnation,
        })
    }

    /// Returns the agents that are not leaving, excluded or failing. If there
    /// are none, returns the failing ones.
    fn usable(&self, names: &[Arc<str>], now: Time) -> Vec<Arc<str>> {
        let peers = self.node.peers();
        let agents = self.agent_states();
        let mut usable = Vec::new();
        let mut failing = Vec::new();
        for name in names {
            let agent = agents.get(name).cloned().unwrap_or_default();
            let heard = peers.get(name).map(|h| &h.report);
            let leaving = heard.is_some_and(|r| {
                r.leaves()
                    && agent.incarnation.is_none_or(|i| i <= r.incarnation)
            });
            if leaving || agent.leaving || now < agent.excluded_until {
                continue;
            }
            if agent.health.is_available(now) {
                usable.push(Arc::clone(name));
            } else {
                failing.push(Arc::clone(name));
            }
        }
        if usable.is_empty() { failing } else { usable }
    }

    fn pick_agent(
        &self,
        checked: &CheckedRequest,
        names: &[Arc<str>],
        listing: &Listing,
    ) -> Option<Arc<str>> {
        let hall = &self.node.identity().hall;
        let agents = self.agent_states();
        let mut candidates = Vec::new();
        for name in names {
            let agent = agents.get(name);
            let load =
                agent.map_or(0, |s| s.own_requests.max(s.reported_requests));
            let same_hall = listing.get(name).is_some_and(|i| i.hall == *hall);
            candidates.push(Candidate::new(name, load, same_hall));
        }
        let draws = (rand::random(), rand::random());
        let prefix = match checked.requested {
            Requested::Model(_) if checked.body.len() >= PREFIX_BYTES => {
                Some(&checked.body[..PREFIX_BYTES])
            }
            _ => None,
        };
        let i = pick(&candidates, draws, prefix)?;
        Some(Arc::clone(&names[i]))
    }

    fn incarnation(&self, name: &str) -> Option<u64> {
        let seen = self.agent_states().get(name).and_then(|s| s.incarnation);
        let heard = self.node.peers().get(name).map(|h| h.report.incarnation);
        seen.max(heard)
    }

    /// Updates the state of an agent, creating it if it is new.
    pub(crate) fn update_agent(
        &self,
        name: &Arc<str>,
        change: impl FnOnce(&mut AgentState),
    ) {
        change(self.agent_states().entry(Arc::clone(name)).or_default());
    }

    /// Excludes an agent from the choice for [`EXCLUSION_PERIOD`].
    pub(crate) fn exclude_briefly(&self, name: &Arc<str>) {
        let until = self.node.now().after(EXCLUSION_PERIOD);
        self.update_agent(name, |s| s.excluded_until = until);
    }
}

/// Returns the agents assigned to the requested model or service.
fn serving_agents(
    fleet: &Fleet,
    view: &View,
    requested: &Requested,
) -> Vec<Arc<str>> {
    let mut names = Vec::new();
    match requested {
        Requested::Model(model) => {
            for (_, agents) in agents_by_hall(fleet, &view.listing, model) {
                names.extend(agents);
            }
        }
        Requested::Service(service) => {
            for backend in fleet.backends() {
                if backend.service() != Some(service) {
                    continue;
                }
                let listed = view.listing.get(backend.name());
                let is_live = listed.is_some_and(|i| {
                    i.role == Role::Agent && i.presence == Presence::Live
                });
                if is_live {
                    names.push(Arc::clone(backend.name()));
                }
            }
        }
    }
    names
}
