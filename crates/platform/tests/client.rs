//! Single requests: preconditions, watches, and whether a failed request may have run.

mod common;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use common::{client, stand_in};
use sequoiatrail_platform::{
    Client, ClientConfig, Error, Outage, Precondition, Revision, StandIn, StandInConfig, Vm,
    VmState,
};
use sequoiatrail_types::{FailureDomain, RefusalReason, Verdict};
use serde_json::json;

const UNAVAILABLE: Verdict = Verdict::NotRun(RefusalReason::Unavailable);

#[test]
fn a_value_is_read_back_with_its_revision() {
    let platform = stand_in();
    let client = client(platform.addr());
    assert_eq!(client.get("plans/1").unwrap(), None);
    let revision = client
        .put("plans/1", &json!({"a": 1}), Precondition::Absent)
        .unwrap();
    let object = client.get("plans/1").unwrap().unwrap();
    assert_eq!((object.revision, object.value), (revision, json!({"a": 1})));
}

#[test]
fn a_failed_precondition_writes_nothing() {
    let platform = stand_in();
    let client = client(platform.addr());
    let first = client.put("plans/1", &1, Precondition::Absent).unwrap();
    let second = client
        .put("plans/1", &2, Precondition::Revision(first))
        .unwrap();
    for precondition in [Precondition::Absent, Precondition::Revision(first)] {
        let error = client.put("plans/1", &3, precondition).unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun(RefusalReason::Conflict));
        assert!(matches!(error, Error::Conflict { current } if current == Some(second)));
    }
    assert_eq!(client.get("plans/1").unwrap().unwrap().value, json!(2));
}

#[test]
fn a_recreated_object_has_a_new_revision() {
    let platform = stand_in();
    let client = client(platform.addr());
    let first = client.put("plans/1", &1, Precondition::Any).unwrap();
    client
        .delete("plans/1", Precondition::Revision(first))
        .unwrap();
    client.put("plans/1", &1, Precondition::Absent).unwrap();
    assert!(
        client
            .put("plans/1", &2, Precondition::Revision(first))
            .is_err()
    );
}

#[test]
fn a_watch_waits_for_a_change_under_its_prefixes() {
    let platform = stand_in();
    let watcher = client(platform.addr());
    let writer = client(platform.addr());
    let after = watcher.list(&["plans/"]).unwrap().revision;
    let waiting = std::thread::spawn(move || {
        watcher.watch(&["plans/", "tables/"], after, Duration::from_secs(10))
    });
    writer.put("balancers/9", &0, Precondition::Any).unwrap();
    writer.put("plans/1", &1, Precondition::Any).unwrap();
    let update = waiting.join().unwrap().unwrap();
    assert_eq!(update.changes.len(), 1);
    assert_eq!(update.changes[0].key, "plans/1");
}

#[test]
fn a_watch_after_an_expired_history_fails() {
    let platform = stand_in();
    let client = client(platform.addr());
    let after = client.put("plans/1", &1, Precondition::Any).unwrap();
    platform.expire_history();
    let error = client
        .watch(&["plans/"], after, Duration::ZERO)
        .unwrap_err();
    assert!(matches!(error, Error::HistoryExpired));
    let after = client.list(&["plans/"]).unwrap().revision;
    assert!(client.watch(&["plans/"], after, Duration::ZERO).is_ok());
}

#[test]
fn a_refused_write_did_not_run() {
    let platform = stand_in();
    let client = client(platform.addr());
    platform.set_faults(|f| f.outage = Outage::Refuse);
    let error = client.put("plans/1", &1, Precondition::Any).unwrap_err();
    assert_eq!(error.verdict(), UNAVAILABLE);
    platform.set_faults(|f| f.outage = Outage::None);
    assert_eq!(client.get("plans/1").unwrap(), None);
}

#[test]
fn a_write_without_a_response_may_have_run() {
    let platform = stand_in();
    let client = client(platform.addr());
    platform.set_faults(|f| f.lose_answers = 1);
    let error = client.put("plans/1", &1, Precondition::Any).unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert!(client.get("plans/1").unwrap().is_some());
    platform.set_faults(|f| f.outage = Outage::Hang);
    let error = client.put("plans/2", &1, Precondition::Any).unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
}

