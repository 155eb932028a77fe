//! How an edit of the table is made and its outcome found.

use std::time::Duration;

use sequoiatrail_table::{Row, Table, diff};
use sequoiatrail_types::{HashSeed, RefusalReason, TableVersion, Verdict};

use crate::keys::TABLE_KEY;
use crate::{
    Backoff, Edit, EditConfig, EditOutcome, EditRefusal, Error, Precondition, Revision, Store,
    Stored,
};

/// A write that was sent and not answered: it may still take effect as long as
/// the table has the revision that it was conditioned on, and never after.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// Revision that it was conditioned on; `None` for no object.
    revision: Option<Revision>,
    /// Version of the table that it was made from.
    version: TableVersion,
}

/// What to do after one attempt.
enum Attempt {
    Settled(EditOutcome),
    /// The table moved on: apply the change to the newer version.
    Rebase,
    /// Something of this edit may still run; look again after a wait.
    Look(Error),
}

struct Editor<'a, F> {
    store: &'a Store,
    edit: &'a Edit,
    change: F,
    /// Time to come back that is told with an unknown outcome.
    retry_delay: Duration,
    pending: Option<Pending>,
}

impl Store {
    /// Edits the table with the default settings, see [`Store::edit_table_with`].
    pub fn edit_table<F>(&self, edit: &Edit, change: F) -> EditOutcome
    where
        F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
    {
        self.edit_table_with(&EditConfig::default(), edit, change)
    }

    /// Edits the table by a conditional update that carries the edit's id.
    ///
    /// A refusal is told at once. A lost answer is settled by reading back and
    /// looking for the id before anything is tried again.
    pub fn edit_table_with<F>(&self, cfg: &EditConfig, edit: &Edit, change: F) -> EditOutcome
    where
        F: FnMut(&Table) -> Result<Vec<Row>, EditRefusal>,
    {
        let clock = &self.client().config().clock;
        let give_up = clock.now() + cfg.resolve_timeout;
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
                Attempt::Settled(outcome) => return outcome,
                Attempt::Rebase if rebases == cfg.max_rebases => return editor.busy(),
                Attempt::Rebase => rebases += 1,
                Attempt::Look(error) => {
                    let wait = backoff.next_delay(error.retry_delay());
                    if clock.now() + wait >= give_up || !self.may_retry() {
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
            Err(e) => return self.failed_call(RefusalReason::Unavailable, e),
        };
        let revision = stored.as_ref().map(|s| s.revision);
        let table = table_or_first(stored);
        if let Some(version) = table.version_of_edit(&self.edit.id) {
            return Attempt::Settled(EditOutcome::Accepted { version });
        }
        if let Some(outcome) = self.settle_pending(revision, &table) {
            return Attempt::Settled(outcome);
        }
        match self.next_table(&table) {
            Ok(next) => self.write(revision, &table, &next),
            Err(outcome) => Attempt::Settled(outcome),
        }
    }

    /// Whether a write of this edit may still take effect.
    fn may_still_run(&self) -> bool {
        self.pending.is_some() || self.edit.repeated
    }

    /// A call that surely did not run settles the edit, unless an earlier
    /// write of it may still run.
    fn failed_call(&self, reason: RefusalReason, error: Error) -> Attempt {
        if self.may_still_run() {
            return Attempt::Look(error);
        }
        let passing = reason == RefusalReason::Unavailable;
        let retry_delay = error.retry_delay().or(passing.then_some(self.retry_delay));
        Attempt::Settled(EditOutcome::NotRun {
            reason,
            message: error.to_string(),
            differing: Vec::new(),
            retry_delay,
        })
    }

    /// The pending write is dead once the table has moved on without it.
    fn settle_pending(&mut self, revision: Option<Revision>, table: &Table) -> Option<EditOutcome> {
        let pending = self.pending?;
        if pending.revision == revision {
            return None;
        }
        if table.edits_known_after() > pending.version {
            return Some(self.forgotten());
        }
        self.pending = None;
        None
    }

    fn next_table(&mut self, table: &Table) -> Result<Table, EditOutcome> {
        let rows = (self.change)(table).map_err(|e| self.refused(e))?;
        if let Some(base) = self.edit.base
            && base != table.version
        {
            return Err(self.conflict(base, table, &rows));
        }
        table
            .with_rows(&rows, self.edit.id.clone())
            .map_err(|e| self.refused(e.into()))
    }

    fn write(&mut self, revision: Option<Revision>, table: &Table, next: &Table) -> Attempt {
        let precondition = revision.map_or(Precondition::Absent, Precondition::Revision);
        let error = match self.store.client().put(TABLE_KEY, next, precondition) {
            Ok(_) => {
                let version = next.version;
                return Attempt::Settled(EditOutcome::Accepted { version });
            }
            Err(e) => e,
        };
        match error.verdict() {
            Verdict::NotRun(RefusalReason::Conflict) => Attempt::Rebase,
            Verdict::NotRun(reason) => self.failed_call(reason, error),
            Verdict::MayHaveRun | Verdict::Done => {
                self.pending = Some(Pending {
                    revision,
                    version: table.version,
                });
                Attempt::Look(error)
            }
        }
    }

    /// The change itself is not wanted.
    fn refused(&self, refusal: EditRefusal) -> EditOutcome {
        if self.may_still_run() {
            return self.unknown(refusal.message);
        }
        EditOutcome::NotRun {
            reason: refusal.reason,
            message: refusal.message,
            differing: Vec::new(),
            retry_delay: None,
        }
    }

    /// The table has passed the version that the edit, and any earlier attempt
    /// of it, was made from.
    fn conflict(&self, base: TableVersion, table: &Table, rows: &[Row]) -> EditOutcome {
        if self.edit.repeated && table.edits_known_after() > base {
            return self.forgotten();
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

    /// Too many others were faster.
    fn busy(&self) -> EditOutcome {
        let message = "others kept editing the table at the same time".to_owned();
        if self.may_still_run() {
            return self.unknown(message);
        }
        EditOutcome::NotRun {
            reason: RefusalReason::Conflict,
            message,
            differing: Vec::new(),
            retry_delay: Some(self.retry_delay),
        }
    }

    fn forgotten(&self) -> EditOutcome {
        let message = "too many edits came after it to tell whether it was accepted";
        self.unknown(message.to_owned())
    }

    fn unknown(&self, message: String) -> EditOutcome {
        EditOutcome::Unknown {
            message,
            retry_delay: self.retry_delay,
        }
    }
}

fn table_or_first(stored: Option<Stored<Table>>) -> Table {
    match stored {
        Some(stored) => stored.value,
        None => Table::with_seed(HashSeed(rand::random(), rand::random())),
    }
}
