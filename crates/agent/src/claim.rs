//! Claiming the idempotency key of a request that must not run twice.
//!
//! The key is claimed by the agent that is to run the request, not by the
//! entry. An entry that is suspended while it holds a grant could resume after
//! the key's window and cause a second run (`docs/MODEL.md` has the trace).
//! The agent claims the key after it has received the request, and a lease
//! limits the time between the claim and sending to the backend server.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::request::{Attempt, Key, KeyTable};
use stairhinge::serving::Lease;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::control::{ClaimRequest, Control as _};
use stairhinge_shell::http::Failed;

use crate::Agent;

/// How many times a claim is sent while the guard's configuration differs.
const MAX_CLAIMS: usize = 8;

/// The delay before a claim is repeated.
const CLAIM_DELAY: Duration = Duration::from_millis(50);

/// The retry delay returned to the caller if a guard is unreachable.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// A key granted to an attempt, with the lease within which the request must
/// be sent.
pub(crate) struct HeldKey {
    key: Key,
    holder: Arc<str>,
    guard: Arc<str>,
    lease: Lease,
}

impl HeldKey {
    /// Checks that the lease of the grant has not expired.
    pub(crate) fn check_lease(&self, agent: &Agent) -> Result<(), Failed> {
        if self.lease.is_valid(agent.node.now()) {
            return Ok(());
        }
        let why =
            format!("the lease of the grant for key {} has expired", self.key);
        Err(guard_unreachable(&why))
    }
}

impl Agent {
    /// Claims a key for an attempt from the key's guard.
    pub(crate) async fn claim_key(
        &self,
        key: &Key,
        attempt: &Attempt,
    ) -> Result<HeldKey, Failed> {
        let holder: Arc<str> = Arc::from(attempt.as_str());
        for _ in 0..MAX_CLAIMS {
            let view = self.node.view();
            let Some(fleet) = view.fleet.as_ref() else { break };
            let Some(guard) = self.guard_history().guard(key) else { break };
            let lease_time = self.settings.values.millis("lease_ms");
            let lease_time =
                lease_time.min(KeyTable::lease_duration(fleet.key_window()));
            let held = HeldKey {
                key: key.clone(),
                holder: Arc::clone(&holder),
                guard: Arc::clone(&guard),
                lease: Lease::new(self.node.now(), lease_time),
            };
            let ask = ClaimRequest {
                key: key.clone(),
                holder: Arc::clone(&holder),
                revision: fleet.revision(),
                former: false,
            };
            let grant = if guard == self.node.identity().name {
                Ok(self.claim(ask).await)
            } else {
                let Some(addr) = self.node.control_of(&guard) else {
                    return Err(guard_unreachable(&format!(
                        "the address of guard {guard} is unknown"
                    )));
                };
                let timeout = self.settings.values.millis("claim_ms");
                self.node.wire().claim(addr, timeout, ask).await
            };
            let Ok(grant) = grant else {
                // The guard may have granted the key although its answer was
                // lost, so the key is released.
                self.settle_key(held, Ran::DidNotRun);
                return Err(guard_unreachable(&format!(
                    "guard {guard} did not answer"
                )));
            };
            let (err, wait) = match grant.result {
                Ok(()) => return Ok(held),
                Err(refused) => refused,
            };
            match err.code() {
                Code::Behind | Code::NotGuard => {
                    // One of the two agents has an older configuration.
                    // Exchanging reports brings it up to date.
                    if let Some(addr) = self.node.control_of(&guard) {
                        self.node.meet(addr);
                    }
                    tokio::time::sleep(CLAIM_DELAY).await;
                }
                Code::GuardUnreachable => {
                    self.settle_key(held, Ran::DidNotRun);
                    return Err(Failed::new(err).with_retry_after(wait));
                }
                _ if wait.is_zero() => return Err(Failed::new(err)),
                _ => return Err(Failed::new(err).with_retry_after(wait)),
            }
        }
        Err(guard_unreachable(
            "no guard granted the key under this configuration",
        ))
    }

    /// Reports to the key's guard, in the background, whether the request ran.
    pub(crate) fn settle_key(&self, held: HeldKey, ran: Ran) {
        let HeldKey { key, holder, guard, .. } = held;
        if guard == self.node.identity().name {
            self.settle(&key, &holder, ran);
            return;
        }
        let Some(addr) = self.node.control_of(&guard) else { return };
        let node = Arc::clone(&self.node);
        let timeout = self.settings.values.millis("claim_ms");
        self.node.detach(async move {
            let settled = node.wire().settle(addr, timeout, key, holder, ran);
            if let Err(err) = settled.await {
                log::debug!("cannot settle a key at its guard: {err}");
            }
        });
    }
}

fn guard_unreachable(why: &str) -> Failed {
    Failed::new(Error::new(Code::GuardUnreachable, why))
        .with_retry_after(RETRY_AFTER)
}
