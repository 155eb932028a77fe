//! Runs one command.

use std::io::Write;

use sequoiatrail_admin::EditReply;

use crate::api::Api;
use crate::commands::Commands;
use crate::options::{Command, Settings, parse};
use crate::usage::help;
use crate::{Environment, Error, Exit, Result, render};

/// Runs the tool and returns its exit code.
pub fn run(args: &[String], env: &Environment, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let (command, settings) = match parse(args, env) {
        Ok(parsed) => parsed,
        Err(e) => return report(&e, false, out, err),
    };
    match dispatch(&command, &settings, env, out) {
        Ok(()) => Exit::Done,
        Err(e) => report(&e, settings.json, out, err),
    }
}

fn dispatch(
    command: &Command,
    settings: &Settings,
    env: &Environment,
    out: &mut dyn Write,
) -> Result<()> {
    match command {
        Command::Help => return Ok(out.write_all(help().as_bytes())?),
        Command::Version => {
            return Ok(writeln!(out, "sequoiatrail {}", env!("CARGO_PKG_VERSION"))?);
        }
        _ => {}
    }
    let api = Api::new(settings, env)?;
    let mut commands = Commands { api, settings, out };
    match command {
        Command::Help | Command::Version => Ok(()),
        Command::TableShow => commands.table_show(),
        Command::TableCheck { file } => commands.table_check(file),
        Command::TableApply { file } => commands.table_apply(file),
        Command::TableEdit {
            service,
            target,
            patch,
        } => commands.table_edit(service, target, patch),
        Command::TableExport { file } => commands.table_export(file.as_deref()),
        Command::TargetStart { service, target } => commands.target(service, target, "start"),
        Command::TargetStop { service, target } => commands.target(service, target, "stop"),
        Command::ServiceList => commands.service_list(),
        Command::Status => commands.status(),
        Command::Explain { service, src } => commands.explain(service, *src),
        Command::Drain => commands.drain(),
    }
}

/// Prints an error and, on a conflict, the rows that differ.
fn report(error: &Error, json: bool, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    // A failed write must not hide the exit code.
    let _ = writeln!(err, "sequoiatrail: {error}");
    if let Error::Rejected { answer } = error {
        let _ = match (json, answer.as_ref()) {
            (true, answer) => {
                let text = serde_json::to_string_pretty(answer).unwrap_or_default();
                writeln!(out, "{text}")
            }
            (false, EditReply::NotRun { differing, .. }) => {
                err.write_all(render::changes(differing).as_bytes())
            }
            (false, _) => Ok(()),
        };
    }
    error.exit_code()
}
