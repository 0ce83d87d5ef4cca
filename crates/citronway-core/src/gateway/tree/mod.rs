//! Three-level tree for reports and totals in a large fleet.
//!
//! The leader divides the instances of each availability zone into groups and sends the list of
//! members to one instance of each group, its delegate. Members report to the instance that
//! forwards the leader's totals to them, and the delegate aggregates their reports. This needs
//! neither the store nor a vote: two delegates at once, or none for a short time, only make the
//! data older.
//!
//! With groups of the size of the square root of the fleet, the leader and each delegate exchange
//! messages with about that many instances, and a member with one.

mod position;
mod report;

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::gateway::election::Strength;
use crate::ids::{InstanceName, ZoneName};
use crate::time::Mono;

pub use position::{Role, TreePosition};
pub use report::GatheredReports;

/// Interval at which the leader sends totals, in milliseconds.
pub const TOTALS_INTERVAL_MS: u64 = 200;

/// Silence in milliseconds after which a delegate is replaced: four of its reports.
///
/// Its members get totals from the next delegate 0.2 s later, well before they consider the leader
/// silent.
const DELEGATE_SILENT_MS: u64 = 400;

/// Silence in milliseconds after which an instance is removed from its group and probed by the
/// leader itself. It is long enough to outlast a change of the delegate.
const MEMBER_SILENT_MS: u64 = 1_500;

/// Shortest and longest interval between two probes of a silent instance, in milliseconds. A
/// returned instance is found within 2 s, and probing 6,000 lost ones takes 3,000 messages a
/// second.
const PROBE_INTERVAL_MS: (u64, u64) = (200, 2_000);

/// Time in milliseconds for which an instance that lost contact with its delegate, but not with the
/// leader, is not put into that group again.
const AVOID_DELEGATE_MS: u64 = 5_000;

/// Factor, as numerator and denominator, by which a group may exceed the square root of the fleet
/// size.
const GROUP_SLACK: (usize, usize) = (3, 2);

/// An instance that can be part of the tree, as the leader knows it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceName,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Time of the last report of it, its own or a delegate's; `None` without any.
    pub heard: Option<Mono>,
    /// Time of the last report that it sent itself; `None` without any.
    pub heard_directly: Option<Mono>,
    /// Part of a leader's work that its machine can do.
    pub strength: Strength,
    /// Whether it is not stopping.
    pub is_staying: bool,
}

/// A recipient of the leader's totals and the members to which it forwards them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// Address of the recipient.
    pub to: SocketAddr,
    /// Addresses to which the recipient forwards the totals.
    pub members: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Group {
    zone: ZoneName,
    delegate: InstanceName,
    /// Time at which the delegate was chosen.
    since: Mono,
    members: Vec<InstanceName>,
}

/// Last probe of a silent instance.
#[derive(Debug, Clone, Copy)]
struct Probe {
    at: Mono,
    /// Time until the next probe, in milliseconds.
    pause_ms: u64,
}

/// Assignment of all instances to groups, as the leader keeps it.
#[derive(Debug, Default)]
pub struct Tree {
    groups: Vec<Group>,
    /// Last probe of each silent instance.
    probes: IndexMap<InstanceName, Probe>,
    /// Delegate with which an instance lost contact, and the time of it.
    lost_contact: IndexMap<InstanceName, (InstanceName, Mono)>,
}

impl Tree {
    /// Removes all groups. A new leader calls this.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Delegate and number of members of each group.
    pub fn groups(&self) -> impl Iterator<Item = (&InstanceName, usize)> {
        let groups = self.groups.iter();
        groups.map(|group| (&group.delegate, group.members.len()))
    }

