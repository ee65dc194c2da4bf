//! Choice of the home of an instance: rendezvous hashing with SHA-256.

use sha2::{Digest, Sha256};

use super::ViewId;
use crate::prelude::*;

/// The member that scores highest for the instance. When a member joins or leaves, only the
/// instances that it wins or had change their home.
#[must_use]
pub fn home_of<'a>(instance: &str, members: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    members
        .iter()
        .max_by_key(|member| (hash([instance, &**member].into_iter()), *member))
}

/// Identifies a set of live members, given as name and incarnation in order.
#[must_use]
pub fn view_id<'a>(live: impl Iterator<Item = (&'a str, &'a str)>) -> ViewId {
    ViewId(hash(
        live.flat_map(|(name, incarnation)| [name, incarnation]),
    ))
}

/// Where a daemon starts its search for free slots, so that daemons start at different instances.
#[must_use]
pub fn preference(member: &str) -> usize {
    usize::try_from(hash([member].into_iter()) & 0xffff).unwrap_or_default()
}

fn hash<'a>(parts: impl Iterator<Item = &'a str>) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let bytes = digest.finalize();
    bytes
        .iter()
        .take(8)
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
