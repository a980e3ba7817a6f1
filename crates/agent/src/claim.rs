//! Having a key granted before a request that must not repeat runs here.
//!
//! The agent that is to run the request claims its key, and not the entry: an
//! entry frozen with a grant in hand could wake after the key's window and
//! have the request run a second time (`docs/MODEL.md` has the trace). The
//! claim is made after the request has arrived, and a lease bounds the time
//! from there to the backend server.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::request::{Attempt, Key, KeyTable};
use stairhinge::serving::Lease;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::control::{ClaimAsk, Control as _};
use stairhinge_shell::http::Failed;

use crate::Agent;

/// How often a claim is repeated while configurations differ.
const TRIES: usize = 8;

/// The pause before that.
const PAUSE: Duration = Duration::from_millis(50);

/// When to come back if a guard cannot be reached.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// A key that was granted to an attempt, and until when that may be used.
pub(crate) struct Held {
    key: Key,
    holder: Arc<str>,
    guard: Arc<str>,
    lease: Lease,
}

impl Held {
    /// Checks that the grant is fresh enough to be acted on.
    pub(crate) fn check(&self, agent: &Agent) -> Result<(), Failed> {
        if self.lease.is_valid(agent.node.now()) {
            return Ok(());
        }
        let why = format!("the grant of key {} has grown old", self.key);
        Err(unreachable(&why))
    }
}

impl Agent {
    /// Claims a key for an attempt from the key's guard.
    pub(crate) async fn have(
        &self,
        key: &Key,
        attempt: &Attempt,
    ) -> Result<Held, Failed> {
        let holder: Arc<str> = Arc::from(attempt.as_str());
        for _ in 0..TRIES {
            let view = self.node.view();
            let Some(fleet) = view.fleet.as_ref() else { break };
            let Some(guard) = self.rings().guard(key) else { break };
            let span = self.settings.values.millis("lease_ms");
            let span = span.min(KeyTable::lease_duration(fleet.key_window()));
            let held = Held {
                key: key.clone(),
                holder: Arc::clone(&holder),
                guard: Arc::clone(&guard),
                lease: Lease::new(self.node.now(), span),
            };
            let ask = ClaimAsk {
                key: key.clone(),
                holder: Arc::clone(&holder),
                revision: fleet.revision(),
                former: false,
            };
            let grant = if guard == self.node.identity().name {
                Ok(self.claim(ask).await)
            } else {
                let Some(addr) = self.node.control_of(&guard) else {
                    return Err(unreachable(&format!("no guard {guard}")));
                };
                let within = self.settings.values.millis("claim_ms");
                self.node.wire().claim(addr, within, ask).await
            };
            let Ok(grant) = grant else {
                // It may have been granted unheard; given back if so.
                self.give(held, Ran::DidNotRun);
                return Err(unreachable(&format!("guard {guard}")));
            };
            let (err, wait) = match grant.result {
                Ok(()) => return Ok(held),
                Err(refused) => refused,
            };
            match err.code() {
                Code::Behind | Code::NotGuard => {
                    // One of the two has the newer configuration.
                    if let Some(addr) = self.node.control_of(&guard) {
                        self.node.meet(addr);
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                Code::GuardUnreachable => {
                    self.give(held, Ran::DidNotRun);
                    return Err(Failed::new(err).with_back(wait));
                }
                _ if wait.is_zero() => return Err(Failed::new(err)),
                _ => return Err(Failed::new(err).with_back(wait)),
            }
        }
        Err(unreachable("no guard under this configuration"))
    }

    /// Tells a key's guard how the request ended, in the background.
    pub(crate) fn give(&self, held: Held, ran: Ran) {
        let Held { key, holder, guard, .. } = held;
        if guard == self.node.identity().name {
            self.settle(&key, &holder, ran);
            return;
        }
        let Some(addr) = self.node.control_of(&guard) else { return };
        let node = Arc::clone(&self.node);
        let within = self.settings.values.millis("claim_ms");
        self.node.detach(async move {
            let told = node.wire().settle(addr, within, key, holder, ran);
            if let Err(err) = told.await {
                log::debug!("settle: {err}");
            }
        });
    }
}

fn unreachable(why: &str) -> Failed {
    Failed::new(Error::new(Code::GuardUnreachable, why)).with_back(RETRY_AFTER)
}
