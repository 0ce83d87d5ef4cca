//! Whether an endpoint ever worked for two dispatchers in turns.

use citronway_core::ids::Epoch;
use indexmap::IndexMap;

use crate::endpoint::Run;

/// Runs at one endpoint that began after a run for a higher dispatch epoch, or for
/// another dispatcher of the same epoch.
#[must_use]
pub fn begun_out_of_turn(runs: &[Run]) -> Vec<&Run> {
    let mut in_order = runs.iter().collect::<Vec<_>>();
    in_order.sort_by_key(|run| (run.start, run.dispatch_epoch));
    let mut dispatchers: IndexMap<Epoch, &str> = IndexMap::new();
    let mut highest = Epoch::default();
    let mut found = Vec::new();
    for run in in_order {
        let dispatcher = *dispatchers
            .entry(run.dispatch_epoch)
            .or_insert(&run.dispatcher);
        if run.dispatch_epoch < highest || dispatcher != run.dispatcher {
            found.push(run);
        }
        highest = highest.max(run.dispatch_epoch);
    }
    found
}
