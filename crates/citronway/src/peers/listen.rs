//! Incoming connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use citronway_wire::peer_capnp::peer;
use futures::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::connect::network;
use super::context::Context;
use super::greeter::Greeter;

/// Pause after a failed accept, which mostly means that no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// When an incoming connection was last heard of.
#[derive(Debug)]
pub(super) struct Activity {
    last: Cell<Instant>,
    is_greeted: Cell<bool>,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self {
            last: Cell::new(now),
            is_greeted: Cell::new(false),
        }
    }

    /// A session was greeted on the connection.
    pub(super) fn greeted(&self) {
        self.is_greeted.set(true);
        self.heard();
    }

    /// A call came in.
    pub(super) fn heard(&self) {
        self.last.set(Instant::now());
    }

    /// When the connection is to be closed unless something is heard.
    fn end(&self, cx: &Context) -> Instant {
        let limit = if self.is_greeted.get() {
            cx.cfg.idle_timeout
        } else {
            cx.cfg.connect_timeout
        };
        self.last.get() + limit
    }
}

/// Takes connections until the duty stops.
pub(super) async fn listen(cx: Rc<Context>, listener: TcpListener) {
    let connections = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.stopping.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::error!(err:%; "cannot accept connections");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if connections.get() >= cx.cfg.max_connections {
            log::warn!("too many incoming connections, one more refused");
            continue;
        }
        connections.set(connections.get() + 1);
        let cx = Rc::clone(&cx);
        let connections = Rc::clone(&connections);
        tokio::task::spawn_local(async move {
            serve(&cx, stream).await;
            connections.set(connections.get() - 1);
        });
    }
}

/// Serves one connection until it breaks, falls silent or the duty stops.
///
/// Failure guarded against: the host at the other end is gone without a word, or
/// somebody connects and never greets. Such connections would stay for good and
/// use up the descriptors. Peers send heartbeats all the time, so a silent
/// connection is a dead one.
async fn serve(cx: &Rc<Context>, stream: TcpStream) {
    let network = match network(cx, stream, Side::Server) {
        Ok(network) => network,
        Err(err) => {
            log::warn!(err:%; "incoming connection lost at once");
            return;
        }
    };
    let activity = Rc::new(Activity::new(Instant::now()));
    let greeter: peer::Client = capnp_rpc::new_client(Greeter::new(cx, &activity));
    let mut rpc = RpcSystem::new(Box::new(network), Some(greeter.client));
    let disconnector = rpc.get_disconnector();
    loop {
        let end = activity.end(cx);
        tokio::select! {
            biased;
            () = cx.stopping.cancelled() => break,
            ended = &mut rpc => {
                log::debug!(ended:?; "incoming connection closed");
                return;
            }
            () = tokio::time::sleep_until(end) => {
                if Instant::now() < activity.end(cx) {
                    continue;
                }
                log::warn!("incoming connection silent, closed");
                // Frees the codec's tables; what is still unwritten is not waited for.
                let _ = disconnector.now_or_never();
                return;
            }
        }
    }
    tokio::select! {
        biased;
        () = finish(cx, disconnector) => {}
        _ = &mut rpc => {}
    }
}

/// Lets outcomes that were already given leave before the connection is closed.
async fn finish(cx: &Context, disconnector: capnp_rpc::Disconnector<capnp_rpc::twoparty::VatId>) {
    cx.replies.settled().await;
    if let Err(err) = disconnector.await {
        log::debug!(err:%; "incoming connection broke while closing");
    }
}
