//! What an incoming connection may do before and while it greets.

use std::cell::Cell;
use std::rc::Rc;

use citronway_core::node::Event;
use citronway_wire::convert::{read_hello, write_refusal, write_welcome};
use citronway_wire::greeting::{Hello, Nonce, PROTOCOL_VERSION, Refusal, RefusalReason, Welcome};
use citronway_wire::peer_capnp::{greet_reply, peer};

use super::context::Context;
use super::link_server::LinkServer;
use super::listen::Activity;

/// Serves the greeting on one incoming connection.
#[derive(Debug)]
pub(super) struct Greeter {
    cx: Rc<Context>,
    activity: Rc<Activity>,
    /// The challenge that is open. It is used up by the next greeting, so that a
    /// recorded greeting proves nothing later.
    challenge: Cell<Option<Nonce>>,
}

impl Greeter {
    pub(super) fn new(cx: &Rc<Context>, activity: &Rc<Activity>) -> Self {
        Self {
            cx: Rc::clone(cx),
            activity: Rc::clone(activity),
            challenge: Cell::new(None),
        }
    }

    fn answer(&self, hello: &Hello, b: greet_reply::Builder<'_>) {
        let cfg = &self.cx.cfg;
        let challenge = self.challenge.take();
        let checked = hello.check(&cfg.me, challenge.as_ref(), &cfg.shared_key);
        match (checked, challenge) {
            (Ok(()), Some(challenge)) => self.accept(hello, &challenge, b),
            (Ok(()), None) => self.refuse(hello, RefusalReason::NotChallenged, b),
            (Err(reason), _) => self.refuse(hello, reason, b),
        }
    }

    fn accept(&self, hello: &Hello, challenge: &Nonce, b: greet_reply::Builder<'_>) {
        let cx = &self.cx;
        let session = &hello.session;
        log::info!(session:%, peer_zone:% = hello.zone; "greeted by");
        self.activity.greeted();
        cx.greeted_by(session);
        cx.events.push(Event::PeerUp {
            session: session.clone(),
            at_its_address: false,
        });
        let cfg = &cx.cfg;
        let welcome = Welcome::new(&cfg.me, &cfg.zone, &hello.nonce, challenge, &cfg.shared_key);
        let link = LinkServer::new(cx, &self.activity, session);
        write_welcome(&welcome, capnp_rpc::new_client(link), b.init_accepted());
    }

    fn refuse(&self, hello: &Hello, reason: RefusalReason, b: greet_reply::Builder<'_>) {
        let session = &hello.session;
        let version = hello.version;
        log::warn!(session:%, version, reason:%; "greeting refused");
        self.cx.counters.greetings_refused.add(1);
        let refusal = Refusal {
            reason,
            version: PROTOCOL_VERSION,
        };
        write_refusal(&refusal, b.init_refused());
    }
}

impl peer::Server for Greeter {
    async fn challenge(
        self: Rc<Self>,
        _params: peer::ChallengeParams,
        mut results: peer::ChallengeResults,
    ) -> capnp::Result<()> {
        let nonce = Nonce::random();
        self.challenge.set(Some(nonce));
        results.get().set_nonce(nonce.as_bytes());
        Ok(())
    }

    async fn greet(
        self: Rc<Self>,
        params: peer::GreetParams,
        mut results: peer::GreetResults,
    ) -> capnp::Result<()> {
        let hello = read_hello(params.get()?.get_hello()?)?;
        self.answer(&hello, results.get().init_reply());
        Ok(())
    }
}
