//! Demand by queue and rank, as a part of datagrams.

use citronway_core::gateway::fleet_admission::QueueDemand;
use citronway_core::gateway::pace::EndpointTag;

use crate::report_capnp::queue_demand;

type List<'a> = capnp::struct_list::Reader<'a, queue_demand::Owned>;

/// Numbers of 16 bits in one field.
const PACKED: usize = 4;

pub(crate) fn write_all(
    from: &[QueueDemand],
    mut to: capnp::struct_list::Builder<'_, queue_demand::Owned>,
) {
    for (from, i) in from.iter().zip(0..) {
        let mut to = to.reborrow().get(i);
        to.set_queue(from.queue.0);
        let (in_time, late) = from.waiting.split_at(PACKED);
        to.set_waiting(packed(in_time));
        to.set_waiting_late(packed(late));
        to.set_arrivals(packed(&from.arrivals));
        let (soon, late) = from.returns.split_at(PACKED);
        to.set_soon_returns(packed(soon));
        to.set_late_returns(packed(late));
    }
}

/// Reads the demand; `None` if the sender states none.
pub(crate) fn read(
    from: Option<capnp::Result<List<'_>>>,
) -> capnp::Result<Option<Vec<QueueDemand>>> {
    let Some(from) = from else {
        return Ok(None);
    };
    let all = from?.iter().map(|from| QueueDemand {
        queue: EndpointTag(from.get_queue()),
        waiting: joined(from.get_waiting(), from.get_waiting_late()),
        arrivals: unpacked(from.get_arrivals()),
        returns: joined(from.get_soon_returns(), from.get_late_returns()),
    });
    Ok(Some(all.collect()))
}

fn joined(first: u64, last: u64) -> [u32; 2 * PACKED] {
    let mut all = [0; 2 * PACKED];
    let numbers = unpacked(first).into_iter().chain(unpacked(last));
    for (to, number) in all.iter_mut().zip(numbers) {
        *to = number;
    }
    all
}

/// Numbers as parts of one, the first in the lowest bits; larger ones than fit are cut off.
fn packed(numbers: &[u32]) -> u64 {
    let numbers = numbers.iter().rev().take(PACKED);
    numbers.fold(0, |packed, number| {
        packed << 16 | u64::from(u16::try_from(*number).unwrap_or(u16::MAX))
    })
}

fn unpacked(packed: u64) -> [u32; PACKED] {
    [0, 16, 32, 48].map(|shift| {
        let number = packed >> shift & u64::from(u16::MAX);
        u32::try_from(number).unwrap_or_default()
    })
}
