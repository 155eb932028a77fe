//! Data path counters, one set per thread.

use std::array;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, IntoEnumIterator};

/// Counted quantity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Packets received from the fabric.
    Received,
    /// Bytes received from the fabric.
    ReceivedBytes,
    /// Packets relayed here by other balancers.
    ReceivedFromPeers,
    /// Packets of known flows sent to a target.
    ForwardedKnown,
    /// Packets of new or locally unknown flows sent to a target.
    ForwardedPlaced,
    /// Packets relayed to another balancer.
    Relayed,
    /// Flows refused; their requests were definitely not executed.
    Refused,
    /// Flows reset; their requests may have been executed.
    Reset,
    /// Those whose route was removed.
    ResetRouteRemoved,
    /// Those whose target was removed or has died.
    ResetTargetGone,
    /// Those whose target does not answer.
    ResetTargetSilent,
    /// Those whose cookie identifies no target known here.
    ResetUnknownTarget,
    /// Replies sent to clients.
    Answered,
    /// Packets dropped because they are malformed.
    DroppedBroken,
    /// Packets dropped because they are fragments.
    DroppedFragment,
    /// Packets dropped because no service matches their address, port and protocol.
    DroppedUnknownService,
    /// Packets dropped for another reason.
    DroppedOther,
    /// Packets dropped because their cookie refers to an unknown target.
    DroppedUnknownTarget,
    /// List requests to the store, one per page.
    StoreLists,
    /// Watch requests to the store.
    StoreWatches,
    /// Failed requests to the store.
    StoreFailures,
    /// Objects in the store passed over, each time that they are read.
    EntriesPassedOver,
    /// Comparisons with the store itself.
    StoreChecks,
    /// Those that found changes which the replicas had not brought yet.
    StoreChecksBehind,
    /// Those that failed.
    StoreChecksFailed,
    /// Queries sent to other balancers.
    PeerQuestions,
    /// Datagrams with reports of suspect targets sent to other balancers.
    ReportsSent,
    /// Such datagrams received.
    ReportsReceived,
    /// Load reports sent to other balancers.
    LoadReportsSent,
    /// Bytes of these, without the headers of their datagrams.
    LoadReportBytesSent,
    /// Load reports received.
    LoadReportsReceived,
    /// Those of an unknown version.
    LoadReportsUnknown,
    /// Those that were malformed or not authenticated.
    LoadReportsRejected,
    /// Those that were late, or of another failure domain.
    LoadReportsIgnored,
    /// Snapshots taken from other balancers.
    SnapshotsTaken,
    /// Snapshots sent to other balancers.
    SnapshotsGiven,
    /// Datagrams that failed to be sent.
    SendFailed,
}

/// Counters of one thread; only that thread increments them.
#[derive(Debug)]
pub struct Counters {
    counts: [AtomicU64; Count::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            counts: array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Counters {
    /// Increases a counter by `by`.
    pub fn add(&self, count: Count, by: u64) {
        self.counts[count as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }
}

/// Counters of all threads.
#[derive(Debug, Default)]
pub struct CounterSet {
    threads: Mutex<Vec<Arc<Counters>>>,
}

impl CounterSet {
    /// Creates the counters of a new thread.
    pub fn for_thread(&self) -> Arc<Counters> {
        let counters = Arc::new(Counters::default());
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.push(Arc::clone(&counters));
        counters
    }

    /// Returns the sum of a counter over all threads.
    pub fn sum(&self, count: Count) -> u64 {
        let threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.iter().map(|c| c.get(count)).sum()
    }

    /// Returns the sums of all counters.
    pub fn all(&self) -> Vec<(Count, u64)> {
        Count::iter()
            .map(|count| (count, self.sum(count)))
            .collect()
    }

    /// Returns the number of packets sent to targets.
    pub fn forwarded(&self) -> u64 {
        self.sum(Count::ForwardedKnown) + self.sum(Count::ForwardedPlaced)
    }
}
