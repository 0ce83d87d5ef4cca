//! How reports and sums travel in a large fleet: a tree of three levels.
//!
//! The leader divides the instances of each availability zone into groups and tells one of
//! each, its delegate, who is in the group. Members report to whoever passes the leader's
//! sums on to them; a delegate sums their reports up. Neither the store nor a vote is
//! needed: two delegates at once, or none for a moment, cost freshness and nothing else.
//!
//! In a group of the square root of all, the leader and each delegate exchange messages
//! with about the square root of all instances, and a member with one.

mod place;
mod report;

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::gateway::election::Strength;
use crate::ids::{InstanceName, ZoneName};
use crate::time::Mono;

pub use place::{Role, TreePosition};
pub use report::GatheredReports;

/// Time between two of the leader's sums, in milliseconds.
pub const TOTALS_INTERVAL_MS: u64 = 200;

/// Silence after which a delegate is replaced, in milliseconds: four of its reports.
///
/// Its members hear the next one 0.2 s later, well before they take the leader for silent.
const DELEGATE_SILENT_MS: u64 = 400;

/// Silence after which an instance leaves its group and is called by the leader itself, in
/// milliseconds: long enough that it survives a change of its delegate.
const MEMBER_SILENT_MS: u64 = 1_500;

/// First and longest time between two calls of a silent instance, in milliseconds: one that
/// has come back is found within 2 s, and the calls of 6,000 lost ones are 3,000 a second.
const CALL_MS: (u64, u64) = (200, 2_000);

/// How long an instance that lost touch with its delegate, but not with the leader, is
/// kept out of that group, in milliseconds.
const ELSEWHERE_MS: u64 = 5_000;

/// Groups may be so much larger than the square root of all before a new one is opened.
const GROUP_SLACK: (usize, usize) = (3, 2);

/// An instance that could be told, as the leader knows it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub instance: &'a InstanceName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// When a report of its own, or one that sums it up, was last heard.
    pub heard: Option<Mono>,
    /// When a report of its own was last heard.
    pub heard_directly: Option<Mono>,
    /// How much of a leader's work its machine could do.
    pub strength: Strength,
    /// It goes on working.
    pub is_staying: bool,
}

/// To whom the leader sends its sums, and who passes them on to whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// Who is sent to.
    pub to: SocketAddr,
    /// To whom it passes them on.
    pub members: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Group {
    zone: ZoneName,
    delegate: InstanceName,
    /// When the delegate was chosen.
    since: Mono,
    members: Vec<InstanceName>,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    at: Mono,
    pause_ms: u64,
}

/// The leader's division of all instances into groups.
#[derive(Debug, Default)]
pub struct Tree {
    groups: Vec<Group>,
    /// Silent instances: when each was called last.
    calls: IndexMap<InstanceName, Call>,
    /// Delegates with whom an instance lost touch, and when.
    lost_touch: IndexMap<InstanceName, (InstanceName, Mono)>,
}

impl Tree {
    /// Forgets all groups, as a new leader does.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Groups at present: the delegate and the number of its members.
    pub fn groups(&self) -> impl Iterator<Item = (&InstanceName, usize)> {
        let groups = self.groups.iter();
        groups.map(|group| (&group.delegate, group.members.len()))
    }

