//! The API over real HTTP on loopback.

mod common;

use std::sync::atomic::Ordering;

use common::{CREW, CSV, EDIT, READ, Reply, call, in_force, serve, tokens};
use sequoiatrail_admin::{AdminConfig, EditReply, ServiceReport, TableView, Token};
use sequoiatrail_platform::Outage;
use sequoiatrail_types::RefusalReason;

fn answer(reply: &Reply) -> EditReply {
    serde_json::from_str(&reply.body).unwrap_or_else(|e| panic!("{e}: {}", reply.body))
}

fn reason(reply: &Reply) -> RefusalReason {
    match answer(reply) {
        EditReply::NotRun { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_table_is_applied_and_shown_with_its_version() {
    let served = serve();
    let reply = served.apply(EDIT, 0, CSV);
    assert_eq!((reply.status, reply.etag.as_deref()), (200, Some("\"1\"")));
    let shown = served.get("/v1/table", READ);
    assert_eq!(shown.etag.as_deref(), Some("\"1\""));
    let view: TableView = serde_json::from_str(&shown.body).unwrap();
    assert_eq!(view.rows.len(), 3);
    assert!(!shown.body.contains("seed"));
    let csv = served.get("/v1/table?format=csv", READ);
    assert_eq!(sequoiatrail_table::from_csv(&csv.body).unwrap(), view.rows);
}

#[test]
fn nothing_is_shown_or_changed_without_a_token() {
    let served = serve();
    for path in ["/v1/table", "/v1/services", "/v1/status", "/metrics"] {
        for token in ["", "reader-012345678", "reader-01234567890"] {
            let reply = served.get(path, token);
            assert_eq!(reply.status, 401, "{path} {token}");
            assert_eq!(reason(&reply), RefusalReason::Forbidden);
        }
    }
    assert_eq!(served.apply("", 0, CSV).status, 401);
    assert_eq!(served.post("/v1/drain", "").status, 401);
    assert!(served.store.read_table().unwrap().is_none());
}

#[test]
fn a_token_for_reading_edits_nothing() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    assert_eq!(served.apply(READ, 1, CSV).status, 403);
    for path in [
        "/v1/targets/crew/c1/stop",
        "/v1/targets/crew/c1/start",
        "/v1/drain",
    ] {
        assert_eq!(served.post(path, READ).status, 403, "{path}");
    }
    let patch = served.call("PATCH", "/v1/table/crew/c1", READ, &[], "{\"weight\":1}");
    assert_eq!(patch.status, 403);
    assert!(!served.drained.load(Ordering::SeqCst));
    assert_eq!(common::in_force(&served.store).version.0, 1);
}

#[test]
fn a_token_bound_to_owners_edits_only_their_services() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    assert_eq!(served.post("/v1/targets/crew/c1/stop", CREW).status, 200);
    let foreign = served.post("/v1/targets/portal/p1/stop", CREW);
    assert_eq!(
        (foreign.status, reason(&foreign)),
        (403, RefusalReason::Forbidden)
    );
    let removed: String = CSV.lines().take(3).map(|l| format!("{l}\n")).collect();
    assert_eq!(served.apply(CREW, 2, &removed).status, 403);
    let taken = CSV.replace("households", "cleaners");
    assert_eq!(served.apply(CREW, 2, &taken).status, 403);
    assert_eq!(
        served.apply(CREW, 2, &CSV.replace(",10", ",20")).status,
        200
    );
    assert_eq!(served.post("/v1/drain", CREW).status, 403);
}

#[test]
fn an_edit_needs_the_version_it_was_made_from() {
    let served = serve();
    let headers = [("Content-Type", "text/csv")];
    let reply = served.call("PUT", "/v1/table", EDIT, &headers, CSV);
    assert_eq!(reply.status, 428);
    served.apply(EDIT, 0, CSV);
    let conflict = served.apply(EDIT, 0, &CSV.replace("c2,", "c3,"));
    assert_eq!(conflict.status, 412);
    let EditReply::NotRun { differing, .. } = answer(&conflict) else {
        panic!("{}", conflict.body);
    };
    assert_eq!(differing.len(), 2);
}

#[test]
fn an_edit_with_the_same_identifier_runs_once() {
    let served = serve();
    let headers = [
        ("If-Match", "\"0\""),
        ("Content-Type", "text/csv"),
        ("Edit-Id", "mine"),
    ];
    let first = served.call("PUT", "/v1/table", EDIT, &headers, CSV);
    served.post("/v1/targets/crew/c1/stop", EDIT);
    let again = served.call("PUT", "/v1/table", EDIT, &headers, CSV);
    assert_eq!(first.body, again.body);
    assert_eq!(common::in_force(&served.store).version.0, 2);
}

#[test]
fn a_single_row_is_edited_whatever_the_version() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    let reply = served.call("PATCH", "/v1/table/crew/c2", EDIT, &[], "{\"weight\":0}");
    assert_eq!(reply.status, 200);
    let unknown = served.call("PATCH", "/v1/table/crew/c9", EDIT, &[], "{\"weight\":0}");
    assert_eq!(
        (unknown.status, reason(&unknown)),
        (400, RefusalReason::Invalid)
    );
    let column = served.call("PATCH", "/v1/table/crew/c2", EDIT, &[], "{\"wieght\":0}");
    assert!(
        column.status == 400 && column.body.contains("wieght"),
        "{}",
        column.body
    );
    assert_eq!(common::in_force(&served.store).rows()[1].weight, 0);
}

