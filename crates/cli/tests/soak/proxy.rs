//! A loopback TCP proxy that injects faults into its connections.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::standin::http::ServerState;

/// Fault of all connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are forwarded.
    #[default]
    None,
    /// Each chunk is delayed by this time, in milliseconds.
    Delay(u64),
    /// Bytes in both directions are held back until the fault ends.
    Silence,
    /// Bytes from the target are held back until the fault ends.
    SilenceFromTarget,
    /// Connections are reset.
    Reset,
}

impl LinkFault {
    /// Returns whether no request is answered through the proxy.
    fn separates(self) -> bool {
        matches!(self, Self::Silence | Self::SilenceFromTarget | Self::Reset)
    }
}

/// One side of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Caller,
    Target,
}

/// Time for which a connection stays open on the side that was not reset.
const HALF_OPEN_TIME: Duration = Duration::from_secs(1);

/// A time from one moment until another.
pub type Period = (Instant, Instant);

/// Returns a loopback address of this process, so that no other one takes the ports of workers that
/// have ended. Those of two processes differ unless their ids differ by 256 or multiples of 65,536.
pub fn own_address(host: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, process[2] | 1, process[3], host)
}

/// Interval at which a connection checks whether the fault has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Rc<Cell<LinkFault>>,
    /// Faults with the times at which they began.
    history: Rc<RefCell<Vec<(Instant, LinkFault)>>>,
    /// Number of calls of [`Proxy::blackhole_open_connections`].
    blackhole_count: Rc<Cell<u64>>,
    /// Side of the last call of [`Proxy::reset_open_connections`].
    reset_side: Rc<watch::Sender<Side>>,
}

/// Fault state of one connection through the proxy.
struct LinkState {
    fault: Rc<Cell<LinkFault>>,
    blackhole_count: Rc<Cell<u64>>,
    /// Value of `blackhole_count` when the connection was opened.
    count_at_open: u64,
}

impl LinkState {
    /// Returns whether the connection silently drops all data.
    fn is_blackholed(&self) -> bool {
        self.blackhole_count.get() > self.count_at_open
    }
}

impl Proxy {
    /// Starts a proxy that forwards connections to a target for ever.
    pub fn start(target: SocketAddr) -> Self {
        let (state, running) = watch::channel(ServerState::Running);
        let proxy = Self::start_while(target, running);
        // Keeps the state from ending.
        actix_rt::spawn(async move { state.closed().await });
        proxy
    }

    /// Starts a proxy that ends with its target: when the target crashes, connections are refused
    /// and the open ones reset.
    pub fn start_while(target: SocketAddr, mut running: watch::Receiver<ServerState>) -> Self {
        let any_port = SocketAddr::from((own_address(1), 0));
        let listener = std::net::TcpListener::bind(any_port).expect("a free port");
        listener
            .set_nonblocking(true)
            .expect("the listener can be non-blocking");
        let listener = TcpListener::from_std(listener).expect("a runtime is running");
        let address = listener.local_addr().expect("an address");
        let fault = Rc::new(Cell::new(LinkFault::None));
        let blackhole_count = Rc::new(Cell::new(0));
        let shared = (fault.clone(), blackhole_count.clone());
        let reset_side = Rc::new(watch::Sender::new(Side::Caller));
        let resets = reset_side.clone();
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    biased;
                    () = until_crash(&mut running) => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                let state = LinkState {
                    fault: shared.0.clone(),
                    count_at_open: shared.1.get(),
                    blackhole_count: shared.1.clone(),
                };
                let resets = resets.subscribe();
                actix_rt::spawn(forward(stream, target, state, resets, running.clone()));
            }
        });
        Self {
            address,
            fault,
            history: Rc::default(),
            blackhole_count,
            reset_side,
        }
    }

    /// Resets the connections that are open on one side. The other side stays open for
    /// [`HALF_OPEN_TIME`] without carrying data. New connections work.
    pub fn reset_open_connections(&self, side: Side) {
        self.reset_side.send_replace(side);
    }

    /// Returns when the target could not be reached, up to now.
    pub fn unreachable(&self) -> Vec<Period> {
        let history = self.history.borrow();
        let ends = history.iter().skip(1).map(|(began, _)| *began);
        let periods = history.iter().zip(ends.chain([Instant::now()]));
        let separating = periods.filter(|((_, fault), _)| fault.separates());
        separating
            .map(|((began, _), ended)| (*began, ended))
            .collect()
    }

    /// Silently drops all further data on the connections that are open, without closing them. New
    /// connections work.
    pub fn blackhole_open_connections(&self) {
        self.blackhole_count.set(self.blackhole_count.get() + 1);
    }

    /// Sets the fault of open and new connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.history.borrow_mut().push((Instant::now(), fault));
        self.fault.set(fault);
    }
}

