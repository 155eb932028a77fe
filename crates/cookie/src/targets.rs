//! The targets and evacuations in force, as the store and other balancers list them.
//!
//! Fault: a store that is away, slow, or restored from an older copy, and balancers that
//! start meanwhile. Reads lists and changes with their revisions and snapshots of other
//! balancers; revisions and eras only rise.

pub(crate) mod corrections;
pub(crate) mod directory;
pub(crate) mod era;
pub(crate) mod evacuations;
pub(crate) mod list_revision;
pub(crate) mod presence;
pub(crate) mod registrations;
pub(crate) mod snapshot;
pub(crate) mod target;
