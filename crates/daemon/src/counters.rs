//! Counts of the data path, one set for each thread.

use std::array;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, IntoEnumIterator};

/// What is counted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Packets received from the fabric.
    Received,
    /// Bytes of these packets.
    ReceivedBytes,
    /// Packets relayed here by other balancers.
    ReceivedFromPeers,
    /// Packets sent to a target, the flow being known.
    ForwardedKnown,
    /// Packets sent to a target, the flow being new or unknown here.
    ForwardedPlaced,
    /// Packets given to another balancer.
    Relayed,
    /// Flows refused; surely not run.
    Refused,
    /// Flows reset that may have run.
    Reset,
    /// Answers sent towards callers.
    Answered,
    /// Packets dropped because they cannot be read.
    DroppedBroken,
    /// Packets dropped because they are fragments.
    DroppedFragment,
    /// Packets dropped because no service has their address, port and protocol.
    DroppedUnknownService,
    /// Packets dropped for another reason.
    DroppedOther,
    /// Packets dropped because their cookie names no target that is known here.
    DroppedUnknownTarget,
    /// Calls to the store that list objects, a call for each page.
    StoreLists,
    /// Calls to the store that wait for changes.
    StoreWatches,
    /// Calls to the store that gave no result.
    StoreFailures,
    /// Questions to other balancers.
    PeerQuestions,
    /// Snapshots taken from other balancers.
    SnapshotsTaken,
    /// Snapshots given to other balancers.
    SnapshotsGiven,
    /// Datagrams that could not be sent.
    SendFailed,
}

/// Counts of one thread; only that thread adds to them.
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
    /// Adds to a count.
    pub fn add(&self, count: Count, by: u64) {
        self.counts[count as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// A count.
    pub fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }
}

/// The counts of all threads.
#[derive(Debug, Default)]
pub struct CounterSet {
    threads: Mutex<Vec<Arc<Counters>>>,
}

impl CounterSet {
    /// Counts for one more thread.
    pub fn for_thread(&self) -> Arc<Counters> {
        let counters = Arc::new(Counters::default());
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.push(Arc::clone(&counters));
        counters
    }

    /// Sum of a count over all threads.
    pub fn sum(&self, count: Count) -> u64 {
        let threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.iter().map(|c| c.get(count)).sum()
    }

    /// Sums of all counts.
    pub fn all(&self) -> Vec<(Count, u64)> {
        Count::iter()
            .map(|count| (count, self.sum(count)))
            .collect()
    }

    /// Packets sent to targets.
    pub fn forwarded(&self) -> u64 {
        self.sum(Count::ForwardedKnown) + self.sum(Count::ForwardedPlaced)
    }
}
