//! A queue of frames to be sent over a connection to another node, bounded in bytes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_http_client::buffered::Sender;
use elderworks_protocol::frame;
use elderworks_protocol::ledger::GatewayFrame;
use tokio::sync::mpsc;

use crate::cross_zone_bytes::{CrossZoneBytes, TrafficKind};
use crate::memory::{MemoryReservation, MemoryTracker};

/// Maximum size of a queue in bytes. The slowest machines send 22 Mbit/s, so frames queued behind this
/// much data would arrive too late to be useful.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;

/// The reason why a frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushError {
    /// The connection is closed.
    Closed,
    /// The peer doesn't read fast enough.
    Full,
}

/// The size of a queue, accounted for in the memory of the node.
#[derive(Debug)]
struct QueuedBytes {
    bytes: Cell<usize>,
    reservation: RefCell<MemoryReservation>,
}

impl QueuedBytes {
    fn set(&self, bytes: usize) {
        self.bytes.set(bytes);
        self.reservation.borrow_mut().set(bytes);
    }
}

/// The sending half of a frame queue.
#[derive(Clone, Debug)]
pub(super) struct FrameSender {
    frames: mpsc::UnboundedSender<Bytes>,
    queued: Rc<QueuedBytes>,
    /// Counter for the bytes, if the peer is in another zone.
    counter: Option<CrossZoneBytes>,
}

/// The receiving half of a frame queue, which writes frames to the connection.
#[derive(Debug)]
pub(super) struct FrameReceiver {
    frames: mpsc::UnboundedReceiver<Bytes>,
    queued: Rc<QueuedBytes>,
}

impl FrameSender {
    /// Creates an empty queue whose size is accounted for in `memory`.
    pub(super) fn new(
        memory: &MemoryTracker,
        counter: Option<CrossZoneBytes>,
    ) -> (Self, FrameReceiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let queued = Rc::new(QueuedBytes {
            bytes: Cell::new(0),
            reservation: RefCell::new(memory.reservation(BufferKind::Peers)),
        });
        let frame_sender = Self {
            frames: sender,
            queued: queued.clone(),
            counter,
        };
        let frames = receiver;
        (frame_sender, FrameReceiver { frames, queued })
    }

    /// Adds a frame to the queue.
    pub(super) fn push(&self, message: &GatewayFrame) -> Result<(), PushError> {
        let frame = frame(message);
        let queued = self.queued.bytes.get();
        if queued > 0 && queued + frame.len() > MAX_QUEUED_BYTES {
            return Err(PushError::Full);
        }
        let length = frame.len();
        self.frames.send(frame).map_err(|_| PushError::Closed)?;
        self.queued.set(queued + length);
        if let Some(counter) = &self.counter {
            counter.note(TrafficKind::of_frame(message), length);
        }
        Ok(())
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl FrameReceiver {
    /// Writes frames to the connection until the connection or the queue is closed.
    pub(super) async fn send_to(&mut self, sender: &mut Sender) {
        while let Some(frame) = self.frames.recv().await {
            sender.buffer.extend_from_slice(&frame);
            while let Ok(frame) = self.frames.try_recv() {
                sender.buffer.extend_from_slice(&frame);
            }
            let written = sender.buffer.len();
            if sender.flush().await.is_err() {
                return;
            }
            self.queued
                .set(self.queued.bytes.get().saturating_sub(written));
        }
    }

    /// Closes the queue and drops the frames in it.
    pub(super) fn close(&mut self) {
        self.frames.close();
        while self.frames.try_recv().is_ok() {}
        self.queued.set(0);
    }
}