    /// Brings the groups up to date; returns to whom to send now.
    pub fn plan(&mut self, now: Mono, all: &[Candidate<'_>]) -> Vec<Branch> {
        let by_name: IndexMap<_, _> = all.iter().map(|one| (one.instance, one)).collect();
        let is_heard = |name: &InstanceName| {
            let one = by_name.get(name);
            one.is_some_and(|one| is_within(now, one.heard, MEMBER_SILENT_MS))
        };
        self.drop_silent(now, &by_name, &is_heard);
        self.replace_delegates(now, &by_name);
        self.place_homeless(now, all, &is_heard);
        let mut branches = self.branches(&by_name);
        let silent = all.iter().filter(|one| !is_heard(one.instance));
        self.calls.retain(|name, _| !is_heard(name));
        branches.extend(silent.filter_map(|one| self.call(now, one)));
        branches
    }

    fn drop_silent(
        &mut self,
        now: Mono,
        by_name: &IndexMap<&InstanceName, &Candidate<'_>>,
        is_heard: &impl Fn(&InstanceName) -> bool,
    ) {
        for group in &mut self.groups {
            let delegate = &group.delegate;
            let lost_touch = &mut self.lost_touch;
            group.members.retain(|name| {
                let heard = is_heard(name);
                if !heard {
                    lost_touch.insert(name.clone(), (delegate.clone(), now));
                }
                heard && by_name.contains_key(name)
            });
        }
        self.lost_touch
            .retain(|_, (_, at)| now.since(*at) < ELSEWHERE_MS);
    }

    /// Has another member take over where a delegate is silent or ends.
    fn replace_delegates(&mut self, now: Mono, by_name: &IndexMap<&InstanceName, &Candidate<'_>>) {
        let works = |name: &InstanceName, since: Mono| {
            by_name.get(name).is_some_and(|one| {
                let heard = one.heard_directly.max(Some(since));
                one.is_staying && is_within(now, heard, DELEGATE_SILENT_MS)
            })
        };
        for group in &mut self.groups {
            if works(&group.delegate, group.since) {
                continue;
            }
            let able = group.members.iter().filter_map(|name| by_name.get(name));
            let able = able.filter(|one| one.is_staying);
            let next = able.max_by_key(|one| (one.strength, one.heard, Reverse(one.instance)));
            let Some(next) = next.map(|one| one.instance.clone()) else {
                continue;
            };
            group.members.retain(|name| *name != next);
            let before = std::mem::replace(&mut group.delegate, next);
            group.since = now;
            // It stays as a member for as long as anything is heard of it.
            group.members.push(before);
        }
        self.groups.retain(|group| {
            let heard = by_name.get(&group.delegate).and_then(|one| one.heard);
            !group.members.is_empty() || is_within(now, heard, MEMBER_SILENT_MS)
        });
    }

    /// Puts instances that are heard and in no group into one of their zone.
    fn place_homeless(
        &mut self,
        now: Mono,
        all: &[Candidate<'_>],
        is_heard: &impl Fn(&InstanceName) -> bool,
    ) {
        let heard = all.iter().filter(|one| is_heard(one.instance)).count();
        let size = heard.isqrt().max(1);
        let housed: indexmap::IndexSet<_> = self
            .groups
            .iter()
            .flat_map(|group| group.members.iter().chain([&group.delegate]))
            .cloned()
            .collect();
        let homeless =
            |one: &&Candidate<'_>| is_heard(one.instance) && !housed.contains(one.instance);
        let mut homeless: Vec<_> = all.iter().filter(homeless).collect();
        // The strongest first: those that open a group are its delegates.
        homeless.sort_by_key(|one| {
            (
                one.zone,
                Reverse((one.is_staying, one.strength)),
                one.instance,
            )
        });
        let mut zones = IndexMap::<&ZoneName, usize>::new();
        for one in &homeless {
            *zones.entry(one.zone).or_default() += 1;
        }
        for group in &self.groups {
            if let Some(count) = zones.get_mut(&group.zone) {
                *count += group.members.len() + 1;
            }
        }
        for one in homeless {
            let wanted = zones
                .get(one.zone)
                .map_or(1, |count| count.div_ceil(size + 1));
            let most = size * GROUP_SLACK.0 / GROUP_SLACK.1;
            let avoided = self.lost_touch.get(one.instance).map(|(name, _)| name);
            let there = self
                .groups
                .iter()
                .filter(|group| group.zone == *one.zone)
                .count();
            let room = self.groups.iter_mut().filter(|group| {
                group.zone == *one.zone
                    && group.members.len() < most
                    && avoided != Some(&group.delegate)
            });
            let least = room.min_by_key(|group| group.members.len());
            match least {
                Some(group) if there >= wanted || !one.is_staying => {
                    group.members.push(one.instance.clone());
                }
                _ => self.groups.push(Group {
                    zone: one.zone.clone(),
                    delegate: one.instance.clone(),
                    since: now,
                    members: Vec::new(),
                }),
            }
        }
    }

    fn branches(&self, by_name: &IndexMap<&InstanceName, &Candidate<'_>>) -> Vec<Branch> {
        let address = |name: &InstanceName| by_name.get(name).map(|one| one.address);
        let groups = self.groups.iter().filter_map(|group| {
            Some(Branch {
                to: address(&group.delegate)?,
                members: group.members.iter().filter_map(address).collect(),
            })
        });
        groups.collect()
    }

    fn call(&mut self, now: Mono, one: &Candidate<'_>) -> Option<Branch> {
        let before = self.calls.get(one.instance).copied();
        if before.is_some_and(|call| now.since(call.at) < call.pause_ms) {
            return None;
        }
        let pause_ms = before.map_or(CALL_MS.0, |call| (call.pause_ms * 2).min(CALL_MS.1));
        let call = Call { at: now, pause_ms };
        self.calls.insert(one.instance.clone(), call);
        Some(Branch {
            to: one.address,
            members: Vec::new(),
        })
    }
}

fn is_within(now: Mono, at: Option<Mono>, limit_ms: u64) -> bool {
    at.is_some_and(|at| now.since(at) < limit_ms)
}
