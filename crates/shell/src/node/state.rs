//! The shared state of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use stairhinge::document::{Instance, Kind, Presence};
use stairhinge::event::Event;
use stairhinge::poison::PoisonTable;
use stairhinge::{Clock, Code, Error, Time};
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};

use super::documents::Documents;
use super::{Identity, Peers, View};
use crate::control::{News, Report, Wire};
use crate::http::Client;
use crate::{Metrics, Shutdown, logs};

/// Where a process stands, as its reports say.
#[derive(Clone, Debug)]
struct Standing {
    state: Arc<str>,
    model: Arc<str>,
    version: Arc<str>,
    share: u32,
    rate: u32,
    stuck: Option<Code>,
}

/// The shared state of one process.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
    incarnation: u64,
    start: Instant,
    clock: Mutex<Clock>,
    seq: AtomicU64,
    load: AtomicU64,
    pub(super) documents: Mutex<Documents>,
    pub(super) view: ArcSwap<View>,
    pub(super) changed: watch::Sender<u64>,
    contact: Mutex<Option<Time>>,
    peers: Mutex<Peers>,
    standing: Mutex<Standing>,
    pub(super) poison: Mutex<PoisonTable>,
    pub(super) poison_change: Notify,
    wire: Wire,
    client: Client,
    metrics: Metrics,
    runtime: Handle,
}

impl Node {
    /// Returns the state of a process that knows nothing yet, but that a
    /// revision (`floor`; 0 is none) of the declaration has been in force
    /// here. It must be called within a tokio runtime.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
    pub fn new(
        identity: Identity,
        incarnation: u64,
        floor: u64,
        wire: Wire,
    ) -> Arc<Node> {
        let documents = Documents::above(floor);
        let standing = Standing {
            state: "starting".into(),
            model: "".into(),
            version: "".into(),
            share: 0,
            rate: 0,
            stuck: None,
        };
        Arc::new(Node {
            identity,
            incarnation,
            start: Instant::now(),
            clock: Mutex::new(Clock::new()),
            seq: AtomicU64::new(0),
            load: AtomicU64::new(0),
            documents: Mutex::new(documents),
            view: ArcSwap::from_pointee(View::default()),
            changed: watch::channel(0).0,
            contact: Mutex::new(None),
            peers: Mutex::default(),
            standing: Mutex::new(standing),
            poison: Mutex::default(),
            poison_change: Notify::new(),
            wire,
            client: Client::new(),
            metrics: Metrics::new(),
            runtime: Handle::current(),
        })
    }

    /// Starts the feed from the platform and the exchanges with peers.
    pub fn run(self: &Arc<Node>, shutdown: &Shutdown) {
        for kind in Kind::ALL {
            self.spawn(super::feed::run(Arc::clone(self), kind), shutdown);
        }
        self.spawn(super::gossip::run(Arc::clone(self)), shutdown);
        self.spawn(super::poison::run(Arc::clone(self)), shutdown);
    }

    fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
        shutdown: &Shutdown,
    ) {
        let shutdown = shutdown.clone();
        self.runtime.spawn(async move {
            tokio::select! {
                () = task => {}
                () = shutdown.wait() => {}
            }
        });
    }

    /// Runs a task on the process's runtime, from any thread.
    pub fn detach(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the time by the process's own clock.
    pub fn now(&self) -> Time {
        Time::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the calls to other processes.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Returns the HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the text of `/metrics`.
    pub fn metrics_text(&self) -> String {
        let counted = &self.metrics.control;
        counted.inc_by(self.wire.bytes().saturating_sub(counted.get()));
        self.metrics.text()
    }

    /// Returns the documents in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is told of each change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns what has been heard from others.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the age of the newest news of the platform known here.
    pub fn contact(&self) -> Duration {
        let at = lock(&self.contact).unwrap_or(Time::ZERO);
        self.now().since(at)
    }

    /// Takes note of news of the platform that is `age` old.
    pub fn contacted(&self, age: Duration) {
        let now = self.now().as_millis();
        let at = now.saturating_sub(age.as_millis() as u64);
        let mut contact = lock(&self.contact);
        let at = contact.unwrap_or(Time::ZERO).max(Time::from_millis(at));
        *contact = Some(at);
    }

    /// Changes what the reports say of where this process stands.
    pub fn stand(
        &self,
        state: &str,
        (model, version): (&str, &str),
        (share, rate): (u32, u32),
        stuck: Option<Code>,
    ) {
        let mut standing = lock(&self.standing);
        if *standing.state == *Report::LEAVING {
            return;
        }
        let news = *standing.state != *state || *standing.version != *version;
        *standing = Standing {
            state: Arc::from(state),
            model: Arc::from(model),
            version: Arc::from(version),
            share,
            rate,
            stuck,
        };
        drop(standing);
        self.metrics.share.set(i64::from(share));
        if news {
            let fields = [("model", model), ("version", version)];
            self.event(&format!("serving.{state}"), &fields);
        }
    }

    /// Takes note that this process is to stop and takes no new work.
    pub fn leave(&self) {
        let mut standing = lock(&self.standing);
        if *standing.state == *Report::LEAVING {
            return;
        }
        standing.state = Arc::from(Report::LEAVING);
        drop(standing);
        self.event("serving.leaving", &[]);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns whether this process takes no new work for good.
    pub fn leaving(&self) -> bool {
        *lock(&self.standing).state == *Report::LEAVING
    }

    /// Returns where this process stands.
    pub fn state(&self) -> Arc<str> {
        Arc::clone(&lock(&self.standing).state)
    }

    /// Takes note of how many requests are in progress.
    pub fn carry(&self, requests: usize) {
        self.load.store(requests as u64, Ordering::Relaxed);
    }

    /// Returns the requests in progress.
    pub fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed) as u32
    }

    /// Returns what this process tells others.
    pub fn report(&self) -> Report {
        let standing = lock(&self.standing).clone();
        let documents = lock(&self.documents);
        Report {
            name: Arc::clone(&self.identity.name),
            hall: Arc::clone(&self.identity.hall),
            incarnation: self.incarnation,
            clock: self.tick(),
            control: Some(self.identity.control),
            config: documents.of(Kind::Config).seen(),
            listing: documents.of(Kind::Listing).seen(),
            contact: self.contact(),
            state: standing.state,
            model: standing.model,
            version: standing.version,
            load: self.load(),
            share: standing.share,
            rate: standing.rate,
            stuck: standing.stuck,
            poison: self.poison().digest(),
        }
    }

    /// Returns the reports of all processes known here, the own one first.
    pub fn reports(&self) -> Vec<Report> {
        let mut reports = vec![self.report()];
        for heard in self.peers().iter() {
            reports.push(heard.report.clone());
        }
        reports
    }

    /// Checks that an operator's order is based on the revision in force.
    ///
    /// # Errors
    ///
    /// [`Code::StaleOrder`] if it is based on an older one.
    pub fn order(&self, based_on: u64) -> Result<(), Error> {
        let revision = self.view().revision();
        if based_on >= revision {
            return Ok(());
        }
        Err(Error::new(
            Code::StaleOrder,
            format_args!("based on {based_on}, in force: {revision}"),
        ))
    }

    /// Takes in a peer's report, and pulls what the peer has newer.
    pub fn hear(self: &Arc<Node>, report: Report) {
        lock(&self.clock).observe(report.clock);
        self.contacted(report.contact);
        self.hear_news(News {
            config: report.config,
            listing: report.listing,
            control: report.control,
        });
        let now = self.now();
        self.peers().hear(report, now);
    }

    /// Exchanges reports with a process now, in the background.
    pub fn meet(self: &Arc<Node>, addr: SocketAddr) {
        let node = Arc::clone(self);
        self.detach(async move { super::gossip::meet(&node, addr).await });
    }

    /// Returns the other instances that the list has, of a hall or, without
    /// one, of all others.
    pub fn others(&self, near: bool) -> Vec<Instance> {
        let view = self.view();
        let mut list = Vec::new();
        for instance in &view.listing.instances {
            let same = instance.hall == self.identity.hall;
            let me = instance.name == self.identity.name;
            if me || same != near || instance.presence != Presence::Live {
                continue;
            }
            list.push(instance.clone());
        }
        list
    }

    /// Returns where a process takes control calls.
    pub fn control_of(&self, name: &str) -> Option<SocketAddr> {
        let view = self.view();
        let listed = view.listing.get(name).map(|i| i.control);
        listed.or_else(|| self.peers().control(name))
    }

    fn tick(&self) -> u64 {
        lock(&self.clock).tick(wall())
    }

    /// Logs an event of the time line.
    pub fn event(&self, event: &str, fields: &[(&str, &str)]) {
        if !log::log_enabled!(target: logs::EVENT, log::Level::Info) {
            return;
        }
        let mut map = BTreeMap::new();
        for (name, value) in fields {
            map.insert((*name).to_string(), (*value).to_string());
        }
        let event = Event {
            clock: self.tick(),
            wall: wall(),
            instance: Arc::clone(&self.identity.name),
            hall: Arc::clone(&self.identity.hall),
            incarnation: self.incarnation,
            seq: self.seq.fetch_add(1, Ordering::Relaxed),
            event: event.to_string(),
            fields: map,
        };
        if let Ok(line) = serde_json::to_string(&event) {
            log::info!(target: logs::EVENT, "{line}");
        }
    }
}

/// Returns the wall time in milliseconds since the Unix epoch.
pub fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A panic while holding a lock leaves values that are whole: each critical
/// section here replaces values and does not leave them half changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
