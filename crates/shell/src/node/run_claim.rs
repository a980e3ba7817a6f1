//! Admission of runs, and claims to the only run of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::poison::{
    Admission, ClaimStage, Refusal, RequestFeatures, RunClaim, Suspicion,
};

use super::gossip::{near_peers, one_peer_per_hall};
use super::poison::exchange_with;
use super::state::Node;
use crate::control::PoisonUpdate;

/// How long others are not told that a run is over after it has begun, so that
/// this does not overtake the news of its beginning.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);

/// An admitted run of a request. If it must be the only one, others may begin
/// once this is dropped.
#[derive(Debug)]
pub struct AdmittedRun {
    /// The suspicion against the request when it was admitted.
    pub suspicion: Suspicion,
    claimed: Option<ClaimedRun>,
}

impl AdmittedRun {
    /// Returns whether it is the only run of the request.
    pub const fn is_claimed(&self) -> bool {
        self.claimed.is_some()
    }
}

/// A claim of this process, which is over once this is dropped.
#[derive(Debug)]
struct ClaimedRun {
    node: Arc<Node>,
    claim: RunClaim,
    /// When other processes were last told of it.
    told: Instant,
}

impl ClaimedRun {
    fn begin(node: &Arc<Node>, claim: RunClaim) -> ClaimedRun {
        let node = Arc::clone(node);
        let mut claimed = ClaimedRun { node, claim, told: Instant::now() };
        claimed.tell(ClaimStage::Asked);
        claimed
    }

    fn tell(&mut self, stage: ClaimStage) {
        self.told = Instant::now();
        self.node.tell_claim(RunClaim { stage, ..self.claim.clone() });
    }
}

impl Drop for ClaimedRun {
    fn drop(&mut self) {
        self.node.poison().end_claims(&self.claim);
        let node = Arc::clone(&self.node);
        let claim = RunClaim { stage: ClaimStage::Over, ..self.claim.clone() };
        let at = self.told + SETTLE_PERIOD;
        self.node.detach(async move {
            tokio::time::sleep_until(at.into()).await;
            node.tell_claim(claim);
        });
    }
}

impl Node {
    /// Admits a run of a request once this process has caught up with its
    /// peers. If it must be the only one, it is claimed among all entries
    /// first, which takes [`RunClaim::PERIOD`].
    ///
    /// # Errors
    ///
    /// The refusal, if the request may not be sent now.
    pub async fn admit_run(
        self: &Arc<Node>,
        features: &RequestFeatures,
    ) -> Result<AdmittedRun, Refusal> {
        self.wait_caught_up().await;
        loop {
            self.judge_poison();
            let (suspicion, claim) = self.begin_run(features)?;
            let Some(claim) = claim else {
                return Ok(AdmittedRun { suspicion, claimed: None });
            };
            let mut claimed = ClaimedRun::begin(self, claim);
            tokio::time::sleep(RunClaim::PERIOD).await;
            let begins = self.poison().begin_claimed_run(&claimed.claim);
            let request = features.request.to_string();
            let fields =
                [("fingerprint", &*request), ("begins", bool_name(begins))];
            self.event("poison.claimed", &fields);
            if begins {
                self.recheck(features, suspicion)?;
                claimed.tell(ClaimStage::Running);
                let claimed = Some(claimed);
                return Ok(AdmittedRun { suspicion, claimed });
            }
            // The better claim may be over by now.
        }
    }

    /// Admits a run, and returns the suspicion against the request and the
    /// claim to its only run.
    fn begin_run(
        &self,
        features: &RequestFeatures,
    ) -> Result<(Suspicion, Option<RunClaim>), Refusal> {
        let now = self.now();
        let mut table = self.poison();
        match table.admit_features(features, now) {
            Admission::Admitted(suspicion) => {
                let number = rand::random();
                let claim = table.begin_claim(features, number, now);
                Ok((suspicion, claim))
            }
            Admission::Refused(refusal) => Err(refusal),
        }
    }

    /// Checks an admitted run again, given what has become known since.
    fn recheck(
        &self,
        features: &RequestFeatures,
        sent: Suspicion,
    ) -> Result<(), Refusal> {
        self.judge_poison();
        let now = self.now();
        match self.poison().recheck_features(features, sent, now) {
            Admission::Admitted(_) => Ok(()),
            Admission::Refused(refusal) => Err(refusal),
        }
    }

    /// Takes note of a peer's claims. Returns the known ones that precede them.
    pub(super) fn hear_claims(
        self: &Arc<Node>,
        claims: Vec<RunClaim>,
    ) -> Vec<RunClaim> {
        let now = self.now();
        let mut preceding = Vec::new();
        for claim in claims {
            let heard = self.poison().hear_claim(&claim, now);
            preceding.extend(heard.preceding);
            if heard.is_new {
                let addrs = near_peers(self, &seed(&claim));
                self.send_claim(addrs, claim);
            }
        }
        preceding
    }

    /// Tells the processes of the data hall, and one of each other hall, of a
    /// claim of this process.
    fn tell_claim(self: &Arc<Node>, claim: RunClaim) {
        let near = self.others(true);
        let mut addrs: Vec<_> = near.iter().map(|i| i.control).collect();
        addrs.extend(one_peer_per_hall(self, &seed(&claim)));
        self.send_claim(addrs, claim);
    }

    /// Sends a claim with what is known of the request, so that a crash is
    /// known before another run may begin.
    fn send_claim(self: &Arc<Node>, addrs: Vec<SocketAddr>, claim: RunClaim) {
        let now = self.now();
        let (digest, records) = {
            let table = self.poison();
            (table.digest(), table.records(&claim.features, now))
        };
        let claims = vec![claim];
        let update = PoisonUpdate {
            digest,
            records,
            claims,
            ..PoisonUpdate::default()
        };
        let node = Arc::clone(self);
        self.detach(async move { exchange_with(&node, addrs, &update).await });
    }
}

/// Returns the seed that selects the peers to which a claim is sent.
fn seed(claim: &RunClaim) -> Vec<u8> {
    let mut seed = claim.number.to_le_bytes().to_vec();
    seed.push(claim.stage as u8);
    seed
}

const fn bool_name(value: bool) -> &'static str {
    if value { "true" } else { "false" }
}
