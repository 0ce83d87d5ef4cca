//! The planner role: writes the first assignment and the first dispatch rows.

use indexmap::IndexMap;

use crate::config::Config;
use crate::ids::{
    EndpointName, Epoch, GroupName, ServiceName, Session, ShardId, Version, ZoneName,
};
use crate::platform::{ConditionalPut, RowKey, WriteOutcome};
use crate::shard::{Assignment, DispatchRow, HashRange, KeyHash, Ownership, Part, Shard};
use crate::time::{Mono, Now, Wall};

use super::Node;
use super::events::Action;
use super::view::{ASSIGNMENT_TABLE, DISPATCH_TABLE};

/// Time to wait for the outcome of a write before planning again, in milliseconds.
const WRITE_PAUSE_MS: u64 = 1_000;

/// State of the planner role.
#[derive(Debug, Default)]
pub(super) struct Planning {
    written: Option<Mono>,
}

impl Planning {
    pub(super) fn write_done(&mut self, _outcome: &WriteOutcome, out: &mut Vec<Action>) {
        for table in [ASSIGNMENT_TABLE, DISPATCH_TABLE] {
            out.push(Action::ReadTable {
                table: table.to_owned(),
            });
        }
    }
}

impl Node {
    pub(super) fn plan(&mut self, now: Now, out: &mut Vec<Action>) {
        let waits = self
            .planning
            .written
            .is_some_and(|at| now.mono.since(at) < WRITE_PAUSE_MS);
        if waits || !self.view.complete() {
            return;
        }
        let Some(config) = self.view.config() else {
            return;
        };
        let live = self.members.live();
        if live.first().is_none_or(|(session, _)| *session != self.me) {
            return;
        }
        let mut puts = Vec::new();
        for service in config.value.services.keys() {
            if self.view.assignments().contains_key(service) {
                continue;
            }
            puts.extend(first_assignment(&config.value, service));
        }
        for (at, (name, endpoint)) in config.value.endpoints.iter().enumerate() {
            if !self.view.dispatch().contains_key(name) {
                puts.push(first_row(name, &endpoint.zone, &live, at));
            }
        }
        if puts.is_empty() {
            return;
        }
        self.planning.written = Some(now.mono);
        out.push(Action::Write {
            ticket: self.tickets.draw(),
            puts,
        });
    }
}

fn first_assignment(config: &Config, service: &ServiceName) -> Option<ConditionalPut> {
    let (group, _) = config
        .groups
        .iter()
        .find(|(_, group)| group.service == *service)?;
    let shards = first_shards(config, service, group)?;
    let assignment = Assignment {
        service: service.clone(),
        planner_epoch: Epoch(1),
        partition: vec![Part {
            group: group.clone(),
            keys: None,
        }],
        next_shard: ShardId(shards.len() as u64),
        shards,
        hot: Vec::new(),
    };
    Some(put(ASSIGNMENT_TABLE, service.as_str(), &assignment))
}

fn first_shards(
    config: &Config,
    service: &ServiceName,
    group: &GroupName,
) -> Option<IndexMap<ShardId, Shard>> {
    let count = u64::from(config.services.get(service)?.shards);
    let owners: Vec<&EndpointName> = config.endpoints.keys().collect();
    let width = u64::MAX / count;
    let mut shards = IndexMap::new();
    for number in 0..count {
        let last = if number + 1 == count {
            u64::MAX
        } else {
            (number + 1) * width - 1
        };
        let owner = owners.get(usize::try_from(number).ok()? % owners.len().max(1))?;
        let shard = Shard {
            id: ShardId(number),
            group: group.clone(),
            range: HashRange {
                first: KeyHash(number * width),
                last: KeyHash(last),
            },
            epoch: Epoch(1),
            ownership: Ownership::Owned {
                owner: (*owner).clone(),
            },
            floor: Wall(0),
        };
        shards.insert(shard.id, shard);
    }
    Some(shards)
}

fn first_row(
    endpoint: &EndpointName,
    zone: &ZoneName,
    live: &[(Session, ZoneName)],
    at: usize,
) -> ConditionalPut {
    let near: Vec<&Session> = live
        .iter()
        .filter(|(_, its)| its == zone)
        .map(|(session, _)| session)
        .collect();
    let dispatcher = near
        .get(at % near.len().max(1))
        .copied()
        .unwrap_or(&live[at % live.len()].0);
    let mut successors = Vec::new();
    for (session, _) in live.iter().cycle().skip(at).take(live.len()) {
        if session != dispatcher && successors.len() < 2 {
            successors.push(session.clone());
        }
    }
    let row = DispatchRow {
        endpoint: endpoint.clone(),
        dispatcher: dispatcher.clone(),
        epoch: Epoch(1),
        successors,
        former: Vec::new(),
        floor: Wall(0),
    };
    put(DISPATCH_TABLE, endpoint.as_str(), &row)
}

fn put<T: serde::Serialize>(table: &str, key: &str, value: &T) -> ConditionalPut {
    ConditionalPut {
        at: RowKey {
            table: table.to_owned(),
            key: key.to_owned(),
        },
        expected: Version(0),
        value: serde_json::to_string(value).unwrap_or_default(),
    }
}
