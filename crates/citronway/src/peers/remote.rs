//! One other instance, and the task that keeps it connected.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use citronway_core::ids::{InstanceName, Session};
use citronway_core::node::Event;
use tokio::sync::Notify;

use super::backoff::Backoff;
use super::connect::{ConnectError, connect};
use super::context::{Context, random};
use super::link::{Connected, Link};

/// One other instance of the platform's list.
#[derive(Debug)]
pub(super) struct Remote {
    /// Its name.
    pub(super) instance: InstanceName,
    /// Where it listens.
    pub(super) address: SocketAddr,
    link: RefCell<Option<Rc<Link>>>,
    listed: Cell<bool>,
    replaced: Cell<bool>,
    retry: Notify,
}

impl Remote {
    pub(super) fn new(instance: InstanceName, address: SocketAddr) -> Self {
        Self {
            instance,
            address,
            link: RefCell::default(),
            listed: Cell::new(true),
            replaced: Cell::new(false),
            retry: Notify::new(),
        }
    }

    /// The link, if there is one at present.
    pub(super) fn link(&self) -> Option<Rc<Link>> {
        self.link.borrow().as_ref().map(Rc::clone)
    }

    /// Whether the instance is on the list.
    ///
    /// Failure guarded against: the list lags or comes back empty after an
    /// outage of the platform. Were links cut for that, work in flight on healthy
    /// instances would end as `may have run`. So a link lives until it breaks; an
    /// instance off the list is only not connected again.
    pub(super) fn set_listed(&self, listed: bool) {
        if self.listed.replace(listed) != listed {
            self.retry.notify_one();
        }
    }

    /// The list gives another address: the process at the old one is no more ours.
    pub(super) fn replace(&self) {
        self.replaced.set(true);
        self.set_listed(false);
        if let Some(link) = self.link() {
            link.close();
        }
    }

    /// A session of this instance is known to run.
    pub(super) fn met(&self, session: &Session) {
        let Some(link) = self.link() else {
            self.retry.notify_one();
            return;
        };
        if link.session != *session {
            log::info!(session:%, was:% = link.session; "instance has started again");
            link.close();
            self.retry.notify_one();
        }
    }

    /// Whether the task has to try again after a link or an attempt ended.
    fn goes_on(&self, cx: &Context) -> bool {
        self.listed.get() && !cx.stopping.is_cancelled()
    }
}

/// Connects again and again for as long as the instance is listed.
pub(super) async fn keep_connected(cx: Rc<Context>, remote: Rc<Remote>) {
    let mut backoff = Backoff::new(cx.cfg.first_backoff, cx.cfg.longest_backoff);
    let mut told_down = false;
    while remote.goes_on(&cx) {
        match connect(&cx, &remote).await {
            // The address may have been replaced while it was being connected.
            Ok(_) if remote.replaced.get() => break,
            Ok(connected) => {
                backoff.reset();
                told_down = false;
                carry(&cx, &remote, connected).await;
            }
            Err(err) => log_failure(&remote, &err, told_down),
        }
        if !told_down && !remote.replaced.get() {
            told_down = true;
            let instance = remote.instance.clone();
            cx.events.push(Event::PeerDown { instance });
        }
        tokio::select! {
            () = tokio::time::sleep(backoff.pause(random())) => {}
            () = remote.retry.notified() => {}
            () = cx.stopping.cancelled() => {}
        }
    }
    forget(&cx, &remote);
}

/// Carries a greeted link until it ends.
async fn carry(cx: &Context, remote: &Remote, connected: Connected) {
    let session = connected.link.session.clone();
    *remote.link.borrow_mut() = Some(Rc::clone(&connected.link));
    cx.events.push(Event::PeerUp {
        session,
        at_its_address: true,
    });
    connected.run(cx).await;
    *remote.link.borrow_mut() = None;
}

/// Warns of the first failure in a row; an instance that is gone for long would
/// otherwise fill the log.
fn log_failure(remote: &Remote, err: &ConnectError, is_repeated: bool) {
    let level = if is_repeated {
        log::Level::Debug
    } else {
        log::Level::Warn
    };
    let instance = remote.instance.as_str();
    log::log!(level, instance, address:% = remote.address, err:%; "cannot connect");
}

/// Takes the instance off the map, unless it was listed anew meanwhile.
fn forget(cx: &Context, remote: &Rc<Remote>) {
    let mut remotes = cx.remotes.borrow_mut();
    let is_same = remotes
        .get(&remote.instance)
        .is_some_and(|present| Rc::ptr_eq(present, remote));
    if is_same {
        remotes.swap_remove(&remote.instance);
    }
}
