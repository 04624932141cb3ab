//! Connections to other nodes, with the requests that wait for replies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use elderworks_http_client::buffered::{self, Receiver};
use elderworks_protocol::feed::{FeedRequest, FeedResponse};
use elderworks_protocol::ledger::{GatewayFrame, LedgerReply, LedgerRequest};
use elderworks_protocol::split_frame;
use elderworks_types::PartitionId;
use tokio::sync::mpsc;

use super::queue::{FrameReceiver, FrameSender, PushError};
use crate::cross_zone_bytes::CrossZoneBytes;
use crate::memory::MemoryTracker;
use crate::socket;

/// Timeout for the acknowledgement of a request, after which the node counts as unresponsive.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the reply to an acknowledged request, which may have to wait for a slow log.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for the answer of a reader. At a start of the fleet, hundreds of nodes ask for some hundred
/// kilobytes each; a node that gets no answer asks again after the reader's next heartbeat.
const FEED_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why a node didn't reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReply {
    /// The connection can't be established or was closed; the process may be starting.
    Unreachable,
    /// The node didn't acknowledge the request.
    Silent,
    /// The node acknowledged the request but didn't reply in time.
    TooSlow,
}

/// A response to a request.
enum Response {
    Acknowledged,
    Replied(LedgerReply),
    Feed(FeedResponse),
}

/// Senders for the responses to unanswered requests, by request id.
type Pending = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<Response>>>>;

/// A connection to another node.
#[derive(Clone, Debug)]
pub(super) struct Link {
    frames: FrameSender,
    pending: Pending,
}

impl Link {
    /// Starts to connect. `counter` counts the bytes sent, if the node is in another zone.
    pub(super) fn open(
        address: SocketAddr,
        memory: &MemoryTracker,
        counter: Option<CrossZoneBytes>,
    ) -> Self {
        let (frames, outgoing) = FrameSender::new(memory, counter);
        let pending = Pending::default();
        actix_rt::spawn(run_link(address, outgoing, pending.clone()));
        Self { frames, pending }
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Sends a message that has no reply.
    pub(super) fn notify(&self, message: &GatewayFrame) {
        // Notifications are best effort: a node that misses one finds out by other means.
        let _ = self.frames.push(message);
    }

    /// Sends a ledger request and waits for the reply. `id` must be unique among all requests.
    pub(super) async fn ask(
        &self,
        id: u64,
        partition: PartitionId,
        request: LedgerRequest,
    ) -> Result<LedgerReply, NoReply> {
        let message = GatewayFrame::Request {
            id,
            partition,
            request,
        };
        let mut waiting = self.send(id, &message)?;
        await_reply(&mut waiting.responses).await
    }

    /// Asks a reader of the log's streams and waits for the answer. `id` must be unique among all
    /// requests.
    pub(super) async fn ask_feed(
        &self,
        id: u64,
        question: FeedRequest,
    ) -> Result<FeedResponse, NoReply> {
        let mut waiting = self.send(id, &GatewayFrame::FeedAsked { id, question })?;
        await_feed_answer(&mut waiting.responses).await
    }

    fn send(&self, id: u64, message: &GatewayFrame) -> Result<WaitingRequest, NoReply> {
        self.frames.push(message).map_err(|error| match error {
            PushError::Closed => NoReply::Unreachable,
            PushError::Full => NoReply::Silent,
        })?;
        let (sender, responses) = mpsc::unbounded_channel();
        self.pending.borrow_mut().insert(id, sender);
        Ok(WaitingRequest {
            id,
            responses,
            pending: self.pending.clone(),
        })
    }
}

/// A request that waits for its responses. It is forgotten when this is dropped, also if the
/// requester gives up.
struct WaitingRequest {
    id: u64,
    responses: mpsc::UnboundedReceiver<Response>,
    pending: Pending,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.id);
    }
}

async fn await_feed_answer(
    responses: &mut mpsc::UnboundedReceiver<Response>,
) -> Result<FeedResponse, NoReply> {
    match actix_rt::time::timeout(FEED_TIMEOUT, responses.recv()).await {
        Ok(Some(Response::Feed(answer))) => Ok(answer),
        Ok(_) => Err(NoReply::Unreachable),
        Err(_) => Err(NoReply::TooSlow),
    }
}

async fn await_reply(
    responses: &mut mpsc::UnboundedReceiver<Response>,
) -> Result<LedgerReply, NoReply> {
    let first = actix_rt::time::timeout(ACKNOWLEDGE_TIMEOUT, responses.recv()).await;
    match first {
        Ok(Some(Response::Replied(reply))) => return Ok(reply),
        Ok(Some(Response::Acknowledged)) => {}
        Ok(Some(Response::Feed(_)) | None) => return Err(NoReply::Unreachable),
        Err(_) => return Err(NoReply::Silent),
    }
    match actix_rt::time::timeout(REPLY_TIMEOUT, responses.recv()).await {
        Ok(Some(Response::Replied(reply))) => Ok(reply),
        Ok(Some(Response::Feed(_)) | None) => Err(NoReply::Unreachable),
        Ok(Some(Response::Acknowledged)) | Err(_) => Err(NoReply::TooSlow),
    }
}

/// Runs a connection: sends frames and passes responses to the pending requests.
async fn run_link(address: SocketAddr, mut outgoing: FrameReceiver, pending: Pending) {
    let Ok(stream) = socket::connect(address).await else {
        outgoing.close();
        pending.borrow_mut().clear();
        return;
    };
    let (mut receiver, mut sender) = buffered::split(stream);
    let sending = outgoing.send_to(&mut sender);
    let receiving = async {
        while let Some(message) = next_frame(&mut receiver).await {
            let (id, response) = match message {
                GatewayFrame::Arrived { id } => (id, Response::Acknowledged),
                GatewayFrame::Reply { id, reply } => (id, Response::Replied(reply)),
                GatewayFrame::FeedTold { id, answer } => (id, Response::Feed(answer)),
                GatewayFrame::Request { .. }
                | GatewayFrame::FeedAsked { .. }
                | GatewayFrame::WorkerEjected { .. }
                | GatewayFrame::ConfigurationAsked { .. }
                | GatewayFrame::Configuration { .. } => break,
            };
            if let Some(requester) = pending.borrow().get(&id) {
                // The requester may no longer wait for the response.
                let _ = requester.send(response);
            }
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
    }
    outgoing.close();
    pending.borrow_mut().clear();
}

/// Receives the next frame; `None` if the connection is closed or the bytes can't be decoded.
pub(super) async fn next_frame(receiver: &mut Receiver) -> Option<GatewayFrame> {
    loop {
        match split_frame::<GatewayFrame>(&mut receiver.buffer) {
            Ok(Some(message)) => return Some(message),
            Ok(None) => {}
            Err(_) => return None,
        }
        if receiver.buffer.is_empty() {
            receiver.buffer = BytesMut::new();
        }
        match receiver.fill().await {
            Ok(count) if count > 0 => {}
            _ => return None,
        }
    }
}
