//! Workspaces: the parties on whose behalf callers submit jobs, with their API keys, weights and quotas.
//!
//! A configuration without workspaces asks no caller for a key. Keys are kept as digests only, so that
//! none reaches a log line, a metric or an error, and a look-up costs the same for every caller.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::job::{JobRecord, JobSpec};
use crate::placement::Resources;
use crate::prelude::*;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of the key that a caller sent.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows nothing of the digest: keys are secrets, and a digest allows guesses to be checked.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A workspace as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Its share when all room is in use, in thousandths; also the number of jobs that it may submit in
    /// 1,000 s before they rank behind those of others.
    pub weight_milli: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// What its tasks may use at the same time on all workers; 0 means no limit on that resource.
    pub quota: Resources,
}

impl Workspace {
    /// Whether the quota allows this amount in use.
    #[must_use]
    pub const fn permits(&self, used: Resources) -> bool {
        is_within(used.processors_milli, self.quota.processors_milli)
            && is_within(used.memory_mb, self.quota.memory_mb)
            && is_within(used.accelerators, self.quota.accelerators)
    }

    /// The part of an amount that the quota allows.
    #[must_use]
    pub fn limit_within(&self, amount: Resources) -> Resources {
        let limit = |amount: u64, limit: u64| {
            if limit == 0 {
                amount
            } else {
                amount.min(limit)
            }
        };
        Resources {
            processors_milli: limit(amount.processors_milli, self.quota.processors_milli),
            memory_mb: limit(amount.memory_mb, self.quota.memory_mb),
            accelerators: limit(amount.accelerators, self.quota.accelerators),
        }
    }

    /// Index of the first step that can never run within the quota: one of its tasks, or all tasks of a gang
    /// together, need more.
    #[must_use]
    pub fn step_above_quota(&self, spec: &JobSpec) -> Option<usize> {
        let mut steps = spec.steps.iter();
        steps.position(|step| !self.permits(step.need_at_once()))
    }

    /// How many tasks of this need, at most `count_max`, the quota allows beside an amount in use.
    #[must_use]
    pub fn count_within(&self, used: Resources, need: Resources, count_max: u64) -> u64 {
        let count = |used: u64, need: u64, limit: u64| {
            if limit == 0 || need == 0 {
                count_max
            } else {
                limit.saturating_sub(used) / need
            }
        };
        let quota = self.quota;
        count(
            used.processors_milli,
            need.processors_milli,
            quota.processors_milli,
        )
        .min(count(used.memory_mb, need.memory_mb, quota.memory_mb))
        .min(count(
            used.accelerators,
            need.accelerators,
            quota.accelerators,
        ))
        .min(count_max)
    }
}

const fn is_within(used: u64, limit: u64) -> bool {
    limit == 0 || used <= limit
}

/// What a call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The route asks for no key.
    Public,
    /// The key belongs to this workspace.
    Workspace(WorkspaceKey),
    /// The key is missing or unknown.
    Denied,
}

/// The workspaces of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    entries: SlotMap<WorkspaceKey, Workspace>,
    /// `None` for a key that several workspaces list, which belongs to none of them.
    by_key: FastMap<KeyDigest, Option<WorkspaceKey>>,
    is_enabled: bool,
}

impl Workspaces {
    /// Workspaces of a configuration that lists them; even an empty list asks callers for keys.
    #[must_use]
    pub fn enabled() -> Self {
        Self {
            is_enabled: true,
            ..Self::default()
        }
    }

    /// Adds a workspace and its keys. Returns the names of other workspaces that list one of the keys: such
    /// a key can't be used.
    pub fn add(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Vec<Arc<str>> {
        let own = self.entries.insert(workspace);
        let mut conflicts = Vec::new();
        for digest in keys {
            let owner = self.by_key.entry(digest).or_insert(Some(own));
            if let Some(other) = owner.filter(|owner| *owner != own) {
                conflicts.push(Arc::clone(&self.entries[other].name));
                *owner = None;
            }
        }
        conflicts
    }

    /// Whether callers need keys.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Decides about a call on a route.
    #[must_use]
    pub fn access(&self, is_public: bool, key: Option<KeyDigest>) -> Access {
        if is_public || !self.is_enabled {
            return Access::Public;
        }
        let owner = key.and_then(|key| self.by_key.get(&key).copied().flatten());
        owner.map_or(Access::Denied, Access::Workspace)
    }

    /// A workspace.
    #[must_use]
    pub fn get(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.entries.get(key)
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.entries.values()
    }
}

/// On whose behalf a call reads, repeats or cancels a job. Without workspaces it may do so with every job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Caller {
    /// Workspace of the caller's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Arc<str>>,
    /// Queue of the public route that the caller used without a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub public_queue: Option<Arc<str>>,
}

impl Caller {
    /// Whether the call may read, repeat or cancel a job of this workspace and queue. A job without a
    /// workspace is open to every caller.
    #[must_use]
    pub fn may_access(&self, owner: Option<&str>, queue: &str) -> bool {
        let Some(owner) = owner else {
            return true;
        };
        match (&self.workspace, &self.public_queue) {
            (Some(workspace), _) => &**workspace == owner,
            (None, Some(public_queue)) => &**public_queue == queue,
            (None, None) => true,
        }
    }

    /// Whether the call may read, repeat or cancel this job.
    #[must_use]
    pub fn may_access_job(&self, job: &JobRecord) -> bool {
        self.may_access(job.workspace_name().map(|name| &**name), &job.queue)
    }
}
