//! Frames that wait for a connection to another node, bounded in bytes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_protocol::frame;
use elderworks_protocol::ledger::GatewayFrame;
use tokio::sync::mpsc;

use crate::buffered::Sender;
use crate::cross_zone_bytes::{FarBytes, TrafficKind};
use crate::memory::{MemoryReservation, MemoryTracker};

/// Most bytes that wait for one connection. The slowest machines send 22 Mbit/s: what is behind
/// this much is late for everybody who waits for it.
const MOST_QUEUED: usize = 2 * 1024 * 1024;

/// Why a frame is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotQueued {
    /// The connection has ended.
    Closed,
    /// The other side does not read.
    Full,
}

#[derive(Debug)]
struct Held {
    bytes: Cell<usize>,
    share: RefCell<MemoryReservation>,
}

impl Held {
    fn set(&self, bytes: usize) {
        self.bytes.set(bytes);
        self.share.borrow_mut().set(bytes);
    }
}

/// The end of the queue at which frames are put in.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    frames: mpsc::UnboundedSender<Bytes>,
    held: Rc<Held>,
    /// Counts the bytes, if the other side is in another zone.
    far: Option<FarBytes>,
}

/// The end of the queue at which frames are sent.
#[derive(Debug)]
pub(super) struct Queue {
    frames: mpsc::UnboundedReceiver<Bytes>,
    held: Rc<Held>,
}

impl Outgoing {
    /// An empty queue, counted in `memory`.
    pub(super) fn new(memory: &MemoryTracker, far: Option<FarBytes>) -> (Self, Queue) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let held = Rc::new(Held {
            bytes: Cell::new(0),
            share: RefCell::new(memory.reservation(BufferKind::Peers)),
        });
        let outgoing = Self {
            frames: sender,
            held: held.clone(),
            far,
        };
        let frames = receiver;
        (outgoing, Queue { frames, held })
    }

    /// Puts a frame in.
    pub(super) fn push(&self, message: &GatewayFrame) -> Result<(), NotQueued> {
        let frame = frame(message);
        let held = self.held.bytes.get();
        if held > 0 && held + frame.len() > MOST_QUEUED {
            return Err(NotQueued::Full);
        }
        let length = frame.len();
        self.frames.send(frame).map_err(|_| NotQueued::Closed)?;
        self.held.set(held + length);
        if let Some(far) = &self.far {
            far.note(TrafficKind::of_frame(message), length);
        }
        Ok(())
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

impl Queue {
    /// Sends frames until the connection or the queue ends.
    pub(super) async fn send_to(&mut self, sender: &mut Sender) {
        while let Some(frame) = self.frames.recv().await {
            sender.buffer.extend_from_slice(&frame);
            while let Ok(frame) = self.frames.try_recv() {
                sender.buffer.extend_from_slice(&frame);
            }
            let taken = sender.buffer.len();
            if sender.flush().await.is_err() {
                return;
            }
            self.held.set(self.held.bytes.get().saturating_sub(taken));
        }
    }

    /// Takes no more frames and forgets those that wait.
    pub(super) fn close(&mut self) {
        self.frames.close();
        while self.frames.try_recv().is_ok() {}
        self.held.set(0);
    }
}
