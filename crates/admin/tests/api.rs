//! The API over real HTTP on loopback.

mod common;

use std::sync::atomic::Ordering;

use common::{CREW, CSV, EDIT, HttpResponse, READ, call, current_table, start_api, tokens};
use sequoiatrail_admin::{AdminConfig, EditReply, ServiceReport, TableView, Token};
use sequoiatrail_platform::Outage;
use sequoiatrail_types::RefusalReason;

fn edit_reply(reply: &HttpResponse) -> EditReply {
    serde_json::from_str(&reply.body).unwrap_or_else(|e| panic!("{e}: {}", reply.body))
}

fn reason(reply: &HttpResponse) -> RefusalReason {
    match edit_reply(reply) {
        EditReply::NotRun { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn applied_table_is_returned_with_its_version() {
    let api = start_api();
    let reply = api.apply(EDIT, 0, CSV);
    assert_eq!((reply.status, reply.etag.as_deref()), (200, Some("\"1\"")));
    let fetched = api.get("/v1/table", READ);
    assert_eq!(fetched.etag.as_deref(), Some("\"1\""));
    let view: TableView = serde_json::from_str(&fetched.body).unwrap();
    assert_eq!(view.rows.len(), 3);
    assert!(!fetched.body.contains("seed"));
    let csv = api.get("/v1/table?format=csv", READ);
    assert_eq!(sequoiatrail_table::from_csv(&csv.body).unwrap(), view.rows);
}

#[test]
fn requests_without_a_valid_token_are_rejected() {
    let api = start_api();
    for path in ["/v1/table", "/v1/services", "/v1/status", "/metrics"] {
        for token in ["", "reader-012345678", "reader-01234567890"] {
            let reply = api.get(path, token);
            assert_eq!(reply.status, 401, "{path} {token}");
            assert_eq!(reason(&reply), RefusalReason::Forbidden);
        }
    }
    assert_eq!(api.apply("", 0, CSV).status, 401);
    assert_eq!(api.post("/v1/drain", "").status, 401);
    assert!(api.store.read_table().unwrap().is_none());
}

#[test]
fn read_token_cannot_edit() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    assert_eq!(api.apply(READ, 1, CSV).status, 403);
    for path in [
        "/v1/targets/crew/c1/stop",
        "/v1/targets/crew/c1/start",
        "/v1/drain",
    ] {
        assert_eq!(api.post(path, READ).status, 403, "{path}");
    }
    let patch = api.call("PATCH", "/v1/table/crew/c1", READ, &[], "{\"weight\":1}");
    assert_eq!(patch.status, 403);
    assert!(!api.drained.load(Ordering::SeqCst));
    assert_eq!(common::current_table(&api.store).version.0, 1);
}

#[test]
fn token_restricted_to_owners_edits_only_their_services() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    assert_eq!(api.post("/v1/targets/crew/c1/stop", CREW).status, 200);
    let denied = api.post("/v1/targets/portal/p1/stop", CREW);
    assert_eq!(
        (denied.status, reason(&denied)),
        (403, RefusalReason::Forbidden)
    );
    let removed: String = CSV.lines().take(3).map(|l| format!("{l}\n")).collect();
    assert_eq!(api.apply(CREW, 2, &removed).status, 403);
    let new_owner = CSV.replace("households", "cleaners");
    assert_eq!(api.apply(CREW, 2, &new_owner).status, 403);
    assert_eq!(api.apply(CREW, 2, &CSV.replace(",10", ",20")).status, 200);
    assert_eq!(api.post("/v1/drain", CREW).status, 403);
}

#[test]
fn replacing_the_table_requires_the_matching_version() {
    let api = start_api();
    let headers = [("Content-Type", "text/csv")];
    let reply = api.call("PUT", "/v1/table", EDIT, &headers, CSV);
    assert_eq!(reply.status, 428);
    api.apply(EDIT, 0, CSV);
    let conflict = api.apply(EDIT, 0, &CSV.replace("c2,", "c3,"));
    assert_eq!(conflict.status, 412);
    let EditReply::NotRun { differing, .. } = edit_reply(&conflict) else {
        panic!("{}", conflict.body);
    };
    assert_eq!(differing.len(), 2);
}

#[test]
fn edit_with_the_same_identifier_runs_once() {
    let api = start_api();
    let headers = [
        ("If-Match", "\"0\""),
        ("Content-Type", "text/csv"),
        ("Edit-Id", "mine"),
    ];
    let first = api.call("PUT", "/v1/table", EDIT, &headers, CSV);
    api.post("/v1/targets/crew/c1/stop", EDIT);
    let again = api.call("PUT", "/v1/table", EDIT, &headers, CSV);
    assert_eq!(first.body, again.body);
    assert_eq!(common::current_table(&api.store).version.0, 2);
}

#[test]
fn row_is_patched_regardless_of_the_version() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    let reply = api.call("PATCH", "/v1/table/crew/c2", EDIT, &[], "{\"weight\":0}");
    assert_eq!(reply.status, 200);
    let unknown = api.call("PATCH", "/v1/table/crew/c9", EDIT, &[], "{\"weight\":0}");
    assert_eq!(
        (unknown.status, reason(&unknown)),
        (400, RefusalReason::Invalid)
    );
    let misspelled = api.call("PATCH", "/v1/table/crew/c2", EDIT, &[], "{\"wieght\":0}");
    assert!(
        misspelled.status == 400 && misspelled.body.contains("wieght"),
        "{}",
        misspelled.body
    );
    assert_eq!(common::current_table(&api.store).rows()[1].weight, 0);
}

