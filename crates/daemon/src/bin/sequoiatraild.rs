//! The load balancer daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use getopts::Options;
use sequoiatrail_daemon::Daemon;
use sequoiatrail_daemon::cookie::CookieDaemon;
use sequoiatrail_events::{Event, Log, LogConfig};
use sequoiatrail_settings::{Format, Loaded, Settings, load};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Exit code after a graceful shutdown, `--help`, `--version` or a successful `--check`.
const EXIT_OK: u8 = 0;
/// Exit code if the balancer failed to start or one of its threads failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid command line arguments.
const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 3;
/// Interval at which signals are checked.
const SIGNAL_POLL: Duration = Duration::from_millis(50);

/// Parsed command line.
enum Command {
    Help,
    Version,
    Run {
        file: PathBuf,
        check: bool,
        embedded_platform: bool,
    },
}

fn main() -> ExitCode {
    let opts = options();
    let command = match parse(&opts) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("sequoiatraild: {e}\nTry `sequoiatraild --help`.");
            return EXIT_USAGE.into();
        }
    };
    match command {
        Command::Help => print!("{}", help(&opts)),
        Command::Version => println!("sequoiatraild {}", env!("CARGO_PKG_VERSION")),
        Command::Run {
            file,
            check,
            embedded_platform,
        } => return check_and_run(&file, check, embedded_platform).into(),
    }
    EXIT_OK.into()
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optflag("", "check", "check the settings and exit");
    opts.optflag(
        "",
        "embedded-platform",
        "run an in-memory platform, like platform.embedded = true",
    );
    opts.optopt(
        "",
        "settings-from",
        "read the settings path from this environment variable instead of FILE",
        "NAME",
    );
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    opts
}

fn help(opts: &Options) -> String {
    let brief = "Usage: sequoiatraild [options] FILE\n\n\
        Runs the balancer of one VM with the settings in FILE (TOML).\n\
        SIGTERM and SIGINT stop it gracefully; a second one stops it immediately.\n\
        SIGHUP reloads FILE if data.format is cookie.\n\n\
        Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings";
    opts.usage(brief)
}

fn parse(opts: &Options) -> Result<Command, String> {
    let matches = opts
        .parse(std::env::args_os().skip(1))
        .map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let file = match (matches.opt_str("settings-from"), matches.free.as_slice()) {
        (None, [file]) => file.into(),
        (Some(name), []) => std::env::var_os(&name)
            .map(PathBuf::from)
            .ok_or_else(|| format!("environment variable {name} is not set"))?,
        _ => return Err("expected either exactly one FILE or --settings-from".into()),
    };
    Ok(Command::Run {
        file,
        check: matches.opt_present("check"),
        embedded_platform: matches.opt_present("embedded-platform"),
    })
}

fn check_and_run(file: &Path, check: bool, embedded_platform: bool) -> u8 {
    let Loaded {
        mut settings,
        unknown,
    } = match load(file) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("sequoiatraild: {e}");
            return EXIT_SETTINGS;
        }
    };
    if check {
        for key in &unknown {
            println!("{}: warning: unknown key {key}", file.display());
        }
        println!("{}: settings are valid", file.display());
        return EXIT_OK;
    }
    settings.platform.embedded |= embedded_platform;
    let log = Log::to_stdout(&LogConfig {
        level: settings.log.level,
        format: settings.log.format,
        queue_lines: settings.log.queue_lines,
    });
    for key in unknown {
        log.emit(Event::UnknownSetting {
            file: file.display().to_string(),
            key,
        });
    }
    let Some(signalled) = watch_stop_signals() else {
        return EXIT_FAILED;
    };
    let code = match settings.data.format {
        Format::Ip => run(settings, log.clone(), &signalled),
        Format::Cookie => run_cookie(file, settings, log.clone(), &signalled),
    };
    log.close();
    code
}

/// Registers the stop signals and returns the flag that they set.
fn watch_stop_signals() -> Option<Arc<AtomicBool>> {
    let signalled = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        // A second signal exits immediately. This must be registered first, or the
        // first signal would already trigger it.
        let registered = signal_hook::flag::register_conditional_shutdown(
            signal,
            EXIT_FAILED.into(),
            Arc::clone(&signalled),
        )
        .and_then(|_| signal_hook::flag::register(signal, Arc::clone(&signalled)));
        if let Err(e) = registered {
            eprintln!("sequoiatraild: signal {signal}: {e}");
            return None;
        }
    }
    Some(signalled)
}

fn run_cookie(file: &Path, settings: Settings, log: Log, signalled: &AtomicBool) -> u8 {
    let reload_requested = Arc::new(AtomicBool::new(false));
    if let Err(e) = signal_hook::flag::register(SIGHUP, Arc::clone(&reload_requested)) {
        eprintln!("sequoiatraild: signal {SIGHUP}: {e}");
        return EXIT_FAILED;
    }
    let mut daemon = match CookieDaemon::start(file, settings, log) {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("sequoiatraild: {e}");
            return EXIT_FAILED;
        }
    };
    while !signalled.load(Ordering::Acquire) && daemon.failure().is_none() {
        std::thread::sleep(SIGNAL_POLL);
        daemon.tick(reload_requested.swap(false, Ordering::AcqRel));
    }
    let failed = daemon.failure().is_some();
    daemon.stop();
    if failed { EXIT_FAILED } else { EXIT_OK }
}

fn run(settings: Settings, log: Log, signalled: &AtomicBool) -> u8 {
    let daemon = match Daemon::start(settings, log) {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("sequoiatraild: {e}");
            return EXIT_FAILED;
        }
    };
    let stop_requested = || signalled.load(Ordering::Acquire) || daemon.drain_requested();
    while !stop_requested() && daemon.failure().is_none() {
        std::thread::sleep(SIGNAL_POLL);
    }
    let failed = daemon.failure().is_some();
    daemon.stop();
    if failed { EXIT_FAILED } else { EXIT_OK }
}
