//! Log settings.

use slog::Level;

/// Minimum level of the events to write.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum LogLevel {
    /// A thread or the process cannot continue.
    Error,
    /// Conditions that an operator should look into.
    Warning,
    /// State changes.
    #[default]
    Info,
    /// Per-flow decisions.
    Debug,
    /// Per-packet decisions.
    Trace,
}

impl LogLevel {
    pub(crate) fn as_slog(self) -> Level {
        match self {
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
            LogLevel::Trace => Level::Trace,
        }
    }
}

/// Format of the log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Log settings.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Minimum level of the events to write.
    pub level: LogLevel,
    /// Format of the log lines.
    pub format: Format,
    /// Capacity of the log queue, in lines; further lines are dropped.
    pub queue_lines: usize,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            level: LogLevel::default(),
            format: Format::default(),
            queue_lines: 4_096,
        }
    }
}
