//! Settings that change while a balancer with cookies runs.

mod common;

use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Platform, address, answered, route, wait_for};
use sequoiatrail_cookie::Lifecycle;
use sequoiatrail_daemon::cookie::CookieDaemon;
use sequoiatrail_events::{Format, Log, LogConfig};
use sequoiatrail_settings::load;
use sequoiatrail_stand_in::{Fault, Ports, Store};

/// Lines of a log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn have(&self, event: &str, text: &str) -> bool {
        let bytes = self.0.lock().unwrap();
        let all = String::from_utf8_lossy(&bytes);
        all.lines().any(|l| l.contains(event) && l.contains(text))
    }
}

fn text(platform: &Platform, store: &Store, more: &str) -> String {
    format!(
        "[data]\nformat = \"cookie\"\nlisten = \"127.0.0.1:0\"\n\
         [platform]\nendpoint = \"{}\"\n\
         [cookie]\nfailure_domain = \"a\"\nhttp_listen = \"127.0.0.1:0\"\n\
         readiness_path = \"/sequoiatrail/readiness\"\ncaller_port = {}\n\
         watch_wait_ms = 500\n{more}",
        store.addr(),
        platform.callers.port(),
    )
}

fn start(name: &str, text: &str) -> (CookieDaemon, PathBuf, Lines) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    let lines = Lines::default();
    let cfg = LogConfig {
        format: Format::Json,
        ..LogConfig::default()
    };
    let log = Log::to_writer(&cfg, Box::new(lines.clone()));
    let settings = load(&file).unwrap().settings;
    (
        CookieDaemon::start(&file, settings, log).unwrap(),
        file,
        lines,
    )
}

#[test]
fn a_signal_moves_the_balancer_to_another_store() {
    let mut platform = Platform::start();
    platform.put_manifest(3, &[route(1, true, "app")]);
    let target = platform.target(0x11, "app");
    let (mut daemon, file, lines) = start("moves.toml", &text(&platform, &platform.store, ""));
    platform
        .router
        .add(daemon.listen(), daemon.http_address().unwrap());
    platform.wait_ready(1);
    let other = Store::start().unwrap();
    other.put_target(&target, Lifecycle::Ready);
    other.put_manifest(4, &[route(1, true, "app"), route(2, true, "app")]);
    platform.store.set_fault(Fault::Refuse(503));
    std::fs::write(&file, text(&platform, &other, "")).unwrap();
    daemon.tick(true);
    wait_for("the change is told", || {
        lines.have("settings_reloaded", "\"applied\":\"platform\"")
    });
    wait_for("the other store's manifest is in force", || {
        platform.ask(address(2)) == answered("app")
    });
}

#[test]
fn metrics_stand_at_a_further_address_too() {
    let mut platform = Platform::start();
    platform.put_manifest(3, &[route(1, true, "app")]);
    let _target = platform.target(0x11, "app");
    let further = Ports::new().free();
    let more = format!("metrics_listen = \"{further}\"\n");
    let (daemon, _file, _lines) = start("further.toml", &text(&platform, &platform.store, &more));
    let http = daemon.http_address().unwrap();
    platform.router.add(daemon.listen(), http);
    platform.wait_ready(1);
    assert_eq!(platform.ask(address(1)), answered("app"));
    for address in [http, further] {
        let mut reply = ureq::get(format!("http://{address}/metrics"))
            .call()
            .unwrap();
        let text = reply.body_mut().read_to_string().unwrap();
        assert!(text.contains("sequoiatrail_packet_handling_seconds_count"));
    }
}

#[test]
fn a_file_that_changes_without_a_signal_is_noticed() {
    let platform = Platform::start();
    let (mut daemon, file, lines) = start("quiet.toml", &text(&platform, &platform.store, ""));
    std::thread::sleep(Duration::from_millis(20));
    let changed = text(&platform, &platform.store, "stop_grace_s = 5.0\n");
    std::fs::write(&file, changed).unwrap();
    wait_for("the change is told", || {
        daemon.tick(false);
        lines.have("settings_reloaded", "\"pending\":\"cookie\"")
    });
}

#[test]
fn a_file_that_is_refused_changes_nothing_and_is_told() {
    let mut platform = Platform::start();
    platform.put_manifest(3, &[route(1, true, "app")]);
    let _target = platform.target(0x11, "app");
    let (mut daemon, file, lines) = start("bad.toml", &text(&platform, &platform.store, ""));
    platform
        .router
        .add(daemon.listen(), daemon.http_address().unwrap());
    platform.wait_ready(1);
    for bad in [
        "no toml = [",
        "[data]\nthreads = 0",
        "[data]\nformat = \"cookie\"",
    ] {
        std::fs::write(&file, bad).unwrap();
        daemon.tick(true);
    }
    std::fs::remove_file(&file).unwrap();
    daemon.tick(true);
    wait_for("the refusal is told", || {
        lines.have("reload_failed", "bad.toml")
    });
    assert_eq!(platform.ask(address(1)), answered("app"));
}

#[test]
fn an_unknown_key_is_named_and_the_others_hold() {
    let platform = Platform::start();
    let (mut daemon, file, lines) = start("odd.toml", &text(&platform, &platform.store, ""));
    let odd = text(&platform, &platform.store, "brand_new = 1\n");
    std::fs::write(&file, odd).unwrap();
    daemon.tick(true);
    wait_for("the key is named", || {
        lines.have("unknown_setting", "cookie.brand_new")
    });
    wait_for("nothing else changed", || {
        lines.have("settings_reloaded", "\"pending\":\"\"")
    });
}