    /// Updates the groups and returns the recipients of the totals to be sent now.
    pub fn plan(&mut self, now: Mono, all: &[Candidate<'_>]) -> Vec<Branch> {
        let by_name: IndexMap<_, _> = all
            .iter()
            .map(|candidate| (candidate.instance, candidate))
            .collect();
        let is_heard = |name: &InstanceName| {
            let candidate = by_name.get(name);
            candidate.is_some_and(|candidate| is_within(now, candidate.heard, MEMBER_SILENT_MS))
        };
        self.remove_silent(now, &by_name, &is_heard);
        self.replace_delegates(now, &by_name);
        self.place_ungrouped(now, all, &is_heard);
        let mut branches = self.branches(&by_name);
        let silent = all.iter().filter(|candidate| !is_heard(candidate.instance));
        self.probes.retain(|name, _| !is_heard(name));
        branches.extend(silent.filter_map(|candidate| self.probe(now, candidate)));
        branches
    }

    /// Removes silent and unlisted members from their groups.
    fn remove_silent(
        &mut self,
        now: Mono,
        by_name: &IndexMap<&InstanceName, &Candidate<'_>>,
        is_heard: &impl Fn(&InstanceName) -> bool,
    ) {
        for group in &mut self.groups {
            let delegate = &group.delegate;
            let lost_contact = &mut self.lost_contact;
            group.members.retain(|name| {
                let heard = is_heard(name);
                if !heard {
                    lost_contact.insert(name.clone(), (delegate.clone(), now));
                }
                heard && by_name.contains_key(name)
            });
        }
        self.lost_contact
            .retain(|_, (_, at)| now.since(*at) < AVOID_DELEGATE_MS);
    }

    /// Chooses another member as delegate where the delegate is silent or stopping, and removes
    /// groups without members whose delegate is silent.
    fn replace_delegates(&mut self, now: Mono, by_name: &IndexMap<&InstanceName, &Candidate<'_>>) {
        let works = |name: &InstanceName, since: Mono| {
            by_name.get(name).is_some_and(|candidate| {
                let heard = candidate.heard_directly.max(Some(since));
                candidate.is_staying && is_within(now, heard, DELEGATE_SILENT_MS)
            })
        };
        for group in &mut self.groups {
            if works(&group.delegate, group.since) {
                continue;
            }
            let members = group.members.iter().filter_map(|name| by_name.get(name));
            let eligible = members.filter(|candidate| candidate.is_staying);
            let next = eligible.max_by_key(|candidate| {
                (
                    candidate.strength,
                    candidate.heard,
                    Reverse(candidate.instance),
                )
            });
            let Some(next) = next.map(|candidate| candidate.instance.clone()) else {
                continue;
            };
            group.members.retain(|name| *name != next);
            let before = std::mem::replace(&mut group.delegate, next);
            group.since = now;
            // The former delegate remains a member until it is silent.
            group.members.push(before);
        }
        self.groups.retain(|group| {
            let heard = by_name
                .get(&group.delegate)
                .and_then(|candidate| candidate.heard);
            !group.members.is_empty() || is_within(now, heard, MEMBER_SILENT_MS)
        });
    }

    /// Adds each instance with recent reports that is in no group to a group of its zone, or makes
    /// it the delegate of a new group.
    fn place_ungrouped(
        &mut self,
        now: Mono,
        all: &[Candidate<'_>],
        is_heard: &impl Fn(&InstanceName) -> bool,
    ) {
        let heard = all
            .iter()
            .filter(|candidate| is_heard(candidate.instance))
            .count();
        let size = heard.isqrt().max(1);
        let grouped: indexmap::IndexSet<_> = self
            .groups
            .iter()
            .flat_map(|group| group.members.iter().chain([&group.delegate]))
            .cloned()
            .collect();
        let ungrouped = |candidate: &&Candidate<'_>| {
            is_heard(candidate.instance) && !grouped.contains(candidate.instance)
        };
        let mut ungrouped: Vec<_> = all.iter().filter(ungrouped).collect();
        // The strongest first, because the instance that opens a group is its delegate.
        ungrouped.sort_by_key(|candidate| {
            (
                candidate.zone,
                Reverse((candidate.is_staying, candidate.strength)),
                candidate.instance,
            )
        });
        let mut zone_sizes = IndexMap::<&ZoneName, usize>::new();
        for candidate in &ungrouped {
            *zone_sizes.entry(candidate.zone).or_default() += 1;
        }
        for group in &self.groups {
            if let Some(count) = zone_sizes.get_mut(&group.zone) {
                *count += group.members.len() + 1;
            }
        }
        for candidate in ungrouped {
            let wanted = zone_sizes
                .get(candidate.zone)
                .map_or(1, |count| count.div_ceil(size + 1));
            let most = size * GROUP_SLACK.0 / GROUP_SLACK.1;
            let avoided = self
                .lost_contact
                .get(candidate.instance)
                .map(|(name, _)| name);
            let groups_in_zone = self
                .groups
                .iter()
                .filter(|group| group.zone == *candidate.zone)
                .count();
            let room = self.groups.iter_mut().filter(|group| {
                group.zone == *candidate.zone
                    && group.members.len() < most
                    && avoided != Some(&group.delegate)
            });
            let least = room.min_by_key(|group| group.members.len());
            match least {
                Some(group) if groups_in_zone >= wanted || !candidate.is_staying => {
                    group.members.push(candidate.instance.clone());
                }
                _ => self.groups.push(Group {
                    zone: candidate.zone.clone(),
                    delegate: candidate.instance.clone(),
                    since: now,
                    members: Vec::new(),
                }),
            }
        }
    }

    /// The delegates and members of all groups, as recipients of the totals.
    fn branches(&self, by_name: &IndexMap<&InstanceName, &Candidate<'_>>) -> Vec<Branch> {
        let address = |name: &InstanceName| by_name.get(name).map(|candidate| candidate.address);
        let groups = self.groups.iter().filter_map(|group| {
            Some(Branch {
                to: address(&group.delegate)?,
                members: group.members.iter().filter_map(address).collect(),
            })
        });
        groups.collect()
    }

    /// Probes a silent instance by sending it the totals; `None` if the next probe is not due yet.
    fn probe(&mut self, now: Mono, candidate: &Candidate<'_>) -> Option<Branch> {
        let before = self.probes.get(candidate.instance).copied();
        if before.is_some_and(|probe| now.since(probe.at) < probe.pause_ms) {
            return None;
        }
        let pause_ms = before.map_or(PROBE_INTERVAL_MS.0, |probe| {
            (probe.pause_ms * 2).min(PROBE_INTERVAL_MS.1)
        });
        let probe = Probe { at: now, pause_ms };
        self.probes.insert(candidate.instance.clone(), probe);
        Some(Branch {
            to: candidate.address,
            members: Vec::new(),
        })
    }
}

/// Whether `at` is less than `limit_ms` ago; false for `None`.
fn is_within(now: Mono, at: Option<Mono>, limit_ms: u64) -> bool {
    at.is_some_and(|at| now.since(at) < limit_ms)
}
