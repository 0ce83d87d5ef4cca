//! One endpoint of a soak, behind its link.

use std::io;
use std::time::{Duration, Instant};

use super::callers::{BULK, HARMFUL_PATH};
use super::proxy::{Mode, Proxy};
use crate::shared::{FencedEndpoint, Ran, STABLE};

/// Time that endpoints work on a request.
pub(super) const WORK: Duration = Duration::from_millis(15);

/// An endpoint behind its link.
#[derive(Debug)]
pub(super) struct Server {
    pub now: FencedEndpoint,
    /// Earlier starts at its address.
    pub ended: Vec<FencedEndpoint>,
    pub link: Proxy,
    /// Times in which the link misbehaved.
    pub disturbed: Vec<(Instant, Option<Instant>)>,
    pub service: &'static str,
}

impl Server {
    /// Starts it with its link.
    pub fn start(name: &str, service: &'static str) -> io::Result<Self> {
        let now = started(name, service)?;
        let link = Proxy::start(now.address())?;
        Ok(Self {
            now,
            ended: Vec::new(),
            link,
            disturbed: Vec::new(),
            service,
        })
    }

    /// Ends what was wrong with its link.
    pub fn mend_link(&mut self) {
        self.link.set(Mode::Pass);
        for (_, until) in &mut self.disturbed {
            until.get_or_insert_with(Instant::now);
        }
    }

    /// Whether the link misbehaved at any time between two moments.
    pub fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        let mut all = self.disturbed.iter();
        all.any(|(began, until)| *began <= to && until.is_none_or(|until| from < until))
    }

    /// Whether the link misbehaves or has just done so.
    pub fn is_disturbed(&self, at: Instant) -> bool {
        let mut all = self.disturbed.iter();
        all.any(|(from, until)| *from <= at && until.is_none_or(|until| at < until + STABLE))
    }
}

pub(super) fn is_harmful(ran: &Ran) -> bool {
    ran.what.ends_with(HARMFUL_PATH)
}

/// An endpoint as soaks use it.
pub(super) fn started(name: &str, service: &str) -> io::Result<FencedEndpoint> {
    let endpoint = FencedEndpoint::start(name, service, service == "batch")?;
    endpoint.echo();
    endpoint.work(WORK);
    endpoint.crash_on(HARMFUL_PATH);
    endpoint.answer_long(BULK.0, BULK.1);
    // About every other endpoint echoes no ids in answers to orders.
    if name.bytes().last().is_some_and(|last| last % 2 == 1) {
        endpoint.hide_order_ids();
    }
    Ok(endpoint)
}