/// Connects to the target and forwards data in both directions until the connection ends.
async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    state: LinkState,
    mut resets: watch::Receiver<Side>,
    mut running: watch::Receiver<ServerState>,
) {
    let Ok(mut target_stream) = TcpStream::connect(target).await else {
        return reset(&stream);
    };
    for socket in [&stream, &target_stream] {
        // Failure only makes the proxy slower.
        let _ = socket.set_nodelay(true);
    }
    let (from_caller, to_caller) = stream.split();
    let (from_target, to_target) = target_stream.split();
    // A closed direction leaves the other one open; a failed direction ends both.
    let end = tokio::select! {
        biased;
        () = until_crash(&mut running) => End::Crash,
        side = until_side_reset(&mut resets) => End::Reset(side),
        _ = async {
            tokio::try_join!(
                copy(from_caller, to_target, &state, false),
                copy(from_target, to_caller, &state, true),
            )
        } => End::Closed,
    };
    match end {
        End::Crash => reset(&stream),
        End::Closed if state.fault.get() == LinkFault::Reset => reset(&stream),
        End::Closed => {}
        End::Reset(Side::Caller) => {
            reset(&stream);
            drop(stream);
            hold_open(target_stream, &mut running).await;
        }
        End::Reset(Side::Target) => {
            reset(&target_stream);
            drop(target_stream);
            hold_open(stream, &mut running).await;
        }
    }
}

/// How a connection through a proxy ends.
enum End {
    /// The target crashed.
    Crash,
    /// One side is reset.
    Reset(Side),
    /// Both directions have been closed, or one failed.
    Closed,
}

/// Waits until one side of the open connections is reset.
async fn until_side_reset(resets: &mut watch::Receiver<Side>) -> Side {
    if resets.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    *resets.borrow()
}

/// Reads from a connection whose other side was reset until it is closed, the target crashes, or
/// [`HALF_OPEN_TIME`] is over.
async fn hold_open(mut stream: TcpStream, running: &mut watch::Receiver<ServerState>) {
    let mut buffer = vec![0; 16 * 1024];
    let reading = async { while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
    tokio::select! {
        () = until_crash(running) => {}
        _ = actix_rt::time::timeout(HALF_OPEN_TIME, reading) => {}
    }
}

/// Waits until the target crashes.
async fn until_crash(running: &mut watch::Receiver<ServerState>) {
    let crash = running.wait_for(|state| *state == ServerState::Crashed);
    if crash.await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Makes the socket send a reset when it is closed.
fn reset(stream: &TcpStream) {
    // With zero linger, closing the socket resets the connection. On failure it closes normally.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Error for a connection that failed or was reset.
struct ConnectionFailed;

/// Forwards bytes in one direction until the sender closes it.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: &LinkState,
    is_from_target: bool,
) -> Result<(), ConnectionFailed> {
    let fault = &*state.fault;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = until_reset(fault) => return Err(ConnectionFailed),
        };
        let Ok(count) = read else {
            return Err(ConnectionFailed);
        };
        if count == 0 {
            // Fails if the receiver has closed the connection already.
            let _ = to.shutdown().await;
            return Ok(());
        }
        if state.is_blackholed() {
            continue;
        }
        match fault.get() {
            LinkFault::Delay(milliseconds) => {
                actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
            }
            LinkFault::Reset => return Err(ConnectionFailed),
            _ => until_unblocked(fault, is_from_target).await,
        }
        if state.is_blackholed() {
            continue;
        }
        if fault.get() == LinkFault::Reset || to.write_all(&buffer[..count]).await.is_err() {
            return Err(ConnectionFailed);
        }
    }
}

/// Waits until the fault is [`LinkFault::Reset`].
async fn until_reset(fault: &Cell<LinkFault>) {
    while fault.get() != LinkFault::Reset {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the fault no longer holds back this direction.
async fn until_unblocked(fault: &Cell<LinkFault>, is_from_target: bool) {
    loop {
        match fault.get() {
            LinkFault::Silence => {}
            LinkFault::SilenceFromTarget if is_from_target => {}
            _ => return,
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
