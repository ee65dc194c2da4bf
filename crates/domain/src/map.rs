//! Hash maps with a fast hasher. Keys come from checked documents and the platform, or are bounded
//! by admission limits, so resistance against chosen collisions is not needed.

use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// Hash map with a fast hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// Hash set with a fast hasher.
pub type FastSet<K> = std::collections::HashSet<K, BuildHasherDefault<FxHasher>>;
