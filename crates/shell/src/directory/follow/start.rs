//! When a process that has just started first reads routes.
//!
//! After a loss of everything all processes start at once, and the document
//! of routes is large: 150 entries that read it over links between regions
//! fill them for seconds. The list of replicas is small; through it an entry
//! hears of its neighbours, and those that lead the hall read for the others.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::{Asked, Follower};
use crate::directory::Collection;

/// How long the list of replicas is waited for: it says how large the fleet
/// is. It comes within 0.2 s where links are free.
const FIRST_LIST: Duration = Duration::from_millis(1_000);

/// The longest hold for each listed replica. The whole span is drawn at
/// random; agents tell of the neighbours within about 0.5 s. With 200
/// replicas 5 of a hall's 30 entries read before that, with 20 replicas
/// nobody waits longer than 0.3 s.
const EACH_REPLICA: Duration = Duration::from_millis(15);

/// How often is looked whether the hold is over.
const LOOK: Duration = Duration::from_millis(20);

impl Follower {
    /// Waits with the first reading of routes until others can be asked, or
    /// until it is this process's turn to read.
    pub(super) async fn hold_back(&mut self) {
        if self.follow.collection != Collection::Declarations {
            return;
        }
        let Some(sharing) = self.follow.sharing.clone() else { return };
        let begun = Instant::now();
        let part: f64 = rand::rng().random();
        loop {
            if sharing.reader.leads()
                || matches!(self.ask_hall().await, Asked::Told)
            {
                return;
            }
            let listed = self.facts.view().replicas.len();
            let hold = match u32::try_from(listed) {
                Ok(0) => FIRST_LIST,
                Ok(listed) => (EACH_REPLICA * listed).mul_f64(part),
                Err(_) => return,
            };
            if begun.elapsed() >= hold {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}
