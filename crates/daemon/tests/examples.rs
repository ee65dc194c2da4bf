//! Checks that the examples of both operators are complete and valid and have the sizes of their
//! fleets.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use rosemaryscale_adapters::document_text;
use rosemaryscale_daemon::Config;
use rosemaryscale_ports::instance::InstanceRecord;

/// Instances of each pool, by operator.
const FLEET_SIZES: [(&str, [(&str, usize); 5]); 2] = [
    (
        "kalahari",
        [
            ("quotes", 9),
            ("dispatch", 9),
            ("stores", 11),
            ("installs", 12),
            ("backoffice", 8),
        ],
    ),
    (
        "karamanlis",
        [
            ("tower-desk", 9),
            ("grid-office", 9),
            ("harbour-desk", 11),
            ("claims-office", 12),
            ("family-desk", 8),
        ],
    ),
];

fn directory(operator: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(operator)
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn settings(operator: &str) -> Vec<Config> {
    let entries = std::fs::read_dir(directory(operator)).expect("the directory exists");
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.retain(|path| path.to_string_lossy().contains("entry-"));
    files.sort();
    let read = |path: &PathBuf| Config::read(path).expect("the settings are valid");
    files.iter().map(read).collect()
}

/// Guards against examples that no longer fit the document's format or the operators' services.
#[test]
fn the_documents_are_valid_and_name_all_services() {
    for (operator, sizes) in FLEET_SIZES {
        let text = read(&directory(operator).join("document.jsonc"));
        assert!(text.contains("//"), "{operator}: no comments");
        let document = document_text::parse(&text).and_then(|document| document.check());
        let document = document.unwrap_or_else(|problems| panic!("{operator}: {problems:?}"));
        let services: BTreeSet<&str> = document
            .fields
            .services
            .keys()
            .map(|name| &**name)
            .collect();
        assert_eq!(services, sizes.iter().map(|(name, _)| *name).collect());
        for environment in ["trial", "production"] {
            assert!(
                document.fields.environments.contains_key(environment),
                "{operator}"
            );
        }
        for (name, size) in sizes {
            let service = &document.fields.services[name];
            assert_eq!(
                (service.slots_per_instance, service.connections_per_instance),
                (8, 64)
            );
            let pool = &document.fields.pools[&service.pool];
            let range = pool.min_instances as usize..=pool.max_instances as usize;
            assert!(
                range.contains(&size),
                "{operator}: {name} has {size} instances"
            );
        }
        let spare = document
            .fields
            .pools
            .values()
            .filter(|pool| pool.spare)
            .count();
        assert_eq!(spare, 1, "{operator}: one spare pool serves the others");
    }
}

/// Guards against instance lists whose pool sizes, racks, zones or addresses do not match the
/// operators' fleets.
#[test]
fn the_instance_lists_have_the_fleet_sizes_and_four_instances_per_rack() {
    for (operator, sizes) in FLEET_SIZES {
        let text = read(&directory(operator).join("instances.json"));
        let instances: Vec<InstanceRecord> = serde_json::from_str(&text).expect("a list");
        let zones: BTreeSet<_> = settings(operator)
            .into_iter()
            .map(|s| s.availability_zone)
            .collect();
        let mut pools: BTreeMap<&str, usize> = BTreeMap::new();
        let mut racks: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut addresses = BTreeSet::new();
        let mut names = BTreeSet::new();
        for instance in &instances {
            *pools.entry(&instance.pool_hint).or_default() += 1;
            *racks.entry((&instance.zone, &instance.rack)).or_default() += 1;
            assert!(
                addresses.insert(instance.address),
                "{} is listed twice",
                instance.address
            );
            assert!(
                names.insert(&instance.name),
                "{} is listed twice",
                instance.name
            );
            assert!(
                zones.contains(&instance.zone),
                "{operator}: {}",
                instance.zone
            );
        }
        assert_eq!(pools, sizes.into_iter().collect());
        for zone in &zones {
            let sizes = racks
                .iter()
                .filter(|((rack_zone, _), _)| **rack_zone == **zone)
                .map(|(_, size)| *size);
            let sizes: Vec<usize> = sizes.collect();
            let full = sizes.iter().filter(|size| **size == 4).count();
            assert!(
                sizes.iter().all(|size| *size <= 4) && full + 1 >= sizes.len(),
                "{sizes:?}"
            );
        }
    }
}

/// Guards against daemons whose settings conflict, and against a daemon without peers or with a peer
/// in its own zone.
#[test]
fn the_settings_of_all_daemons_are_consistent() {
    for (operator, _) in FLEET_SIZES {
        let daemons = settings(operator);
        assert!(
            (6..=9).contains(&daemons.len()),
            "{operator}: {} daemons",
            daemons.len()
        );
        let zones: BTreeSet<_> = daemons
            .iter()
            .map(|daemon| &daemon.availability_zone)
            .collect();
        assert_eq!(zones.len(), 3, "{operator}");
        let mut addresses = BTreeSet::new();
        let mut names = BTreeSet::new();
        for daemon in &daemons {
            assert!(
                names.insert(&daemon.name),
                "{} is listed twice",
                daemon.name
            );
            for address in [
                daemon.caller_address,
                daemon.operator_address,
                daemon.peer_address,
            ] {
                assert!(addresses.insert(address), "{address} is used twice");
            }
            let zone_of = |address| {
                let peer = daemons.iter().find(|other| other.peer_address == address);
                &peer.expect("a peer is a daemon").availability_zone
            };
            let peer_zones: Vec<_> = daemon.peers.iter().map(|peer| zone_of(*peer)).collect();
            assert!(!peer_zones.is_empty(), "{} has no peers", daemon.name);
            assert!(
                !peer_zones.contains(&&daemon.availability_zone),
                "{}",
                daemon.name
            );
        }
    }
}
