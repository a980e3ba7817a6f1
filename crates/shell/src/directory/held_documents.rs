//! A cache of recent routes documents and of patches between them.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use stairhinge::document::Patch;

use crate::packed::pack;

/// The maximum number of documents held, and of patches.
const MAX_HELD: usize = 8;

/// The routes document of a revision.
#[derive(Clone, Debug)]
pub(super) struct HeldDocument {
    pub revision: u64,
    pub text: Arc<str>,
    /// The text in packed form.
    pub packed: Bytes,
}

/// A patch from one revision of the routes to another.
#[derive(Debug)]
struct HeldPatch {
    from: u64,
    to: u64,
    patch: Arc<Patch>,
}

/// Recent documents, and patches between them. Patches are cached because
/// many processes ask for the same one at the same time.
#[derive(Debug, Default)]
pub(super) struct HeldDocuments {
    documents: VecDeque<HeldDocument>,
    patches: VecDeque<HeldPatch>,
}

impl HeldDocuments {
    /// Stores the document of a revision and returns it; `None` if it isn't
    /// valid UTF-8.
    pub(super) fn hold(
        &mut self,
        revision: u64,
        document: &[u8],
    ) -> Option<HeldDocument> {
        if let Some(held) = self.document(revision) {
            return Some(held.clone());
        }
        let text = std::str::from_utf8(document).ok()?.into();
        let held = HeldDocument { revision, text, packed: pack(document) };
        if self.documents.len() >= MAX_HELD {
            self.documents.pop_front();
        }
        self.documents.push_back(held.clone());
        Some(held)
    }

    /// Returns the patch from revision `from` to `newest`, if the document of
    /// `from` is still held.
    pub(super) fn patch(
        &mut self,
        from: u64,
        newest: &HeldDocument,
    ) -> Option<Arc<Patch>> {
        let to = newest.revision;
        let mut held = self.patches.iter();
        if let Some(held) = held.find(|p| p.from == from && p.to == to) {
            return Some(Arc::clone(&held.patch));
        }
        let old = self.document(from)?;
        let patch = Arc::new(Patch::between(&old.text, &newest.text));
        if self.patches.len() >= MAX_HELD {
            self.patches.pop_front();
        }
        let held = HeldPatch { from, to, patch: Arc::clone(&patch) };
        self.patches.push_back(held);
        Some(patch)
    }

    fn document(&self, revision: u64) -> Option<&HeldDocument> {
        self.documents.iter().find(|h| h.revision == revision)
    }
}
