//! The instance list, shown as it was some time ago.

use citronway_core::ids::InstanceName;
use citronway_core::platform::ListedInstance;
use citronway_core::time::Wall;
use indexmap::IndexMap;

/// A change of the list.
#[derive(Debug)]
enum Change {
    Registered(ListedInstance),
    Removed(InstanceName),
}

/// The instance list with its history.
#[derive(Debug, Default)]
pub struct Instances {
    changes: Vec<(Wall, Change)>,
}

impl Instances {
    /// Registers an instance or replaces what is known of it.
    pub fn register(&mut self, instance: ListedInstance, now: Wall) {
        self.changes.push((now, Change::Registered(instance)));
    }

    /// Takes an instance off the list.
    pub fn remove(&mut self, instance: InstanceName, now: Wall) {
        self.changes.push((now, Change::Removed(instance)));
    }

    /// The list as it was at `then`.
    #[must_use]
    pub fn seen_at(&self, then: Wall) -> Vec<ListedInstance> {
        let mut listed = IndexMap::new();
        for (at, change) in &self.changes {
            if *at > then {
                continue;
            }
            match change {
                Change::Registered(instance) => {
                    listed.insert(&instance.instance, instance);
                }
                Change::Removed(name) => {
                    listed.shift_remove(name);
                }
            }
        }
        listed.into_values().cloned().collect()
    }
}
