//! Reads objects of one kind from the store.

use std::sync::Arc;
use std::time::Duration;

use sequoiatrail_adapter::{
    Kind, Object, WatchPage, check_status, decode_era, decode_list, decode_watch, list_path,
    watch_path,
};
use sequoiatrail_cookie::EraOrder;
use sequoiatrail_events::Event;
use sequoiatrail_platform::{Error, Method, Reply, Result};
use sequoiatrail_types::StoreRevision;

use super::changes::log_passed_over;
use super::shared::Shared;
use crate::counters::{Count, Counters};

/// Timeout of a list call; a slow store may need this long.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Whether a read may be of a replica that lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Cheap, but seconds old at times.
    Replica,
    /// Up to date.
    Store,
}

/// Reads objects of one kind.
pub(super) struct Reader {
    shared: Arc<Shared>,
    counters: Arc<Counters>,
    kind: Kind,
}

impl Reader {
    pub fn new(shared: &Arc<Shared>, kind: Kind) -> Reader {
        Reader {
            counters: shared.counters.for_thread(),
            shared: Arc::clone(shared),
            kind,
        }
    }

    /// Hands out all objects page by page. Returns the lowest revision of the pages: a watch
    /// from there reports all changes in between.
    pub fn list(
        &self,
        source: Source,
        mut take_page: impl FnMut(Vec<Object>),
    ) -> Result<StoreRevision> {
        let mut after = None;
        let mut list_revision = None;
        loop {
            self.counters.add(Count::StoreLists, 1);
            let path = list_path(self.kind, after.as_deref(), source == Source::Replica);
            let page = decode_list(&self.get(&path, LIST_TIMEOUT)?)?;
            let first = *list_revision.get_or_insert(page.revision);
            // The store was restored between two pages.
            if page.revision.era != first.era {
                return Err(Error::HistoryExpired);
            }
            let revision = first.min(page.revision);
            list_revision = Some(revision);
            self.log_unreadable(page.unreadable);
            take_page(page.objects);
            after = page.next_after;
            if after.is_none() {
                return Ok(revision);
            }
        }
    }

    /// Changes after a revision; waits at most `wait` for the first one.
    pub fn watch(&self, after: StoreRevision, wait: Duration, source: Source) -> Result<WatchPage> {
        self.counters.add(Count::StoreWatches, 1);
        let limit = wait + self.shared.store().config().call_timeout;
        let path = watch_path(self.kind, after, wait, source == Source::Replica);
        let page = decode_watch(&self.get(&path, limit)?)?;
        self.log_unreadable(page.unreadable);
        // The store was restored: its changes continue another history.
        if page.revision.era != after.era {
            return Err(Error::HistoryExpired);
        }
        Ok(page)
    }

    fn get(&self, path: &str, limit: Duration) -> Result<Reply> {
        let client = self.shared.store();
        let reply = client.exchange(Method::GET, path, &[], limit)?;
        let era = decode_era(&reply)?;
        if let EraOrder::Outdated { current } = self.shared.observe_era(era) {
            self.shared.log.emit(Event::OutdatedResponse {
                kind: self.kind.name(),
                era: era.0,
                current: current.0,
            });
            return Err(Error::Outdated);
        }
        check_status(&reply)?;
        Ok(reply)
    }

    fn log_unreadable(&self, objects: usize) {
        for _ in 0..objects {
            log_passed_over(&self.shared, self.kind, "?", &"malformed object or event");
        }
    }
}