#[test]
fn a_write_without_a_connection_did_not_run() {
    let unused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let error = client(unused)
        .put("plans/1", &1, Precondition::Any)
        .unwrap_err();
    assert_eq!(error.verdict(), UNAVAILABLE);
}

#[test]
fn a_rate_limited_request_returns_the_retry_delay_immediately() {
    let platform = stand_in();
    let client = client(platform.addr());
    platform.set_faults(|f| f.over_rate_s = Some(7));
    let start = Instant::now();
    let error = client.put("plans/1", &1, Precondition::Any).unwrap_err();
    assert_eq!(error.verdict(), UNAVAILABLE);
    assert_eq!(error.retry_delay(), Some(Duration::from_secs(7)));
    assert!(start.elapsed() < Duration::from_secs(7));
    assert_eq!(platform.counts().over_rate, 1);
}

#[test]
fn a_client_over_its_own_rate_limit_sends_nothing() {
    let platform = stand_in();
    let client = Client::new(ClientConfig {
        endpoint: platform.addr(),
        calls_per_second: 0.01,
        burst: 1.0,
        ..ClientConfig::default()
    });
    client.get("plans/1").unwrap();
    let error = client.put("plans/1", &1, Precondition::Any).unwrap_err();
    assert!(matches!(error, Error::RateLimited { .. }));
    assert!(error.retry_delay().is_some());
    assert_eq!(platform.counts().writes, 0);
}

#[test]
fn a_value_over_the_size_limit_is_rejected() {
    let platform = stand_in();
    let client = client(platform.addr());
    let value = "x".repeat(1 << 20);
    let error = client
        .put("plans/1", &value, Precondition::Any)
        .unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun(RefusalReason::Invalid));
    assert_eq!(client.list(&["plans/"]).unwrap().revision, Revision(0));
}

#[test]
fn the_vm_list_is_served() {
    let platform = stand_in();
    let vms = vec![Vm {
        name: "entry-1".into(),
        address: "127.0.0.1:7001".parse().unwrap(),
        failure_domain: FailureDomain(1),
        state: VmState::Leaving,
    }];
    platform.set_vms(vms.clone());
    assert_eq!(client(platform.addr()).vms().unwrap(), vms);
}

#[test]
fn a_platform_with_a_token_requires_it() {
    let cfg = StandInConfig {
        token: Some("secret".into()),
        ..StandInConfig::default()
    };
    let platform = StandIn::start(cfg).unwrap();
    let with = |token: Option<&str>| {
        Client::new(ClientConfig {
            endpoint: platform.addr(),
            token: token.map(str::to_owned),
            ..ClientConfig::default()
        })
    };
    for token in [None, Some("secre"), Some("secrets")] {
        let error = with(token)
            .put("plans/1", &1, Precondition::Any)
            .unwrap_err();
        assert_eq!(error.verdict(), Verdict::NotRun(RefusalReason::Invalid));
        assert!(with(token).get("plans/1").is_err() && with(token).list(&[""]).is_err());
    }
    with(Some("secret"))
        .put("plans/1", &1, Precondition::Any)
        .unwrap();
}

#[test]
fn faults_are_set_over_http_only_if_allowed() {
    let open = stand_in();
    let closed = StandIn::start(StandInConfig::default()).unwrap();
    let refuse = json!({"outage": "refuse"}).to_string();
    let set = |platform: &StandIn| {
        let url = format!("http://{}/v1/faults", platform.addr());
        let req = ureq::put(url).header("Content-Type", "application/json");
        req.send(&refuse).map(|res| res.status().as_u16())
    };
    assert_eq!(set(&open).unwrap(), 200);
    assert!(client(open.addr()).get("plans/1").is_err());
    assert!(set(&closed).is_err());
    assert!(client(closed.addr()).get("plans/1").is_ok());
}
