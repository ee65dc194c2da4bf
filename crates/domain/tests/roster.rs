//! Tests of the instance roster with stale and faulty instance lists.

use quickcheck::{Gen, QuickCheck};
use rosemaryscale_domain::prelude::*;
use rosemaryscale_domain::roster::{InstanceRoster, ListEntry};

#[derive(Clone, Debug)]
struct Entry {
    name: Arc<str>,
    pool: Arc<str>,
}

impl ListEntry for Entry {
    fn name(&self) -> &Arc<str> {
        &self.name
    }

    fn pool(&self) -> &Arc<str> {
        &self.pool
    }
}

fn list(present: &[bool]) -> Vec<Entry> {
    let present = present.iter().enumerate().filter(|(_, present)| **present);
    present
        .map(|(number, _)| Entry {
            name: format!("instance-{number}").into(),
            pool: "quotes".into(),
        })
        .collect()
}

/// Guards against the removal of an instance that is missing from a single read, and against an
/// empty or truncated list that empties a pool: a pool must not lose all its instances before at
/// least one of them was missing from 30 consecutive reads.
#[test]
fn truncated_lists_do_not_empty_a_pool() {
    fn property(reads: Vec<Vec<bool>>) {
        let mut roster = InstanceRoster::default();
        roster.apply_list(list(&[true; 8]));
        let mut missing = [0_u32; 8];
        for mut read in reads {
            read.resize(8, false);
            roster.apply_list(list(&read));
            for (count, present) in missing.iter_mut().zip(&read) {
                *count = if *present { 0 } else { *count + 1 };
            }
            let known = roster.entries();
            for (number, count) in missing.iter().enumerate() {
                let name = format!("instance-{number}");
                let kept = known.iter().any(|entry| *entry.name == *name);
                assert!(
                    kept || *count >= 2,
                    "{name} was removed after {count} reads"
                );
            }
            assert!(missing.iter().any(|count| *count >= 30) || !known.is_empty());
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(25, 21))
        .tests(200)
        .quickcheck(property as fn(Vec<Vec<bool>>));
}

/// Guards against instances that are never removed: a missing instance is removed after the second
/// read, and a whole pool after 30 reads.
#[test]
fn a_persistent_absence_removes_instances() {
    let mut roster = InstanceRoster::default();
    roster.apply_list(list(&[true, true, true]));
    roster.apply_list(list(&[true, true]));
    assert_eq!(roster.entries().len(), 3);
    assert_eq!(roster.unlisted().len(), 1);
    roster.apply_list(list(&[true, true]));
    assert_eq!(roster.entries().len(), 2);
    for _ in 0..29 {
        roster.apply_list(Vec::new());
        assert_eq!(roster.entries().len(), 2);
    }
    roster.apply_list(Vec::new());
    assert!(roster.entries().is_empty());
}