#[test]
fn edit_during_a_platform_outage_is_not_run() {
    let api = start_api();
    api.platform.set_faults(|f| f.outage = Outage::Refuse);
    let reply = api.apply(EDIT, 0, CSV);
    assert_eq!(
        (reply.status, reason(&reply)),
        (503, RefusalReason::Unavailable)
    );
}

#[test]
fn rate_limited_edit_returns_retry_after() {
    let api = start_api();
    api.platform.set_faults(|f| f.over_rate_s = Some(4));
    let reply = api.apply(EDIT, 0, CSV);
    assert_eq!(
        (reply.status, reply.retry_after.as_deref()),
        (503, Some("4"))
    );
}

#[test]
fn edit_with_a_lost_response_is_applied_once() {
    let api = start_api();
    api.platform.set_faults(|f| f.lose_answers = 1);
    let reply = api.apply(EDIT, 0, CSV);
    assert_eq!(
        (reply.status, edit_reply(&reply).verdict()),
        (200, "accepted")
    );
    assert_eq!(common::current_table(&api.store).version.0, 1);
}

#[test]
fn check_returns_changes_without_applying_them() {
    let api = start_api();
    let headers = [("Content-Type", "text/csv")];
    let reply = api.call("POST", "/v1/table/check", READ, &headers, CSV);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.matches("\"added\"").count(), 3);
    let invalid_csv = CSV.replace("tcp,p1", "sctp,p1");
    let reply = api.call("POST", "/v1/table/check", READ, &headers, &invalid_csv);
    assert!(
        reply.status == 400 && reply.body.contains("protocol"),
        "{}",
        reply.body
    );
    assert!(api.store.read_table().unwrap().is_none());
}

#[test]
fn services_are_listed_with_owner_and_targets() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    api.post("/v1/targets/crew/c1/stop", EDIT);
    let reply = api.get("/v1/services", READ);
    let services: Vec<ServiceReport> = serde_json::from_str(&reply.body).unwrap();
    let crew = &services[0];
    assert_eq!(
        (crew.name.as_str(), crew.owner.as_str()),
        ("crew", "cleaners")
    );
    assert_eq!((crew.targets, crew.taking_new_flows), (2, 1));
}

#[test]
fn flow_is_explained() {
    let api = start_api();
    let reply = api.get("/v1/explain?service=crew&src=203.0.113.9:40000", READ);
    assert!(reply.body.contains("\"target\":\"c1\""), "{}", reply.body);
    for query in [
        "service=crew&src=203.0.113.9",
        "service=none&src=203.0.113.9:1",
    ] {
        let reply = api.get(&format!("/v1/explain?{query}"), READ);
        assert_eq!(reason(&reply), RefusalReason::Invalid);
    }
}

#[test]
fn health_and_readiness_need_no_token() {
    let api = start_api();
    assert_eq!(api.get("/healthz", "").status, 200);
    assert_eq!(api.get("/readyz", "").status, 200);
    api.ready.store(false, Ordering::SeqCst);
    assert_eq!(api.get("/readyz", "").status, 503);
    assert_eq!(api.get("/metrics", READ).body, "flows_open 0\n");
}

#[test]
fn each_change_is_recorded_in_the_audit_log() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    api.post("/v1/targets/portal/p1/stop", CREW);
    api.post("/v1/drain", EDIT);
    let audit = api.audit.lock().unwrap();
    let records: Vec<_> = audit
        .iter()
        .map(|r| (r.token.as_str(), r.verdict))
        .collect();
    assert_eq!(
        records,
        [
            ("editor", "accepted"),
            ("crew", "not_run"),
            ("editor", "accepted")
        ]
    );
}

#[test]
fn unknown_path_is_rejected_with_json() {
    let api = start_api();
    let reply = api.get("/v1/nothing", READ);
    assert_eq!(
        (reply.status, reason(&reply)),
        (404, RefusalReason::Invalid)
    );
}

#[test]
fn short_and_duplicate_secrets_are_rejected() {
    let validation_error = |secret: &str| {
        let mut tokens = tokens();
        tokens.push(Token {
            name: "weak".into(),
            secret: secret.into(),
            ..Token::default()
        });
        let cfg = AdminConfig {
            listen: ([127, 0, 0, 1], 0).into(),
            tokens,
            ..AdminConfig::default()
        };
        cfg.validate().unwrap_err().to_string()
    };
    insta::assert_snapshot!(validation_error("short"), @"token `weak`: its secret has 5 bytes; allowed: 16 or more");
    insta::assert_snapshot!(validation_error(READ), @"tokens `reader` and `weak` have the same secret");
}

#[test]
fn concurrent_edits_on_two_balancers_have_one_winner() {
    let api = start_api();
    api.apply(EDIT, 0, CSV);
    let other = api.second_api();
    for base in 1..=20 {
        let apply = |admin: std::net::SocketAddr, weight: u32| {
            let csv = CSV.replace(",5\n", &format!(",{weight}\n"));
            let base = format!("\"{base}\"");
            let headers = [("If-Match", base.as_str()), ("Content-Type", "text/csv")];
            let url = format!("http://{admin}/v1/table");
            call("PUT", &url, EDIT, &headers, &csv).status
        };
        let (here, there) = std::thread::scope(|scope| {
            let here = scope.spawn(|| apply(api.admin.addr(), 100 + base));
            let there = scope.spawn(|| apply(other.addr(), 200 + base));
            (here.join().unwrap(), there.join().unwrap())
        });
        let mut statuses = [here, there];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412]);
        let table = current_table(&api.store);
        let winner = if here == 200 { 100 + base } else { 200 + base };
        assert_eq!(
            (table.version.0, table.rows()[2].weight),
            (u64::from(base) + 1, winner)
        );
    }
}
