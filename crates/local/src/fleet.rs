//! A local fleet that runs.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stairhinge::document::{Instance, Kind, Listing, Presence, Role};
use stairhinge::{Code, Error};
use stairhinge_shell::Listeners;
use stairhinge_shell::control::{Report, Wire};
use stairhinge_standins::{
    Engine, Origin, Pack, Platform, Running, Service, start, weights,
};

use crate::cell::Cell;
use crate::kept_engine::KeptEngine;
use crate::launch::{bind_listeners, launch};
use crate::plan::{Plan, Version};

/// One instance of a local fleet.
#[derive(Debug)]
pub struct Member {
    name: Arc<str>,
    role: Role,
    http: SocketAddr,
    control: SocketAddr,
    settings: String,
    cell: Option<Cell>,
}

impl Member {
    /// Returns the instance's name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns where it takes requests.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns where it takes control calls.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns its role's thread, if it runs.
    pub fn cell(&mut self) -> Option<&mut Cell> {
        self.cell.as_mut()
    }
}

/// A local fleet that runs until it is dropped.
pub struct Local {
    plan: Plan,
    platform: Arc<Platform>,
    origin: Arc<Origin>,
    engines: Vec<Arc<Engine>>,
    services: Vec<Arc<Service>>,
    members: Vec<Member>,
    listing: Listing,
    versions: Vec<Version>,
    revision: u64,
    wire: Wire,
    _standins: Vec<Running>,
    _kept: Vec<KeptEngine>,
}

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

impl Local {
    /// Starts all roles of a plan. Nothing is published yet.
    ///
    /// # Errors
    ///
    /// If addresses or threads are not to be had, or the plan's added
    /// settings do not check.
    pub async fn start(plan: Plan) -> Result<Local, Error> {
        let platform = Platform::new();
        let origin = Origin::new(plan.origin_rate);
        let mut standins = Vec::new();
        let any = SocketAddr::new(HERE, 0);
        let served = start(any, platform.clone()).await.map_err(io)?;
        let platform_addr = served.addr();
        standins.push(served);
        let served = start(any, origin.clone()).await.map_err(io)?;
        let origin_addr = served.addr();
        standins.push(served);
        let mut local = Local {
            platform,
            origin,
            engines: Vec::new(),
            services: Vec::new(),
            members: Vec::new(),
            listing: Listing::default(),
            versions: Vec::new(),
            revision: 0,
            wire: Wire::start()?,
            _standins: standins,
            _kept: Vec::new(),
            plan: plan.clone(),
        };
        for r in 0..plan.replicas {
            let engine = Engine::new(plan.engine);
            let served = start(any, engine.clone()).await.map_err(io)?;
            let more = format!(
                "backend: {}\norigin: {origin_addr}\nlink_kb_s: {}\n\
                 link_shared: {}\n{}",
                served.addr(),
                plan.link_rate / 1000,
                plan.link_shared,
                plan.agent
            );
            let kept = KeptEngine::new(Arc::clone(&engine), served);
            local._kept.push(kept);
            local.engines.push(engine);
            let (name, hall) = (plan.agent_name(r), plan.hall_of(r));
            local.add(&name, hall, Role::Agent, platform_addr, &more)?;
        }
        for i in 0..plan.halls {
            if plan.service {
                let service = Service::new(Duration::from_millis(5));
                let served = start(any, service.clone()).await.map_err(io)?;
                let addr = served.addr();
                let more =
                    format!("backend: {addr}\nplain: true\n{}", plan.agent);
                local._standins.push(served);
                local.services.push(service);
                let name = format!("service-{i}");
                local.add(&name, i, Role::Agent, platform_addr, &more)?;
            }
            for e in 0..plan.entries {
                let name = format!("entry-{i}-{e}");
                let more = &plan.entry;
                local.add(&name, i, Role::Entry, platform_addr, more)?;
            }
        }
        local.list();
        Ok(local)
    }

    fn add(
        &mut self,
        name: &str,
        hall: usize,
        role: Role,
        platform: SocketAddr,
        more: &str,
    ) -> Result<(), Error> {
        let listeners = Listeners::free(HERE)?;
        let (http, control) = listeners.addresses()?;
        let hall = self.plan.hall(hall);
        let settings = format!(
            "name: {name}\nhall: {hall}\nhttp: {http}\ncontrol: {control}\n\
             platform: {platform}\nbeat_ms: {}\nstep_ms: {}\n{more}\n",
            self.plan.beat_ms, self.plan.step_ms
        );
        let cell = launch(name, role, &settings, listeners)?;
        let name: Arc<str> = Arc::from(name);
        self.listing.instances.push(Instance {
            name: Arc::clone(&name),
            hall: Arc::from(hall),
            role,
            http,
            control,
            presence: Presence::Live,
        });
        self.members.push(Member {
            name,
            role,
            http,
            control,
            settings,
            cell: Some(cell),
        });
        Ok(())
    }

    /// Publishes the instance list as it is now.
    pub fn list(&mut self) {
        self.listing.revision += 1;
        self.platform.list(&self.listing);
    }

    /// Changes what the instance list says of an instance, and publishes it.
    pub fn mark(&mut self, name: &str, presence: Presence) {
        for instance in &mut self.listing.instances {
            if *instance.name == *name {
                instance.presence = presence;
            }
        }
        self.list();
    }

