//! Which agents could take a request, and which one does.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Listing, Presence, Role, agents_by_hall};
use stairhinge::routing::{Candidate, Health, pick};
use stairhinge_shell::node::View;

use crate::Entry;
use crate::checked_request::{Aim, CheckedRequest};

/// What the entry itself has seen of one agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentLoad {
    /// Requests of this entry in progress there.
    pub(crate) mine: u32,
    /// Requests in progress there, as its last answer said.
    pub(crate) told: u32,
    pub(crate) health: Health,
    /// Until when it is left out, since it said that it does not serve.
    pub(crate) away: Time,
    /// Its incarnation, once known.
    pub(crate) incarnation: Option<u64>,
    /// Whether it said that it leaves; a new incarnation may come back.
    pub(crate) leaves: bool,
}

pub(crate) type AgentLoads = HashMap<Arc<str>, AgentLoad>;

/// How long an agent is left out that said that it does not serve.
const AWAY: Duration = Duration::from_millis(200);

/// How many bytes of a request's body stand for its prefix.
const PREFIX: usize = 256;

/// An agent that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    pub(crate) name: Arc<str>,
    pub(crate) http: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) incarnation: Option<u64>,
}

impl Entry {
    /// Chooses an agent for a request, leaving out those in `tried` as long
    /// as there are others.
    pub(crate) fn choose(
        &self,
        ask: &CheckedRequest,
        tried: &HashSet<Arc<str>>,
    ) -> Option<Chosen> {
        let view = self.node.view();
        let fleet = view.fleet.as_ref()?;
        let names = able(fleet, &view, &ask.aim);
        let now = self.node.now();
        let fit = self.fit(&names, now);
        let fresh: Vec<_> =
            fit.iter().filter(|n| !tried.contains(*n)).cloned().collect();
        let from = if fresh.is_empty() { &fit } else { &fresh };
        let name = self.among(ask, from, &view.listing)?;
        let instance = view.listing.get(&name)?;
        let incarnation = self.incarnation(&name);
        Some(Chosen {
            http: instance.http,
            control: instance.control,
            name,
            incarnation,
        })
    }

    /// Those that are not known to leave, to be elsewhere, or to fail. If
    /// that leaves none, those that fail are better than nobody.
    fn fit(&self, names: &[Arc<str>], now: Time) -> Vec<Arc<str>> {
        let peers = self.node.peers();
        let seats = self.seats();
        let mut fit = Vec::new();
        let mut weak = Vec::new();
        for name in names {
            let seat = seats.get(name).cloned().unwrap_or_default();
            let heard = peers.get(name).map(|h| &h.report);
            let leaves = heard.is_some_and(|r| {
                r.leaves()
                    && seat.incarnation.is_none_or(|i| i <= r.incarnation)
            });
            if leaves || seat.leaves || now < seat.away {
                continue;
            }
            if seat.health.is_available(now) {
                fit.push(Arc::clone(name));
            } else {
                weak.push(Arc::clone(name));
            }
        }
        if fit.is_empty() { weak } else { fit }
    }

    fn among(
        &self,
        ask: &CheckedRequest,
        names: &[Arc<str>],
        listing: &Listing,
    ) -> Option<Arc<str>> {
        let hall = &self.node.identity().hall;
        let seats = self.seats();
        let mut candidates = Vec::new();
        for name in names {
            let seat = seats.get(name);
            let load = seat.map_or(0, |s| s.mine.max(s.told));
            let near = listing.get(name).is_some_and(|i| i.hall == *hall);
            candidates.push(Candidate::new(name, load, near));
        }
        let draws = (rand::random(), rand::random());
        let prefix = match ask.aim {
            Aim::Model(_) if ask.body.len() >= PREFIX => {
                Some(&ask.body[..PREFIX])
            }
            _ => None,
        };
        let i = pick(&candidates, draws, prefix)?;
        Some(Arc::clone(&names[i]))
    }

    fn incarnation(&self, name: &str) -> Option<u64> {
        let seen = self.seats().get(name).and_then(|s| s.incarnation);
        let heard = self.node.peers().get(name).map(|h| h.report.incarnation);
        seen.max(heard)
    }

    /// Changes what is known of an agent.
    pub(crate) fn seat(
        &self,
        name: &Arc<str>,
        change: impl FnOnce(&mut AgentLoad),
    ) {
        change(self.seats().entry(Arc::clone(name)).or_default());
    }

    /// Leaves out for a moment an agent that said that it does not serve.
    pub(crate) fn send_away(&self, name: &Arc<str>) {
        let until = self.node.now().after(AWAY);
        self.seat(name, |s| s.away = until);
    }
}

/// The agents that are to serve what a request is for.
fn able(fleet: &Fleet, view: &View, aim: &Aim) -> Vec<Arc<str>> {
    let mut names = Vec::new();
    match aim {
        Aim::Model(model) => {
            for (_, agents) in agents_by_hall(fleet, &view.listing, model) {
                names.extend(agents);
            }
        }
        Aim::Service(service) => {
            for backend in fleet.backends() {
                if backend.service() != Some(service) {
                    continue;
                }
                let listed = view.listing.get(backend.name());
                let stays = listed.is_some_and(|i| {
                    i.role == Role::Agent && i.presence == Presence::Live
                });
                if stays {
                    names.push(Arc::clone(backend.name()));
                }
            }
        }
    }
    names
}
