//! Whether an answer that has ended is complete.
//!
//! The end of an answer without a length or chunks is that of its connection,
//! which looks the same if the replica's process has ended in between.

use hyper::header::HeaderMap;
use stairhinge::direct::Replica;

use super::Forwarder;
use crate::connect::is_running;
use crate::hop_headers::is_framed;
use crate::request_context::RequestContext;

/// How an answer has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    /// It is complete.
    Complete,
    /// It ended with its connection, and it is not known whether the replica
    /// has ended.
    Unknown,
    /// It ended with its connection, as the replica's process did.
    Cut,
}

impl Ending {
    /// The reason to log for an answer that was cut.
    pub(crate) const CUT_REASON: &str =
        "the answer ended with its connection, as the replica did";
}

impl Forwarder {
    /// Returns how an answer with these headers has ended, the body of which
    /// has been read to its end.
    pub(crate) async fn ending(
        &self,
        headers: &HeaderMap,
        replica: &Replica,
    ) -> Ending {
        if is_framed(headers) {
            return Ending::Complete;
        }
        match is_running(replica.addr).await {
            Some(true) => Ending::Complete,
            // One that leaves may have ended because it had answered, or in
            // the middle of the answer.
            Some(false) => Ending::Cut,
            None => Ending::Unknown,
        }
    }

    /// Records that a request has been answered. Only an answer that is known
    /// to be complete speaks for the request.
    pub(crate) fn record_ending(
        &self,
        context: &RequestContext,
        ending: Ending,
    ) {
        match ending {
            Ending::Complete => self.poison.record_answer(context),
            Ending::Unknown | Ending::Cut => self.poison.finish_run(context),
        }
    }
}
