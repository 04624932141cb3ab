//! Serves connections from other nodes: ledger requests, reader questions and notifications.

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::ledger::SentNumber;
use elderworks_http_client::buffered;
use elderworks_protocol::ledger::{GatewayFrame, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::link::next_frame;
use super::proofs;
use super::queue::FrameSender;
use crate::gateway::Gateway;
use crate::ports::StreamRecord;
use crate::{feed, ledger, socket};

/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time after which a request that is still being executed is acknowledged.
const ACKNOWLEDGE_AFTER: Duration = Duration::from_millis(40);

/// Accepts connections from other nodes until the process ends.
pub(crate) async fn accept_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_peer(gateway.clone(), stream));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_peer(gateway: Rc<Gateway>, stream: TcpStream) {
    socket::set_options(&stream);
    let counter = stream.peer_addr().ok().and_then(|address| {
        let peers = &gateway.peers;
        peers.counter_for_address(&gateway, address.ip())
    });
    let (mut receiver, mut sender) = buffered::split(stream);
    let (replies, mut outgoing) = FrameSender::new(&gateway.memory, counter);
    // Dropped when the connection closes.
    let (_open, closed) = watch::channel(());
    let receiving = async {
        while let Some(message) = next_frame(&mut receiver).await {
            let (id, partition, request) = match message {
                GatewayFrame::Request {
                    id,
                    partition,
                    request,
                } => (id, partition, request),
                GatewayFrame::WorkerEjected { node, worker } => {
                    receive_ejection(&gateway, node, &worker);
                    continue;
                }
                GatewayFrame::ConfigurationAsked { node } => {
                    proofs::send_configuration(&gateway, &node);
                    continue;
                }
                GatewayFrame::Configuration { offset, key, value } => {
                    proofs::receive_configuration(&gateway, &StreamRecord { offset, key, value });
                    continue;
                }
                GatewayFrame::FeedAsked { id, question } => {
                    let answer = feed::answer(&gateway, &question);
                    // The peer may have disconnected; otherwise, it asks again after the next heartbeat.
                    let _ = replies.push(&GatewayFrame::FeedTold { id, answer });
                    continue;
                }
                GatewayFrame::Arrived { .. }
                | GatewayFrame::Reply { .. }
                | GatewayFrame::FeedTold { .. } => return,
            };
            let answering = answer(gateway.clone(), replies.clone(), id, partition, request);
            let mut closed = closed.clone();
            actix_rt::spawn(async move {
                // Once the connection is closed, nobody waits for the reply.
                tokio::select! {
                    biased;
                    () = answering => {}
                    _ = closed.changed() => {}
                }
            });
        }
    };
    tokio::select! {
        () = receiving => {}
        () = outgoing.send_to(&mut sender) => {}
    }
}

/// Executes a ledger request and sends its reply, after an acknowledgement if it takes long.
async fn answer(
    gateway: Rc<Gateway>,
    replies: FrameSender,
    id: u64,
    partition: PartitionId,
    request: LedgerRequest,
) {
    let executing = ledger::execute_sent(&gateway, partition, request, SentNumber(id));
    let mut executing = std::pin::pin!(executing);
    let fast = actix_rt::time::timeout(ACKNOWLEDGE_AFTER, &mut executing).await;
    let reply = match fast {
        Ok(reply) => reply,
        Err(_) => {
            // The peer may have disconnected, here and below.
            let _ = replies.push(&GatewayFrame::Arrived { id });
            executing.await
        }
    };
    let _ = replies.push(&GatewayFrame::Reply { id, reply });
}

/// Records another node's report that it has ejected a worker.
fn receive_ejection(gateway: &Gateway, node: NodeId, worker: &str) {
    let now = gateway.now();
    log::info!(worker = worker, node = node.as_str(); "another node has ejected a worker");
    let ejected = gateway
        .workers
        .borrow_mut()
        .note_ejection_report(worker, now, node);
    if ejected {
        log::warn!(worker = worker; "worker ejected on the word of other nodes");
    }
}