#[test]
fn an_edit_while_the_platform_is_away_is_not_run() {
    let served = serve();
    served.platform.set_faults(|f| f.outage = Outage::Refuse);
    let reply = served.apply(EDIT, 0, CSV);
    assert_eq!(
        (reply.status, reason(&reply)),
        (503, RefusalReason::Unavailable)
    );
}

#[test]
fn an_edit_over_the_rate_is_told_when_to_come_back() {
    let served = serve();
    served.platform.set_faults(|f| f.over_rate_s = Some(4));
    let reply = served.apply(EDIT, 0, CSV);
    assert_eq!(
        (reply.status, reply.retry_after.as_deref()),
        (503, Some("4"))
    );
}

#[test]
fn an_edit_whose_answer_is_lost_is_accepted_once() {
    let served = serve();
    served.platform.set_faults(|f| f.lose_answers = 1);
    let reply = served.apply(EDIT, 0, CSV);
    assert_eq!((reply.status, answer(&reply).verdict()), (200, "accepted"));
    assert_eq!(common::in_force(&served.store).version.0, 1);
}

#[test]
fn a_check_tells_the_changes_and_changes_nothing() {
    let served = serve();
    let headers = [("Content-Type", "text/csv")];
    let reply = served.call("POST", "/v1/table/check", READ, &headers, CSV);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.matches("\"added\"").count(), 3);
    let wrong = CSV.replace("tcp,p1", "sctp,p1");
    let reply = served.call("POST", "/v1/table/check", READ, &headers, &wrong);
    assert!(
        reply.status == 400 && reply.body.contains("protocol"),
        "{}",
        reply.body
    );
    assert!(served.store.read_table().unwrap().is_none());
}

#[test]
fn services_are_listed_with_owner_and_targets() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    served.post("/v1/targets/crew/c1/stop", EDIT);
    let reply = served.get("/v1/services", READ);
    let services: Vec<ServiceReport> = serde_json::from_str(&reply.body).unwrap();
    let crew = &services[0];
    assert_eq!(
        (crew.name.as_str(), crew.owner.as_str()),
        ("crew", "cleaners")
    );
    assert_eq!((crew.targets, crew.taking_new_flows), (2, 1));
}

#[test]
fn a_flow_is_explained() {
    let served = serve();
    let reply = served.get("/v1/explain?service=crew&src=203.0.113.9:40000", READ);
    assert!(reply.body.contains("\"target\":\"c1\""), "{}", reply.body);
    for query in [
        "service=crew&src=203.0.113.9",
        "service=none&src=203.0.113.9:1",
    ] {
        let reply = served.get(&format!("/v1/explain?{query}"), READ);
        assert_eq!(reason(&reply), RefusalReason::Invalid);
    }
}

#[test]
fn health_and_readiness_need_no_token() {
    let served = serve();
    assert_eq!(served.get("/healthz", "").status, 200);
    assert_eq!(served.get("/readyz", "").status, 200);
    served.ready.store(false, Ordering::SeqCst);
    assert_eq!(served.get("/readyz", "").status, 503);
    assert_eq!(served.get("/metrics", READ).body, "flows_open 0\n");
}

#[test]
fn each_change_leaves_an_audit_record() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    served.post("/v1/targets/portal/p1/stop", CREW);
    served.post("/v1/drain", EDIT);
    let audit = served.audit.lock().unwrap();
    let told: Vec<_> = audit
        .iter()
        .map(|r| (r.token.as_str(), r.verdict))
        .collect();
    assert_eq!(
        told,
        [
            ("editor", "accepted"),
            ("crew", "not_run"),
            ("editor", "accepted")
        ]
    );
}

#[test]
fn an_unknown_path_is_refused_as_json() {
    let served = serve();
    let reply = served.get("/v1/nothing", READ);
    assert_eq!(
        (reply.status, reason(&reply)),
        (404, RefusalReason::Invalid)
    );
}

#[test]
fn weak_or_doubled_secrets_are_refused_by_name() {
    let start = |secret: &str| {
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
    insta::assert_snapshot!(start("short"), @"token `weak`: its secret has 5 bytes; allowed: 16 or more");
    insta::assert_snapshot!(start(READ), @"tokens `reader` and `weak` have the same secret");
}

#[test]
fn operators_who_race_at_two_balancers_give_one_winner_each_time() {
    let served = serve();
    served.apply(EDIT, 0, CSV);
    let other = served.another();
    for base in 1..=20 {
        let apply = |admin: std::net::SocketAddr, weight: u32| {
            let csv = CSV.replace(",5\n", &format!(",{weight}\n"));
            let base = format!("\"{base}\"");
            let headers = [("If-Match", base.as_str()), ("Content-Type", "text/csv")];
            let url = format!("http://{admin}/v1/table");
            call("PUT", &url, EDIT, &headers, &csv).status
        };
        let (here, there) = std::thread::scope(|scope| {
            let here = scope.spawn(|| apply(served.admin.addr(), 100 + base));
            let there = scope.spawn(|| apply(other.addr(), 200 + base));
            (here.join().unwrap(), there.join().unwrap())
        });
        let mut statuses = [here, there];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412]);
        let table = in_force(&served.store);
        let winner = if here == 200 { 100 + base } else { 200 + base };
        assert_eq!(
            (table.version.0, table.rows()[2].weight),
            (u64::from(base) + 1, winner)
        );
    }
}
