//! Taking published documents, from the platform and from peers.

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

/// Both documents as far as they have been taken.
#[derive(Debug)]
pub(super) struct Documents {
    config: LatestDocument,
    listing: LatestDocument,
}

impl Documents {
    /// Returns documents of which none is held; of the declaration, nothing
    /// below a revision is taken.
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
    /// Returns what leads from what a peer holds to the document in force, if
    /// that is newer.
    pub fn lead(&self, kind: Kind, holds: Seen) -> Option<Pulled> {
        let documents = lock(&self.documents);
        let acceptance = documents.of(kind);
        let held = acceptance.current()?;
        if held.revision() <= holds.revision() {
            return None;
        }
        Some(match acceptance.delta(holds) {
            Some(delta) => Pulled::Delta(delta),
            None => Pulled::Whole(held.clone()),
        })
    }

    /// Returns how far this process has got with a document.
    pub fn seen(&self, kind: Kind) -> Seen {
        lock(&self.documents).of(kind).seen()
    }

    /// Returns how far this process has got with both documents.
    pub fn news(&self) -> News {
        News {
            config: self.seen(Kind::Config),
            listing: self.seen(Kind::Listing),
            control: Some(self.identity().control),
        }
    }

    /// Takes in how far a peer has got, and pulls what it has newer.
    pub fn hear_news(self: &Arc<Node>, news: News) {
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

    /// Takes a document if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// [`Code::OlderRevision`], [`Code::OtherDigest`], or the code of the
    /// first fault if it does not check.
    pub fn take(
        &self,
        kind: Kind,
        document: Document,
        from: &str,
    ) -> Result<OfferOutcome, Error> {
        let mut documents = lock(&self.documents);
        let acceptance = match kind {
            Kind::Config => &mut documents.config,
            Kind::Listing => &mut documents.listing,
        };
        let judged = acceptance.check(document.seen());
        match &judged {
            Ok(OfferOutcome::Accepted) => {}
            Ok(OfferOutcome::Unchanged) => return judged,
            Err(err) => {
                if err.code() == Code::OtherDigest {
                    self.event("config.conflict", &[("from", from)]);
                }
                return judged;
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
        acceptance.offer(document)?;
        // Still under the lock, so that views are replaced in order.
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
        let within = Duration::from_secs(5);
        let holds = self.seen(kind);
        let mut pulled = self.wire().pull(addr, within, kind, holds).await;
        if let Ok(Some(Pulled::Delta(delta))) = &pulled {
            // Another peer may have been quicker; then the base is gone, and
            // the whole document is asked for.
            let held = lock(&self.documents).of(kind).current().cloned();
            let whole = held.map(|old| delta.apply(&old));
            pulled = match whole {
                Some(Ok(document)) => Ok(Some(Pulled::Whole(document))),
                _ if self.seen(kind).revision() >= delta.to().revision() => {
                    Ok(None)
                }
                _ => {
                    let nothing = Seen::nothing();
                    self.wire().pull(addr, within, kind, nothing).await
                }
            };
        }
        match pulled {
            Ok(Some(Pulled::Whole(document))) => {
                let from = addr.to_string();
                if let Err(err) = self.take(kind, document, &from) {
                    log::debug!("from {addr}: {err}");
                }
            }
            Ok(_) => {}
            Err(err) => log::debug!("pull: {err}"),
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
