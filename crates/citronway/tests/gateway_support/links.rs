//! Links between instances and endpoints that can be cut.

use citronway_standin::soak::{Mode, Proxy};

use super::{Instance, until};

/// Cuts an instance off from all endpoints, and waits until it has noticed that.
pub fn cut_off(instance: &Instance, links: &[Proxy]) {
    for link in links {
        link.set_for(instance.callers.ip(), Mode::Reset);
    }
    until("the instance has noticed the cut", || {
        instance.call("GET /look/1", "n", super::load::KEY, "");
        instance.call("GET /status/1", "n", super::load::KEY, "");
        instance.metrics().contains("citronway_cut_off 1")
    });
}
