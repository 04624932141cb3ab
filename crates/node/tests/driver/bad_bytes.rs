//! Malformed bytes must close only the connection that carries them.

use actix_rt::net::{TcpStream, UdpSocket};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::PartitionId;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::support::{Sidecar, StandIns, TEST_TIMEOUT, node};

const CASES: usize = 200;

fn arbitrary_bytes() -> Vec<Vec<u8>> {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let strategy = vec(any::<u8>(), 1..300);
    (0..CASES)
        .map(|_| strategy.new_tree(&mut runner).expect("bytes").current())
        .collect()
}

/// Returns a frame that contains `bytes`, so that they reach the message decoder.
fn framed(bytes: &[u8]) -> Vec<u8> {
    let length = u32::try_from(bytes.len()).expect("short");
    [&length.to_le_bytes(), bytes].concat()
}

#[actix_rt::test]
async fn node_survives_arbitrary_bytes() {
    let stand_ins = StandIns::start();
    let node = node("node-1", &stand_ins, Vec::new()).await;
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for bytes in arbitrary_bytes() {
        for stream_bytes in [bytes.clone(), framed(&bytes)] {
            let mut stream = TcpStream::connect(node.address).await.expect("it connects");
            // The node may close the connection before all bytes are sent.
            let _ = stream.write_all(&stream_bytes).await;
            let _ = stream.shutdown().await;
            let mut answer = Vec::new();
            let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
            assert!(end.is_ok(), "the node closes the connection");
        }
        let sent = datagrams.send_to(&bytes, node.gossip_address).await;
        sent.expect("it is sent");
    }
    let mut sidecar = Sidecar::connect(&node).await;
    let partition = PartitionId(1);
    sidecar.send(SidecarMessage::Locate { partition }).await;
    let located = sidecar.receive().await;
    assert!(
        matches!(located, NodeMessage::Located { .. }),
        "{located:?}"
    );
}
