//! The memory that this node holds for callers, workers and peers, all together.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use elderworks_gateway_core::pressure::{
    BufferKind, MemoryThresholds, Pressure, StreamLoad, stream_to_abort,
};
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// Counts what is held; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct MemoryTracker(Rc<Account>);

#[derive(Debug)]
struct Account {
    marks: MemoryThresholds,
    kinds: Vec<Kind>,
    total: Cell<usize>,
    peak: Cell<usize>,
    peak_gauge: Gauge,
    /// Wakes those who wait for room.
    relieved: Notify,
    streams: RefCell<BTreeMap<u64, RunningStream>>,
    next_stream: Cell<u64>,
}

#[derive(Debug)]
struct Kind {
    bytes: Cell<usize>,
    gauge: Gauge,
}

#[derive(Debug)]
struct RunningStream {
    unsent: usize,
    stalled_since: Instant,
    end: Rc<Notify>,
}

impl MemoryTracker {
    /// Holds nothing yet. `process_bytes` is the memory at which the process is killed.
    pub(crate) fn new(process_bytes: usize, metrics: &Metrics) -> Self {
        let kinds = BufferKind::ALL.map(|kind| Kind {
            bytes: Cell::new(0),
            gauge: metrics.held_bytes(kind),
        });
        Self(Rc::new(Account {
            marks: MemoryThresholds::of(process_bytes),
            kinds: kinds.into(),
            total: Cell::new(0),
            peak: Cell::new(0),
            peak_gauge: metrics.held_peak_bytes.clone(),
            relieved: Notify::new(),
            streams: RefCell::default(),
            next_stream: Cell::new(0),
        }))
    }

    /// Room for something that holds nothing yet.
    pub(crate) fn reservation(&self, kind: BufferKind) -> MemoryReservation {
        MemoryReservation {
            memory: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// All that is held, in bytes.
    pub(crate) fn held(&self) -> usize {
        self.0.total.get()
    }

    /// How short memory is.
    pub(crate) fn pressure(&self) -> Pressure {
        self.0.marks.pressure(self.held())
    }

    /// Whether another stream may begin.
    pub(crate) fn accepts_stream(&self) -> bool {
        self.0.marks.takes_stream(self.held())
    }

    /// Waits until memory is no longer full.
    pub(crate) async fn wait_for_capacity(&self) {
        loop {
            let relieved = self.0.relieved.notified();
            if self.pressure() < Pressure::Full {
                return;
            }
            relieved.await;
        }
    }

    /// A stream begins.
    pub(crate) fn register_stream(&self) -> StreamRegistration {
        let id = self.0.next_stream.get();
        self.0.next_stream.set(id + 1);
        let end = Rc::new(Notify::new());
        let stream = RunningStream {
            unsent: 0,
            stalled_since: Instant::now(),
            end: end.clone(),
        };
        self.0.streams.borrow_mut().insert(id, stream);
        StreamRegistration {
            memory: self.clone(),
            id,
            end,
        }
    }

    fn kind(&self, kind: BufferKind) -> &Kind {
        let index = BufferKind::ALL.iter().position(|known| *known == kind);
        &self.0.kinds[index.expect("every kind is listed")]
    }

    fn change(&self, kind: BufferKind, from: usize, to: usize) {
        let counted = self.kind(kind);
        counted.bytes.set(counted.bytes.get() - from + to);
        counted.gauge.set(saturating_i64(counted.bytes.get()));
        let was_full = self.pressure() == Pressure::Full;
        let total = self.held() - from + to;
        self.0.total.set(total);
        if total > self.0.peak.get() {
            self.0.peak.set(total);
            self.0.peak_gauge.set(saturating_i64(total));
        }
        match self.pressure() {
            Pressure::Full if to > from => self.end_a_stream(),
            Pressure::Full => {}
            _ if was_full => self.0.relieved.notify_waiters(),
            _ => {}
        }
    }

    fn end_a_stream(&self) {
        let streams = self.0.streams.borrow();
        let now = Instant::now();
        let loads = streams.iter().map(|(id, stream)| StreamLoad {
            id: *id,
            unsent: stream.unsent,
            stalled: now.saturating_duration_since(stream.stalled_since),
        });
        if let Some(stream) = stream_to_abort(loads).and_then(|id| streams.get(&id)) {
            stream.end.notify_one();
        }
    }
}

/// What one holder takes; given back when dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: MemoryTracker,
    kind: BufferKind,
    bytes: usize,
}

impl MemoryReservation {
    /// Takes room for more bytes of a body; `false` if there is none left.
    pub(crate) fn try_grow_body(&mut self, more: usize) -> bool {
        let bodies = self.memory.kind(BufferKind::Bodies).bytes.get();
        let held = self.memory.held();
        if !self.memory.0.marks.takes_body(bodies, held, more) {
            return false;
        }
        self.set(self.bytes + more);
        true
    }

    /// Notes how many bytes are held now.
    pub(crate) fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.memory.change(self.kind, self.bytes, bytes);
            self.bytes = bytes;
        }
    }

    /// The account that it belongs to.
    pub(crate) fn memory(&self) -> &MemoryTracker {
        &self.memory
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A running stream, as far as memory is concerned.
#[derive(Debug)]
pub(crate) struct StreamRegistration {
    memory: MemoryTracker,
    id: u64,
    end: Rc<Notify>,
}

impl StreamRegistration {
    /// Notes what is held for the caller, and since when it has taken nothing.
    pub(crate) fn note(&self, unsent: usize, stalled_since: Instant) {
        if let Some(stream) = self.memory.0.streams.borrow_mut().get_mut(&self.id) {
            stream.unsent = unsent;
            stream.stalled_since = stalled_since;
        }
    }

    /// Waits until the stream must end since memory is full.
    pub(crate) async fn wait_for_abort(&self) {
        self.end.notified().await;
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        self.memory.0.streams.borrow_mut().remove(&self.id);
    }
}

fn saturating_i64(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
