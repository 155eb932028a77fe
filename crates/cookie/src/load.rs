//! What this balancer has sent to each target and not seen ended.

/// Load of one target as this balancer sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows that are open or opening.
    pub flows: u32,
    /// Flows with a request that is not answered yet.
    pub busy: u32,
}
