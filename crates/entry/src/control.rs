//! Answers control calls to an entry.

use std::sync::Arc;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Kind, Seen};
use stairhinge::request::{Attempt, Key};
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::control::{
    ClaimRequest, Control, Grant, News, PoisonUpdate, Pulled, Report,
};

use crate::Entry;

impl Control for Entry {
    fn exchange(&self, from: Report) -> Report {
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

    /// No attempts are sent to an entry, so it has no record of one and can't
    /// rule out that it ran.
    fn revoke(&self, _: &Attempt, _: u64) -> Ran {
        Ran::MayHaveRun
    }

    fn claim(&self, _: ClaimRequest) -> BoxFuture<'static, Grant> {
        let revision = self.node.view().revision();
        let why = "an entry guards no keys";
        let grant = Grant::refused(Code::NotGuard, why, revision);
        futures::future::ready(grant).boxed()
    }

    fn settle(&self, _: &Key, _: &str, _: Ran) {}

    fn reports(&self) -> Vec<Report> {
        self.node.reports()
    }

    fn explain(&self, _: &str) -> Vec<String> {
        vec!["an entry holds no weights".to_string()]
    }

    fn drain(&self, based_on: u64) -> Result<(), Error> {
        self.node.check_based_on(based_on)?;
        self.node.leave();
        Ok(())
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.node.view().fleet.clone()
    }
}
