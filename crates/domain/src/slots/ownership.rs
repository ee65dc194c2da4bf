//! Assignment of instances to owners by rendezvous hashing with SHA-256.

use sha2::{Digest, Sha256};

use super::ViewId;
use crate::prelude::*;

/// Returns the member with the highest score for the instance. When a member joins or leaves, only
/// the instances that it gains or loses change their owner.
#[must_use]
pub fn owner_of<'a>(instance: &str, members: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    members
        .iter()
        .max_by_key(|member| (sha256_prefix([instance, &**member].into_iter()), *member))
}

/// Computes the identifier of a set of live members, given as ordered pairs of name and
/// incarnation.
#[must_use]
pub fn view_id<'a>(live: impl Iterator<Item = (&'a str, &'a str)>) -> ViewId {
    ViewId(sha256_prefix(
        live.flat_map(|(name, incarnation)| [name, incarnation]),
    ))
}

/// Returns the offset at which a daemon starts its search for free slots, so that daemons start at
/// different instances.
#[must_use]
pub fn search_start(member: &str) -> usize {
    usize::try_from(sha256_prefix([member].into_iter()) & 0xffff).unwrap_or_default()
}

fn sha256_prefix<'a>(parts: impl Iterator<Item = &'a str>) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
