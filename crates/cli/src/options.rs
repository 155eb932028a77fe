//! Parsing of the command line into a typed command.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};
use sequoiatrail_admin::RowPatch;
use sequoiatrail_types::TableVersion;

use crate::error::UsageSnafu;
use crate::{Environment, Result};

/// Default address of the administration API.
const DEFAULT_ADMIN: &str = "127.0.0.1:7500";
/// Default timeout of one call, in seconds.
const DEFAULT_TIMEOUT_S: &str = "10";

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    TableShow,
    TableCheck {
        file: String,
    },
    TableApply {
        file: String,
    },
    TableEdit {
        service: String,
        target: String,
        patch: RowPatch,
    },
    TableExport {
        file: Option<String>,
    },
    TargetStart {
        service: String,
        target: String,
    },
    TargetStop {
        service: String,
        target: String,
    },
    ServiceList,
    Status,
    Explain {
        service: String,
        src: SocketAddr,
    },
    Drain,
}

/// Options that apply to every command.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) admin: String,
    pub(crate) token_file: Option<String>,
    pub(crate) json: bool,
    pub(crate) base: Option<TableVersion>,
    pub(crate) edit_id: Option<String>,
    pub(crate) timeout: Duration,
}

/// Option definitions, for the parser and the help.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("a", "admin", "administration API of a balancer", "IP:PORT")
        .optopt(
            "b",
            "base",
            "table version that the file is based on",
            "VERSION",
        )
        .optopt("e", "edit-id", "identifier of an edit to retry", "ID")
        .optflag("h", "help", "show this help")
        .optflag("j", "json", "print JSON")
        .optopt("t", "token-file", "file that holds the token", "FILE")
        .optopt("", "timeout", "timeout of one call, default 10", "SECONDS")
        .optflag("V", "version", "show the version");
    options
}

/// Parses the arguments, with the environment for options that are absent.
pub(crate) fn parse(args: &[String], env: &Environment) -> Result<(Command, Settings)> {
    let matches = options().parse(args).map_err(|e| usage(e.to_string()))?;
    let settings = settings(&matches, env)?;
    if matches.opt_present("help") {
        return Ok((Command::Help, settings));
    }
    if matches.opt_present("version") {
        return Ok((Command::Version, settings));
    }
    let free_args: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    Ok((command(&free_args)?, settings))
}

fn settings(matches: &Matches, env: &Environment) -> Result<Settings> {
    let admin = matches.opt_str("admin").or_else(|| env.admin.clone());
    let seconds = matches.opt_str("timeout");
    let seconds = seconds.as_deref().unwrap_or(DEFAULT_TIMEOUT_S);
    let base = matches.opt_str("base");
    Ok(Settings {
        admin: address(admin.as_deref().unwrap_or(DEFAULT_ADMIN))?,
        token_file: matches
            .opt_str("token-file")
            .or_else(|| env.token_file.clone()),
        json: matches.opt_present("json"),
        base: base.map(|text| version("--base", &text)).transpose()?,
        edit_id: matches.opt_str("edit-id"),
        timeout: timeout(seconds)?,
    })
}

fn command(free_args: &[&str]) -> Result<Command> {
    match *free_args {
        ["help"] => Ok(Command::Help),
        ["table", "show"] => Ok(Command::TableShow),
        ["table", "check", file] => Ok(Command::TableCheck { file: file.into() }),
        ["table", "apply", file] => Ok(Command::TableApply { file: file.into() }),
        ["table", "export"] => Ok(Command::TableExport { file: None }),
        ["table", "export", file] => Ok(Command::TableExport {
            file: Some(file.into()),
        }),
        ["table", "edit", service, target, ref cells @ ..] => Ok(Command::TableEdit {
            service: name("SERVICE", service)?,
            target: name("TARGET", target)?,
            patch: patch(cells)?,
        }),
        ["target", "start", service, target] => Ok(Command::TargetStart {
            service: name("SERVICE", service)?,
            target: name("TARGET", target)?,
        }),
        ["target", "stop", service, target] => Ok(Command::TargetStop {
            service: name("SERVICE", service)?,
            target: name("TARGET", target)?,
        }),
        ["service", "list"] => Ok(Command::ServiceList),
        ["status"] => Ok(Command::Status),
        ["explain", service, src] => Ok(Command::Explain {
            service: name("SERVICE", service)?,
            src: source_address(src)?,
        }),
        ["drain"] => Ok(Command::Drain),
        [] => Err(usage("no command; see --help")),
        _ => Err(usage(format!(
            "`{}` is not a command; see --help",
            free_args.join(" ")
        ))),
    }
}

/// Parses `COLUMN=VALUE` arguments.
fn patch(cells: &[&str]) -> Result<RowPatch> {
    let allowed = "drain_limit_s, max_connections, slots, weight";
    if cells.is_empty() {
        return Err(usage(format!(
            "no COLUMN=VALUE; allowed columns: {allowed}"
        )));
    }
    let mut patch = RowPatch::default();
    for cell in cells {
        let Some((column, value)) = cell.split_once('=') else {
            return Err(usage(format!("`{cell}` is not COLUMN=VALUE")));
        };
        let number = value
            .parse()
            .map_err(|_| usage(format!("column {column}: `{value}` is not a whole number")))?;
        let field = match column {
            "drain_limit_s" => &mut patch.drain_limit_s,
            "max_connections" => &mut patch.max_connections,
            "slots" => &mut patch.slots,
            "weight" => &mut patch.weight,
            _ => return Err(usage(format!("column `{column}`; allowed: {allowed}"))),
        };
        *field = Some(number);
    }
    Ok(patch)
}

fn name(argument: &str, text: &str) -> Result<String> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if !text.is_empty() && text.bytes().all(allowed) {
        return Ok(text.to_owned());
    }
    Err(usage(format!(
        "{argument} `{text}`; allowed: a-z, A-Z, 0-9, `-`, `_`, `.`"
    )))
}

fn address(text: &str) -> Result<String> {
    match text.parse::<SocketAddr>() {
        Ok(address) => Ok(address.to_string()),
        Err(_) => Err(usage(format!(
            "--admin `{text}`; allowed: an IP address with a port"
        ))),
    }
}

fn source_address(text: &str) -> Result<SocketAddr> {
    let invalid = |_| {
        usage(format!(
            "SOURCE `{text}`; allowed: an IP address with a port"
        ))
    };
    text.parse().map_err(invalid)
}

fn version(argument: &str, text: &str) -> Result<TableVersion> {
    let invalid = |_| usage(format!("{argument} `{text}`; allowed: a whole number"));
    text.parse().map(TableVersion).map_err(invalid)
}

fn timeout(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(seconds @ 1..=3_600) => Ok(Duration::from_secs(seconds)),
        _ => Err(usage(format!("--timeout `{text}`; allowed: 1 to 3600"))),
    }
}

pub(crate) fn usage(reason: impl Into<String>) -> crate::Error {
    UsageSnafu { reason }.build()
}
