//! Messages between entries about poisoned requests.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{CrashReport, PagePosition, PoisonRecord, RunClaim};

/// A message, which fits into one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoisonMessage {
    /// Records that have just changed. There is no answer.
    Changed(Vec<PoisonRecord>),
    /// A claim to the only run of a request. The answer is that of a run in
    /// progress, if there is one.
    Claim(RunClaim),
    /// What has just become known of crashes. There is no answer.
    Crashes(Vec<CrashReport>),
    /// The digest of the sender's table; asks for records that the sender does
    /// not have.
    Digest(u64),
    /// The same from an entry of this hall.
    Compare {
        /// The digest of the sender's table.
        digest: u64,
        /// The hall of the sender.
        hall: Arc<str>,
        /// Where the page begins that the sender asks for.
        #[serde(default)]
        from: PagePosition,
        /// The number of the catch-up for which the sender asks, which the
        /// answer repeats, or 0 if it compares tables as usual.
        #[serde(default, skip_serializing_if = "is_zero")]
        catch_up: u64,
    },
    /// The answer to a [`PoisonMessage::Compare`] with the same digest, if the
    /// sender of that is catching up.
    Same {
        /// The number of its catch-up.
        catch_up: u64,
        /// Whether the sender of this is up to date.
        current: bool,
    },
    /// The answer to a digest that differs from that of the sender's table.
    /// The receiver answers with records of its own as
    /// [`PoisonMessage::Changed`] and [`PoisonMessage::Crashes`].
    Differs {
        /// The digest of the sender's whole table.
        digest: u64,
        /// Some of the records in that table.
        records: Vec<PoisonRecord>,
        /// Where the next page begins, in the last message of a page.
        #[serde(default)]
        next: Option<PagePosition>,
        /// The number of the receiver's catch-up, 0 if it is up to date.
        #[serde(default, skip_serializing_if = "is_zero")]
        catch_up: u64,
        /// Whether the sender is up to date.
        #[serde(default)]
        current: bool,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl PoisonMessage {
    /// The maximum number of records in one message. A record with three
    /// replica names of the maximum length takes 350 bytes of JSON, and a
    /// datagram holds at most 4,096 bytes.
    pub const MAX_RECORDS: usize = 8;
}
