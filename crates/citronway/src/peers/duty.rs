//! The duty's main task: carries out commands.

use std::net;
use std::rc::Rc;
use std::sync::Arc;

use citronway_core::ids::Session;
use citronway_core::node::Event;
use citronway_core::peer::PeerMessage;
use citronway_core::platform::ListedInstance;
use citronway_wire::convert::EncodedMessage;
use indexmap::IndexSet;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::command::PeerCommand;
use super::config::PeersConfig;
use super::context::Context;
use super::control_queue::Encoded;
use super::counters::PeerCounters;
use super::forward::{Forward, forward};
use super::link::Link;
use super::listen::listen;
use super::remote::{Remote, keep_connected};

/// Runs the duty until it is asked to stop.
pub(super) async fn run(
    cfg: PeersConfig,
    counters: Arc<PeerCounters>,
    listener: net::TcpListener,
    mut commands: mpsc::Receiver<PeerCommand>,
    events: mpsc::Sender<Event>,
) {
    let cx = Rc::new(Context::new(cfg, counters));
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            log::error!(err:%; "cannot listen for peers");
            return;
        }
    };
    let mut tasks = JoinSet::new();
    tasks.spawn_local(listen(Rc::clone(&cx), listener));
    let pump = Rc::clone(&cx);
    tokio::task::spawn_local(async move { pump.events.pump(events).await });
    while let Some(command) = commands.recv().await {
        if matches!(command, PeerCommand::Stop) {
            break;
        }
        carry_out(&cx, &mut tasks, command);
    }
    stop(&cx, tasks).await;
}

/// Sends what has been given, for no longer than the control timeout.
async fn stop(cx: &Context, mut tasks: JoinSet<()>) {
    cx.stopping.cancel();
    let all = async { while tasks.join_next().await.is_some() {} };
    if tokio::time::timeout(cx.cfg.control_timeout, all)
        .await
        .is_err()
    {
        log::warn!("stopped before all peers had taken the last messages");
    }
}

fn carry_out(cx: &Rc<Context>, tasks: &mut JoinSet<()>, command: PeerCommand) {
    match command {
        PeerCommand::SetInstances(instances) => set_instances(cx, tasks, &instances),
        PeerCommand::Forward {
            ticket,
            to,
            endpoint,
            dispatch_epoch,
            request,
        } => {
            let todo = Forward {
                ticket,
                to,
                endpoint,
                dispatch_epoch,
                request,
            };
            forward(cx, todo);
        }
        PeerCommand::Send { to, message } => send(cx, &to, &message),
        PeerCommand::Broadcast { message } => broadcast(cx, &message),
        PeerCommand::Reply { ticket, outcome } => cx.replies.deliver(ticket, outcome),
        PeerCommand::Stop => {}
    }
}

fn set_instances(cx: &Rc<Context>, tasks: &mut JoinSet<()>, instances: &[ListedInstance]) {
    let mut listed = IndexSet::new();
    for instance in instances {
        if instance.instance == cx.cfg.me.instance {
            continue;
        }
        listed.insert(&instance.instance);
        keep(cx, tasks, instance);
    }
    for (name, remote) in cx.remotes.borrow().iter() {
        remote.set_listed(listed.contains(name));
    }
}

/// Keeps connected to a listed instance, at the address that the list gives.
fn keep(cx: &Rc<Context>, tasks: &mut JoinSet<()>, instance: &ListedInstance) {
    let name = &instance.instance;
    let Ok(address) = instance.peer_address.parse() else {
        let address = instance.peer_address.as_str();
        log::error!(instance:% = name, address; "listed address is not of the form ip:port");
        return;
    };
    if let Some(present) = cx.remote(name) {
        if present.address == address {
            return;
        }
        present.replace();
    }
    let remote = Rc::new(Remote::new(name.clone(), address));
    let mut remotes = cx.remotes.borrow_mut();
    remotes.insert(name.clone(), Rc::clone(&remote));
    tasks.spawn_local(keep_connected(Rc::clone(cx), remote));
}

/// Queues a message for a session; one for a session that is not connected is
/// dropped, also when another session of its instance is.
fn send(cx: &Context, to: &Session, message: &PeerMessage) {
    let link = cx.remote(&to.instance).and_then(|remote| remote.link());
    let Some(link) = link.filter(|link| link.session == *to) else {
        cx.counters.control_unreachable.add(1);
        log::debug!(to:%; "control message to a session that is not connected");
        return;
    };
    let Some(encoded) = encode(cx, message) else {
        return;
    };
    queue(cx, &link, encoded);
}

fn broadcast(cx: &Context, message: &PeerMessage) {
    let Some(encoded) = encode(cx, message) else {
        return;
    };
    for remote in cx.remotes.borrow().values() {
        let Some(link) = remote.link() else {
            continue;
        };
        queue(cx, &link, Rc::clone(&encoded));
    }
}

/// Encodes a message, unless it is too large for the receiver, whose only answer
/// would be to drop the connection with all that is in flight on it.
fn encode(cx: &Context, message: &PeerMessage) -> Option<Rc<Encoded>> {
    let encoded = EncodedMessage::new(message);
    let bytes = encoded.bytes();
    if bytes > cx.cfg.max_control_bytes() {
        cx.counters.control_oversize.add(1);
        log::error!(bytes; "control message too large, dropped");
        return None;
    }
    Some(Rc::new(Encoded(encoded)))
}

fn queue(cx: &Context, link: &Link, message: Rc<Encoded>) {
    let dropped = link.control.push(message);
    if dropped > 0 {
        cx.counters.control_dropped.add(dropped);
        log::debug!(session:% = link.session, dropped; "control messages dropped, link is slow");
    }
}
