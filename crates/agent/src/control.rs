//! The control calls that an agent answers.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Kind, Seen};
use stairhinge::request::{Attempt, ClaimDecision, Key};
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::control::{
    ClaimRequest, Control, Grant, News, PoisonUpdate, Pulled, Report,
};

use crate::Agent;

/// The timeout for a call to a former guard of a key.
const FORMER_TIMEOUT: Duration = Duration::from_millis(500);

impl Control for Agent {
    fn exchange(&self, from: Report) -> Report {
        let now = self.node.now();
        self.guard_history().record_revision(
            &from.name,
            from.config.revision(),
            now,
        );
        self.node.receive_report(from);
        self.node.report()
    }

    fn pull(&self, kind: Kind, holds: Seen) -> Option<Pulled> {
        self.node.newer_document(kind, holds)
    }

    fn news(&self, from: News) -> News {
        self.node.receive_news(from);
        self.node.news()
    }

    fn poison(&self, from: PoisonUpdate) -> PoisonUpdate {
        self.node.receive_poison(from)
    }

    fn revoke(&self, attempt: &Attempt, incarnation: u64) -> Ran {
        let now = self.node.now();
        let ran = self.attempts().revoke(attempt, incarnation, now);
        let fields = [("attempt", attempt.as_str()), ("ran", ran.as_str())];
        self.node.event("request.revoked", &fields);
        ran
    }

    fn claim(&self, ask: ClaimRequest) -> BoxFuture<'static, Grant> {
        let revision = self.node.view().revision();
        let guard = self.guard_history().guard(&ask.key);
        let name = &self.node.identity().name;
        if revision == 0 {
            let why = "the guard has no configuration yet";
            let grant = Grant::refused(Code::Behind, why, revision);
            return futures::future::ready(grant).boxed();
        }
        if !ask.former {
            if ask.revision > revision {
                let why = "the guard's configuration is older";
                let grant = Grant::refused(Code::Behind, why, revision);
                return futures::future::ready(grant).boxed();
            }
            if guard.as_ref() != Some(name) {
                let why = "another backend server guards this key";
                let grant = Grant::refused(Code::NotGuard, why, revision);
                return futures::future::ready(grant).boxed();
            }
        }
        let window = self.key_window();
        let now = self.node.now();
        let former_guards =
            self.guard_history().former_guards(&ask.key, name, window, now);
        if ask.former || former_guards.is_empty() {
            let grant = self.grant(&ask, revision);
            return futures::future::ready(grant).boxed();
        }
        self.ask_former_guards(ask, former_guards, revision)
    }

    fn settle(&self, key: &Key, holder: &str, ran: Ran) {
        self.keys().settle(key, holder, ran);
        let fields =
            [("key", key.as_str()), ("holder", holder), ("ran", ran.as_str())];
        self.node.event("request.settle", &fields);
        let name = &self.node.identity().name;
        let now = self.node.now();
        let former_guards = self.guard_history().former_guards(
            key,
            name,
            self.key_window(),
            now,
        );
        for former in former_guards {
            let Some(addr) = self.node.control_of(&former) else { continue };
            let node = Arc::clone(&self.node);
            let (key, holder) = (key.clone(), Arc::from(holder));
            self.node.detach(async move {
                let wire = node.wire();
                let settled =
                    wire.settle(addr, FORMER_TIMEOUT, key, holder, ran).await;
                if let Err(err) = settled {
                    log::debug!(
                        "cannot settle a key at a former guard: {err}"
                    );
                }
            });
        }
    }

    fn reports(&self) -> Vec<Report> {
        self.node.reports()
    }

    fn explain(&self, version: &str) -> Vec<String> {
        let progress = self.progress();
        if *progress.version != *version {
            return vec![format!(
                "version {version} is not assigned here; assigned: \"{}\"",
                progress.version
            )];
        }
        let mut lines = progress.stats.lines();
        lines.extend(progress.lines.iter().cloned());
        lines
    }

    fn drain(&self, based_on: u64) -> Result<(), Error> {
        self.node.check_based_on(based_on)?;
        self.leave();
        Ok(())
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.node.view().fleet.clone()
    }
}

impl Agent {
    fn key_window(&self) -> Duration {
        let view = self.node.view();
        view.fleet.as_ref().map_or(Duration::MAX, |f| f.key_window())
    }

    fn grant(&self, ask: &ClaimRequest, revision: u64) -> Grant {
        let now = self.node.now();
        let claim = self.keys().claim(&ask.key, &ask.holder, now);
        let (word, result) = match claim {
            ClaimDecision::Granted => ("granted", Ok(())),
            ClaimDecision::Refused(err, wait) => {
                (err.code().name(), Err((err, wait)))
            }
        };
        let fields = [
            ("key", ask.key.as_str()),
            ("holder", &ask.holder),
            ("word", word),
        ];
        self.node.event("request.claim", &fields);
        Grant { result, revision }
    }

    /// Grants a key only if all of its former guards grant it, too.
    fn ask_former_guards(
        &self,
        ask: ClaimRequest,
        former_guards: Vec<Arc<str>>,
        revision: u64,
    ) -> BoxFuture<'static, Grant> {
        // The key is granted here first, so that of two concurrent claims
        // only one is passed on to the former guards.
        let own = self.grant(&ask, revision);
        if own.result.is_err() {
            return futures::future::ready(own).boxed();
        }
        let node = Arc::clone(&self.node);
        let mut addrs = Vec::new();
        for name in former_guards {
            let addr = node.control_of(&name);
            addrs.push((name, addr));
        }
        async move {
            let question = ClaimRequest { former: true, ..ask };
            for (name, addr) in addrs {
                let Some(addr) = addr else {
                    return former_unreachable(&name, revision);
                };
                let question = question.clone();
                match node.wire().claim(addr, FORMER_TIMEOUT, question).await {
                    Ok(Grant { result: Ok(()), .. }) => {}
                    Ok(refused) => return Grant { revision, ..refused },
                    Err(_) => return former_unreachable(&name, revision),
                }
            }
            own
        }
        .boxed()
    }
}

fn former_unreachable(name: &str, revision: u64) -> Grant {
    let why = format!("the key's former guard {name} is unreachable");
    let err = Error::new(Code::GuardUnreachable, why);
    Grant { result: Err((err, Duration::from_secs(5))), revision }
}
