//! A stoppable Rocket server on its own thread.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use rocket::config::{Config, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::tokio::runtime;
use rocket::{Build, Rocket};
use snafu::Snafu;

/// Max size of a request body, in MiB.
const MAX_BODY_MIB: u64 = 4;
/// Time for open requests to finish after a stop, in seconds.
const STOP_GRACE_S: u32 = 1;

/// The server could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("the HTTP server on {listen} did not start: {reason}"))]
pub struct StartError {
    /// Requested listen address.
    pub listen: SocketAddr,
    /// Error message.
    pub reason: String,
}

/// A running server; stopped on drop.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    shutdown: Option<rocket::Shutdown>,
    thread: Option<JoinHandle<()>>,
}

/// Discards the log output of Rocket: the process has its own event log.
struct NullLogger;

impl log::Log for NullLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Rocket configuration that ignores the environment and configuration files.
pub fn http_config(listen: SocketAddr, workers: usize) -> Config {
    // Fails if the process already has a logger, which then takes precedence.
    let _ = log::set_logger(&NullLogger);
    Config {
        address: listen.ip(),
        port: listen.port(),
        workers,
        log_level: LogLevel::Off,
        cli_colors: false,
        limits: Limits::default()
            .limit("json", MAX_BODY_MIB.mebibytes())
            .limit("string", MAX_BODY_MIB.mebibytes()),
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: STOP_GRACE_S,
            mercy: STOP_GRACE_S,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

impl HttpServer {
    /// Starts a server and waits until it listens. Port 0 selects a free port.
    pub fn start(rocket: Rocket<Build>, listen: SocketAddr) -> Result<HttpServer, StartError> {
        let (tx, rx) = mpsc::channel();
        let failed = tx.clone();
        let rocket = rocket.attach(AdHoc::on_liftoff("address", move |rocket| {
            Box::pin(async move {
                let cfg = rocket.config();
                let addr = SocketAddr::new(cfg.address, cfg.port);
                let _ = tx.send(Ok((addr, rocket.shutdown())));
            })
        }));
        let thread = std::thread::Builder::new()
            .name("http".into())
            .spawn(move || {
                if let Err(reason) = run(rocket) {
                    let _ = failed.send(Err(reason));
                }
            })
            .map_err(|e| StartError {
                listen,
                reason: e.to_string(),
            })?;
        let started = rx.recv().unwrap_or_else(|e| Err(e.to_string()));
        let (addr, shutdown) = started.map_err(|reason| StartError { listen, reason })?;
        Ok(HttpServer {
            addr,
            shutdown: Some(shutdown),
            thread: Some(thread),
        })
    }

    /// Address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server and joins its thread. Idempotent.
    pub fn stop(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            shutdown.notify();
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run(rocket: Rocket<Build>) -> Result<(), String> {
    let workers = rocket.figment().extract_inner("workers").unwrap_or(2);
    let rt = runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let launched = rt.block_on(rocket.launch());
    rt.shutdown_background();
    match launched {
        Ok(_) => Ok(()),
        Err(e) => {
            let reason = format!("{:?}", e.kind());
            Err(reason)
        }
    }
}
