//! Unanswered grants and revocations.

use indexmap::IndexMap;

use super::message::{ShardEpoch, ShardRef};
use crate::node::events::{GrantedShard, Ticket};
use crate::time::Wall;

/// Maximum number of unanswered revocations; beyond it the oldest is dropped.
const MAX_REVOCATIONS: usize = 64;

/// Kind of a sent message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentKind {
    /// A grant until `end`.
    Grant {
        /// End of the grant.
        end: Wall,
    },
    /// A revocation.
    Revoke,
}

/// An unanswered message.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Kind of the message.
    pub kind: SentKind,
    /// Shards of the message, with their epochs.
    pub shards: Vec<ShardEpoch>,
}

/// Unanswered messages. A message whose sending failed stays: it may have been
/// written and may still arrive.
#[derive(Debug, Default)]
pub struct SentGrants {
    unanswered: IndexMap<Ticket, Sent>,
}

impl SentGrants {
    /// Adds a sent message.
    pub fn add(&mut self, ticket: Ticket, kind: SentKind, shards: &[GrantedShard]) {
        let shards = shards.iter().map(shard_epoch).collect();
        self.unanswered.insert(ticket, Sent { kind, shards });
        self.drop_revocations();
    }

    /// Removes and returns an answered message; `None` if it is not known.
    pub fn take(&mut self, ticket: Ticket) -> Option<Sent> {
        self.unanswered.shift_remove(&ticket)
    }

    /// Whether an unanswered grant of the shard could still take effect at the
    /// endpoint.
    #[must_use]
    pub fn may_arrive(&self, at: &ShardRef, now: Wall, skew_ms: u64) -> bool {
        for sent in self.unanswered.values() {
            let SentKind::Grant { end } = sent.kind else {
                continue;
            };
            let has_shard = sent.shards.iter().any(|shard| shard.at == *at);
            if has_shard && end.plus(skew_ms) > now {
                return true;
            }
        }
        false
    }

    /// Drops grants that have ended.
    pub fn pass_time(&mut self, now: Wall, skew_ms: u64) {
        self.unanswered.retain(|_, sent| match sent.kind {
            SentKind::Grant { end } => end.plus(skew_ms) > now,
            SentKind::Revoke => true,
        });
    }

    fn drop_revocations(&mut self) {
        let revocations = self
            .unanswered
            .values()
            .filter(|sent| sent.kind == SentKind::Revoke)
            .count();
        if revocations <= MAX_REVOCATIONS {
            return;
        }
        let oldest = self
            .unanswered
            .iter()
            .find(|(_, sent)| sent.kind == SentKind::Revoke);
        if let Some((&ticket, _)) = oldest {
            self.unanswered.shift_remove(&ticket);
        }
    }
}

/// Returns the shard of a grant with its epoch.
#[must_use]
pub fn shard_epoch(shard: &GrantedShard) -> ShardEpoch {
    ShardEpoch {
        at: ShardRef {
            service: shard.service.clone(),
            shard: shard.shard,
        },
        epoch: shard.epoch,
    }
}
