//! Applies a table edit and determines its outcome.

use std::time::Duration;

use sequoiatrail_table::{Row, Table, diff};
use sequoiatrail_types::{HashSeed, RefusalReason, TableVersion, Verdict};

use crate::keys::TABLE_KEY;
use crate::{
    Backoff, Edit, EditConfig, EditOutcome, EditRefusal, Error, Precondition, Revision, Store,
    Stored,
};

/// A write without a response. It may still take effect while the table has the
/// revision that the write is conditional on, and never afterwards.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// Revision that the write is conditional on; `None` if the object must not exist.
    revision: Option<Revision>,
    /// Table version that the write is based on.
    version: TableVersion,
}

/// Result of one attempt.
enum Attempt {
    Resolved(EditOutcome),
    /// The table has changed: reapply the change to the newer version.
    Rebase,
    /// A write of this edit may still take effect; read the table again after a delay.
    Reread(Error),
}

struct Editor<'a, F> {
    store: &'a Store,
    edit: &'a Edit,
    change: F,
    /// Retry delay reported with an unknown outcome.
    retry_delay: Duration,
    pending: Option<Pending>,
}

impl Store {
    /// Edits the table with default settings; see [`Store::edit_table_with`].
    pub fn edit_table<F>(&self, edit: &Edit, change: F) -> EditOutcome
    where
        F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
    {
        self.edit_table_with(&EditConfig::default(), edit, change)
    }

    /// Edits the table by a conditional update that contains the edit's ID.
    ///
    /// A refusal is returned immediately. After a lost response, the table is read
    /// back and searched for the ID before the write is retried.
    pub fn edit_table_with<F>(&self, cfg: &EditConfig, edit: &Edit, change: F) -> EditOutcome
    where
        F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
    {
        let clock = &self.client().config().clock;
        let deadline = clock.now() + cfg.resolve_timeout;
        let mut backoff = Backoff::new(cfg.backoff, rand::random());
        let mut editor = Editor {
            store: self,
            edit,
            change,
            retry_delay: cfg.retry_delay,
            pending: None,
        };
        let mut rebases = 0;
        loop {
            match editor.attempt() {
                Attempt::Resolved(outcome) => return outcome,
                Attempt::Rebase if rebases == cfg.max_rebases => return editor.contended(),
                Attempt::Rebase => rebases += 1,
                Attempt::Reread(error) => {
                    let wait = backoff.next_delay(error.retry_delay());
                    if clock.now() + wait >= deadline || !self.take_retry() {
                        return editor.unknown(error.to_string());
                    }
                    std::thread::sleep(wait);
                }
            }
        }
    }
}

impl<F> Editor<'_, F>
where
    F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
{
    fn attempt(&mut self) -> Attempt {
        let stored = match self.store.read_table() {
            Ok(stored) => stored,
            Err(e) => return self.failed_request(RefusalReason::Unavailable, e),
        };
        let revision = stored.as_ref().map(|s| s.revision);
        let table = table_or_new(stored);
        if let Some(version) = table.version_of_edit(&self.edit.id) {
            return Attempt::Resolved(EditOutcome::Accepted { version });
        }
        if let Some(outcome) = self.resolve_pending(revision, &table) {
            return Attempt::Resolved(outcome);
        }
        match self.next_table(&table) {
            Ok(next) => self.write(revision, &table, &next),
            Err(outcome) => Attempt::Resolved(outcome),
        }
    }

    /// Whether a write of this edit may still take effect.
    fn may_still_apply(&self) -> bool {
        self.pending.is_some() || self.edit.repeated
    }

    /// A request that did not run resolves the edit, unless an earlier write of it
    /// may still take effect.
    fn failed_request(&self, reason: RefusalReason, error: Error) -> Attempt {
        if self.may_still_apply() {
            return Attempt::Reread(error);
        }
        let transient = reason == RefusalReason::Unavailable;
        let retry_delay = error
            .retry_delay()
            .or(transient.then_some(self.retry_delay));
        Attempt::Resolved(EditOutcome::NotRun {
            reason,
            message: error.to_string(),
            differing: Vec::new(),
            retry_delay,
        })
    }

    /// Once the table is at a later revision without the edit, the pending write
    /// can no longer take effect.
    fn resolve_pending(
        &mut self,
        revision: Option<Revision>,
        table: &Table,
    ) -> Option<EditOutcome> {
        let pending = self.pending?;
        if pending.revision == revision {
            return None;
        }
        if table.edits_known_after() > pending.version {
            return Some(self.no_longer_recorded());
        }
        self.pending = None;
        None
    }

    fn next_table(&mut self, table: &Table) -> Result<Table, EditOutcome> {
        let rows = (self.change)(table).map_err(|e| self.rejected(e))?;
        if let Some(base) = self.edit.base
            && base != table.version
        {
            return Err(self.conflict(base, table, &rows));
        }
        table
            .with_rows(&rows, self.edit.id.clone())
            .map_err(|e| self.rejected(e.into()))
    }

    fn write(&mut self, revision: Option<Revision>, table: &Table, next: &Table) -> Attempt {
        let precondition = revision.map_or(Precondition::Absent, Precondition::Revision);
        let error = match self.store.client().put(TABLE_KEY, next, precondition) {
            Ok(_) => {
                let version = next.version;
                return Attempt::Resolved(EditOutcome::Accepted { version });
            }
            Err(e) => e,
        };
        match error.verdict() {
            Verdict::NotRun(RefusalReason::Conflict) => Attempt::Rebase,
            Verdict::NotRun(reason) => self.failed_request(reason, error),
            Verdict::MayHaveRun | Verdict::Done => {
                self.pending = Some(Pending {
                    revision,
                    version: table.version,
                });
                Attempt::Reread(error)
            }
        }
    }

    /// The change itself was rejected.
    fn rejected(&self, refusal: EditRefusal) -> EditOutcome {
        if self.may_still_apply() {
            return self.unknown(refusal.message);
        }
        EditOutcome::NotRun {
            reason: refusal.reason,
            message: refusal.message,
            differing: Vec::new(),
            retry_delay: None,
        }
    }

    /// The table is past the version that the edit, including any earlier attempt,
    /// is based on.
    fn conflict(&self, base: TableVersion, table: &Table, rows: &[Row]) -> EditOutcome {
        if self.edit.repeated && table.edits_known_after() > base {
            return self.no_longer_recorded();
        }
        EditOutcome::NotRun {
            reason: RefusalReason::Conflict,
            message: format!(
                "the table is at version {}, the edit was made from {base}",
                table.version
            ),
            differing: diff(&table.rows(), rows),
            retry_delay: None,
        }
    }

    /// The retries were used up by concurrent edits.
    fn contended(&self) -> EditOutcome {
        let message = "too many concurrent edits of the table".to_owned();
        if self.may_still_apply() {
            return self.unknown(message);
        }
        EditOutcome::NotRun {
            reason: RefusalReason::Conflict,
            message,
            differing: Vec::new(),
            retry_delay: Some(self.retry_delay),
        }
    }

    fn no_longer_recorded(&self) -> EditOutcome {
        let message = "too many later edits to determine whether this one was accepted";
        self.unknown(message.to_owned())
    }

    fn unknown(&self, message: String) -> EditOutcome {
        EditOutcome::Unknown {
            message,
            retry_delay: self.retry_delay,
        }
    }
}

fn table_or_new(stored: Option<Stored<Table>>) -> Table {
    match stored {
        Some(stored) => stored.value,
        None => Table::with_seed(HashSeed(rand::random(), rand::random())),
    }
}
