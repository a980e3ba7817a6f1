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
use stairhinge::rank;
use stairhinge::{Clock, Code, Error, Time};
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};

use super::documents::Documents;
use super::{Identity, Peers, View};
use crate::control::{News, Report, Wire};
use crate::http::Client;
use crate::{Metrics, Shutdown, logs};

/// The serving status that this process puts into its reports.
#[derive(Clone, Debug)]
struct ServingStatus {
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
    /// Whether the process has asked its peers what they know.
    caught_up: watch::Sender<bool>,
    contact: Mutex<Option<Time>>,
    peers: Mutex<Peers>,
    standing: Mutex<ServingStatus>,
    pub(super) poison: Mutex<PoisonTable>,
    pub(super) poison_change: Notify,
    /// Notified when crashes or exits may have to be compared.
    pub(super) poison_review: Notify,
    /// Notified when a peer reports that backend servers ended in succession
    /// under a request.
    pub(super) repeated_crash: Notify,
    wire: Wire,
    client: Client,
    metrics: Metrics,
    runtime: Handle,
}

impl Node {
    /// Returns the initial state of a process, without documents or peers.
    ///
    /// Declarations below revision `floor`, the last one known to have been
    /// in force here, are rejected; 0 means that there is none. Must be
    /// called within a tokio runtime.
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
        let mut poison = PoisonTable::default();
        poison.set_entry(rank::score(identity.name.as_bytes(), "") as u32);
        let standing = ServingStatus {
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
            caught_up: watch::Sender::new(false),
            contact: Mutex::new(None),
            peers: Mutex::default(),
            standing: Mutex::new(standing),
            poison: Mutex::new(poison),
            poison_change: Notify::new(),
            poison_review: Notify::new(),
            repeated_crash: Notify::new(),
            wire,
            client: Client::new(),
            metrics: Metrics::new(),
            runtime: Handle::current(),
        })
    }

    /// Starts the tasks that poll the platform and exchange reports and
    /// poison records with peers.
    pub fn run(self: &Arc<Node>, shutdown: &Shutdown) {
        for kind in Kind::ALL {
            self.spawn(super::feed::run(Arc::clone(self), kind), shutdown);
        }
        self.spawn(super::gossip::run(Arc::clone(self)), shutdown);
        self.spawn(super::catch_up::run(Arc::clone(self)), shutdown);
        self.spawn(super::poison::run(Arc::clone(self)), shutdown);
        self.spawn(super::poison::run_reviews(Arc::clone(self)), shutdown);
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

    /// Returns the identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the incarnation number of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the monotonic time since the start of the process.
    pub fn now(&self) -> Time {
        Time::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the handle for control calls to other processes.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Returns the HTTP client of this process.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the metrics in the text format served at `/metrics`.
    pub fn metrics_text(&self) -> String {
        let counted = &self.metrics.control;
        counted.inc_by(self.wire.bytes().saturating_sub(counted.get()));
        self.metrics.text()
    }

    /// Returns the documents in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified when the view changes or the
    /// process starts to leave.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Locks and returns the newest reports of other processes.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the time since the platform was last known to be reachable,
    /// from this process or from a peer.
    pub fn contact(&self) -> Duration {
        let at = lock(&self.contact).unwrap_or(Time::ZERO);
        self.now().since(at)
    }

    /// Records that the platform was reachable `age` ago.
    pub fn contacted(&self, age: Duration) {
        let now = self.now().as_millis();
        let at = now.saturating_sub(age.as_millis() as u64);
        let mut contact = lock(&self.contact);
        let at = contact.unwrap_or(Time::ZERO).max(Time::from_millis(at));
        *contact = Some(at);
    }

    /// Sets the serving status in the reports, unless the process is leaving.
    ///
    /// `share` is the part of the wanted chunks that is held, per mille;
    /// `rate` is the fetch rate in kilobytes per second.
    pub fn set_serving_status(
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
        *standing = ServingStatus {
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

    /// Marks this process as leaving: it takes no new work from now on.
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

    /// Returns whether this process has been marked as leaving.
    pub fn leaving(&self) -> bool {
        *lock(&self.standing).state == *Report::LEAVING
    }

    /// Returns whether this process has caught up with its peers.
    pub fn is_caught_up(&self) -> bool {
        *self.caught_up.borrow()
    }

    /// Waits until this process has caught up with its peers.
    pub async fn wait_caught_up(&self) {
        let mut caught_up = self.caught_up.subscribe();
        let _ = caught_up.wait_for(|caught_up| *caught_up).await;
    }

    /// Records that this process has caught up with its peers.
    pub(super) fn set_caught_up(&self) {
        self.caught_up.send_replace(true);
    }

    /// Returns the serving state of this process.
    pub fn state(&self) -> Arc<str> {
        Arc::clone(&lock(&self.standing).state)
    }

    /// Sets the number of requests in progress.
    pub fn set_load(&self, requests: usize) {
        self.load.store(requests as u64, Ordering::Relaxed);
    }

    /// Returns the number of requests in progress.
    pub fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed) as u32
    }

    /// Returns the current report of this process.
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

    /// Returns the report of this process, followed by the newest report of
    /// each known peer.
    pub fn reports(&self) -> Vec<Report> {
        let mut reports = vec![self.report()];
        for received in self.peers().iter() {
            reports.push(received.report.clone());
        }
        reports
    }

    /// Checks that an operator's order is based on the revision in force.
    ///
    /// # Errors
    ///
    /// [`Code::StaleOrder`] if it is based on an older one.
    pub fn check_based_on(&self, based_on: u64) -> Result<(), Error> {
        let revision = self.view().revision();
        if based_on >= revision {
            return Ok(());
        }
        Err(Error::new(
            Code::StaleOrder,
            format_args!("based on {based_on}, in force: {revision}"),
        ))
    }

    /// Stores a peer's report, and starts to pull each document of which the
    /// peer has a newer revision.
    pub fn receive_report(self: &Arc<Node>, report: Report) {
        lock(&self.clock).observe(report.clock);
        self.contacted(report.contact);
        self.receive_news(News {
            config: report.config,
            listing: report.listing,
            control: report.control,
        });
        let now = self.now();
        self.peers().record(report, now);
    }

    /// Starts an exchange of reports with a process in the background.
    pub fn meet(self: &Arc<Node>, addr: SocketAddr) {
        let node = Arc::clone(self);
        self.detach(async move { super::gossip::meet(&node, addr).await });
    }

    /// Returns the other live instances of the list: those of the own data
    /// hall if `near`, else those of all other data halls.
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

    /// Returns the control address of an instance, from the instance list or
    /// else from its newest report.
    pub fn control_of(&self, name: &str) -> Option<SocketAddr> {
        let view = self.view();
        let listed = view.listing.get(name).map(|i| i.control);
        listed.or_else(|| self.peers().control(name))
    }

    fn tick(&self) -> u64 {
        lock(&self.clock).tick(wall())
    }

    /// Logs an event of the timeline as a line of JSON.
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

/// Locks a mutex, ignoring poisoning: each critical section in this module
/// replaces values as a whole, so a panic leaves none partly changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
