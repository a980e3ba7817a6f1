//! Having a key granted before a request that must not repeat runs.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::request::{Key, Ring};
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::control::ClaimAsk;
use stairhinge_shell::http::Failed;

use crate::Entry;

/// How often a claim is repeated while configurations differ.
const TRIES: usize = 8;

/// The pause before that.
const PAUSE: Duration = Duration::from_millis(50);

/// When to come back if a guard cannot be reached.
const BACK: Duration = Duration::from_secs(5);

/// A key that was granted to this entry.
pub(crate) struct Held {
    key: Key,
    holder: Arc<str>,
    guard: Arc<str>,
}

impl Entry {
    /// Claims a key from its guard.
    pub(crate) async fn claim(&self, key: &Key) -> Result<Held, Failed> {
        let holder: Arc<str> = Arc::from(self.attempt().as_str());
        for _ in 0..TRIES {
            let view = self.node.view();
            let Some(fleet) = view.fleet.as_ref() else { break };
            let Some(guard) = Ring::of(fleet).guard(key) else { break };
            let held = Held {
                key: key.clone(),
                holder: Arc::clone(&holder),
                guard: Arc::clone(&guard),
            };
            let Some(addr) = self.node.control_of(&guard) else {
                return Err(unreachable(&guard));
            };
            let ask = ClaimAsk {
                key: key.clone(),
                holder: Arc::clone(&holder),
                revision: fleet.revision(),
                former: false,
            };
            let within = self.millis("claim_ms");
            let grant = self.node.wire().claim(addr, within, ask).await;
            let Ok(grant) = grant else {
                // It may have been granted unheard; give it back if so.
                self.settle(held, Ran::DidNotRun);
                return Err(unreachable(&guard));
            };
            let (err, wait) = match grant.result {
                Ok(()) => return Ok(held),
                Err(refused) => refused,
            };
            match err.code() {
                Code::Behind | Code::NotGuard => {
                    // One of the two has the newer configuration.
                    self.node.meet(addr);
                    tokio::time::sleep(PAUSE).await;
                }
                Code::GuardUnreachable => {
                    self.settle(held, Ran::DidNotRun);
                    return Err(Failed::new(err).with_back(wait));
                }
                _ if wait.is_zero() => return Err(Failed::new(err)),
                _ => return Err(Failed::new(err).with_back(wait)),
            }
        }
        let why = format!("no guard for key {key} under this configuration");
        let err = Error::new(Code::GuardUnreachable, why);
        Err(Failed::new(err).with_back(BACK))
    }

    /// Tells a key's guard how the request ended, in the background.
    pub(crate) fn settle(&self, held: Held, ran: Ran) {
        let Some(addr) = self.node.control_of(&held.guard) else { return };
        let node = Arc::clone(&self.node);
        let within = self.millis("claim_ms");
        self.node.detach(async move {
            let Held { key, holder, .. } = held;
            let told = node.wire().settle(addr, within, key, holder, ran);
            if let Err(err) = told.await {
                log::debug!("settle: {err}");
            }
        });
    }
}

fn unreachable(guard: &str) -> Failed {
    let why = format!("guard {guard} cannot be reached");
    Failed::new(Error::new(Code::GuardUnreachable, why)).with_back(BACK)
}
