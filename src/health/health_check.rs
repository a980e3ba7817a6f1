//! Whether a replica's health limits a request to it.

use super::{ReplicaHealth, Standing};
use crate::Time;

/// How the outcomes of a replica's requests limit a request to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthCheck {
    /// They do not.
    Passed,
    /// It may get this request as a trial.
    Trial,
    /// It should get this request only if no other replica has capacity.
    Suspect,
    /// It should get no requests.
    Ejected,
    /// It has as many requests as it may have shortly after its return.
    Full,
}

impl ReplicaHealth {
    /// Checks whether the outcomes limit a request. `repeatable` tells whether
    /// the request can be sent to another replica if this one fails, `near`
    /// whether the replica, which has `running` of the chooser's requests and
    /// `slots`, is in the chooser's data hall.
    pub fn check(
        &self,
        repeatable: bool,
        near: bool,
        running: u32,
        slots: u32,
        now: Time,
    ) -> HealthCheck {
        let max = self.max_requests(slots, now);
        match self.standing(now) {
            Standing::OnTrial if repeatable && self.wants_trial(now) => {
                HealthCheck::Trial
            }
            Standing::OnTrial | Standing::Ejected => HealthCheck::Ejected,
            _ if max.is_some_and(|max| running >= max) => HealthCheck::Full,
            // Without requests, a suspicion would stay unresolved.
            _ if repeatable
                && near
                && running == 0
                && self.is_in_doubt(now) =>
            {
                HealthCheck::Trial
            }
            _ if !near && self.is_in_doubt(now) => HealthCheck::Suspect,
            _ if !repeatable && self.is_suspect(now) => HealthCheck::Suspect,
            _ => HealthCheck::Passed,
        }
    }
}
