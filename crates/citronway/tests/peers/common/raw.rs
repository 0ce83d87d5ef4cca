//! The bare protocol, for peers that do not keep to it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use citronway_core::ids::{Session, ZoneName};
use citronway_core::outcome::Outcome;
use citronway_core::request::Request;
use citronway_wire::convert::{
    read_challenge, read_greet_reply, read_hello, read_outcome, write_hello, write_request,
    write_welcome,
};
use citronway_wire::greeting::{Hello, Nonce, Refusal, SharedKey, Welcome};
use citronway_wire::peer_capnp::{link, peer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

fn rpc(
    stream: TcpStream,
    side: Side,
    served: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (rx, tx) = stream.into_split();
    let network = VatNetwork::new(
        rx.compat(),
        tx.compat_write(),
        side,
        capnp::message::ReaderOptions::new(),
    );
    RpcSystem::new(Box::new(network), served)
}

/// Connects without a greeting.
pub async fn connect(to: SocketAddr) -> peer::Client {
    let stream = TcpStream::connect(to).await.expect("it listens");
    let mut rpc = rpc(stream, Side::Client, None);
    let client = rpc.bootstrap(Side::Server);
    tokio::task::spawn_local(rpc);
    client
}

/// Asks for a challenge and makes the greeting that answers it.
pub async fn hello(client: &peer::Client, me: &Session, key: &[u8]) -> Hello {
    let challenged = client.challenge_request().send().promise.await;
    let challenged = challenged.expect("it answers");
    let challenge = read_challenge(challenged.get().unwrap()).expect("well-formed");
    let zone = ZoneName::new("zone-a");
    Hello::new(me, &zone, Nonce::random(), &challenge, &SharedKey::new(key))
}

/// Sends a greeting.
pub async fn greet(client: &peer::Client, hello: &Hello) -> Result<link::Client, Refusal> {
    let mut req = client.greet_request();
    write_hello(hello, req.get().init_hello());
    let greeted = req.send().promise.await.expect("it answers");
    let reply = greeted.get().unwrap().get_reply().unwrap();
    let (_, link) = read_greet_reply(reply).expect("well-formed")?;
    Ok(link)
}

/// Sends a request at once; the future is its outcome.
pub fn forward(link: &link::Client, request: &Request) -> impl Future<Output = Outcome> + use<> {
    let mut req = link.forward_request();
    let mut b = req.get();
    b.set_endpoint("endpoint-1");
    write_request(request, b.init_request());
    let sent = req.send().promise;
    async move {
        let response = sent.await.expect("it answers");
        let outcome = response.get().unwrap().get_outcome().unwrap();
        read_outcome(outcome).expect("well-formed")
    }
}

/// Listens and welcomes everybody as `me`, with the key it has.
pub async fn listen(me: Session, key: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let greeter = Greeter {
                me: me.clone(),
                key: SharedKey::new(key),
                challenge: RefCell::new(Nonce::random()),
            };
            let client: peer::Client = capnp_rpc::new_client(greeter);
            tokio::task::spawn_local(rpc(stream, Side::Server, Some(client.client)));
        }
    });
    address
}

struct Greeter {
    me: Session,
    key: SharedKey,
    challenge: RefCell<Nonce>,
}

struct NoLink;

impl link::Server for NoLink {}

impl peer::Server for Greeter {
    async fn challenge(
        self: Rc<Self>,
        _params: peer::ChallengeParams,
        mut results: peer::ChallengeResults,
    ) -> capnp::Result<()> {
        results.get().set_nonce(self.challenge.borrow().as_bytes());
        Ok(())
    }

    async fn greet(
        self: Rc<Self>,
        params: peer::GreetParams,
        mut results: peer::GreetResults,
    ) -> capnp::Result<()> {
        let hello = read_hello(params.get()?.get_hello()?)?;
        let zone = ZoneName::new("zone-b");
        let challenge = *self.challenge.borrow();
        let welcome = Welcome::new(&self.me, &zone, &hello.nonce, &challenge, &self.key);
        let accepted = results.get().init_reply().init_accepted();
        write_welcome(&welcome, capnp_rpc::new_client(NoLink), accepted);
        Ok(())
    }
}
