//! Pages of a table, by which a process learns what another one knows.

use serde::{Deserialize, Serialize};

use super::{CrashReport, PoisonMessage, PoisonRecord};

/// Where a page begins: the numbers of records and of crashes before it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct PagePosition {
    /// Records before the page.
    pub record: u32,
    /// Crashes before the page.
    pub crash: u32,
}

impl PagePosition {
    /// Returns whether this is the beginning of the table.
    pub fn is_start(&self) -> bool {
        *self == PagePosition::default()
    }
}

/// A part of a table.
#[derive(Clone, Debug)]
pub struct TablePage {
    /// Records of requests.
    pub records: Vec<PoisonRecord>,
    /// Reports of crashes.
    pub crashes: Vec<CrashReport>,
    /// Where the next page begins; the beginning of the table after the last
    /// page.
    pub next: PagePosition,
}

impl TablePage {
    /// The number of records with the most crashes that begin each page, so
    /// that one message tells what matters most, whatever was lost before.
    pub(super) const FIRST_RECORDS: usize = PoisonMessage::MAX_RECORDS;

    /// The maximum number of records in a page.
    pub const MAX_RECORDS: usize = 4 * PoisonMessage::MAX_RECORDS;

    /// The number of messages that the reports of a page fill, unless the
    /// first report is larger.
    pub(super) const CRASH_MESSAGES: usize = 4;
}
