//! Reports between entries on the health of replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::Replica;
use stairhinge::health::{
    EjectionRoom, HealthReport, ReplicaHealth, ReportedStanding, Standing,
};
use stairhinge_shell::decisions::Decision;

use super::health::others;
use super::{Dispatcher, State};

/// The maximum number of reports that wait to be sent; further ones are
/// dropped.
const MAX_UNSENT: usize = 256;

/// By how much an exclusion has to become longer for a report of it to be
/// forwarded.
const MIN_EXTENSION: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Waits until there are reports to send.
    pub(crate) async fn health_changed(&self) {
        self.health_changed.notified().await;
    }

    /// Removes and returns the reports to send to other entries.
    pub(crate) fn take_health_reports(&self) -> Vec<HealthReport> {
        std::mem::take(&mut self.lock().health.unsent)
    }

    /// Returns reports on the replicas that this entry sends no requests, for
    /// an entry that has not heard of their ejections.
    pub(crate) fn current_ejections(&self) -> Vec<HealthReport> {
        let now = self.facts.now();
        let state = self.lock();
        let mut reports = Vec::new();
        for (replica, known) in &state.known {
            let until = known.outcomes.excluded_until();
            let Some(until) = until.filter(|until| *until > now) else {
                continue;
            };
            let since = known.outcomes.failing_since().unwrap_or(now);
            reports.push(HealthReport {
                replica: Arc::clone(replica),
                born: known.born,
                standing: ReportedStanding::ejected(until.since(now)),
                failing_ms: now.since(since).as_millis() as u64,
            });
        }
        reports
    }

    /// Adds a report on a replica to those to send.
    pub(super) fn report_health(
        &self,
        state: &mut State,
        replica: &Replica,
        standing: ReportedStanding,
        now: Time,
    ) {
        let Some(known) = state.known.get(&replica.incarnation) else {
            return;
        };
        let since = known.outcomes.failing_since().unwrap_or(now);
        if state.health.unsent.len() >= MAX_UNSENT {
            return;
        }
        state.health.unsent.push(HealthReport {
            replica: Arc::clone(&replica.incarnation),
            born: replica.born,
            standing,
            failing_ms: now.since(since).as_millis() as u64,
        });
        self.health_changed.notify_one();
    }

    /// Applies the report of another entry, unless this entry's own requests
    /// contradict it. Returns whether it changed anything.
    pub(crate) fn learn_health(
        &self,
        from: SocketAddr,
        report: &HealthReport,
    ) -> bool {
        if !self.tracks_health() {
            return false;
        }
        let view = self.facts.view();
        let Some((replica, _)) = view.replicas.get(&report.replica) else {
            return false;
        };
        if replica.born != report.born {
            return false;
        }
        let now = self.facts.now();
        let since = now.before(report.failing_for());
        let limits = self.health_limits(replica);
        let mut state = self.lock();
        let state = &mut *state;
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        known.reset_if_restarted(replica);
        let until = known.outcomes.excluded_until();
        let changed = match report.standing {
            ReportedStanding::Suspected => {
                known.outcomes.doubt_as_reported(since, now);
                false
            }
            ReportedStanding::Readmitted => {
                known.outcomes.readmit_as_reported(now)
            }
            ReportedStanding::Ejected { for_ms } => {
                let span = Duration::from_millis(for_ms);
                let near = replica.hall == self.hall;
                let span = limits.reported(span, near);
                let unused = ReplicaHealth::default();
                let own = state.known.get(&replica.incarnation);
                let own = own.map_or(&unused, |known| &known.outcomes);
                let others = others(state, &view, replica);
                let others = others
                    .map(|(name, health)| (name, health.unwrap_or(&unused)));
                let room = EjectionRoom::of(limits, own, others, now);
                let excluded = own.standing(now).is_excluded();
                if room != EjectionRoom::Free && !excluded {
                    return false;
                }
                let known = state.known.get_mut(&replica.incarnation);
                let Some(known) = known else { return false };
                known.outcomes.eject_as_reported(span, since, now)
            }
        };
        let known = state.known.get(&replica.incarnation);
        let Some(known) = known else { return false };
        let outcomes = &known.outcomes;
        let extended = outcomes.excluded_until().is_some_and(|at| {
            until.is_none_or(|before| at >= before.after(MIN_EXTENSION))
        });
        let readmitted = report.standing == ReportedStanding::Readmitted;
        if !changed || !(extended || readmitted) {
            return false;
        }
        let standing = outcomes.standing(now);
        state.health.reported += u64::from(extended && until.is_none());
        let until = outcomes.excluded_until().unwrap_or(now);
        self.facts.log().write(&Decision::ReplicaReported {
            replica: &replica.incarnation,
            from,
            excluded: standing == Standing::Ejected,
            for_ms: until.since(now).as_millis() as u64,
            failing_ms: report.failing_ms,
        });
        true
    }
}
