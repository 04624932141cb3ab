use std::io::ErrorKind;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::accept_connections;
use crate::counters::SharedCounters;

#[actix_rt::test]
async fn connections_are_refused_after_the_input_queue_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let (inputs, queue) = mpsc::channel(1);
    let accepting = accept_connections(listener, inputs, SharedCounters::default());
    drop(queue);
    accepting.await;
    let refused = TcpStream::connect(address).await.map(drop);
    let kind = refused.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionRefused));
}
