//! A connection to another node and the requests that wait for its replies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use elderworks_protocol::feed::{FeedAnswer, FeedQuestion};
use elderworks_protocol::ledger::{GatewayFrame, LedgerReply, LedgerRequest};
use elderworks_protocol::split_frame;
use elderworks_types::PartitionId;
use tokio::sync::mpsc;

use super::queue::{NotQueued, Outgoing, Queue};
use crate::buffered::{self, Receiver};
use crate::cross_zone_bytes::FarBytes;
use crate::memory::MemoryTracker;
use crate::socket;

/// Longest wait for a sign that a request has arrived. A node that shows none is taken for gone.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for the reply to a request that has arrived: the log may be slow.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for news of a reader: at a start, hundreds of nodes ask for some hundred kilobytes each,
/// and the next heartbeat of a reader makes up for an answer that is lost.
const FEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a node has not replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReply {
    /// The connection cannot be made or has ended: its process may be starting.
    Unreachable,
    /// It shows no sign of life.
    Silent,
    /// The request has arrived, and its reply takes too long.
    TooSlow,
}

/// What is heard of a request.
enum News {
    Arrived,
    Replied(LedgerReply),
    Told(FeedAnswer),
}

type Pending = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<News>>>>;

/// A connection to another node with the requests that wait for its replies.
#[derive(Clone, Debug)]
pub(super) struct Link {
    frames: Outgoing,
    pending: Pending,
}

impl Link {
    /// Begins to connect.
    pub(super) fn open(address: SocketAddr, memory: &MemoryTracker, far: Option<FarBytes>) -> Self {
        let (frames, outgoing) = Outgoing::new(memory, far);
        let pending = Pending::default();
        actix_rt::spawn(run_link(address, outgoing, pending.clone()));
        Self { frames, pending }
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Sends news that asks for no reply.
    pub(super) fn tell(&self, news: &GatewayFrame) {
        // Who cannot be reached learns it from its own failures.
        let _ = self.frames.push(news);
    }

    /// Makes a request; `id` must differ from those of other requests.
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
        let mut news = self.send(id, &message)?;
        let replied = await_reply(&mut news).await;
        self.pending.borrow_mut().remove(&id);
        replied
    }

    /// Asks for what a reader of the log's streams knows; `id` must differ from those of other
    /// requests.
    pub(super) async fn ask_feed(
        &self,
        id: u64,
        question: FeedQuestion,
    ) -> Result<FeedAnswer, NoReply> {
        let mut news = self.send(id, &GatewayFrame::FeedAsked { id, question })?;
        let told = await_told(&mut news).await;
        self.pending.borrow_mut().remove(&id);
        told
    }

    fn send(
        &self,
        id: u64,
        message: &GatewayFrame,
    ) -> Result<mpsc::UnboundedReceiver<News>, NoReply> {
        self.frames.push(message).map_err(|error| match error {
            NotQueued::Closed => NoReply::Unreachable,
            NotQueued::Full => NoReply::Silent,
        })?;
        let (sender, news) = mpsc::unbounded_channel();
        self.pending.borrow_mut().insert(id, sender);
        Ok(news)
    }
}

async fn await_told(news: &mut mpsc::UnboundedReceiver<News>) -> Result<FeedAnswer, NoReply> {
    match actix_rt::time::timeout(FEED_TIMEOUT, news.recv()).await {
        Ok(Some(News::Told(answer))) => Ok(answer),
        Ok(_) => Err(NoReply::Unreachable),
        Err(_) => Err(NoReply::TooSlow),
    }
}

async fn await_reply(news: &mut mpsc::UnboundedReceiver<News>) -> Result<LedgerReply, NoReply> {
    let first = actix_rt::time::timeout(ARRIVAL_TIMEOUT, news.recv()).await;
    match first {
        Ok(Some(News::Replied(reply))) => return Ok(reply),
        Ok(Some(News::Arrived)) => {}
        Ok(Some(News::Told(_)) | None) => return Err(NoReply::Unreachable),
        Err(_) => return Err(NoReply::Silent),
    }
    match actix_rt::time::timeout(REPLY_TIMEOUT, news.recv()).await {
        Ok(Some(News::Replied(reply))) => Ok(reply),
        Ok(Some(News::Told(_)) | None) => Err(NoReply::Unreachable),
        Ok(Some(News::Arrived)) | Err(_) => Err(NoReply::TooSlow),
    }
}

/// Sends requests over one connection and hands replies to those who wait.
async fn run_link(address: SocketAddr, mut outgoing: Queue, pending: Pending) {
    let Ok(stream) = socket::connect(address).await else {
        outgoing.close();
        pending.borrow_mut().clear();
        return;
    };
    let (mut receiver, mut sender) = buffered::split(stream);
    let sending = outgoing.send_to(&mut sender);
    let receiving = async {
        while let Some(message) = next_frame(&mut receiver).await {
            let (id, news) = match message {
                GatewayFrame::Arrived { id } => (id, News::Arrived),
                GatewayFrame::Reply { id, reply } => (id, News::Replied(reply)),
                GatewayFrame::FeedTold { id, answer } => (id, News::Told(answer)),
                GatewayFrame::Request { .. }
                | GatewayFrame::FeedAsked { .. }
                | GatewayFrame::WorkerEjected { .. }
                | GatewayFrame::ConfigurationAsked { .. }
                | GatewayFrame::Configuration { .. } => break,
            };
            if let Some(waiting) = pending.borrow().get(&id) {
                // Whoever asked may have given up.
                let _ = waiting.send(news);
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

/// The next frame; `None` at the end of the connection or of its sense.
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
