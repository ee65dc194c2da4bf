//! Hash maps with a fast, non-cryptographic hasher. Keys come from validated documents and the
//! platform, or their number is bounded by admission limits, so resistance to hash flooding is not
//! needed.

use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// Hash map with the fast hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// Hash set with the fast hasher.
pub type FastSet<K> = std::collections::HashSet<K, BuildHasherDefault<FxHasher>>;
