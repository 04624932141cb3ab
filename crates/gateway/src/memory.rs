//! Accounting of the memory that this node holds for callers, workers and peers.

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

/// Tracks the bytes held by this node; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct MemoryTracker(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    marks: MemoryThresholds,
    kinds: Vec<KindUsage>,
    /// Bytes held for all kinds.
    total: Cell<usize>,
    /// Maximum of `total` so far.
    peak: Cell<usize>,
    peak_gauge: Gauge,
    /// Wakes tasks that wait for capacity.
    relieved: Notify,
    streams: RefCell<BTreeMap<u64, RunningStream>>,
    next_stream: Cell<u64>,
}

/// The bytes held for one purpose.
#[derive(Debug)]
struct KindUsage {
    bytes: Cell<usize>,
    gauge: Gauge,
}

#[derive(Debug)]
struct RunningStream {
    /// Bytes that wait for the caller.
    unsent: usize,
    /// Since when the caller has read nothing.
    stalled_since: Instant,
    /// Notified when the stream must be aborted.
    abort: Rc<Notify>,
}

impl MemoryTracker {
    /// Creates an empty account. `process_bytes` is the memory limit at which the process is killed.
    pub(crate) fn new(process_bytes: usize, metrics: &Metrics) -> Self {
        let kinds = BufferKind::ALL.map(|kind| KindUsage {
            bytes: Cell::new(0),
            gauge: metrics.held_bytes(kind),
        });
        Self(Rc::new(Inner {
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

    /// Returns an empty reservation.
    pub(crate) fn reservation(&self, kind: BufferKind) -> MemoryReservation {
        MemoryReservation {
            memory: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Returns the bytes held for all purposes.
    pub(crate) fn held(&self) -> usize {
        self.0.total.get()
    }

    /// Returns the current memory pressure.
    pub(crate) fn pressure(&self) -> Pressure {
        self.0.marks.pressure(self.held())
    }

    /// Returns whether another stream may start.
    pub(crate) fn accepts_stream(&self) -> bool {
        self.0.marks.takes_stream(self.held())
    }

    /// Waits until the memory is no longer full.
    pub(crate) async fn wait_for_capacity(&self) {
        loop {
            let relieved = self.0.relieved.notified();
            if self.pressure() < Pressure::Full {
                return;
            }
            relieved.await;
        }
    }

    /// Registers a stream that starts.
    pub(crate) fn register_stream(&self) -> StreamRegistration {
        let id = self.0.next_stream.get();
        self.0.next_stream.set(id + 1);
        let abort = Rc::new(Notify::new());
        let stream = RunningStream {
            unsent: 0,
            stalled_since: Instant::now(),
            abort: abort.clone(),
        };
        self.0.streams.borrow_mut().insert(id, stream);
        StreamRegistration {
            memory: self.clone(),
            id,
            abort,
        }
    }

    fn usage(&self, kind: BufferKind) -> &KindUsage {
        let index = BufferKind::ALL.iter().position(|known| *known == kind);
        &self.0.kinds[index.expect("every kind is listed")]
    }

    /// Changes the size of a reservation, and aborts a stream if the memory becomes full.
    fn change(&self, kind: BufferKind, from: usize, to: usize) {
        let usage = self.usage(kind);
        usage.bytes.set(usage.bytes.get() - from + to);
        usage.gauge.set(saturating_i64(usage.bytes.get()));
        let was_full = self.pressure() == Pressure::Full;
        let total = self.held() - from + to;
        self.0.total.set(total);
        if total > self.0.peak.get() {
            self.0.peak.set(total);
            self.0.peak_gauge.set(saturating_i64(total));
        }
        match self.pressure() {
            Pressure::Full if to > from => self.abort_one_stream(),
            Pressure::Full => {}
            _ if was_full => self.0.relieved.notify_waiters(),
            _ => {}
        }
    }

    fn abort_one_stream(&self) {
        let streams = self.0.streams.borrow();
        let now = Instant::now();
        let loads = streams.iter().map(|(id, stream)| StreamLoad {
            id: *id,
            unsent: stream.unsent,
            stalled: now.saturating_duration_since(stream.stalled_since),
        });
        if let Some(stream) = stream_to_abort(loads).and_then(|id| streams.get(&id)) {
            stream.abort.notify_one();
        }
    }
}

/// The bytes held by one holder; released on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: MemoryTracker,
    kind: BufferKind,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves further bytes for a request body. Returns `false` if there is no capacity left.
    pub(crate) fn try_grow_body(&mut self, more: usize) -> bool {
        let bodies = self.memory.usage(BufferKind::Bodies).bytes.get();
        let held = self.memory.held();
        if !self.memory.0.marks.takes_body(bodies, held, more) {
            return false;
        }
        self.set(self.bytes + more);
        true
    }

    /// Sets the number of bytes held.
    pub(crate) fn set(&mut self, bytes: usize) {
        if bytes != self.bytes {
            self.memory.change(self.kind, self.bytes, bytes);
            self.bytes = bytes;
        }
    }

    /// Returns the account that the reservation belongs to.
    pub(crate) fn memory(&self) -> &MemoryTracker {
        &self.memory
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// The registration of a running stream; removed on drop.
#[derive(Debug)]
pub(crate) struct StreamRegistration {
    memory: MemoryTracker,
    id: u64,
    abort: Rc<Notify>,
}

impl StreamRegistration {
    /// Records how many bytes wait for the caller, and since when it has read nothing.
    pub(crate) fn note(&self, unsent: usize, stalled_since: Instant) {
        if let Some(stream) = self.memory.0.streams.borrow_mut().get_mut(&self.id) {
            stream.unsent = unsent;
            stream.stalled_since = stalled_since;
        }
    }

    /// Waits until the stream must be aborted because the memory is full.
    pub(crate) async fn wait_for_abort(&self) {
        self.abort.notified().await;
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
