//! Hash map with a deterministic iteration order.

use foldhash::fast::FixedState;

/// A hash map without a random seed, so that equal inputs give equal outputs.
/// Keys are IDs assigned by balancers and the table, so clients can't cause
/// collisions.
pub(crate) type HashMap<K, V> = hashbrown::HashMap<K, V, FixedState>;
