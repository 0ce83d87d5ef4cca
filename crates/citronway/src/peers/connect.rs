//! Connecting to another instance and greeting it.

use std::rc::Rc;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::{VatId, VatNetwork};
use citronway_core::ids::{InstanceName, Session};
use citronway_wire::WireError;
use citronway_wire::convert::{read_challenge, read_greet_reply, write_hello};
use citronway_wire::greeting::{Hello, Nonce, Refusal};
use citronway_wire::peer_capnp::{link, peer};
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::context::Context;
use super::counted::Counted;
use super::link::{Connected, Link};
use super::remote::Remote;

/// Why no link came about.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("no connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("the connection broke during the greeting: {0}")]
    Rpc(#[from] capnp::Error),
    #[error("no greeting in time")]
    Timeout,
    #[error("malformed greeting: {0}")]
    Wire(#[from] WireError),
    #[error(transparent)]
    Refused(#[from] Refusal),
    #[error("the other side does not know the shared key")]
    NotProved,
    #[error("the address belongs to {found}, not to {expected}")]
    OtherInstance {
        found: Session,
        expected: InstanceName,
    },
}

/// Connects and greets, within the connect timeout.
pub(super) async fn connect(cx: &Context, remote: &Remote) -> Result<Connected, ConnectError> {
    tokio::time::timeout(cx.cfg.connect_timeout, connect_and_greet(cx, remote))
        .await
        .unwrap_or(Err(ConnectError::Timeout))
}

async fn connect_and_greet(cx: &Context, remote: &Remote) -> Result<Connected, ConnectError> {
    let stream = TcpStream::connect(remote.address).await?;
    let network = network(cx, stream, Side::Client)?;
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = rpc.bootstrap(Side::Server);
    let (session, client) = tokio::select! {
        greeted = greet(cx, &client) => greeted?,
        ended = &mut rpc => return Err(ended.err().unwrap_or_else(closed).into()),
    };
    if session.instance != remote.instance {
        let expected = remote.instance.clone();
        let found = session;
        return Err(ConnectError::OtherInstance { found, expected });
    }
    cx.counters.links_opened.add(1);
    let link = Rc::new(Link::new(session, client, &cx.cfg));
    Ok(Connected { link, rpc })
}

async fn greet(
    cx: &Context,
    client: &peer::Client,
) -> Result<(Session, link::Client), ConnectError> {
    let cfg = &cx.cfg;
    let challenged = client.challenge_request().send().promise.await?;
    let challenge = read_challenge(challenged.get()?)?;
    let nonce = Nonce::random();
    let hello = Hello::new(&cfg.me, &cfg.zone, nonce, &challenge, &cfg.shared_key);
    let mut req = client.greet_request();
    write_hello(&hello, req.get().init_hello());
    let greeted = req.send().promise.await?;
    let (welcome, link) = read_greet_reply(greeted.get()?.get_reply()?)??;
    if !welcome.is_proved(&nonce, &challenge, &cfg.shared_key) {
        return Err(ConnectError::NotProved);
    }
    Ok((welcome.session, link))
}

fn closed() -> capnp::Error {
    capnp::Error::disconnected("closed by the other side".to_owned())
}

/// Puts the codec onto a connection, with the limit on incoming messages.
pub(super) fn network(
    cx: &Context,
    stream: TcpStream,
    side: VatId,
) -> std::io::Result<VatNetwork<impl futures::AsyncRead + Unpin + 'static>> {
    // Without it a small message waits for the acknowledgement of the last one.
    stream.set_nodelay(true)?;
    let (rx, tx) = stream.into_split();
    let rx = BufReader::new(Counted::new(rx.compat(), &cx.counters));
    let tx = BufWriter::new(Counted::new(tx.compat_write(), &cx.counters));
    Ok(VatNetwork::new(rx, tx, side, reader_options(cx)))
}

/// Limit on what one incoming message can claim.
///
/// Failure guarded against: a frame whose header announces gigabytes makes the
/// receiver allocate them. The codec refuses the frame by its header, which ends
/// this one connection. The limit counts each read of a part, and parts are read
/// up to twice (once for their size), hence the factor; senders keep to
/// `max_message_bytes`.
fn reader_options(cx: &Context) -> ReaderOptions {
    const BYTES_PER_WORD: usize = 8;
    const READS: usize = 2;
    let words = cx.cfg.max_message_bytes / BYTES_PER_WORD;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words * READS));
    options
}