    /// Makes up a version's weights, gives them to the origin and publishes
    /// a declaration that serves it.
    ///
    /// # Errors
    ///
    /// If the weights make no manifest.
    pub fn publish(&mut self, name: &str, seed: u64) -> Result<Pack, Error> {
        let bytes = weights(seed, self.plan.size);
        let pack = Pack::new(&bytes, self.plan.chunk)?;
        self.publish_pack(name, &pack);
        Ok(pack)
    }

    /// Gives a packed version to the origin and publishes a declaration that
    /// serves it.
    pub fn publish_pack(&mut self, name: &str, pack: &Pack) {
        self.origin.add(pack);
        self.versions.retain(|v| v.name != name);
        let manifest = pack.manifest();
        self.versions.push(Version { name: name.into(), manifest });
        // The version before stays declared, for those that still serve it.
        let old = self.versions.len().saturating_sub(2);
        self.versions.drain(..old);
        self.serve(name);
    }

    /// Publishes a declaration that serves one of the versions known.
    pub fn serve(&mut self, name: &str) {
        self.revision += 1;
        let text = self.plan.declare(self.revision, &self.versions, name);
        let bytes = Bytes::from(text);
        self.platform.publish(Kind::Config, self.revision, bytes);
    }

    /// Publishes a declaration in which a backend server is left out.
    pub fn undeclare(&mut self, name: &str) {
        self.revision += 1;
        let mut text = String::new();
        for line in self.declaration().lines() {
            if line.contains(&format!("{{name: {name},")) {
                continue;
            }
            text.push_str(line);
            text.push('\n');
        }
        let bytes = Bytes::from(text);
        self.platform.publish(Kind::Config, self.revision, bytes);
    }

    /// Returns the revision that was published last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the text of the declaration that was published last.
    pub fn declaration(&self) -> String {
        let serve = self.versions.last().map_or("", |v| &v.name);
        self.plan.declare(self.revision, &self.versions, serve)
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the platform's stand-in.
    pub fn platform(&self) -> &Arc<Platform> {
        &self.platform
    }

    /// Returns the origin's stand-in.
    pub fn origin(&self) -> &Arc<Origin> {
        &self.origin
    }

    /// Returns the engines, in the order of the agents.
    pub fn engines(&self) -> &[Arc<Engine>] {
        &self.engines
    }

    /// Returns the plain services, a hall after the other.
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Returns where the entries take requests.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.members.iter().filter(|m| m.role == Role::Entry);
        entries.map(|m| m.http).collect()
    }

    /// Returns the instance with a name.
    ///
    /// # Panics
    ///
    /// If the plan has none.
    pub fn member(&mut self, name: &str) -> &mut Member {
        let found = self.members.iter_mut().find(|m| *m.name == *name);
        match found {
            Some(member) => member,
            None => panic!("no instance {name} in the plan"),
        }
    }

    /// Returns the names of the model agents.
    pub fn agents(&self) -> Vec<Arc<str>> {
        let count = self.plan.replicas;
        self.members[..count].iter().map(|m| Arc::clone(&m.name)).collect()
    }

    /// Returns where the model agents take requests.
    pub fn agent_addrs(&self) -> Vec<SocketAddr> {
        self.members[..self.plan.replicas].iter().map(|m| m.http).collect()
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut cell) = self.member(name).cell.take() {
            cell.kill();
            cell.join();
        }
    }

    /// Starts an instance that was ended, on the same addresses.
    ///
    /// # Errors
    ///
    /// If its addresses are taken.
    pub fn restart(&mut self, name: &str) -> Result<(), Error> {
        let member = self.member(name);
        let settings = member.settings.clone();
        let listeners = bind_listeners(member.role, &settings)?;
        member.cell = Some(launch(name, member.role, &settings, listeners)?);
        Ok(())
    }

    /// Asks an instance for its report.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`] if it does not answer.
    pub async fn report(&self, name: &str) -> Result<Report, Error> {
        let found = self.members.iter().find(|m| *m.name == *name);
        let none = || Error::new(Code::PeerLost, format!("no {name}"));
        let addr = found.ok_or_else(none)?.control;
        let within = Duration::from_secs(2);
        let reports = self.wire.status(addr, within).await?;
        reports.into_iter().next().ok_or_else(none)
    }

    /// Returns the reports of all instances that answer.
    pub async fn reports(&self) -> Vec<Report> {
        let names = self.members.iter().map(|m| &m.name);
        let asked = names.map(|n| self.report(n));
        let reports = futures::future::join_all(asked).await;
        reports.into_iter().flatten().collect()
    }

    /// Returns the calls to other processes.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Returns how many engines hold a version and are said to serve it by
    /// their agents.
    pub async fn live(&self, version: &str) -> usize {
        let mut live = 0;
        let names = self.agents();
        let asked = names.iter().map(|n| self.report(n));
        let reports = futures::future::join_all(asked).await;
        for (engine, report) in self.engines.iter().zip(reports) {
            let Ok(report) = report else { continue };
            let says =
                *report.version == *version && *report.state == *"serving";
            if says && engine.version() == version {
                live += 1;
            }
        }
        live
    }

    /// Waits until a version is live on `count` replicas; returns whether it
    /// came to that within the time.
    pub async fn await_live(
        &self,
        version: &str,
        count: usize,
        within: Duration,
    ) -> bool {
        let end = tokio::time::Instant::now() + within;
        while tokio::time::Instant::now() < end {
            // The engines are looked at first: that costs no call.
            let held = self.engines.iter().filter(|e| e.version() == version);
            if held.count() >= count && self.live(version).await >= count {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

fn io(err: std::io::Error) -> Error {
    Error::new(Code::CannotBind, err)
}
