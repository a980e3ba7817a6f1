//! What entries tell one another of poisoned requests.

use serde::{Deserialize, Serialize};

use super::PoisonRecord;

/// One message; each fits into a datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoisonMessage {
    /// What has just changed. Nothing is answered.
    Changed(Vec<PoisonRecord>),
    /// Asks for what the sender may lack, whose table has this digest.
    Digest(u64),
    /// Answers a digest that differs: the digest of the sender's table, and
    /// records of it. What the receiver has beside them it sends back as
    /// [`PoisonMessage::Changed`].
    Differs {
        /// Of the whole table.
        digest: u64,
        /// Part of it.
        records: Vec<PoisonRecord>,
    },
}

impl PoisonMessage {
    /// The most records in one message: with the longest names of three
    /// replicas each takes 350 bytes of JSON, and a datagram 4,096 at most.
    pub const MAX_RECORDS: usize = 8;
}
