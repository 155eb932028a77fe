//! Small `Copy` identifiers and versions.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

id!(
    /// One run of a balancer process. A restarted VM gets a new identifier, so
    /// state kept about the old process never applies to the new one.
    NodeId(u64)
);
id!(
    /// A service. Assigned once by the table and never reused for another service.
    ServiceId(u32)
);
id!(
    /// A target. Assigned once by the table and never reused: a target that is
    /// removed and added again gets a new identifier.
    TargetId(u32)
);
id!(
    /// A failure domain, numbered in the settings of the balancers.
    FailureDomain(u16)
);
id!(
    /// Version of the operators' table; never decreases on a balancer.
    TableVersion(u64)
);
id!(
    /// Version of the bucket plan; never decreases on a balancer.
    PlanVersion(u64)
);
