//! Accepts published documents from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::declaration::Fleet;
use stairhinge::document::{
    Document, Kind, LatestDocument, Listing, OfferOutcome, Seen,
};
use stairhinge::{Code, Error};

use super::state::{Node, lock};
use super::view::View;
use crate::control::{News, Pulled};

/// The newest accepted revisions of both documents.
#[derive(Debug)]
pub(super) struct Documents {
    config: LatestDocument,
    listing: LatestDocument,
}

impl Documents {
    /// Returns an empty state that rejects declarations with a revision below
    /// `floor`.
    pub(super) fn above(floor: u64) -> Documents {
        Documents {
            config: LatestDocument::with_min_revision(floor),
            listing: LatestDocument::new(),
        }
    }

    pub(super) fn of(&self, kind: Kind) -> &LatestDocument {
        match kind {
            Kind::Config => &self.config,
            Kind::Listing => &self.listing,
        }
    }
}

impl Node {
    /// Returns the document in force, as a delta where possible, if it is
    /// newer than the revision that a peer holds.
    pub fn newer_document(&self, kind: Kind, holds: Seen) -> Option<Pulled> {
        let documents = lock(&self.documents);
        let latest = documents.of(kind);
        let held = latest.current()?;
        if held.revision() <= holds.revision() {
            return None;
        }
        Some(match latest.delta(holds) {
            Some(delta) => Pulled::Delta(delta),
            None => Pulled::Whole(held.clone()),
        })
    }

    /// Returns the revision and digest of the document in force.
    pub fn seen(&self, kind: Kind) -> Seen {
        lock(&self.documents).of(kind).seen()
    }

    /// Returns the revisions and digests of both documents.
    pub fn news(&self) -> News {
        News {
            config: self.seen(Kind::Config),
            listing: self.seen(Kind::Listing),
            control: Some(self.identity().control),
        }
    }

    /// Compares a peer's revisions with those in force here, and starts to
    /// pull each newer document.
    ///
    /// Logs a conflict if the same revision has a different digest.
    pub fn receive_news(self: &Arc<Node>, news: News) {
        let Some(addr) = news.control else { return };
        for (kind, theirs) in
            [(Kind::Config, news.config), (Kind::Listing, news.listing)]
        {
            let mine = self.seen(kind);
            let (new, old) = (theirs.revision(), mine.revision());
            if new == old && theirs.digest() != mine.digest() && new > 0 {
                let from = addr.to_string();
                self.event("config.conflict", &[("from", &from)]);
            }
            if new > old {
                let node = Arc::clone(self);
                self.detach(async move { node.pull(addr, kind).await });
            }
        }
    }

    /// Accepts a document if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// [`Code::OlderRevision`] or [`Code::OtherDigest`] if its revision or
    /// digest conflicts, or the code of the first error in its content.
    pub fn take(
        &self,
        kind: Kind,
        document: Document,
        from: &str,
    ) -> Result<OfferOutcome, Error> {
        let mut documents = lock(&self.documents);
        let latest = match kind {
            Kind::Config => &mut documents.config,
            Kind::Listing => &mut documents.listing,
        };
        let checked = latest.check(document.seen());
        match &checked {
            Ok(OfferOutcome::Accepted) => {}
            Ok(OfferOutcome::Unchanged) => return checked,
            Err(err) => {
                if err.code() == Code::OtherDigest {
                    self.event("config.conflict", &[("from", from)]);
                }
                return checked;
            }
        }
        let mut view = View::clone(&self.view.load());
        match kind {
            Kind::Config => view.fleet = Some(read_fleet(&document)?),
            Kind::Listing => {
                let listing = Listing::parse(document.bytes())?;
                view.listing = Arc::new(listing);
            }
        }
        let revision = document.revision();
        latest.offer(document)?;
        // Stored while the lock is held, so that views are replaced in the
        // order of their revisions.
        self.view.store(Arc::new(view));
        drop(documents);
        if kind == Kind::Config {
            self.metrics().revision.set(revision as i64);
        }
        let text = revision.to_string();
        let event = format!("{}.taken", kind.as_str());
        self.event(&event, &[("revision", &text), ("from", from)]);
        self.changed.send_modify(|n| *n += 1);
        Ok(OfferOutcome::Accepted)
    }

    /// Pulls a document from a peer that has a newer one.
    pub async fn pull(self: Arc<Node>, addr: SocketAddr, kind: Kind) {
        let timeout = Duration::from_secs(5);
        let holds = self.seen(kind);
        let mut pulled = self.wire().pull(addr, timeout, kind, holds).await;
        if let Ok(Some(Pulled::Delta(delta))) = &pulled {
            // A concurrent pull from another peer may have replaced the base
            // of the delta. Unless that brought this revision or a newer one,
            // the whole document is requested.
            let held = lock(&self.documents).of(kind).current().cloned();
            let whole = held.map(|old| delta.apply(&old));
            pulled = match whole {
                Some(Ok(document)) => Ok(Some(Pulled::Whole(document))),
                _ if self.seen(kind).revision() >= delta.to().revision() => {
                    Ok(None)
                }
                _ => {
                    let nothing = Seen::nothing();
                    self.wire().pull(addr, timeout, kind, nothing).await
                }
            };
        }
        match pulled {
            Ok(Some(Pulled::Whole(document))) => {
                let from = addr.to_string();
                if let Err(err) = self.take(kind, document, &from) {
                    log::debug!("rejected document from {addr}: {err}");
                }
            }
            Ok(_) => {}
            Err(err) => log::debug!("cannot pull document: {err}"),
        }
    }
}

fn read_fleet(document: &Document) -> Result<Arc<Fleet>, Error> {
    let text = std::str::from_utf8(document.bytes())
        .map_err(|e| Error::new(Code::BadYaml, e))?;
    let fleet = Fleet::parse(text).map_err(|f| f.into_error())?;
    if fleet.revision() != document.revision() {
        return Err(Error::range(
            "revision",
            fleet.revision(),
            document.revision(),
        ));
    }
    Ok(Arc::new(fleet))
}
