//! Check of a whole assignment; all findings are reported together.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use thiserror::Error;

use crate::ids::{GroupName, ShardId};
use crate::shard::{Assignment, HashRange, KeyHash, Shard};

/// Something wrong with an assignment, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Finding {
    /// The range ends before it begins.
    #[error("shard {shard}: range ends before it begins")]
    Reversed {
        /// The shard.
        shard: ShardId,
    },
    /// No shard of the group covers the hash.
    #[error("group {group}: nothing covers the hashes from {from:#x}", from = .from.0)]
    Gap {
        /// The group.
        group: GroupName,
        /// First hash that is not covered.
        from: KeyHash,
    },
    /// Two shards of a group cover the same hash.
    #[error("group {group}: shard {shard} overlaps another one from {from:#x}", from = .from.0)]
    Overlap {
        /// The group.
        group: GroupName,
        /// The later of the two shards.
        shard: ShardId,
        /// First hash covered twice.
        from: KeyHash,
    },
    /// The shard belongs to a group that the partition does not name.
    #[error("shard {shard}: group {group} is not in the partition")]
    StrayGroup {
        /// The shard.
        shard: ShardId,
        /// Its group.
        group: GroupName,
    },
    /// The partition names a group twice.
    #[error("group {group}: named twice in the partition")]
    RepeatedGroup {
        /// The group.
        group: GroupName,
    },
    /// The shard is kept under another number than its own.
    #[error("shard {shard}: kept under number {kept_as}")]
    WrongNumber {
        /// Its own number.
        shard: ShardId,
        /// Number it is kept under.
        kept_as: ShardId,
    },
    /// The number of the shard could be given once more.
    #[error("shard {shard}: not below the next number to give")]
    NumberAhead {
        /// The shard.
        shard: ShardId,
    },
    /// A hot key's shard does not exist, or is not of its group and hash only.
    #[error("hot key {hash:#x}: shard {shard} is missing or holds something else", hash = .hash.0)]
    WrongHotShard {
        /// Hash of the key.
        hash: KeyHash,
        /// Shard it names.
        shard: ShardId,
    },
    /// A hot key has two shards of its own.
    #[error("group {group}: hot key {hash:#x} has two shards", hash = .hash.0)]
    RepeatedHotKey {
        /// The group.
        group: GroupName,
        /// Hash of the key.
        hash: KeyHash,
    },
}

/// Everything wrong with an assignment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

/// Checks that each key has exactly one shard.
///
/// # Errors
///
/// All findings, in the order of groups and shards.
pub fn check(assignment: &Assignment) -> Result<(), Findings> {
    let mut findings = Vec::new();
    check_numbers(assignment, &mut findings);
    check_hot(assignment, &mut findings);
    check_cover(assignment, &mut findings);
    if findings.is_empty() {
        return Ok(());
    }
    Err(Findings(findings))
}

fn check_numbers(assignment: &Assignment, findings: &mut Vec<Finding>) {
    for (kept_as, shard) in &assignment.shards {
        if *kept_as != shard.id {
            findings.push(Finding::WrongNumber {
                shard: shard.id,
                kept_as: *kept_as,
            });
        }
        if shard.id >= assignment.next_shard {
            findings.push(Finding::NumberAhead { shard: shard.id });
        }
        if shard.range.last < shard.range.first {
            findings.push(Finding::Reversed { shard: shard.id });
        }
    }
}

fn check_hot(assignment: &Assignment, findings: &mut Vec<Finding>) {
    let mut seen = IndexSet::new();
    for hot in &assignment.hot {
        if !seen.insert((&hot.group, hot.hash)) {
            findings.push(Finding::RepeatedHotKey {
                group: hot.group.clone(),
                hash: hot.hash,
            });
        }
        let only = HashRange {
            first: hot.hash,
            last: hot.hash,
        };
        let fits = assignment
            .shards
            .get(&hot.shard)
            .is_some_and(|shard| shard.group == hot.group && shard.range == only);
        if !fits {
            findings.push(Finding::WrongHotShard {
                hash: hot.hash,
                shard: hot.shard,
            });
        }
    }
}

fn check_cover(assignment: &Assignment, findings: &mut Vec<Finding>) {
    let mut ranges: IndexMap<&GroupName, Vec<&Shard>> = IndexMap::new();
    for part in &assignment.partition {
        if ranges.insert(&part.group, Vec::new()).is_some() {
            findings.push(Finding::RepeatedGroup {
                group: part.group.clone(),
            });
        }
    }
    let hot: IndexSet<ShardId> = assignment.hot.iter().map(|hot| hot.shard).collect();
    for shard in assignment.shards.values() {
        let Some(of_group) = ranges.get_mut(&shard.group) else {
            findings.push(Finding::StrayGroup {
                shard: shard.id,
                group: shard.group.clone(),
            });
            continue;
        };
        if hot.contains(&shard.id) {
            continue;
        }
        of_group.push(shard);
    }
    for (group, mut shards) in ranges {
        shards.sort_by_key(|shard| shard.range.first);
        check_group(group, &shards, findings);
    }
}

fn check_group(group: &GroupName, sorted: &[&Shard], findings: &mut Vec<Finding>) {
    // Next hash to cover; `None` once the last one is covered.
    let mut next = Some(0_u64);
    for shard in sorted {
        let first = shard.range.first.0;
        match next {
            Some(expected) if first > expected => findings.push(Finding::Gap {
                group: group.clone(),
                from: KeyHash(expected),
            }),
            Some(expected) if first == expected => {}
            Some(_) | None => findings.push(Finding::Overlap {
                group: group.clone(),
                shard: shard.id,
                from: shard.range.first,
            }),
        }
        let end = shard.range.last.0.checked_add(1);
        next = match (next, end) {
            (None, _) | (_, None) => None,
            (Some(expected), Some(end)) => Some(expected.max(end)),
        };
    }
    if let Some(expected) = next {
        findings.push(Finding::Gap {
            group: group.clone(),
            from: KeyHash(expected),
        });
    }
}
