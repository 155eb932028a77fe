//! Administration API of a running balancer.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use sequoiatrail_daemon::{Count, Daemon};
use sequoiatrail_events::Log;
use sequoiatrail_settings::{Probe, Settings, TokenRole, TokenSettings};
use sequoiatrail_types::TableVersion;
use strum::IntoEnumIterator;
use ureq::Agent;

/// Secret of a token restricted to the owner of one service.
const SECRET: &str = "a secret for this test";
/// Secret of a token without owner restriction.
const OPERATOR: &str = "the operator's secret for this test";
/// Timeout for a table version to be applied.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn daemon() -> Daemon {
    let table = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/table.csv");
    let any = "127.0.0.1:0".parse().unwrap();
    let mut settings = Settings::default();
    settings.data.listen = any;
    settings.admin.listen = any;
    let token = |name: &str, owners: Vec<String>, secret: &str| TokenSettings {
        name: name.into(),
        role: TokenRole::Edit,
        owners,
        secret: secret.into(),
    };
    settings.admin.tokens = vec![
        token("team-a", vec!["team-a".into()], SECRET),
        token("operator", Vec::new(), OPERATOR),
    ];
    settings.platform.embedded = true;
    settings.platform.embedded_table = PathBuf::from(table).display().to_string();
    settings.health.probe = Probe::None;
    settings.stop.quiet_ms = 0;
    let daemon = Daemon::start(settings, Log::discard()).unwrap();
    wait_for(&daemon, 1);
    daemon
}

fn wait_for(daemon: &Daemon, version: u64) {
    let start = Instant::now();
    while !daemon.follows(TableVersion(version)) {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "table {version} was not applied"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sends a request and returns the status and body of the response.
fn request(daemon: &Daemon, method: &str, path: &str, secret: &str) -> (u16, String) {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{}{path}", daemon.admin_address().unwrap());
    let authorization = format!("Bearer {secret}");
    let response = match method {
        "POST" => agent
            .post(url)
            .header("Authorization", authorization)
            .send_empty(),
        _ => agent.get(url).header("Authorization", authorization).call(),
    };
    let mut response = response.unwrap();
    let body = response.body_mut().read_to_string().unwrap();
    (response.status().as_u16(), body)
}

#[test]
fn metrics_contain_all_counters_and_versions() {
    let daemon = daemon();
    let (status, text) = request(&daemon, "GET", "/metrics", "");
    assert_eq!(status, 200);
    for count in Count::iter() {
        let name: &'static str = count.into();
        assert!(
            text.contains(&format!("sequoiatrail_{name}_total ")),
            "{name}"
        );
    }
    assert!(text.contains("sequoiatrail_table_version 1\n"), "{text}");
    assert!(
        text.contains("sequoiatrail_plan_version{service=\"0\"} 1\n"),
        "{text}"
    );
}

#[test]
fn requests_without_a_valid_secret_are_unauthorized() {
    let daemon = daemon();
    let stop = "/v1/targets/stream/stream-1/stop";
    for secret in ["", "another secret of the same kind"] {
        assert_eq!(request(&daemon, "GET", "/v1/status", secret).0, 401);
        assert_eq!(request(&daemon, "POST", stop, secret).0, 401);
    }
    assert_eq!(daemon.core().table().version, TableVersion(1));
}

#[test]
fn edit_is_applied_only_for_the_owner_of_the_service() {
    let daemon = daemon();
    let other = "/v1/targets/portal/portal-1/stop";
    assert_eq!(request(&daemon, "POST", other, SECRET).0, 403);
    let own = "/v1/targets/stream/stream-1/stop";
    let (status, body) = request(&daemon, "POST", own, SECRET);
    assert_eq!(status, 200, "{body}");
    wait_for(&daemon, 2);
    let table = daemon.core().table();
    let stopped = table.targets.iter().filter(|t| !t.row.takes_new_flows());
    let names: Vec<&str> = stopped.map(|t| t.row.target.as_str()).collect();
    assert_eq!(names, ["stream-1"]);
}

#[test]
fn token_of_one_owner_cannot_drain_the_balancer() {
    let daemon = daemon();
    assert_eq!(request(&daemon, "POST", "/v1/drain", SECRET).0, 403);
    assert!(!daemon.drain_requested());
    assert_eq!(request(&daemon, "GET", "/readyz", "").0, 200);
}

#[test]
fn drain_makes_the_balancer_unready_and_requests_its_stop() {
    let daemon = daemon();
    assert_eq!(request(&daemon, "POST", "/v1/drain", OPERATOR).0, 200);
    assert!(daemon.drain_requested());
    assert_eq!(request(&daemon, "GET", "/readyz", "").0, 503);
    assert!(daemon.stop().quiet);
}
