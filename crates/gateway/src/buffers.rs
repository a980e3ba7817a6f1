//! Bounded buffers between callers and replicas.
//!
//! [`Buffers`] counts what the entry buffers in a [`BufferAccount`]. A piece
//! is read from its sender only once there is room for it, and is counted
//! until the socket of its reader has taken it ([`Held::attach`]). Callers
//! that read nothing for too long are cut by [`Buffers::cut_unread`].

mod collect;
mod delivery;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::Code;
use stairhinge::buffers::{
    BufferAccount, BufferBounds, BufferLimit, BufferUse, HolderId, Room,
};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use stairhinge_shell::http::ConnectionHandle;
use tokio::sync::Notify;

pub(crate) use self::collect::{CollectError, Collected};
pub(crate) use self::delivery::{Deliverer, Delivery, EndOfDelivery};
use crate::metrics::EntryMetrics;

/// The interval at which a sender that waits for room in its workspace or in
/// the process checks again. Many may wait at a time, and waking all of them
/// at each piece that some caller reads would cost more.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The buffers of one entry.
pub(crate) struct Buffers {
    /// The time within which a request body must arrive.
    body_time: Duration,
    /// The maximum bytes of an answer that are held at a time.
    max_answer: u64,
    account: Mutex<BufferAccount>,
    /// The answers that can be cut.
    answers: Mutex<HashMap<HolderId, AnswerState>>,
    facts: Arc<Facts>,
    metrics: Arc<EntryMetrics>,
}

/// What is needed to cut an answer.
struct AnswerState {
    request: Arc<str>,
    started: Instant,
    connection: ConnectionHandle,
    cut: Arc<AtomicBool>,
}

impl Buffers {
    /// Returns empty buffers.
    pub(crate) fn new(
        bounds: BufferBounds,
        body_time: Duration,
        facts: Arc<Facts>,
        metrics: Arc<EntryMetrics>,
    ) -> Arc<Buffers> {
        Arc::new(Buffers {
            body_time,
            max_answer: bounds.connection(),
            account: Mutex::new(BufferAccount::new(bounds)),
            answers: Mutex::default(),
            facts,
            metrics,
        })
    }

    /// Returns the time within which a request body must arrive.
    pub(crate) const fn body_time(&self) -> Duration {
        self.body_time
    }

    /// Returns a holder of the body of a request.
    pub(crate) fn hold_request(
        self: &Arc<Self>,
        workspace: Option<Arc<str>>,
    ) -> Arc<Held> {
        self.hold(BufferUse::Request, workspace)
    }

    /// Returns a holder of the answer to a request, which came on
    /// `connection`.
    pub(crate) fn hold_answer(
        self: &Arc<Self>,
        workspace: Option<Arc<str>>,
        request: &Arc<str>,
        started: Instant,
        connection: ConnectionHandle,
    ) -> Arc<Held> {
        let held = self.hold(BufferUse::Answer, workspace);
        let state = AnswerState {
            request: Arc::clone(request),
            started,
            connection,
            cut: Arc::clone(&held.cut),
        };
        lock(&self.answers).insert(held.id, state);
        held
    }

    fn hold(
        self: &Arc<Self>,
        kind: BufferUse,
        workspace: Option<Arc<str>>,
    ) -> Arc<Held> {
        let id = self.account().open(kind, workspace, self.facts.now());
        Arc::new(Held {
            buffers: Arc::clone(self),
            id,
            moved: Notify::new(),
            cut: Arc::default(),
        })
    }

    /// Cuts the callers that have read nothing for too long, and updates the
    /// gauge of buffered bytes.
    pub(crate) fn cut_unread(&self) {
        let now = self.facts.now();
        let (ids, total) = {
            let mut account = self.account();
            (account.unread(now), account.total())
        };
        self.metrics.buffered.set(total as i64);
        for id in ids {
            let Some(state) = lock(&self.answers).remove(&id) else {
                continue;
            };
            let unread = self.account().held(id);
            state.cut.store(true, Ordering::Release);
            state.connection.abort();
            let code = Code::CallerUnread;
            self.metrics.count_cut(code.number());
            self.facts.log().write(&Decision::CallerCut {
                request: &state.request,
                code: code.number(),
                unread_bytes: unread,
                total_bytes: total,
                took_ms: state.started.elapsed().as_millis() as u64,
            });
        }
    }

    fn account(&self) -> MutexGuard<'_, BufferAccount> {
        lock(&self.account)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The buffered bytes of one request or answer.
pub(crate) struct Held {
    buffers: Arc<Buffers>,
    id: HolderId,
    /// Notified when the reader has taken something.
    moved: Notify,
    cut: Arc<AtomicBool>,
}

impl Held {
    /// Waits until there is room for a piece, and counts it.
    pub(crate) async fn take(self: &Arc<Self>, bytes: u64) -> Charge {
        loop {
            let now = self.buffers.facts.now();
            let room = self.buffers.account().take(self.id, bytes, now);
            match room {
                Room::Admitted => {
                    return Charge { held: Arc::clone(self), bytes };
                }
                Room::Wait(BufferLimit::Connection) => {
                    self.moved.notified().await;
                }
                Room::Wait(_) => tokio::time::sleep(RECHECK_INTERVAL).await,
            }
        }
    }

    /// Returns a copy of the piece with its charge, which is released when the
    /// copy is dropped. The piece itself may be part of a larger allocation.
    pub(crate) fn attach(piece: &[u8], charge: Charge) -> Bytes {
        Bytes::from_owner(ChargedPiece {
            piece: piece.into(),
            _charge: charge,
        })
    }

    /// Returns the maximum bytes of an answer that are held at a time.
    pub(crate) fn max_bytes(&self) -> u64 {
        self.buffers.max_answer
    }

    /// Waits until the reader has taken all that is counted.
    async fn drained(&self) {
        while self.buffers.account().held(self.id) > 0 {
            self.moved.notified().await;
        }
    }

    /// Returns whether the caller was cut because it read nothing.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Acquire)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.buffers.account().close(self.id);
        lock(&self.buffers.answers).remove(&self.id);
    }
}

/// Counted bytes, which are released when this is dropped.
pub(crate) struct Charge {
    held: Arc<Held>,
    bytes: u64,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let Held { buffers, id, moved, .. } = &*self.held;
        let now = buffers.facts.now();
        buffers.account().release(*id, self.bytes, now);
        moved.notify_one();
    }
}

struct ChargedPiece {
    piece: Box<[u8]>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedPiece {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}
