//! Reading of events from one replica.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderMap;
use stairhinge::direct::{EventSplitter, Replica};
use stairhinge::placing::Outcome;
use stairhinge::poison::{PoisonTable, Suspicion};

use crate::dispatch::Place;
use crate::pool::Connection;
use crate::silence::{Listener, SilenceWatch};

/// An answer that is being read from a replica.
pub(crate) struct Upstream {
    pub body: Incoming,
    /// The first data of a stream, which is not in `body` any more.
    pub first: Option<Bytes>,
    pub connection: Connection,
    pub place: Place,
    pub sent: Instant,
    /// The weight version that produces the answer.
    pub version: Option<u64>,
}

/// A run of a stream's request at one replica.
pub(super) struct Run {
    pub upstream: Upstream,
    pub headers: HeaderMap,
    /// The suspicion against the request when it was sent.
    pub suspicion: Suspicion,
    /// Incomplete events of this run only.
    splitter: EventSplitter,
    listener: Listener,
    /// The last data, or when the relay began to wait for more.
    heard: Instant,
    /// The longest time without data since the relay began to wait.
    gap: Duration,
    /// When it sent its first event, if it has.
    begun: Option<Instant>,
    /// When it is next noted that it has gone on for long.
    note_at: Option<Instant>,
    /// Whether the run resumes a stream that it has not gone on with yet.
    pub is_resumption: bool,
}

/// Complete events of a run.
pub(super) struct Events {
    pub bytes: Bytes,
    pub last_id: Option<u64>,
}

/// The result of reading from a replica.
pub(super) enum Read {
    Events(Events),
    End,
    Failed(ReadFailure),
    /// An event is longer than the buffers.
    LongEvent,
}

/// Why a replica's answer could not be read to its end.
pub(super) struct ReadFailure {
    pub reason: String,
    /// Whether the connection was lost, rather than the replica being silent.
    pub cut: bool,
}

impl ReadFailure {
    pub(super) fn silent(reason: impl Into<String>) -> ReadFailure {
        ReadFailure { reason: reason.into(), cut: false }
    }

    pub(super) fn cut(reason: impl Into<String>) -> ReadFailure {
        ReadFailure { reason: reason.into(), cut: true }
    }
}

impl Run {
    /// Returns a run whose answer has begun.
    pub(super) fn new(
        mut upstream: Upstream,
        headers: HeaderMap,
        suspicion: Suspicion,
        watch: &Arc<SilenceWatch>,
        is_resumption: bool,
    ) -> Run {
        let listener = watch.listen(&upstream.place.replica.incarnation);
        let mut splitter = EventSplitter::new();
        if let Some(first) = upstream.first.take() {
            splitter.push(&first);
        }
        let (heard, gap) = (Instant::now(), Duration::ZERO);
        Run {
            upstream,
            headers,
            suspicion,
            splitter,
            listener,
            heard,
            gap,
            begun: None,
            note_at: None,
            is_resumption,
        }
    }

    pub(super) const fn replica(&self) -> &Arc<Replica> {
        &self.upstream.place.replica
    }

    /// Records that the relay begins to wait for data.
    pub(super) fn begin_wait(&mut self) {
        self.heard = Instant::now();
        self.gap = Duration::ZERO;
    }

    /// Returns how long the relay has waited for data in vain.
    pub(super) fn silence(&self) -> Duration {
        self.heard.elapsed()
    }

    /// Returns the silence before the latest events if it was at least `min`.
    pub(super) fn past_silence(&self, min: Duration) -> Option<Duration> {
        (self.gap >= min).then_some(self.gap)
    }

    /// Returns how long it has sent events.
    pub(super) fn written(&self) -> Duration {
        self.begun.map_or(Duration::ZERO, |begun| begun.elapsed())
    }

    /// Returns whether it has gone on for another
    /// [`PoisonTable::WRITING_PERIOD`].
    pub(super) fn takes_note(&mut self) -> bool {
        let now = Instant::now();
        if self.note_at.is_none_or(|at| now < at) {
            return false;
        }
        self.note_at = Some(now + PoisonTable::WRITING_PERIOD);
        true
    }

    /// Returns the reason to log for a run that is given up in its silence.
    pub(super) fn silence_reason(&self) -> String {
        format!("no event for {} ms", self.silence().as_millis())
    }

    /// Polls for the next complete events, of which one may have at most
    /// `max_bytes`.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        max_bytes: u64,
    ) -> Poll<Read> {
        loop {
            if let Some(events) = self.next_events() {
                let begun = *self.begun.get_or_insert_with(Instant::now);
                self.note_at
                    .get_or_insert(begun + PoisonTable::WRITING_PERIOD);
                return Poll::Ready(Read::Events(events));
            }
            if self.splitter.buffered() as u64 > max_bytes {
                return Poll::Ready(Read::LongEvent);
            }
            // The first event may take long at a replica that is not silent.
            if self.begun.is_some() {
                self.listener.wait();
            }
            let body = Pin::new(&mut self.upstream.body);
            let frame = ready!(body.poll_frame(cx));
            self.listener.hear();
            let Some(frame) = frame else {
                return Poll::Ready(self.end());
            };
            match frame {
                Ok(frame) => {
                    self.gap = self.gap.max(self.heard.elapsed());
                    self.heard = Instant::now();
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Err(error) => {
                    let failure = ReadFailure::cut(error.to_string());
                    return Poll::Ready(Read::Failed(failure));
                }
            }
        }
    }

    fn end(&self) -> Read {
        if !self.splitter.is_partial() {
            return Read::End;
        }
        let why = "the answer ended in the middle of an event";
        Read::Failed(ReadFailure::cut(why))
    }

    fn next_events(&mut self) -> Option<Events> {
        let first = self.splitter.next_event()?;
        let mut last_id = first.id;
        let Some(second) = self.splitter.next_event() else {
            return Some(Events { bytes: first.bytes, last_id });
        };
        let mut bytes = BytesMut::from(&first.bytes[..]);
        let mut next = Some(second);
        while let Some(event) = next {
            last_id = event.id.or(last_id);
            bytes.extend_from_slice(&event.bytes);
            next = self.splitter.next_event();
        }
        Some(Events { bytes: bytes.freeze(), last_id })
    }

    /// Cancels the run, since another replica has gone on with the stream. A
    /// replica that was silent for `limit` counts as failed.
    pub(super) fn give_up(mut self, limit: Duration) {
        if self.silence() >= limit {
            self.upstream.place.record_outcome(Outcome::Failed);
        }
    }
}
