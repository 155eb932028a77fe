//! The asynchronous log: a bounded queue and a writer thread.

use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::{AsyncCore, AsyncGuard};

use crate::{Event, Format, LogConfig};

/// Destination of the log lines.
pub type Output = Box<dyn Write + Send>;

/// Log of a process; cheap to clone.
#[derive(Clone)]
pub struct Log {
    logger: Logger,
    level: Level,
    dropped: Arc<AtomicU64>,
    /// Writes the queue when it is dropped; `None` once the log is closed.
    guard: Arc<Mutex<Option<AsyncGuard>>>,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").field("level", &self.level).finish()
    }
}

impl Log {
    /// Creates a log that writes to standard error.
    pub fn to_stderr(cfg: &LogConfig) -> Log {
        Log::to_writer(cfg, Box::new(std::io::stderr()))
    }

    /// Creates a log that writes to standard output.
    pub fn to_stdout(cfg: &LogConfig) -> Log {
        Log::to_writer(cfg, Box::new(std::io::stdout()))
    }

    /// Creates a log that writes to `out`.
    pub fn to_writer(cfg: &LogConfig, out: Output) -> Log {
        let queue = cfg.queue_lines;
        let (core, guard) = match cfg.format {
            Format::Human => {
                let decorator = slog_term::PlainDecorator::new(out);
                let drain = slog_term::FullFormat::new(decorator)
                    .use_utc_timestamp()
                    .build();
                async_drain(drain.ignore_res(), queue)
            }
            Format::Json => {
                let drain = slog_json::Json::default(out);
                async_drain(std::sync::Mutex::new(drain).ignore_res(), queue)
            }
        };
        let dropped = Arc::new(AtomicU64::new(0));
        let drain = CountDrops {
            core,
            dropped: dropped.clone(),
        };
        Log {
            logger: Logger::root(drain, o!()),
            level: cfg.level.as_slog(),
            dropped,
            guard: Arc::new(Mutex::new(Some(guard))),
        }
    }

    /// Creates a log that discards all events.
    pub fn discard() -> Log {
        Log {
            logger: Logger::root(slog::Discard, o!()),
            level: Level::Critical,
            dropped: Arc::default(),
            guard: Arc::default(),
        }
    }

    /// Returns a log that adds the VM name to each line.
    pub fn for_vm(&self, vm: &str) -> Log {
        Log {
            logger: self.logger.new(o!("vm" => vm.to_owned())),
            ..self.clone()
        }
    }

    /// Returns whether events of this level are written.
    pub fn enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }

    /// Queues an event; drops it if its level is disabled or the queue is full.
    pub fn emit(&self, event: Event) {
        let level = event.level();
        if !self.enabled(level) {
            return;
        }
        let id = event.id();
        let meta = slog::record_static!(level, "");
        let message = format_args!("{}", event.name());
        let kv = slog::b!("event" => id, &event);
        self.logger.log(&Record::new(&meta, &message, kv));
    }

    /// Writes all queued lines; later ones are dropped. To be called before the process
    /// exits, since other threads may still hold clones of the log.
    pub fn close(&self) {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        drop(guard.take());
    }

    /// Returns the number of lines dropped so far because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn async_drain<D>(drain: D, lines: usize) -> (AsyncCore, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    AsyncCore::custom(drain)
        .chan_size(lines)
        .blocking(false)
        .build_with_guard()
}

/// Counts the records dropped because the queue was full.
struct CountDrops {
    core: AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for CountDrops {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
