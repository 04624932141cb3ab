//! A TCP proxy on loopback that can disturb what passes through it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disturbance {
    /// They pass.
    #[default]
    None,
    /// Each piece waits for this long, in ms.
    Delay(u64),
    /// They stay here, in both directions, until this ends.
    Silence,
    /// What the target sends stays here until this ends.
    SilenceFromTarget,
    /// Connections are reset.
    Reset,
}

/// Interval at which a silenced direction looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    disturbance: Rc<Cell<Disturbance>>,
    /// How often the connections of the time were forgotten.
    forgotten: Rc<Cell<u64>>,
}

/// What one connection through the proxy meets.
struct Passage {
    disturbance: Rc<Cell<Disturbance>>,
    forgotten: Rc<Cell<u64>>,
    /// Value of `forgotten` when it was opened.
    opened: u64,
}

impl Passage {
    fn is_forgotten(&self) -> bool {
        self.forgotten.get() > self.opened
    }
}

impl Proxy {
    /// Begins to pass connections on to a target.
    pub fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        let listener = TcpListener::from_std(listener).expect("a runtime");
        let address = listener.local_addr().expect("an address");
        let disturbance = Rc::new(Cell::new(Disturbance::None));
        let forgotten = Rc::new(Cell::new(0));
        let shared = (disturbance.clone(), forgotten.clone());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let passage = Passage {
                    disturbance: shared.0.clone(),
                    opened: shared.1.get(),
                    forgotten: shared.1.clone(),
                };
                actix_rt::spawn(pass(stream, target, passage));
            }
        });
        Self {
            address,
            disturbance,
            forgotten,
        }
    }

    /// Forgets the connections that are open: nothing passes on them any more, and nobody is told.
    /// New ones work.
    pub fn forget(&self) {
        self.forgotten.set(self.forgotten.get() + 1);
    }

    /// Sets what becomes of bytes from now on.
    pub fn disturb(&self, disturbance: Disturbance) {
        self.disturbance.set(disturbance);
    }
}

async fn pass(stream: TcpStream, target: SocketAddr, passage: Passage) {
    let Ok(onward) = TcpStream::connect(target).await else {
        return reset(&stream);
    };
    for socket in [&stream, &onward] {
        // A proxy without this is only slower.
        let _ = socket.set_nodelay(true);
    }
    let reset_by = socket2::SockRef::from(&stream).try_clone();
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    // A direction that was closed leaves the other one open; one that broke ends both.
    let _ = tokio::try_join!(
        copy(from_caller, to_target, &passage, false),
        copy(from_target, to_caller, &passage, true),
    );
    if passage.disturbance.get() == Disturbance::Reset
        && let Ok(socket) = reset_by
    {
        // Closing then resets.
        let _ = socket.set_linger(Some(Duration::ZERO));
    }
}

fn reset(stream: &TcpStream) {
    // Closing resets with this option; without it, it closes.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Why a connection is of no further use.
struct Broken;

/// Passes bytes on in one direction until its sender closes it.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    passage: &Passage,
    is_from_target: bool,
) -> Result<(), Broken> {
    let disturbance = &*passage.disturbance;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = until_reset(disturbance) => return Err(Broken),
        };
        let Ok(count) = read else {
            return Err(Broken);
        };
        if count == 0 {
            // The other side may be gone too.
            let _ = to.shutdown().await;
            return Ok(());
        }
        if passage.is_forgotten() {
            continue;
        }
        match disturbance.get() {
            Disturbance::Delay(milliseconds) => {
                actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
            }
            Disturbance::Reset => return Err(Broken),
            _ => until_passing(disturbance, is_from_target).await,
        }
        if passage.is_forgotten() {
            continue;
        }
        if disturbance.get() == Disturbance::Reset || to.write_all(&buffer[..count]).await.is_err()
        {
            return Err(Broken);
        }
    }
}

async fn until_reset(disturbance: &Cell<Disturbance>) {
    while disturbance.get() != Disturbance::Reset {
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn until_passing(disturbance: &Cell<Disturbance>, is_from_target: bool) {
    loop {
        match disturbance.get() {
            Disturbance::Silence => {}
            Disturbance::SilenceFromTarget if is_from_target => {}
            _ => return,
        }
        actix_rt::time::sleep(LOOK).await;
    }
}
