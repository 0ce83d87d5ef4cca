//! The outgoing link to one session.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp_rpc::RpcSystem;
use capnp_rpc::twoparty::VatId;
use citronway_core::ids::Session;
use citronway_core::node::Event;
use citronway_wire::peer_capnp::link;
use futures::FutureExt;
use tokio_util::sync::CancellationToken;

use super::config::PeersConfig;
use super::context::Context;
use super::control_queue::{ControlQueue, Encoded};
use super::patience::within;

/// Time between two notices that a session still answers.
const SHOW_EVERY: Duration = Duration::from_secs(1);

/// A greeted session that this instance is connected to.
pub(super) struct Link {
    /// The session at the other end.
    pub(super) session: Session,
    /// Its interface.
    pub(super) client: link::Client,
    /// Control messages that wait.
    pub(super) control: ControlQueue,
    /// Cancelled when the link has ended.
    pub(super) closed: CancellationToken,
    /// When the session last showed that it still answers at its address.
    shown: Cell<Option<Instant>>,
    forwards: Cell<usize>,
    forward_bytes: Cell<usize>,
    max_forwards: usize,
    max_forward_bytes: usize,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Link({})", self.session)
    }
}

/// Room taken by one forward on a link; given back when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    link: Rc<Link>,
    bytes: usize,
}

impl Link {
    pub(super) fn new(session: Session, client: link::Client, cfg: &PeersConfig) -> Self {
        Self {
            session,
            client,
            control: ControlQueue::new(cfg.max_queued_control),
            closed: CancellationToken::new(),
            shown: Cell::new(None),
            forwards: Cell::new(0),
            forward_bytes: Cell::new(0),
            max_forwards: cfg.max_in_flight,
            max_forward_bytes: cfg.max_in_flight_bytes,
        }
    }

    /// Ends the link; what is in flight on it ends as lost.
    pub(super) fn close(&self) {
        self.closed.cancel();
    }

    /// Takes room for a forward of `bytes`, or `None` if the link is full.
    pub(super) fn acquire(self: &Rc<Self>, bytes: usize) -> Option<Permit> {
        let forwards = self.forwards.get() + 1;
        let forward_bytes = self.forward_bytes.get() + bytes;
        if forwards > self.max_forwards || forward_bytes > self.max_forward_bytes {
            return None;
        }
        self.forwards.set(forwards);
        self.forward_bytes.set(forward_bytes);
        Some(Permit {
            link: Rc::clone(self),
            bytes,
        })
    }

    /// Sends control messages, one call at a time: what comes up during a call
    /// goes together into the next one. When the duty stops it first sends what
    /// waits, such as a handover.
    async fn pump_control(&self, cx: &Context) -> LinkEnd {
        loop {
            let max_bytes = cx.cfg.max_control_bytes();
            let batch = tokio::select! {
                biased;
                batch = self.control.next_batch(max_bytes) => batch,
                () = cx.stopping.cancelled() => return LinkEnd::Stopped,
            };
            match self.send_control(cx, &batch).await {
                Ok(()) => self.show(cx),
                Err(LinkEnd::Refused(err)) => {
                    log::error!(session:% = self.session, err:%; "control messages refused");
                }
                Err(end) => return end,
            }
        }
    }

    /// Says again that the session answers at its address.
    ///
    /// Failure guarded against: a stored row that is read only after the greeting
    /// names an earlier session of this instance. One greeting alone would leave
    /// that session alive in the eyes of its successors for good.
    fn show(&self, cx: &Context) {
        let now = Instant::now();
        let shown = self.shown.get();
        if shown.is_some_and(|at| now.duration_since(at) < SHOW_EVERY) {
            return;
        }
        self.shown.set(Some(now));
        cx.events.push(Event::PeerUp {
            session: self.session.clone(),
            at_its_address: true,
        });
    }

    async fn send_control(&self, cx: &Context, batch: &[Rc<Encoded>]) -> Result<(), LinkEnd> {
        let mut req = self.client.control_request();
        let len = u32::try_from(batch.len()).expect("a batch has at most MAX_BATCH messages");
        let mut list = req.get().init_messages(len);
        for (i, message) in (0..).zip(batch) {
            let reader = message.0.reader().map_err(LinkEnd::Refused)?;
            list.set_with_caveats(i, reader).map_err(LinkEnd::Refused)?;
            cx.counters.control_bytes_sent.add(message.0.bytes());
        }
        cx.counters.control_messages_sent.add(batch.len());
        cx.counters.control_calls_sent.add(1);
        let sent = req.send().promise;
        match within(cx.cfg.control_timeout, sent).await {
            Some(Ok(_)) => Ok(()),
            Some(Err(err)) if err.kind == capnp::ErrorKind::Disconnected => {
                Err(LinkEnd::Broken(err))
            }
            Some(Err(err)) => Err(LinkEnd::Refused(err)),
            None => Err(LinkEnd::Silent),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let link = &self.link;
        link.forwards.set(link.forwards.get() - 1);
        link.forward_bytes
            .set(link.forward_bytes.get() - self.bytes);
    }
}

/// How a link ends.
#[derive(Debug, thiserror::Error)]
enum LinkEnd {
    #[error("connection broken: {0}")]
    Broken(#[source] capnp::Error),
    #[error("control messages not confirmed in time")]
    Silent,
    #[error("stopping")]
    Stopped,
    #[error("call refused: {0}")]
    Refused(#[source] capnp::Error),
}

/// A link with the connection that carries it.
pub(super) struct Connected {
    /// The link.
    pub(super) link: Rc<Link>,
    /// The codec on the connection.
    pub(super) rpc: RpcSystem<VatId>,
}

impl Connected {
    /// Carries the link until it ends.
    ///
    /// Failure guarded against: a peer is frozen or cut off and its connection
    /// stays open without a word. Work would be handed to it and nothing would
    /// ever come back. Each heartbeat has to be confirmed within the control
    /// timeout, or the link is given up and its forwards end as lost.
    pub(super) async fn run(self, cx: &Context) {
        let Self { link, mut rpc } = self;
        let disconnector = rpc.get_disconnector();
        let session = &link.session;
        log::info!(session:%; "link up");
        tokio::select! {
            ended = &mut rpc => log::warn!(session:%, ended:?; "link down"),
            end = link.pump_control(cx) => log::warn!(session:%, end:%; "link down"),
            () = link.closed.cancelled() => log::info!(session:%; "link closed"),
        }
        link.close();
        // Frees the codec's tables; what is still unwritten is not waited for.
        let _ = disconnector.now_or_never();
    }
}
