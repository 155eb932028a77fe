//! Event metadata, and the catalogue rendered as Markdown.

use std::fmt::Write;

use slog::Level;
use strum::IntoEnumIterator;

use crate::{Event, EventKind};

impl Event {
    /// Returns the kind of the event.
    pub fn kind(&self) -> EventKind {
        self.into()
    }

    /// Returns the event ID.
    pub fn id(&self) -> u16 {
        self.kind().id()
    }

    /// Returns the event name in snake case.
    pub fn name(&self) -> &'static str {
        self.kind().into()
    }

    /// Returns the log level of the event.
    pub fn level(&self) -> Level {
        self.kind().level()
    }
}

/// Renders the catalogue as a Markdown table.
pub fn markdown() -> String {
    let mut text =
        String::from("| Number | Name | Level | Fields | Meaning |\n|---|---|---|---|---|\n");
    for kind in EventKind::iter() {
        let name: &'static str = kind.into();
        let fields: Vec<String> = kind.fields().iter().map(|f| format!("`{f}`")).collect();
        let level = kind.level().as_str().to_lowercase();
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "| {} | `{name}` | {level} | {} | {} |",
            kind.id(),
            fields.join(" "),
            kind.meaning(),
        );
    }
    text
}
